#!/usr/bin/env bash
# The demo: a deployment like Lista Viva's on loopback, a node killed in mid-stream, and what the
# callers saw. Ends with 0 only if every answer was right.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_cluster EXIT

echo "== starting the key-value service, 9 model engines, 3 plain workers and 4 nodes"
start_standin store indigoway-store
for i in 1 2 3 4 5; do start_standin prefill-$i indigoway-engine --name=prefill-$i --prefill_speed=40000; done
for i in 1 2 3 4; do start_standin decode-$i indigoway-engine --name=decode-$i --token_us=15000; done
for i in 1 2 3; do start_standin web-$i indigoway-service; done
start_node north hall-a
start_node east hall-b
start_node south hall-c
start_node west hall-a
INNER=${ADDRESSES[north.inner]},${ADDRESSES[east.inner]}
NODES=${ADDRESSES[north.callers]},${ADDRESSES[east.callers]},${ADDRESSES[south.callers]},${ADDRESSES[west.callers]}

{
    sed -E '/^(server)/d' examples/lista-viva/deployment.indigoway
    for i in 1 2 3 4 5; do echo "server prefill-$i pool lector-prefill address ${ADDRESSES[prefill-$i]} domain hall-a checks-fencing yes"; done
    for i in 1 2 3 4; do echo "server decode-$i pool lector-decode address ${ADDRESSES[decode-$i]} domain hall-b slots 20 checks-fencing yes"; done
    for i in 1 2 3; do echo "server web-$i pool lista-web-pool address ${ADDRESSES[web-$i]} domain hall-c slots 16"; done
} >"$RUN/deployment.indigoway"

echo "== the operator applies the declarations"
wait_for "the nodes to answer" cli show nodes
cli --yes apply "$RUN/deployment.indigoway" || exit 1
cli --time_limit=30 wait revision 1 || exit 1
cli show nodes

echo "== callers send chapters, lookups, blurbs not to be repeated and pages; node south is killed"
"$BUILD/indigoway-load" --nodes="$NODES" --requests=400 --concurrency=40 --run_name="demo-$$" >"$RUN/load.out" 2>&1 &
LOAD=$!
PIDS[load]=$LOAD
streaming() { cli show requests where node = south and stage = decoding as json | grep -q decoding; }
wait_for "a stream on south" streaming
kill -KILL "${PIDS[south]}"
wait "$LOAD"
RESULT=$?
cat "$RUN/load.out"

echo "== engines: requests held for callers who are gone"
held() { curl -s "http://${ADDRESSES[$1]}/control" | grep -o '"held":[0-9]*' | cut -d: -f2; }
clean() { local i; for i in prefill-{1..5} decode-{1..4}; do [ "$(held $i)" = 0 ] || return 1; done; }
if wait_for "the engines to be clean" clean; then echo "none"; else echo "SOME LEFT"; RESULT=1; fi

echo "== counters"
for node in north east west; do
    curl -s -H "Authorization: Bearer $INDIGOWAY_OPERATOR_TOKEN" "http://${ADDRESSES[$node.inner]}/metrics" |
        grep -E '^indigoway_(requests_arrived|answers_whole|requests_refused|retries|decodes_resumed|prefills_started|prefills_wasted|reclaimed|members_dead)_total' |
        sed "s/indigoway_//;s/_total//" | tr '\n' ' ' | sed "s/^/$node: /"
    echo
done
cli show changes
echo "== organisations, on two nodes of indigoway-edge: a key taken away, and a quota"
bash scripts/demo-organisations.sh || RESULT=1
[ "$RESULT" = 0 ] && echo "== demo passed" || { echo "== demo FAILED"; tail -5 "$RUN"/*.out; }
exit "$RESULT"
