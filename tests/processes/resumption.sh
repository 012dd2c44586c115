#!/usr/bin/env bash
# Kills nodes and engines under streams while servers of two software versions serve. Guards against a stream
# that goes on at another version than it began at, and against one that cannot go on though it could.
. "$(dirname "$0")/common.sh"
python3 tests/soak/resumption.py --build "$BUILD" --logs "$RUN" || fail "streams were mixed, lost or refused late"
echo "OK"
