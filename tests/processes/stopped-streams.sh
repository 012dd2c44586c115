#!/usr/bin/env bash
# Moves runs off an engine whose streams have no length. Guards against a part of a stream that passes for a whole
# one, since its engine closes it in good order when it stops the run.
. "$(dirname "$0")/common.sh"
python3 tests/soak/stoppedstreams.py --build "$BUILD" --logs "$RUN" \
    --only 200/before,503-handle/before,500/after,500/after/forgotten,409/with/forgotten,503/late/x2,none/before,reset/with,404/own,refused/own,out-of-time/own,unread/own,still/own,200/last \
    || fail "streams were cut that look whole, or that should be whole"
echo "OK"
