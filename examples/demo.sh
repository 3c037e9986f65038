#!/bin/sh
# Starts a store, six instances and three entries as processes on loopback,
# sends a bounded load, kills one entry meanwhile and checks the guarantees.
# KEEP=1 keeps the folder with settings and logs.
set -eu
PYTHON=${PYTHON:-python3}
here=$(cd "$(dirname "$0")" && pwd)
run=$(mktemp -d)
export FIGHEAD_TOKEN=demo-token-0123456789
pids=""
stop_all() {
    for pid in $pids; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    [ -n "${KEEP:-}" ] || rm -rf "$run"
}
trap stop_all EXIT INT TERM

fighead() { "$PYTHON" -m fighead "$@"; }
# Uses free ports, so that several demos can run at the same time.
set -- $("$PYTHON" "$here/free_ports.py" 16)
store=$1; shift
"$PYTHON" -m fighead standin store --listen "127.0.0.1:$store" >"$run/store.log" 2>&1 &
pids="$pids $!"

cp "$here/demo/rules.ini" "$run/"
: >"$run/instances.ini"
workers=""
number=0
for zone in smolyan smolyan chepelare chepelare devin devin; do
    number=$((number + 1)); port=$1; shift
    name="bench-$number"
    "$PYTHON" -m fighead standin worker --listen "127.0.0.1:$port" --name "$name" \
        --interference "carving-plan:blade-check:0.1" >"$run/$name.log" 2>&1 &
    pids="$pids $!"
    workers="$workers http://127.0.0.1:$port"
    cat >>"$run/instances.ini" <<INI
[instance $name]
upstream = carving
rack = $zone-1
address = http://127.0.0.1:$port

INI
done

entries=""
operator=""
for zone in smolyan chepelare devin; do
    caller=$1; operate=$2; peer=$3; shift 3
    cat >"$run/$zone.settings" <<INI
[entry]
name = entry-$zone
availability_zone = $zone
lease_ttl_s = 3
[caller_front]
listen = 127.0.0.1:$caller
[operator_front]
listen = 127.0.0.1:$operate
token = \$FIGHEAD_TOKEN
[peer_link]
listen = tcp://127.0.0.1:$peer
[store]
url = http://127.0.0.1:$store
[security]
plain = yes
INI
    "$PYTHON" -m fighead serve "$run/$zone.settings" >"$run/$zone.log" 2>&1 &
    pids="$pids $!"
    victim=$!
    entries="$entries http://127.0.0.1:$caller"
    operator=${operator:-http://127.0.0.1:$operate}
done

"$PYTHON" "$here/wait_ready.py" "$operator/v1/status"
fighead plan "$run" --operator "$operator"
fighead apply "$run" --base 0 --author demo --operator "$operator"
"$PYTHON" "$here/wait_ready.py" "$operator/v1/status" claimed
( sleep 8; echo "Killing one entry."; kill -9 "$victim" ) &
pids="$pids $!"
fighead load "$here/demo/load.ini" --entries "$entries" --workers "$workers"
