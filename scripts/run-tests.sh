#!/usr/bin/env bash
# Runs the tests of a build, and passes over just those that KNOWN-RED.txt lists:
#   scripts/run-tests.sh BUILD [FILE]
# A line there is "test-name: cause, command and seed, issue"; three lines at most. The lines are
# printed. A listed test that does not exist, or that passes again, fails the run: the list would
# otherwise outlive its faults and hide new ones.
set -eu
build=$1
file=${2:-KNOWN-RED.txt}
ctest=${CTEST:-ctest}
mostListed=3

listed=()
if [ -f "$file" ]; then
    mapfile -t listed < <(grep -v '^[[:space:]]*\(#\|$\)' "$file" || true)
fi
if [ "${#listed[@]}" -gt "$mostListed" ]; then
    echo "$file lists more than $mostListed tests"
    exit 1
fi
names=()
for line in "${listed[@]}"; do
    names+=("${line%%:*}")
    echo "known red: $line"
done
for name in "${names[@]}"; do
    if ! "$ctest" --test-dir "$build" -N -R "^$name\$" | grep -q "Total Tests: 1\$"; then
        echo "$file lists $name, which is no test"
        exit 1
    fi
    if "$ctest" --test-dir "$build" -R "^$name\$" >/dev/null 2>&1; then
        echo "$file lists $name, which passes: its line has to go"
        exit 1
    fi
done
passOver=()
if [ "${#names[@]}" -gt 0 ]; then
    passOver=(-E "^($(IFS='|'; echo "${names[*]}"))\$")
fi
"$ctest" --test-dir "$build" --output-on-failure -j 4 "${passOver[@]}"
