#!/usr/bin/env bash
# Stops a node while callers slowly read answers that their server has given in full. Guards against a
# node that ends with the rest of them in its memory.
. "$(dirname "$0")/common.sh"
python3 tests/soak/slowreader.py --build "$BUILD" --logs "$RUN" || fail "answers were cut by a planned stop"
echo "OK"
