#!/usr/bin/env bash
# Kills an engine in the middle of a stream that may not be resumed, while the store is unreachable.
# Guards against an incomplete answer, an answer with repeated events, and engine memory that is held
# afterwards.
. "$(dirname "$0")/edgecommon.sh"

start_edge n1
start_edge n2
for node in n1 n2; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done
control platform '{"engine":{"backups":true,"moves":true},"version":2,"prefix":"/extra/"}'
extra() { [ "$(call "$1" /extra/a "id-x$RANDOM")" = 200 ]; }
for node in n1 n2; do wait_for "the settings on $node" extra $node || fail "$node does not apply the settings"; done

TOKENS=(-H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m' -d prompt)
platform_says() { curl -s "http://${ADDRESSES[platform]}/control" | grep -o "\"$1\":[0-9]*" | head -1 | cut -d: -f2; }
is_whole() { # [EVENTS]: each event once and in order.
    [ "$(grep '^id: ' "$RUN/body" | grep -o '[0-9]*')" = "$(seq "${1:-6}")" ]
}
logged() { grep -h "\"kind\":\"$1\"" "$RUN"/n?.out | grep -q "$2"; }
clean() { [ "$(platform_says held)" = 0 ] && [ "$(platform_says copies)" = 0 ]; }

# An engine leaves in the middle of a stream that outlasts it: the run is moved to the other engine.
control platform '{"stream_events":40}'
call n1 /stream/a id-moved -N "${TOKENS[@]}" >"$RUN/status" &
STREAM=$!
begun() { [ "$(grep -c '^id: ' "$RUN/body")" -ge 10 ]; }
wait_for "the stream to begin" begun || fail "no stream"
engine=$(curl -s "http://${ADDRESSES[platform]}/control" | grep -o '"running_at":{[^}]*}' | grep -o 'd-[12]')
[ -n "$engine" ] || fail "no engine executes the stream"
control platform "{\"drain\":\"$engine\"}"
wait $STREAM
[ "$(cat "$RUN/status")" = 200 ] || fail "the stream of a leaving engine ended with $(cat "$RUN/status")"
is_whole 40 || fail "the stream of a leaving engine is not whole: $(cat "$RUN/body")"
logged run_continued 'engine leaves' || fail "the run was not moved off its leaving engine"
wait_for "engine memory to be free" clean || fail "engine memory is held after the move"
control platform "{\"stream_events\":6,\"undrain\":\"$engine\"}"
returned() { grep -h '"kind":"server"' "$RUN/$1.out" | grep "\"server\":\"$engine@" | tail -1 | grep -q '"draining":"no"'; }
for node in n1 n2; do wait_for "$engine to be back at $node" returned $node || fail "$node does not see that $engine stays"; done

# Without a known risk of losing engines no copies are made. While the store is unreachable, the
# scheduler cannot learn which engines leave, and names backups.
control platform '{"down":true}'
named_backup() {
    [ "$(call n1 /stream/a "id-b$RANDOM" "${TOKENS[@]}")" = 200 ] || fail "a stream was not served"
    logged run_backup 'backup'
}
wait_for "a run with a backup" named_backup || fail "no run got a backup"

# The connection breaks, but the engine lives and goes on: it must be stopped and its run moved.
control platform '{"reset_after":3}'
[ "$(call n1 /stream/a id-reset "${TOKENS[@]}")" = 200 ] || fail "the stream was not served"
is_whole || fail "the stream after a reset is not whole: $(cat "$RUN/body")"
logged run_stopped 'moved' || fail "the run was not moved"
wait_for "engine memory to be free" clean || fail "engine memory is held after the move"

# An engine is killed: its connections end and it is gone.
control platform '{"kill_after":3}'
[ "$(call n1 /stream/a id-killed "${TOKENS[@]}")" = 200 ] || fail "the stream was not served"
is_whole || fail "the stream of a killed engine is not whole: $(cat "$RUN/body")"
[ "$(platform_says crashes)" = 1 ] || fail "no engine was killed: the test tests nothing"
[ "$(platform_says id-killed)" = 1 ] || fail "the run began $(platform_says id-killed) times"
logged run_continued 'backup' || fail "the run was not continued at its backup"
wait_for "engine memory to be free" clean || fail "engine memory is held after the stream"
curl -s "http://${ADDRESSES[n1.metrics]}/metrics" | grep -q '^indigoway_runs_continued_by_backup 1$' \
    || fail "the metrics do not count the continued run"
echo "OK"
