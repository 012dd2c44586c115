#!/usr/bin/env bash
# A decode engine is stopped (SIGSTOP) in mid-stream and continued later. The answers are continued
# on the other engine; what the stopped one held is freed once it runs again.
. "$(dirname "$0")/common.sh"
start_small_cluster
start_load engine --requests=60 --concurrency=12 --blurbs=0
busy() { [ "$(held d1)" -gt 0 ]; }
wait_for "work on d1" busy || fail "no work on d1"
kill -STOP "${PIDS[d1]}"
load_result engine
kill -CONT "${PIDS[d1]}"
wait_for "the engines to be clean" engines_clean || fail "engine memory is held"
