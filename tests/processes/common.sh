# Shared by the process tests: a small cluster, and checks that end the test with what was wrong.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${BUILD_DIR:-build}
. scripts/cluster.sh
trap stop_cluster EXIT

fail() {
    echo "FAILED: $*"
    tail -n 15 "$RUN"/*.out
    exit 1
}

# The cluster of every test: two prefill and two decode engines, a plain worker, three nodes.
start_small_cluster() {
    start_standin store indigoway-store || fail "no store"
    local i
    for i in 1 2; do
        start_standin p$i indigoway-engine --name=p$i --prefill_speed=40000 || fail "no engine"
        start_standin d$i indigoway-engine --name=d$i --token_us=20000 || fail "no engine"
    done
    start_standin w1 indigoway-service || fail "no service"
    for i in 1 2 3; do start_node n$i hall-$i --keep_seconds=2 || fail "no node"; done
    INNER=${ADDRESSES[n1.inner]},${ADDRESSES[n2.inner]},${ADDRESSES[n3.inner]}
    NODES=${ADDRESSES[n1.callers]},${ADDRESSES[n2.callers]},${ADDRESSES[n3.callers]}
    {
        echo "model lector-llm first-token 5s between-tokens 200ms patience 1min version 1"
        echo "service lista-web prefix /lista-web/ patience 20s"
        echo "pool prefill role prefill target lector-llm"
        echo "pool decode role decode target lector-llm"
        echo "pool web role service target lista-web"
        for i in 1 2; do
            echo "server p$i pool prefill address ${ADDRESSES[p$i]}"
            echo "server d$i pool decode address ${ADDRESSES[d$i]} slots 20"
        done
        echo "server w1 pool web address ${ADDRESSES[w1]} slots 16"
    } >"$RUN/deployment"
    wait_for "the nodes to answer" cli show nodes || fail "no node answers"
    cli --yes apply "$RUN/deployment" >/dev/null || fail "apply"
    cli --time_limit=30 wait revision 1 >/dev/null || fail "revision 1 is not everywhere"
}

# start_load NAME FLAG...: callers in the background; load_result waits for them.
start_load() {
    local name=$1
    shift
    "$BUILD/indigoway-load" --nodes="$NODES" --run_name="$name" --chapter_tokens=2000 "$@" \
        >"$RUN/$name.out" 2>&1 &
    PIDS[$name]=$!
}
load_result() {
    wait "${PIDS[$1]}" || fail "callers of $1 did not all get right answers: $(cat "$RUN/$1.out")"
    cat "$RUN/$1.out"
}

held() { curl -s "http://${ADDRESSES[$1]}/control" | grep -o '"held":[0-9]*' | cut -d: -f2; }
engines_clean() {
    local i
    for i in p1 p2 d1 d2; do [ "$(held $i)" = 0 ] || return 1; done
}
status_of() { curl -s -o "$RUN/body" -w '%{http_code}' "$@"; }
decoding_on() { cli show requests where node = "$1" and stage = decoding as json | grep -q decoding; }
control() { curl -s -d "$2" "http://${ADDRESSES[$1]}/control" >/dev/null; }
