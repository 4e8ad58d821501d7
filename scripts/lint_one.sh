#!/usr/bin/env bash
# Runs clang-tidy on one source, unless the same sources passed before.
set -euo pipefail
file=$1
[[ -f "$file" ]] || exit 0
key=$({ cat .clang-tidy "$file"; git ls-files -co --exclude-standard -- 'include/*.hpp' 'src/*.hpp' | xargs cat; } | sha256sum | cut -c1-40)
stamp="$BUILD/lint/$key"
[[ -f "$stamp" ]] && exit 0
clang-tidy --quiet -p "$BUILD" "$file" 2>/dev/null || { echo "lint failed: $file"; exit 255; }
touch "$stamp"
