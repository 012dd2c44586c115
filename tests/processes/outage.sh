#!/usr/bin/env bash
# The key-value service is away. Requests are served all the same; a blurb not to be repeated is
# refused as not executed; a command is refused with nothing done. A node that is replaced
# meanwhile gets its configuration from a peer. When the service is back, so is everything.
. "$(dirname "$0")/common.sh"
start_small_cluster
control store '{"away":true}'
start_load outage --requests=60 --concurrency=12 --blurbs=0
load_result outage
got=$(status_of -H 'Content-Type: application/json' -H 'Indigoway-Repeatable: no' -H 'Idempotency-Key: k' \
    -d '{"model":"lector-llm","prompt":"x","max_tokens":3}' "http://${ADDRESSES[n1.callers]}/v1/completions")
[ "$got" = 503 ] && grep -q not-executed "$RUN/body" || fail "$got for a blurb during the outage: $(cat "$RUN/body")"
cli set model lector-llm priority 1
[ $? = 1 ] || fail "a command during the outage did not end with 1"
kill -KILL "${PIDS[n3]}"
start_node n3 hall-3 --peers="${ADDRESSES[n1.inner]}" || fail "n3 does not start"
ready() { curl -sf "http://${ADDRESSES[n3.callers]}/readyz"; }
wait_for "the new n3 to know its configuration" ready || fail "n3 is not ready during the outage"
control store '{"away":false}'
INNER=${ADDRESSES[n1.inner]}
accepted() { cli set model lector-llm priority "$((RANDOM % 7))"; }
wait_for "commands to be accepted again" accepted || fail "no command is accepted after the outage"
start_load after --requests=40 --concurrency=8
load_result after
