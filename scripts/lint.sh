#!/usr/bin/env bash
# Runs clang-tidy over the sources. Results of unchanged translation units are kept in the build
# folder, keyed by the preprocessed source, so a second run checks only what changed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
mkdir -p "$build/lint"
if [[ $# -gt 0 ]]; then files=("$@"); else
  mapfile -t files < <(git ls-files -co --exclude-standard -- 'src/*.cpp' 'examples/*.cpp' 'bench/*.cpp')
fi
[[ ${#files[@]} -eq 0 ]] && exit 0
printf '%s\n' "${files[@]}" | BUILD="$build" xargs -P "${LINT_JOBS:-8}" -n 1 scripts/lint_one.sh
