#!/usr/bin/env bash
# Regenerates the committed protobuf code from wire/hyssoprail.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
protoc --cpp_out="$out" -I wire wire/hyssoprail.proto
cp "$out/hyssoprail.pb.h" include/hyssoprail/wire/
sed 's#"hyssoprail.pb.h"#"hyssoprail/wire/hyssoprail.pb.h"#' "$out/hyssoprail.pb.cc" > src/hyssoprail/wire/hyssoprail.pb.cc
rm -r "$out"
