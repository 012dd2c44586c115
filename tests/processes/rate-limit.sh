#!/usr/bin/env bash
# Runs three nodes before a server that announces a rate limit in its answers. Guards against a limit
# that is lost between sockets, nodes and decisions.
. "$(dirname "$0")/advicecommon.sh"

# A rate limit holds for all nodes together, also for those that the server has not told.
serve_bursts 2
advise w-1 '"Server-Limit":"0.5"' ''
limit_seen() { serve_burst n1; has_metric n1 servers_limited 1; }
wait_for "n1 to know of the limit" limit_seen || fail "n1 does not know of the limit"
for node in n2 n3; do wait_for "$node to know of the limit" has_metric $node servers_limited 1 || fail "$node does not know of the limit"; done
BEFORE=$(called w-1)
STARTED=$SECONDS
serve_bursts 6
ALLOWED=$((5 + 3 * (SECONDS - STARTED + 1) / 4)) # One and a half times the rate, and five.
[ $(($(called w-1) - BEFORE)) -le $ALLOWED ] || fail "w-1 got $(($(called w-1) - BEFORE)) of 72 requests, allowed $ALLOWED"
log_line server_limit 'server=w-1@[0-9]+ per_s=0.5'
grep -h '"kind":"server_limit"' "$RUN"/n2.out "$RUN"/n3.out | grep -q 'from=notice' || fail "no node was told by a notice"
log_line permit_refused 'server=w-1@[0-9]+ retry_after_ms=[0-9]+'
advise w-1 '' ''
for node in n1 n2 n3; do
    limit_ended() { serve_burst $node; has_metric $node servers_limited 0; }
    wait_for "$node to see the end of the limit" limit_ended || fail "$node keeps the limit"
done
echo "OK"
