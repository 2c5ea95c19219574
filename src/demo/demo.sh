#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback addresses and prints what happened: a store stand-in, two nodes,
# two backend servers. Exits with 1 if a step does not behave as described.
set -euo pipefail

build=$1
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

store=127.60.0.1:2379
ctl() { "$build/src/limpetctl/limpetctl" "$@"; }

# settings NAME IP: the settings file of one node.
settings() {
    cat > "$work/$1.json" <<JSON
{
    "name": "$1", "region": "etela", "availability_zone": "etela-a", "regions": ["etela"], "service": "stock",
    "caller_address": "$2:7100", "backend_address": "$2:7101", "link_address": "$2:7102", "admin_address": "$2:7103",
    "store_address": "$store",
    "seeds": [{ "node": "vm1", "address": "127.60.1.1:7102" }, { "node": "vm2", "address": "127.60.1.2:7102" }],
    "fleet_keys": [{ "id": "demo", "secret": "1111111111111111111111111111111111111111111111111111111111111111" }],
    "drain_time": "10s"
}
JSON
}

start() {
    "$@" >>"$work/processes.log" 2>&1 &
    pids+=($!)
}

# expect STATUS DESCRIPTION CURL-ARGUMENTS...: waits until the request gives that status.
expect() {
    local wanted=$1 what=$2 status=000
    shift 2
    for _ in $(seq 300); do
        status=$(curl -s -o "$work/body" -w '%{http_code}' --max-time 5 "$@" || true)
        [ "$status" = "$wanted" ] && break
        sleep 0.1
    done
    if [ "$status" != "$wanted" ]; then
        echo "FAILED: $what: status $status instead of $wanted: $(cat "$work/body")"
        tail -20 "$work/processes.log"
        exit 1
    fi
    echo "$what: $status $(head -c 200 "$work/body" | tr '\n' ' ')"
}

echo "== Starting a store, two backend servers and two nodes"
start "$build/src/limpetstore/limpetstore" --listen "$store"
settings vm1 127.60.1.1
settings vm2 127.60.1.2
start "$build/src/limpetd/limpetd" --settings "$work/vm1.json"
start "$build/src/limpetd/limpetd" --settings "$work/vm2.json"
vm2=${pids[-1]}
start "$build/src/limpetbackend/limpetbackend" --listen 127.60.1.1:7200 --service orders --node 127.60.1.1:7101 \
    --record "$work/orders.jsonl"
start "$build/src/limpetbackend/limpetbackend" --listen 127.60.1.2:7200 --service stock --node 127.60.1.2:7101 \
    --record "$work/stock.jsonl"

echo "== Applying the rules and issuing a key"
cat > "$work/rules" <<'RULES'
team planners rate 50/s burst 100  # requested by the demo
route GET /stock/ service stock priority 5 deadline 2s  # requested by the demo
route POST /orders service orders priority 8 deadline 3s non-idempotent  # requested by the demo
route GET /status/ service stock priority 9 deadline 1s open  # requested by the demo
RULES
ctl check "$work/rules"
for _ in $(seq 100); do
    ctl apply "$work/rules" --store="$store" --who=demo --why=demo >"$work/apply" 2>&1 && break
    sleep 0.1
done
cat "$work/apply"
issued=$(ctl key issue planners --store="$store" --who=demo --why=demo --json)
key=$(printf '%s' "$issued" | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
keyId=$(printf '%s' "$issued" | sed -n 's/.*"key_id": *"\([^"]*\)".*/\1/p')

echo "== Requests"
expect 200 "with a key, entering at vm1, served at vm2" -H "Authorization: Bearer $key" http://127.60.1.1:7100/stock/7
expect 200 "with a key, entering at vm2, served at vm1" -X POST -H "Authorization: Bearer $key" \
    http://127.60.1.2:7100/orders
expect 401 "with a wrong key" -H "Authorization: Bearer wrong" http://127.60.1.1:7100/stock/7
expect 200 "on a route open to all, without a key" http://127.60.1.1:7100/status/1
ctl status --node=127.60.1.1:7103

echo "== Withdrawing the key"
ctl key withdraw "$keyId" --store="$store" --who=demo --why=demo
expect 401 "with the withdrawn key" -H "Authorization: Bearer $key" http://127.60.1.1:7100/stock/7
ctl history --store="$store"

echo "== Stopping vm2 gracefully"
kill -TERM "$vm2"
wait "$vm2" && echo "vm2 exited with 0"
if grep -q '"authorizationSeen":true' "$work"/*.jsonl; then
    echo "FAILED: a backend server saw a key"
    exit 1
fi
echo "== No backend server saw a key. Done."
