#!/usr/bin/env bash
# Kills all nodes at the same moment under streams, while one software version serves, two, and during a release.
# Guards against streams that cannot be taken up again because all nodes that knew their version have died.
. "$(dirname "$0")/common.sh"
python3 tests/soak/herdkill.py --build "$BUILD" --logs "$RUN" || fail "streams were lost or mixed"
echo "OK"
