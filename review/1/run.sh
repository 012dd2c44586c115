#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
: >record.txt
broken=0
for how in term kill; do
    timeout 55 python3 run.py $how
    case $? in
    0) ;;
    1) broken=1 ;;
    *) exit 2 ;;
    esac
done
exit $broken
