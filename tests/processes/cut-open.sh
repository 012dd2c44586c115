#!/usr/bin/env bash
# Nodes are cut off from all backend servers, but connections to them open, and then hang or are reset, as behind a
# load balancer. Guards against nodes that take an open connection for a path.
. "$(dirname "$0")/common.sh"
python3 tests/soak/cutnode.py --build "$BUILD" --how open-hang,open-reset --logs "$RUN" || fail "callers of cut-off nodes are not served"
echo "OK"
