#!/usr/bin/env bash
# Runs three nodes before two plain servers that report their speed. Guards against claims, grants and
# ends that are lost between sockets, nodes and decisions.
. "$(dirname "$0")/advicecommon.sh"

slot_metric_sum() { local sum=0; for node in n1 n2 n3; do sum=$((sum + $(metric $node "$1"))); done; echo "$sum"; }

# Three figures change nothing.
advise w-1 '"Indigoway-Server-Load":"0,0,6"' ''
advise w-2 '"Indigoway-Server-Load":"0,0,6"' ''
serve_bursts 3
[ "$(slot_metric_sum slots_granted)" = 0 ] || fail "slots were granted without the fourth figure"

advise w-1 '"Indigoway-Server-Load":"0,0,6,250"' ''
advise w-2 '"Indigoway-Server-Load":"0,0,6,100"' ''
serve_bursts 3
BEFORE1=$(called w-1)
BEFORE2=$(called w-2)
GRANTED=$(slot_metric_sum slots_granted)
serve_bursts 5
[ $(($(slot_metric_sum slots_granted) - GRANTED)) -ge 60 ] || fail "not all requests were granted a slot"
[ $(($(called w-2) - BEFORE2)) -gt $((2 * ($(called w-1) - BEFORE1))) ] \
    || fail "w-1 is slow and got $(($(called w-1) - BEFORE1)) requests, w-2 $(($(called w-2) - BEFORE2))"
log_line slot_granted 'claim=[0-9]+ service=[^ ]+ waited_ms=[0-9]+ server=w-'
log_line slot_grant 'node=n[123] claim=[0-9]+ .* held=[0-9]+ .* work_percent=[0-9]+ report_age_ms='
log_line plain_server 'server=w-1@[0-9]+ held='
curl -s "http://${ADDRESSES[n1.metrics]}/metrics" "http://${ADDRESSES[n2.metrics]}/metrics" "http://${ADDRESSES[n3.metrics]}/metrics" \
    | grep -Eq '^indigoway_plain_server_work_percent\{server="w-1@[0-9]+"\} 2[0-9]+' || fail "no metric of the speed of w-1"
no_slots_held() { [ "$(slot_metric_sum slots_held)" = 0 ]; }
wait_for "all slots to be free" no_slots_held || fail "slots stay taken"

# The scheduling node stands still. The others serve by themselves, and use it again afterwards.
for node in n1 n2 n3; do [ "$(metric $node slots_granted)" = 0 ] || SCHEDULER=$node; done
kill -STOP "${PIDS[$SCHEDULER]}"
for node in n1 n2 n3; do
    [ $node = "$SCHEDULER" ] || serve_burst $node || fail "$node does not serve while the scheduler stands still"
done
log_line plain_scheduler_silent 'claims=[0-9]+'
kill -CONT "${PIDS[$SCHEDULER]}"
grants_again() {
    local before
    before=$(metric "$SCHEDULER" slots_granted)
    for node in n1 n2 n3; do serve_burst $node || return 1; done
    [ $(($(metric "$SCHEDULER" slots_granted) - before)) -ge 12 ]
}
wait_for "all nodes to use the scheduler again" grants_again || fail "the scheduler is not used again"

# A load that cannot be read is ignored and logged.
advise w-1 '"Indigoway-Server-Load":"0,0,6,fast"' ''
advise w-2 '"Indigoway-Server-Load":"0,0,6,0"' ''
serve_bursts 2
log_line server_load_malformed 'server=w-'
echo "OK"
