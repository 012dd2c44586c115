#!/usr/bin/env bash
# Keys of organisations: memory, and the time to judge one. Processor time of this machine.
set -eu
"${BUILD:-build}/indigoway-keys"
