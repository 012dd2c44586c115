#!/usr/bin/env bash
# Engines give answers that are crossed, that break off, and that end with a plain close and no last
# marker. The callers see none of it: each gets its own whole answer, resumed or begun elsewhere.
. "$(dirname "$0")/common.sh"
start_small_cluster
for i in p1 p2; do control $i '{"cross_next":2}'; done
for i in d1 d2; do control $i '{"cross_next":2,"truncate_next":3,"plain_close_next":3}'; done
control w1 '{"cross_next":1,"truncate_next":1}'
start_load answers --requests=120 --concurrency=16 --blurbs=0
load_result answers
sum() {
    local i
    for i in n1 n2 n3; do
        curl -s -H "Authorization: Bearer $INDIGOWAY_OPERATOR_TOKEN" "http://${ADDRESSES[$i.inner]}/metrics"
    done | awk -v m="indigoway_$1_total" '$1 == m { sum += $2 } END { print sum + 0 }'
}
[ "$(sum decodes_resumed)" -ge 6 ] || fail "only $(sum decodes_resumed) streams were attached to again"
[ "$(sum retries)" -ge 4 ] || fail "only $(sum retries) requests were tried again"
echo "resumed $(sum decodes_resumed), tried again $(sum retries)"
wait_for "the engines to be clean" engines_clean || fail "engine memory is held"
