#!/usr/bin/env bash
# Requests with a part under which engines end, among sound ones that share their first part: without further faults, with
# a store that is down, with nodes that are killed. Guards against sends that go on, and against refusals of sound requests.
. "$(dirname "$0")/common.sh"
python3 tests/soak/crashingparts.py --build "$BUILD" --seed 1 --runs 3 --logs "$RUN" || fail "sends went on, or sound requests were refused"
echo "OK"
