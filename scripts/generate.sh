#!/usr/bin/env bash
# Regenerates the committed protobuf code from wire/*.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
protoc --cpp_out="$out" -I wire wire/*.proto
for header in "$out"/*.pb.h; do
  name=$(basename "$header" .pb.h)
  cp "$header" include/hyssoprail/wire/
  sed "s#\"$name.pb.h\"#\"hyssoprail/wire/$name.pb.h\"#" "$out/$name.pb.cc" > "src/hyssoprail/wire/$name.pb.cc"
done
rm -r "$out"
