#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run it after the build line of
# deploy/system.toml, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
  g++ -std=c++20 -O1 -DBOOST_ASIO_NO_DEPRECATED -DSPDLOG_COMPILED_LIB -DSPDLOG_FMT_EXTERNAL \
    -Iinclude -Isrc -Iplatform -Ireview/standins "$source" \
    target/libhyssoprail_connection.a target/libhyssoprail_process.a target/libhyssoprail_core.a \
    -lspdlog -lfmt -lcrypto -lxxhash -lpthread -o "target/review/$(basename "$source" .cpp)"
done
