#!/usr/bin/env bash
# A node is told to leave (SIGTERM) under load. No request in flight is cut: every stream that it
# has ends whole, and the process ends by itself with 0.
. "$(dirname "$0")/common.sh"
start_small_cluster
NODES=${ADDRESSES[n2.callers]}
start_load leave --requests=16 --concurrency=16 --chapters=1 --lookups=0 --blurbs=1 --pages=0
wait_for "a stream on n2" decoding_on n2 || fail "no stream on n2"
kill -TERM "${PIDS[n2]}"
unnamed() { ! curl -s "http://${ADDRESSES[n1.callers]}/v1/nodes" | grep -q '"node":"n2"'; }
wait_for "callers not to be sent to n2" unnamed || fail "n2 is still named to callers"
load_result leave
grep -Eq '^(blurb|chapter) .* 0 +[0-9.]+/' "$RUN/leave.out" || fail "requests were sent again"
wait "${PIDS[n2]}" || fail "the leaving node did not end with 0"
