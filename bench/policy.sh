#!/usr/bin/env bash
# The `policy` part of `make bench`: goodput and wasted prefill of placement policies.
set -eu
cd "$(dirname "$0")/.."
"${BUILD:-build}/indigoway-policy" --csv="${CSV:-policy.csv.tmp}" "$@"
