#!/usr/bin/env bash
# Runs three nodes before servers that refuse requests and ask for a pause. Guards against a pause that
# is lost between sockets and decisions.
. "$(dirname "$0")/advicecommon.sh"

# A refusing server gets nothing during the pause that it asked for.
advise w-1 '' 60
for node in n1 n2 n3; do
    paused() { serve_burst $node; has_metric $node servers_paused 1; }
    wait_for "$node to be refused" paused || fail "$node was not refused"
done
BEFORE=$(called w-1)
serve_bursts 3
[ "$(called w-1)" = "$BEFORE" ] || fail "w-1 got requests during its pause"
log_line server_pause 'server=w-1@[0-9]+ pause_ms=60000'
advise w-2 '' 60
wait_for "all servers to be paused" eval '[ "$(call n1 /plain/a id-$RANDOM -d x -D "$RUN/head")" = 503 ]' || fail "n1 serves a request without servers"
grep -qi '^Retry-After: [1-9]' "$RUN/head" || fail "the refusal has no Retry-After after the pause"
echo "OK"
