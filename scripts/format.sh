#!/usr/bin/env bash
# Checks the format of every tracked or new C++ file; with --fix, rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[[ "${1:-}" == --fix ]] && mode=(-i)
git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' | xargs -r -P 8 -n 16 clang-format "${mode[@]}"
