#!/usr/bin/env bash
# Two nodes of indigoway-edge on a stand-in of the platform, as callers and operators see them:
# requests served, bad ones refused, changes in force, a killed node left out, a leaving node that
# cuts nothing, and no engine memory held at the end.
. "$(dirname "$0")/edgecommon.sh"

start_edge n1
start_edge n2
for node in n1 n2; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done
wait_for "n1 to name n2" named n1 n2 || fail "n2 is not named"

[ "$(call n1 /plain/a id-1 -d hello)" = 200 ] || fail "a plain request"
grep -q 'POST /plain/a hello' "$RUN/body" || fail "not the server's answer"
TOKENS=(-H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m' -d prompt)
[ "$(call n2 /stream/a id-2 "${TOKENS[@]}")" = 200 ] || fail "a stream"
[ "$(grep -c 'data: token' "$RUN/body")" = 6 ] || fail "not all events: $(cat "$RUN/body")"
[ "$(call n1 /nowhere/a id-3)" = 404 ] || fail "an unknown path"
[ "$(call n1 /plain/a id-4 -H 'Content-Length: 1' -H 'Transfer-Encoding: chunked' -d ab)" = 400 ] \
    || fail "two framings are not refused"
[ "$(call n1 /plain/a id-5 --data-binary @<(head -c 200000 /dev/zero))" = 413 ] || fail "a large body"

# A change is in force on both nodes; one that was removed is not found any more.
control platform '{"version":2,"prefix":"/extra/"}'
extra() { [ "$(call "$1" /extra/a "id-x$RANDOM")" = 200 ]; }
for node in n1 n2; do wait_for "the change on $node" extra $node || fail "no change on $node"; done

# A draining server gets nothing new.
control platform '{"drain":"w-1"}'
drained() { grep -q '"server":"w-1@[0-9]*".*"draining":"yes"' "$RUN/$1.out"; }
for node in n1 n2; do wait_for "$node to see the drain" drained $node || fail "no drain on $node"; done
for i in 1 2 3 4 5 6; do
    [ "$(call n1 /plain/a id-d$i -D "$RUN/head")" = 200 ] || fail "a request while a server drains"
    grep -q 'stamp-w-2' "$RUN/head" || fail "a draining server was used"
done

# The store is away: what is known stays in force.
control platform '{"down":true}'
wait_for "n1 to notice" grep -q store_copy_call_failed "$RUN/n1.out" || fail "outage not noticed"
[ "$(call n1 /plain/a id-6)" = 200 ] || fail "a request while the store is away"
control platform '{"down":false}'
wait_for "n1 to be current again" sh -c "tail -n 50 $RUN/n1.out | grep -q store_copy_current" \
    || fail "not current again"

# A node told to leave in the middle of a stream: the stream ends whole, the process with 0.
call n2 /stream/a id-7 "${TOKENS[@]}" >"$RUN/status" &
STREAM=$!
open() { curl -s "http://${ADDRESSES[n2.metrics]}/metrics" | grep -q '^indigoway_requests_open [1-9]'; }
wait_for "a stream on n2" open || fail "no stream on n2"
kill -TERM "${PIDS[n2]}"
unready() { ! ready n2; }
wait_for "n2 not to be ready" unready || fail "a leaving node is ready"
wait $STREAM
[ "$(cat "$RUN/status")" = 200 ] || fail "the stream of a leaving node: $(cat "$RUN/status")"
[ "$(grep -c 'data: token' "$RUN/body")" = 6 ] || fail "the stream of a leaving node was cut"
wait "${PIDS[n2]}" || fail "the leaving node did not end with 0"
unnamed() { ! named n1 n2; }
wait_for "n1 not to name n2" unnamed || fail "a node that left is still named"

# A killed node vanishes with its lease; a new one comes at another address.
start_edge n3
wait_for "n3 to be ready" ready n3 || fail "n3 is not ready"
wait_for "n1 to name n3" named n1 n3 || fail "n3 is not named"
kill -KILL "${PIDS[n3]}"
gone() { ! named n1 n3; }
wait_for "n1 not to name n3" gone || fail "a killed node is still named"

# Nothing is held, and nothing ran twice.
clean() { [ "$(held platform)" = 0 ]; }
wait_for "nothing to be held" clean || fail "engine memory is held: $(held platform)"
curl -s "http://${ADDRESSES[platform]}/control" | grep -Eq '"id-[0-9]+":[2-9]' && fail "a request ran twice"
curl -s "http://${ADDRESSES[n1.metrics]}/metrics" | grep -q 'indigoway_requests_total{sort="plain",outcome="served"}' \
    || fail "no metrics"

# docs/OPERATIONS.md: from a request's id to its cause. Each line it names is there, with its fields.
line() { grep -h "\"kind\":\"$1\"" "$RUN"/n?.out | grep -E "$2" | grep -Eq "$3" || fail "no line $1 $2 $3"; }
line request_end '"request":"id-1"' 'outcome=served route=plain routes_version=1 .* runs=1 server=w-'
line request_end '"request":"id-2"' 'room_after_ms=[0-9]+ prefilled_after_ms=[0-9]+ first_after_ms=[0-9]+'
line request_unserved '"request":"id-3"' 'status=404 .* no route version=1'
line routing '"version":"2"' '"before":"1"'
line store_copy_call_failed 'from=store' 'fault=refused as_of=[0-9]+'
line scheduler '"before":"none"' '"scheduler":"n1"'
line first_copy '"nodes":"[0-9]+"' '"servers":"[0-9]+"'
line leave '"node":"n2"' '"open_requests":"1"'
for kind in start stop node node_vanished server upstream store_copy_current; do line $kind . .; done
for kind in $(grep -oE '^\| `[a-z_`, ]+' docs/OPERATIONS.md | grep -oE '[a-z_]+'); do
    grep -rqE "\"$kind\"" src || fail "docs/OPERATIONS.md names a kind of line that is never written: $kind"
done
# Each line is one JSON object, and no member stands in it twice: readers of JSON keep one of them.
python3 - "$RUN"/n?.out <<'CHECK' || fail "a log line that cannot be read"
import json, sys

def once(pairs):
    assert len({name for name, _ in pairs}) == len(pairs), pairs
    return dict(pairs)

for path in sys.argv[1:]:
    for line in open(path, encoding="utf-8"):
        json.loads(line, object_pairs_hook=once)
CHECK
echo "OK"
