#!/usr/bin/env bash
# Cuts single nodes off from all backend servers, by hanging, reset and refused connections. Guards
# against callers whose first attempts fail there while the other nodes reach the servers.
. "$(dirname "$0")/common.sh"
python3 tests/soak/cutnode.py --build "$BUILD" --logs "$RUN" || fail "callers of cut-off nodes were not served"
echo "OK"
