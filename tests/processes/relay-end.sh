#!/usr/bin/env bash
# Ends a node through which another one reaches the servers, by SIGTERM and by SIGKILL. Guards against
# answers without a length that end with that node and look whole, and against restarts that cut them.
. "$(dirname "$0")/common.sh"
python3 tests/soak/relayend.py --build "$BUILD" --seed 1 --logs "$RUN" || fail "answers ended with the node in between"
echo "OK"
