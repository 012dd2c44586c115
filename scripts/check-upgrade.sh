#!/usr/bin/env bash
# Checks that two builds work side by side, as they do while an upgrade goes through the nodes:
#   scripts/check-upgrade.sh OLD_BUILD NEW_BUILD
# In both directions, for both programs: the second build starts on what the first one stored and
# on the same settings and declarations, a node of each serves callers, and either may be killed.
set -u
cd "$(dirname "$0")/.."

step() { echo "== $*"; }

# One stream and one plain request through a node of indigoway-edge.
serves() { # NODE ID
    [ "$(call "$1" /plain/a "$2-plain" -d hello)" = 200 ] || return 1
    [ "$(call "$1" /stream/a "$2-stream" -H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m' \
        -d prompt)" = 200 ] && [ "$(grep -c 'data: token' "$RUN/body")" = 6 ]
}
metric() { curl -s "http://${ADDRESSES[$1.metrics]}/metrics" | sed -n "s/^indigoway_$2 //p" | cut -d. -f1; }
scheduled_by() { grep '"kind":"scheduler"' "$RUN/$1.out" | tail -n 1 | grep -q "\"scheduler\":\"$2\""; }
learns_from() { grep '"kind":"upstream"' "$RUN/$1.out" | tail -n 1 | grep -q "from=$(logged_address "$2" '"control":"[^"]*"') "; }
serves_prefix() { [ "$(call "$1" "/$2/a" "id-$RANDOM$RANDOM")" = 200 ]; }
waits_for_start() { wait_for "$1 to be ready" ready "$1" || fail "$1 is not ready"; }

count_lines() { grep -c "\"kind\":\"$2\"" "$RUN/$1.out"; } # NODE KIND

# A stream through NODE is granted by SCHEDULER, which is another node. A node whose claims are not
# understood chooses engines by itself, so that served streams alone would prove nothing.
granted_across() { # NODE SCHEDULER ID
    wait_for "$1 to use $2 as scheduler" scheduled_by "$1" "$2" || fail "$1 does not use $2 as scheduler"
    local attempt looked silent
    for attempt in 1 2 3 4 5; do
        looked=$(metric "$2" scheduler_engines_looked)
        silent=$(count_lines "$1" scheduler_silent)
        serves "$1" "$3-$attempt" || fail "requests through $1, scheduled by $2"
        [ "$(metric "$2" scheduler_engines_looked)" -gt "$looked" ] \
            && [ "$(count_lines "$1" scheduler_silent)" = "$silent" ] && return
        sleep 1.5 # Longer than a scheduler that did not answer is left alone.
    done
    fail "$2 granted no stream of $1"
}

# NEWCOMER serves beside SCHEDULER, takes its updates, and both apply the next routing change.
works_beside() { # NEWCOMER SCHEDULER VERSION PREFIX
    local newcomer=$1 scheduler=$2 node
    waits_for_start "$newcomer"
    wait_for "$scheduler to list $newcomer" lists_node "$scheduler" "$newcomer" || fail "$scheduler does not list $newcomer"
    wait_for "$newcomer to list $scheduler" lists_node "$newcomer" "$scheduler" || fail "$newcomer does not list $scheduler"
    granted_across "$newcomer" "$scheduler" "id-$newcomer"
    wait_for "$newcomer to learn from $scheduler" learns_from "$newcomer" "$scheduler" \
        || fail "$newcomer does not learn the store's state from $scheduler"
    control platform "{\"version\":$3,\"prefix\":\"/$4/\"}"
    for node in "$newcomer" "$scheduler"; do
        wait_for "version $3 on $node" serves_prefix "$node" "$4" || fail "version $3 is not in force on $node"
    done
}

check_edge() { # FIRST SECOND
    local first=$1 second=$2
    printf '# the same file for both builds\nretry_ratio=0.3\nretry_window_s=8\nlist_kept_s=1\n' >"$RUN/settings"
    EDGE_FLAGS=("--node_file=$RUN/settings")

    BUILD=$first start_edge n1
    waits_for_start n1
    serves n1 id-alone || fail "requests through n1 alone"

    BUILD=$second start_edge n2
    works_beside n2 n1 2 extra
    serves n1 id-one || fail "requests through n1 beside n2"

    kill -KILL "${PIDS[n1]}"
    wait_for "n2 to schedule" scheduled_by n2 n2 || fail "n2 does not take over the scheduling"
    serves n2 id-after || fail "requests through n2 after n1 was killed"
    BUILD=$first start_edge n3
    works_beside n3 n2 3 more

    kill -KILL "${PIDS[n2]}"
    wait_for "n3 to schedule" scheduled_by n3 n3 || fail "n3 does not take over the scheduling"
    serves n3 id-last || fail "requests through n3 after n2 was killed"
    nothing_held() { [ "$(held platform)" = 0 ]; }
    wait_for "nothing to be held" nothing_held || fail "engine memory is held: $(held platform)"
    curl -s "http://${ADDRESSES[platform]}/control" | grep -Eq '"id-[0-9a-z-]+":[2-9]' && fail "a request ran twice"
    grep -hE '"kind":"[a-z]+_unreadable"' "$RUN"/n?.out && fail "a node could not decode what the other build wrote"
    return 0
}

check_daemon() { # FIRST SECOND
    local first=$1 second=$2
    start_small_cluster # All of the first build, which stores the declarations.
    kill -TERM "${PIDS[n2]}"
    wait "${PIDS[n2]}"
    BUILD=$second start_node n2 hall-2 --keep_seconds=2 || fail "n2 does not start beside the other build"
    INNER=${ADDRESSES[n1.inner]},${ADDRESSES[n2.inner]},${ADDRESSES[n3.inner]}
    NODES=${ADDRESSES[n1.callers]},${ADDRESSES[n2.callers]},${ADDRESSES[n3.callers]}
    cli --time_limit=30 wait revision 1 >/dev/null || fail "n2 does not read revision 1"
    INNER=${ADDRESSES[n1.inner]} BUILD=$first cli export >"$RUN/first.export"
    INNER=${ADDRESSES[n2.inner]} BUILD=$second cli export >"$RUN/second.export"
    cmp "$RUN/first.export" "$RUN/second.export" || fail "the builds export different declarations"

    # The second build writes the next revision; the first one reads it.
    INNER=${ADDRESSES[n2.inner]} BUILD=$second cli set model lector-llm priority 3 >/dev/null || fail "a change through n2"
    cli --time_limit=30 wait revision 2 >/dev/null || fail "revision 2 is not everywhere"
    start_load mixed --requests=90 --concurrency=16
    load_result mixed >/dev/null
    kill -KILL "${PIDS[n1]}"
    NODES=${ADDRESSES[n2.callers]},${ADDRESSES[n3.callers]}
    start_load second --requests=60 --concurrency=12
    load_result second >/dev/null
    BUILD=$first start_node n1 hall-1 --keep_seconds=2 || fail "n1 does not start again"
    kill -KILL "${PIDS[n2]}"
    NODES=${ADDRESSES[n1.callers]},${ADDRESSES[n3.callers]}
    INNER=${ADDRESSES[n1.inner]},${ADDRESSES[n3.inner]}
    start_load first --requests=60 --concurrency=12
    load_result first >/dev/null
    wait_for "the engines to be clean" engines_clean || fail "engine memory is held"
}

[ $# = 2 ] || { echo "usage: scripts/check-upgrade.sh OLD_BUILD NEW_BUILD" >&2; exit 2; }
old=$(cd "$1" && pwd) && new=$(cd "$2" && pwd) || exit 2
for direction in "$old $new" "$new $old"; do
    read -r first second <<<"$direction"
    BUILD_DIR=$first
    step "indigoway-edge: first $first, second $second"
    (. tests/processes/edgecommon.sh && check_edge "$first" "$second") || exit 1
    step "indigowayd: first $first, second $second"
    (. tests/processes/common.sh && check_daemon "$first" "$second") || exit 1
done
echo OK
