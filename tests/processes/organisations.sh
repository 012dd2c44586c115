#!/usr/bin/env bash
# Organisations, as their callers see them on two real nodes. A key serves its organisation's
# requests until it is taken away, and two seconds later on no node, also while the store is away;
# what is over a quota is refused on all nodes together, and another organisation does not feel it.
. "$(dirname "$0")/edgecommon.sh"

EDGE_FLAGS=(--key_copy_age_ms=2000 --quota_window_s=4 --quota_over=0 --quota_slack=0)
declare_organisations() { # VERSION KEYS-OF-A: B has a quota of 2 requests at once and 1 a second
    control platform "{\"version\":$1,\"prefix\":\"/extra/\",\"organisations\":[
        {\"name\":\"a\",\"api_keys\":[$2]},
        {\"name\":\"b\",\"api_keys\":[\"key-b\"],\"rate_per_s\":1,\"burst\":2}]}"
}
declare_organisations 2 '"key-a1","key-a2"'
start_edge n1
start_edge n2
for node in n1 n2; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done
wait_for "n1 to name n2" named n1 n2 || fail "n2 is not named"

KEY_A1=(-H 'X-Api-Key: key-a1')
KEY_B=(-H 'X-Api-Key: key-b')
TOKENS=(-H 'Indigoway-Token-Count: 1000,100' -H 'Indigoway-Model-Id: m' -d prompt)
served() { [ "$(call "$1" "$2" "id-$RANDOM$RANDOM" "${@:3}")" = 200 ]; }
answered() { [ "$(call "$1" "$2" "id-$RANDOM$RANDOM" "${@:4}")" = "$3" ]; }

# A key is asked for, names its organisation, and goes no further.
[ "$(call n1 /plain/a id-1 "${KEY_A1[@]}" -H 'Indigoway-Tenant-Id: b')" = 200 ] || fail "a good key"
[ "$(call n2 /stream/a id-2 "${KEY_A1[@]}" "${TOKENS[@]}")" = 200 ] || fail "a stream with a good key"
[ "$(call n1 /plain/a id-3)" = 401 ] || fail "no key"
[ "$(call n1 /plain/a id-4 -H 'X-Api-Key: nobodys')" = 401 ] || fail "an unknown key"
[ "$(call n1 /plain/a id-5 "${KEY_A1[@]}" -H 'X-Api-Key: key-a2')" = 401 ] || fail "two keys"
[ "$(call n1 /open/a id-6)" = 200 ] || fail "an open route"
ran_for() { curl -s "http://${ADDRESSES[platform]}/control" | grep -q "\"$1\":\"$2\""; }
ran_for id-1 a && ran_for id-2 a || fail "servers were not told the organisation"
curl -s "http://${ADDRESSES[platform]}/control" | grep -q '"keys_seen":0' || fail "a key reached a server"

# A key that is taken away is of no use on any node; the other one goes on.
declare_organisations 3 '"key-a2"'
for node in n1 n2; do
    wait_for "the key to go on $node" answered $node /plain/a 401 "${KEY_A1[@]}" || fail "a key outlives its end on $node"
    served $node /plain/a -H 'X-Api-Key: key-a2' || fail "a good key on $node"
done

# Two nodes together pass no more than the quota; a's requests are served meanwhile.
sleep 2.5
OK=0
for i in 1 2 3 4 5 6; do
    for node in n1 n2; do served $node /plain/a "${KEY_B[@]}" && OK=$((OK + 1)); done
done
[ "$OK" -ge 1 ] && [ "$OK" -le 4 ] || fail "$OK of 12 requests served of a quota of 2 and 1 a second"
[ "$(call n1 /plain/a id-7 "${KEY_B[@]}" -D "$RUN/head")" = 429 ] || fail "over the quota"
grep -qi '^Retry-After: [0-9.]*' "$RUN/head" || fail "no time to come back at"
served n1 /plain/a -H 'X-Api-Key: key-a2' || fail "another organisation feels the quota"

# Without the store nobody can tell for longer than two seconds whose key is good.
control platform '{"down":true}'
served n1 /plain/a -H 'X-Api-Key: key-a2' || fail "a good key while the store has just gone"
for node in n1 n2; do
    wait_for "$node to know that it cannot tell" answered $node /plain/a 503 -H 'X-Api-Key: key-a2' \
        || fail "$node serves by an old copy"
    answered $node /plain/a 503 -H 'X-Api-Key: nobodys' || fail "$node denies by an old copy"
    served $node /open/a || fail "an open route while the store is away"
done
control platform '{"down":false}'
for node in n1 n2; do
    wait_for "$node to serve again" served $node /plain/a -H 'X-Api-Key: key-a2' || fail "$node does not serve again"
done

# docs/OPERATIONS.md: why a caller got 401, 429 or 503. No key is in any line.
line() { grep -h "\"kind\":\"$1\"" "$RUN"/n?.out | grep -E "$2" | grep -Eq "$3" || fail "no line $1 $2 $3"; }
line request_unserved '"request":"id-3"' 'status=401 .*no key version=2 age_ms=[0-9]+'
line request_unserved '"request":"id-4"' 'status=401 .*unknown key version=2 age_ms=[0-9]+'
line request_unserved . 'status=503 .*copy too old age_ms=[0-9]+ version=3'
line request_end '"request":"id-7"' 'outcome=over_quota .*organisation=b .*status=429 over quota units=1\.0* per_s=1\.0* burst=2\.0* room_after_ms=[0-9]+ keeper=heard'
line copy_too_old . '"most_ms":"1800"'
line copy_proven . '"age_ms":"[0-9]+"'
grep -qE 'key-a|key-b|nobodys' "$RUN"/n?.out && fail "a key is in the log"
curl -s "http://${ADDRESSES[n1.metrics]}/metrics" | grep -q 'indigoway_organisation_requests_total{organisation="a",outcome="served"}' \
    || fail "no metrics by organisation"
echo "OK"
