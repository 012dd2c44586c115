#!/bin/bash
# Checks what the scripts of review/4 to review/8 start: the router as the deploy file builds it, and
# the stand-ins, which are Python and need no build.
set -e
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x target/indigoway-edge ] || { cmake -S . -B target -DCMAKE_BUILD_TYPE=Release && cmake --build target -j8 --target indigoway-edge; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 of 3.9 or later is needed" >&2; exit 1; }
for file in review/standins2.py review/smallplatform.py review/[4-8]/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
