#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages that are missing.
set -euo pipefail
cd "$(dirname "$0")"
missing=()
while read -r name; do
  [[ -z "$name" || "$name" == \#* ]] && continue
  [[ "$(dpkg-query -W -f='${Status}' "$name" 2>/dev/null)" == *"install ok installed"* ]] || missing+=("$name")
done < packages
[[ ${#missing[@]} -eq 0 ]] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
