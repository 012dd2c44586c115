#!/usr/bin/env bash
# Requests of which no two are alike share a part of their prompts that ends any engine that begins to write an answer.
# Sound requests share the first part. Guards against nodes that connect such crashes by whole contents only.
. "$(dirname "$0")/edgecommon.sh"

for node in n1 n2 n3; do start_edge $node; done
for node in n1 n2 n3; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done

TOKENS=(-H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m')
platform_says() { curl -s "http://${ADDRESSES[platform]}/control" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
engines_up() { [ "$(platform_says crashed_now)" = 0 ]; }
# request NODE PARTS: a request that differs from all others but for its parts; prints the status.
request() {
    local own=$RANDOM$RANDOM
    call "$1" "$3/a" "id-$own" "${TOKENS[@]}" -H "Indigoway-Prompt-Prefix: $2,aa$own:50" -d "text $own" -D "$RUN/head"
}
sound() {
    local status
    status=$(request "$1" "f1:200,bb$((RANDOM % 5)):300" /stream)
    [ "$status" = 200 ] || fail "a sound request is not served by $1: $status"
}

# crashing PATH: fifteen requests at all nodes in turn.
crashing() {
    local i status
    for i in $(seq 15); do
        status=$(request n$((1 + i % 3)) f1:200,dead:300 "$1")
        cp "$RUN/head" "$RUN/crashing-head"
        wait_for "crashed engines to be back" engines_up || fail "an engine stays away"
        sound n$((1 + (i + 1) % 3))
    done
    [ "$status" = 503 ] || fail "not refused: $status"
}

crashing /stream
ended=$(platform_says crashes)
[ "$ended" -ge 1 ] || fail "no engine crashed: the test tests nothing"
[ "$ended" -le 5 ] || fail "$ended engines have ended under one part"
grep -qi '^Retry-After:' "$RUN/crashing-head" || fail "not told when to come back"

# Nothing with the part is sent any more, not even a prefill, on no route and by no node that starts later.
sent=$(platform_says calls_with_crashing_part)
crashing /resumable
start_edge n4
wait_for "n4 to be ready" ready n4 || fail "n4 is not ready"
[ "$(request n4 f1:200,dead:300 /stream)" = 503 ] || fail "n4 does not refuse it"
sound n4
[ "$(platform_says calls_with_crashing_part)" = "$sent" ] || fail "requests that all refuse were sent"
echo "OK"
