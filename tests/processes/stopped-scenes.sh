#!/usr/bin/env bash
# Stops runs whose streams have no length while their node stands still, leaves or is cut off, beside a second node,
# and late. Guards against a part of a stream that passes for a whole one.
. "$(dirname "$0")/common.sh"
python3 tests/soak/stoppedscenes.py --build "$BUILD" --logs "$RUN" \
    --only late-stop-reset/503-handle/before,empty-continued-reset/503-handle/with,freeze-400-while/500/with,freeze-2500-before/503-handle/before,leave-while/500/with,cut-hang-first/500/with,cut-hang-heals-while/200/before,backups/421/before,half-event/200/with,two-nodes/409/with \
    || fail "streams were cut that look whole, or a scene tested nothing"
echo "OK"
