#!/usr/bin/env bash
# A caller sends one and the same request again and again, under a new id each time and to either of
# two nodes. Whatever server begins to run it crashes, with all that it serves, and is back after
# 0.3 s. Each attempt is a new request to the node that gets it, so that nobody sees the connection:
# eight attempts end eight servers. Once three have ended, and the other nodes could hear of it, no
# fourth may. What others ask for is served all the while, and so is what was only cut by a crash.
. "$(dirname "$0")/edgecommon.sh"

start_edge n1
start_edge n2
for node in n1 n2; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done

TOKENS=(-H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m')
platform_says() { curl -s "http://${ADDRESSES[platform]}/control" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
crashes() { platform_says crashes; }
revision() { curl -s "http://${ADDRESSES[$1.metrics]}/metrics" | sed -n 's/^indigoway_store_revision //p'; }
served() { [ "$(call "$1" "$2" "id-b$RANDOM$RANDOM" "${@:3}")" = 200 ]; }
# Crashed servers are back, and both nodes have heard what was written to the store before that.
heard() {
    [ "$(platform_says crashed_now)" = 0 ] || return 1
    local newest
    newest=$(platform_says revision)
    [ "$(revision n1)" -ge "$newest" ] && [ "$(revision n2)" -ge "$newest" ]
}

# attempts PATH CURL-FLAGS...: eight, by turns at both nodes.
attempts() {
    local path=$1 i node before
    shift
    before=$(crashes)
    for i in 1 2 3 4 5 6 7 8; do
        node=n$((1 + i % 2))
        call $node "$path" "id-c$RANDOM$i" "$@" -D "$RUN/head" >"$RUN/status"
        wait_for "crashed servers to be back" heard || fail "a node does not hear of a server's return"
    done
    ended=$(($(crashes) - before))
    [ "$ended" -ge 1 ] || fail "no server crashed: the test tests nothing"
    [ "$ended" -le 3 ] || fail "$ended servers have ended under one request to $path"
    [ "$(cat "$RUN/status")" = 503 ] || fail "not refused: $(cat "$RUN/status")"
    grep -qi '^Retry-After:' "$RUN/head" || fail "not told when to come back"
}

# A summary that is being streamed while its engine crashes is cut, and served when it comes again.
call n1 /stream/a id-cut "${TOKENS[@]}" -d bystander >/dev/null &
BYSTANDER=$!
attempts /stream/a "${TOKENS[@]}" -d 'crash this engine'
wait $BYSTANDER
for node in n1 n2; do served $node /stream/a "${TOKENS[@]}" -d bystander || fail "a bystander is refused by $node"; done
for node in n1 n2; do served $node /stream/a "${TOKENS[@]}" -d else || fail "another request is refused by $node"; done

# The same of plain services.
attempts /plain/a -d 'crash this server'
for node in n1 n2; do served $node /plain/a -d else || fail "another request is refused by $node"; done

# A node that starts later has seen none of it, and no server may end for it to learn.
start_edge n3
wait_for "n3 to be ready" ready n3 || fail "n3 is not ready"
before=$(crashes)
[ "$(call n3 /stream/a id-n3 "${TOKENS[@]}" -d 'crash this engine')" = 503 ] || fail "n3 does not refuse it"
[ "$(crashes)" = "$before" ] || fail "a server has ended under a request that others refuse"
served n3 /stream/a "${TOKENS[@]}" -d else || fail "n3 refuses another request"
echo "OK"
