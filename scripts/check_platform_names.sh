#!/usr/bin/env bash
# Fails if a name of the users' platform appears outside platform/, deploy/, the inputs of the fuzz targets
# and the documentation.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Tenant|X-Expect-Instance|X-Not-Executed|X-Response-Signature|X-Kv-|Server-Limit|Server-Leaving|X-Token-Counts|X-Deadline-Ms|log-newest|log-append|log-read|keyed\.(op|servers|entries)|api_keys|plain_tokens|cold_remaining_ms|traffic_split|cache_handle'
if git grep -nE "$names" -- include src wire schemas examples bench 'fuzz/*.cpp' 'fuzz/*.hpp'; then
  echo "Names of the platform belong into platform/ only." >&2
  exit 1
fi
echo "platform names: only in platform/ and deploy/"
