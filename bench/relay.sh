#!/usr/bin/env bash
# The `relay` part of `make bench`: what one node adds between callers and engines, direct and
# through the node in one run.
set -u
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
. scripts/cluster.sh
trap stop_cluster EXIT

# start PART TOKEN_US: one node with one prefill and one decode engine.
start() {
    start_standin store indigoway-store
    start_standin p indigoway-engine --name=p --prefill_speed=100000000 --keep_ms=5000
    start_standin d indigoway-engine --name=d --token_us="$1" --slots=2500 --queue=100
    start_node n hall-a
    INNER=${ADDRESSES[n.inner]}
    printf 'model m first-token 60s between-tokens 10s\npool p role prefill target m\npool d role decode target m\nserver p pool p address %s\nserver d pool d address %s slots 2500\n' \
        "${ADDRESSES[p]}" "${ADDRESSES[d]}" >"$RUN/deployment"
    wait_for "the node" cli show nodes
    cli --yes apply "$RUN/deployment" >/dev/null
    cli wait revision 1 >/dev/null
    settled() { cli show cells | grep -q '^m '; }
    wait_for "the cell" settled
}
measure() {
    "$BUILD/indigoway-relay" --node="${ADDRESSES[n.callers]}" --prefill="${ADDRESSES[p]}" \
        --decode="${ADDRESSES[d]}" --pid="${PIDS[n]}" --part="$1"
}
stop() {
    local pid
    for pid in "${PIDS[@]}"; do kill -KILL "$pid"; done
    wait 2>/dev/null
    PIDS=()
    rm -f "$RUN"/*.out
}

start 2000; measure latency; measure tokens; stop
start 400000; measure memory
