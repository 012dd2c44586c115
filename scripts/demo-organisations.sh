#!/usr/bin/env bash
# Part of the demo: what callers of an organisation see when its key is taken away, and when they
# send more than its quota. Ends with 0 only if that is what they should see.
set -u
cd "$(dirname "$0")/.."
export BUILD_DIR=${BUILD:-build}
. tests/processes/edgecommon.sh

EDGE_FLAGS=(--key_copy_age_ms=2000 --quota_window_s=4 --quota_over=0 --quota_slack=0)
declare_keys() {
    control platform "{\"version\":$1,\"prefix\":\"/extra/\",\"organisations\":[
        {\"name\":\"faculty\",\"api_keys\":[$2],\"rate_per_s\":2,\"burst\":3}]}"
}
ask() { call "$1" /plain/a "demo-$RANDOM$RANDOM" -H "X-Api-Key: $2"; }
declare_keys 2 '"old-key","new-key"'
start_edge n1
start_edge n2
for node in n1 n2; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done
sleep 2
echo "with old-key: $(ask n1 old-key); without a key: $(call n1 /plain/a demo-none)"
declare_keys 3 '"new-key"'
gone() { [ "$(ask "$1" old-key)" = 401 ]; }
for node in n1 n2; do wait_for "old-key to go on $node" gone $node || fail "old-key outlives its end on $node"; done
echo "old-key taken away: $(ask n1 old-key) on n1, $(ask n2 old-key) on n2"
sleep 2
STATUSES=
for i in 1 2 3 4 5; do STATUSES="$STATUSES $(ask n1 new-key) $(ask n2 new-key)"; done
echo "ten requests at once of a quota of three:$STATUSES"
echo "$STATUSES" | grep -q 200 && echo "$STATUSES" | grep -q 429 || fail "no quota seen"
