#!/usr/bin/env bash
# The `capacity` part of `make bench`: what control costs a node, with nodes growing and backend
# servers growing with them (five a node). First idle, then under load, whose difference is the
# cost of a request's claims. Real daemons and stand-ins on loopback.
set -u
cd "$(dirname "$0")/.."
ulimit -n "$(ulimit -Hn)"
. scripts/cluster.sh
trap stop_cluster EXIT
SIZES=${SIZES:-4 8 16 32}
SECONDS_IDLE=${SECONDS_IDLE:-20}

metrics_of() { curl -s -H "Authorization: Bearer $INDIGOWAY_OPERATOR_TOKEN" "http://${ADDRESSES[$1.inner]}/metrics"; }
# sum METRIC: over all nodes.
snapshot() {
    local i
    for i in $(seq "$1"); do metrics_of "n$i"; done | awk '/^indigoway_(peer|store|report)_(bytes|calls)|^indigoway_requests_arrived/ { sum[$1] += $2 } END { for (m in sum) print m, sum[m] }' | sort
}
cpu() { local i total=0; for i in $(seq "$1"); do total=$((total + $(awk '{print $14 + $15}' "/proc/${PIDS[n$i]}/stat"))); done; echo $total; }
memory() { local i; for i in $(seq "$1"); do awk '/VmRSS/ {print $2}' "/proc/${PIDS[n$i]}/status"; done | sort -n | tail -1; }
report() { # WHAT NODES SECONDS BEFORE AFTER CPU_TICKS
    join "$4" "$5" | awk -v n="$2" -v s="$3" -v what="$1" -v ticks="$6" -v hz="$(getconf CLK_TCK)" '
        { d[$1] = $3 - $2 }
        END {
            peers = 2 * (d["indigoway_peer_bytes_sent"] + d["indigoway_peer_bytes_received"]) / n / s
            printf "%-5s nodes %-3d per node and second: peers %.0f B in %.2f calls, reports %.0f B in %.2f calls, store %.0f B in %.2f calls, processor %.2f%% of a core; requests %.1f/s\n",
                what, n, peers, 2 * d["indigoway_peer_calls_made"] / n / s, d["indigoway_report_bytes"] / n / s, d["indigoway_report_calls_made"] / n / s,
                d["indigoway_store_bytes"] / n / s, d["indigoway_store_calls_made"] / n / s, 100 * ticks / hz / n / s, d["indigoway_requests_arrived_total"] / n / s
        }'
}

for n in $SIZES; do
    start_standin store indigoway-store
    : >"$RUN/deployment"
    {
        echo "model m first-token 5s between-tokens 200ms patience 1min"
        echo "pool prefill role prefill target m"
        echo "pool decode role decode target m"
    } >>"$RUN/deployment"
    for i in $(seq $((2 * n))); do
        start_standin "p$i" indigoway-engine --prefill_speed=100000
        echo "server p$i pool prefill address ${ADDRESSES[p$i]}" >>"$RUN/deployment"
    done
    for i in $(seq $((3 * n))); do
        start_standin "d$i" indigoway-engine --token_us=10000
        echo "server d$i pool decode address ${ADDRESSES[d$i]} slots 20" >>"$RUN/deployment"
    done
    for i in $(seq "$n"); do start_node "n$i" "hall-$((i % 3))"; done
    INNER=${ADDRESSES[n1.inner]}
    NODES=${ADDRESSES[n1.callers]}
    for i in $(seq 2 "$n"); do NODES=$NODES,${ADDRESSES[n$i.callers]}; done
    wait_for "the nodes" cli show nodes
    cli --yes apply "$RUN/deployment" >/dev/null
    start=$(date +%s%N)
    cli --time_limit=60 wait revision 1 >/dev/null
    echo "conf  nodes $n: a revision was in force on all after $((($(date +%s%N) - start) / 1000000)) ms"
    all_seen() { [ "$(cli show nodes | grep -c " $n *\$")" = "$n" ]; }
    wait_for "all to see all" all_seen
    sleep 5
    snapshot "$n" >"$RUN/before"; ticks=$(cpu "$n")
    sleep "$SECONDS_IDLE"
    snapshot "$n" >"$RUN/after"
    report idle "$n" "$SECONDS_IDLE" "$RUN/before" "$RUN/after" $(($(cpu "$n") - ticks))
    snapshot "$n" >"$RUN/before"; ticks=$(cpu "$n"); start=$(date +%s%N)
    "$BUILD/indigoway-load" --nodes="$NODES" --model=m --requests=$((150 * n)) --concurrency=$((4 * n)) \
        --chapters=0 --pages=0 --blurbs=0 --run_name="capacity" >"$RUN/load.out" || cat "$RUN/load.out"
    elapsed=$(awk -v ns=$(($(date +%s%N) - start)) 'BEGIN { print ns / 1e9 }')
    snapshot "$n" >"$RUN/after"
    report load "$n" "$elapsed" "$RUN/before" "$RUN/after" $(($(cpu "$n") - ticks))
    echo "mem   nodes $n: largest node $(memory "$n") KB"
    for pid in "${PIDS[@]}"; do kill -KILL "$pid"; done
    wait 2>/dev/null
    PIDS=()
    rm -f "$RUN"/*.out
done 2>/dev/null
