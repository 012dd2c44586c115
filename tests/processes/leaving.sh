#!/usr/bin/env bash
# Runs three nodes before a server that says in its answers that it leaves. Guards against a node that
# only believes the entry in the store.
. "$(dirname "$0")/advicecommon.sh"

# A server that leaves gets nothing more, although its entry in the store says that it is ready.
advise w-2 '"Server-Leaving":"1"' ''
left() { grep -q '"kind":"server_leaving"' "$RUN/$1.out"; }
for node in n1 n2 n3; do
    told() { serve_burst $node; left $node; }
    wait_for "$node to be told" told || fail "$node was not told that w-2 leaves"
done
BEFORE=$(called w-2)
serve_bursts 3
[ "$(called w-2)" = "$BEFORE" ] || fail "w-2 got requests after it had said that it leaves"
echo "OK"
