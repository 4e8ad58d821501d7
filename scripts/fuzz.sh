#!/usr/bin/env bash
# Builds and runs the fuzz targets (docs/development.md).
#   fuzz.sh build FOLDER                          builds all targets in FOLDER
#   fuzz.sh run FOLDER TARGET SECONDS [OPTION]    runs one; the options go to libFuzzer
#   fuzz.sh all FOLDER SECONDS [OPTION]           runs all targets, one after the other
#   fuzz.sh check FOLDER TARGET SECONDS [OPTION]  runs one from the inputs of the source tree alone
# An input that fails is kept in FOLDER/found/TARGET. run and all keep inputs that reach new code
# in FOLDER/corpus/TARGET and begin with them the next time.
set -euo pipefail
cd "$(dirname "$0")/.."
command=$1 folder=$2
shift 2

build() {
  [[ -f "$folder/build.ninja" ]] || cmake -S . -B "$folder" -G Ninja \
    -DCMAKE_CXX_COMPILER=clang++ \
    -DHYSSOPRAIL_GATEWAY_ONLY=ON -DHYSSOPRAIL_FUZZ=ON > /dev/null
  cmake --build "$folder" -j "${JOBS:-10}" --target fuzz_all
}

# run CORPUS TARGET SECONDS [OPTION]: new inputs are written to the folder CORPUS.
run() {
  local corpus=$1 target=$2 seconds=$3
  shift 3
  [[ -x "$folder/fuzz_$target" ]] || { echo "fuzz_$target is missing in $folder: run make fuzz-build" >&2; return 1; }
  mkdir -p "$folder/found/$target" "$corpus" "fuzz/regressions/$target"
  # Freed memory that AddressSanitizer holds back counts as used: bounded, so that -rss_limit_mb means leaks.
  export ASAN_OPTIONS=${ASAN_OPTIONS:-quarantine_size_mb=64}
  # Leaks are found when the program ends: a check after each input takes 30 ms.
  "$folder/fuzz_$target" -max_total_time="$seconds" -timeout=10 -rss_limit_mb=1024 -detect_leaks=0 -print_final_stats=1 \
    -artifact_prefix="$folder/found/$target/" "$@" \
    "$corpus" "fuzz/corpus/$target" "fuzz/regressions/$target"
}

case $command in
  build) build ;;
  run) run "$folder/corpus/$1" "$@" ;;
  all)
    for directory in fuzz/corpus/*/; do
      target=$(basename "$directory")
      run "$folder/corpus/$target" "$target" "$@"
    done ;;
  check)
    # Inputs that earlier runs have found must not decide the result.
    rm -rf "${folder:?}/check/$1"
    run "$folder/check/$1" "$@" ;;
  *) echo "unknown command $command: use build, run, all or check" >&2; exit 2 ;;
esac
