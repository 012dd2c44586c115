#!/usr/bin/env bash
# The node that schedules the model is stopped (SIGSTOP) under load and continued (SIGCONT) later.
# Callers of the other nodes get right answers meanwhile; those of the stopped one when it wakes.
. "$(dirname "$0")/common.sh"
start_small_cluster
scheduler=$(cli show cells where target = lector-llm as json | sed -E 's/.*"scheduler":"([^"]+)".*/\1/')
others=$(for n in n1 n2 n3; do [ $n = "$scheduler" ] || echo -n "${ADDRESSES[$n.callers]},"; done)
NODES=$others
start_load stop --requests=120 --concurrency=16
wait_for "a stream" cli show requests where stage = decoding
kill -STOP "${PIDS[$scheduler]}"
load_result stop
INNER=$(for n in n1 n2 n3; do [ $n = "$scheduler" ] || echo -n "${ADDRESSES[$n.inner]},"; done)
moved() { cli show cells where target = lector-llm as json | grep -q '"scheduler":"n'; }
wait_for "another scheduler" moved || fail "nobody took the cell up"
kill -CONT "${PIDS[$scheduler]}"
NODES=${ADDRESSES[$scheduler.callers]}
start_load awake --requests=30 --concurrency=6
load_result awake
wait_for "the engines to be clean" engines_clean || fail "engine memory is held"
