#!/usr/bin/env bash
# Starts a small fleet on loopback, configures it with hyssoprailctl, streams one completion, places
# one order, prints the time line of both, and stops everything. Settings and logs are in run/demo.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
run=run/demo
rm -rf "$run"
mkdir -p "$run"
pids=()
secret=demo-secret-of-the-fleet
token=demo-operator-token
export HYSSOPRAIL_TOKEN=$token

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS... : starts a program and waits for its ready line.
start() {
  local name=$1 program=$2
  shift 2
  "$build/$program" "$@" > "$run/$name.ready" 2> "$run/$name.log" &
  pids+=($!)
  local pid=$!
  for _ in $(seq 1 1000); do
    grep -q '^ready' "$run/$name.ready" && return
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.01
  done
  echo "$name did not start:" >&2
  cat "$run/$name.log" >&2
  exit 1
}

# field NAME FIELD : a field of a ready line, for example "http".
field() { sed -n "s/^ready.* $2=\([^ ]*\).*/\1/p; s/^ready $2=\([^ ]*\).*/\1/p" "$run/$1.ready" | head -1; }

# settings NAME JSON : writes a settings file with the fields that all processes have.
settings() {
  cat > "$run/$1.json" <<JSON
{"name": "$1", "vm": "vm-$1", "zone": "$2", "address": "127.0.0.1",
 "peer_address": "tcp://127.0.0.1:0", "http_port": 0, $3}
JSON
}

echo "== Starting a stand-in platform, 4 endpoints with agents, and 2 entries"
start platform standin-platform --port=0
platform=127.0.0.1:$(field platform http)

start prefill-0 standin-engine --port=0 --role=prefill --model=m1
start decode-0 standin-engine --port=0 --role=decode --model=m1
start decode-1 standin-engine --port=0 --role=decode --model=m1
start orders-0 standin-service --port=0
zone=0
for endpoint in prefill-0 decode-0 decode-1 orders-0; do
  kind=engine
  [[ $endpoint == orders-* ]] && kind=service
  settings "agent-$endpoint" "zone-$((zone++ % 2))" \
    "\"endpoint\": \"$endpoint\", \"engine\": \"127.0.0.1:$(field $endpoint http)\", \"kind\": \"$kind\""
  start "agent-$endpoint" hyssoprail-agent --settings "$run/agent-$endpoint.json"
done

digest=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
entry_fields="\"admin_port\": 0, \"platform\": \"$platform\", \"key_secret\": \"$secret\", \"operator_token_digest\": \"$digest\""
settings entry-0 zone-0 "$entry_fields, \"entries\": []"
start entry-0 hyssoprail-entry --settings "$run/entry-0.json"
settings entry-1 zone-1 "$entry_fields, \"entries\": [\"$(field entry-0 peer)\"]"
start entry-1 hyssoprail-entry --settings "$run/entry-1.json"
for entry in entry-0 entry-1; do
  curl -sSf -X PUT "http://$platform/vms/vm-$entry" -H 'Content-Type: application/json' -o /dev/null \
    -d "{\"name\":\"vm-$entry\",\"zone\":\"zone-0\",\"role\":\"entry\",\"peer_address\":\"$(field $entry peer)\",\"leaving\":false}"
done

echo "== Applying the configuration"
peer() { field "agent-$1" peer; }
cat > "$run/fleet.json" <<JSON
{
  "zone": {"zone-0": {"region": "region-0"}, "zone-1": {"region": "region-0"}},
  "vm": {"vm-agent-prefill-0": {"zone": "zone-0"}, "vm-agent-decode-0": {"zone": "zone-1"},
         "vm-agent-decode-1": {"zone": "zone-0"}, "vm-agent-orders-0": {"zone": "zone-1"}},
  "pool": {"assistants": {"kind": "POOL_KIND_ENGINE", "model": "m1"}, "orders": {"kind": "POOL_KIND_SERVICE"}},
  "endpoint": {
    "prefill-0": {"pool": "assistants", "role": "ENDPOINT_ROLE_PREFILL", "vm": "vm-agent-prefill-0", "agent_address": "$(peer prefill-0)", "checks_fencing": true},
    "decode-0": {"pool": "assistants", "role": "ENDPOINT_ROLE_DECODE", "vm": "vm-agent-decode-0", "agent_address": "$(peer decode-0)", "checks_fencing": true},
    "decode-1": {"pool": "assistants", "role": "ENDPOINT_ROLE_DECODE", "vm": "vm-agent-decode-1", "agent_address": "$(peer decode-1)", "checks_fencing": true},
    "orders-0": {"pool": "orders", "role": "ENDPOINT_ROLE_SERVICE", "vm": "vm-agent-orders-0", "agent_address": "$(peer orders-0)"}},
  "route": {
    "chat": {"model": "m1", "pool": "assistants", "route_class": "ROUTE_CLASS_INTERACTIVE", "repeatable": true,
             "first_token_ms": 890, "between_tokens_ms": 37},
    "orders": {"path_prefix": "/orders", "pool": "orders", "route_class": "ROUTE_CLASS_ORDER", "call_tokens": 10}}
}
JSON
ctl=("$build/hyssoprailctl" --entry "127.0.0.1:$(field entry-0 admin)")
"${ctl[@]}" apply "$run/fleet.json" --wait
"${ctl[@]}" account set acme --rate 10000 --burst 20000
key=$("${ctl[@]}" key issue acme-1 --account acme --wait --output json | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
"${ctl[@]}" status

first=127.0.0.1:$(field entry-0 http)
second=127.0.0.1:$(field entry-1 http)
for entry in "$first" "$second"; do
  for _ in $(seq 1 500); do
    curl -sf -o /dev/null "http://$entry/readyz" && break
    sleep 0.01
  done
done

echo "== Streaming a completion through entry-0"
curl -sSN --fail-with-body -D "$run/completion.headers" "http://$first/v1/completions" \
  -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
  -d '{"model": "m1", "prompt": "How many kerb stones fit on one pallet?", "max_tokens": 8, "stream": true}'

echo "== Placing an order through entry-1"
curl -sS --fail-with-body -D "$run/order.headers" "http://$second/orders" \
  -H "Authorization: Bearer $key" -H 'Idempotency-Key: order-1' -H 'Content-Type: application/json' \
  -d '{"item": "kite paper", "count": 20}'
echo

request_id() { tr -d '\r' < "$1" | sed -n 's/^[Xx]-[Rr]equest-[Ii]d: //p'; }
for name in completion order; do
  echo "== Time line of the $name"
  "$build/hyssoprail-timeline" --entry "127.0.0.1:$(field entry-0 admin)" --request "$(request_id "$run/$name.headers")"
done

echo "== Stopping"
failed=0
for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
  kill -TERM "${pids[$i]}"
  code=0
  wait "${pids[$i]}" || code=$?
  # Stand-ins have nothing to drain and end by the signal.
  [[ $code -eq 0 || $code -eq 143 ]] || { echo "process ${pids[$i]} exited with $code"; failed=1; }
done
pids=()
exit "$failed"
