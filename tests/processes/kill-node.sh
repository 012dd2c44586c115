#!/usr/bin/env bash
# A node is killed while it streams. Its callers see broken connections and send again elsewhere;
# repeatable requests end whole, blurbs not to be repeated whole or in doubt. The engines free
# what they held for the dead node.
. "$(dirname "$0")/common.sh"
start_small_cluster
start_load kill --requests=120 --concurrency=24
wait_for "a stream on n2" decoding_on n2 || fail "no stream on n2"
kill -KILL "${PIDS[n2]}"
load_result kill
wait_for "the engines to be clean" engines_clean || fail "engine memory is held for the dead node"
