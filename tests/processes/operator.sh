#!/usr/bin/env bash
# An operator's work with the command-line tool, with the exit codes that scripts rely on.
. "$(dirname "$0")/common.sh"
start_small_cluster
expect_code() {
    local wanted=$1 got
    shift
    "$@" >"$RUN/cli" 2>&1
    got=$?
    [ "$got" = "$wanted" ] || fail "$* ended with $got, not $wanted: $(cat "$RUN/cli")"
}
cli export >"$RUN/exported" || fail "export"
expect_code 0 cli check "$RUN/exported"
expect_code 0 cli diff "$RUN/exported"
grep -q '^0 lines differ from revision 1' "$RUN/cli" || fail "an exported deployment differs: $(cat "$RUN/cli")"
expect_code 0 cli --yes apply "$RUN/exported"
grep -q '^unchanged, revision 1' "$RUN/cli" || fail "applying what is there changed something"
expect_code 0 cli drain server d1
grep -q '^accepted, revision 2' "$RUN/cli" || fail "no revision: $(cat "$RUN/cli")"
expect_code 0 cli --time_limit=20 wait revision 2
expect_code 0 cli --time_limit=20 wait drained d1
expect_code 3 cli --expect_revision=1 resume server d1
expect_code 2 cli drain server dd1
grep -q 'did you mean' "$RUN/cli" || fail "no nearest name"
expect_code 2 cli drian server d1
expect_code 2 cli show srevers
expect_code 2 cli --nonsense show nodes
expect_code 2 cli check "$RUN/nowhere"
expect_code 5 cli --time_limit=1 wait revision 99
echo n | "$BUILD/indigoway" --address="$INNER" apply "$RUN/deployment" >"$RUN/cli" 2>&1
[ $? = 6 ] || fail "declining did not end with 6"
expect_code 1 "$BUILD/indigoway" --address=127.0.0.1:1 show nodes
cli show changes as json | grep -q '"who":"ada"' || fail "the record does not say who"
expect_code 0 cli set model lector-llm version 2
versions() { [ "$(curl -s "http://${ADDRESSES[p1]}/v1/requests" | grep -o '"version":"2"')" ] &&
    [ "$(curl -s "http://${ADDRESSES[d2]}/v1/requests" | grep -o '"version":"2"')" ]; }
wait_for "the engines to load version 2" versions || fail "the engines were not ordered to load version 2"
expect_code 0 cli completion
"$BUILD/indigowayd" --node= --callers=x --token=short >"$RUN/cli" 2>&1
[ $? = 2 ] && [ "$(wc -l <"$RUN/cli")" -ge 4 ] || fail "faults of settings: $(cat "$RUN/cli")"
