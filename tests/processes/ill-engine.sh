#!/usr/bin/env bash
# One prefill engine of two sends bytes that are no answer, or without end. Guards against an engine that holds
# prompts although the other one could read them.
. "$(dirname "$0")/common.sh"
python3 tests/soak/illengine.py --build "$BUILD" --logs "$RUN" || fail "streams waited for an engine in trouble"
echo "OK"
