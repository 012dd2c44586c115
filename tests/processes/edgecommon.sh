# Functions for tests of indigoway-edge; starts a platform stand-in.
. "$(dirname "${BASH_SOURCE[0]}")/common.sh"

start_standin platform indigoway-sharedplatform || fail "the platform stand-in does not start"

# logged_address NODE PATTERN: prints the address in the first match in the node's log.
logged_address() { grep -o "$2" "$RUN/$1.out" | head -1 | grep -o '127.0.0.1:[0-9]*'; }

EDGE_FLAGS=() # Further command-line flags of the nodes.
start_edge() {
    empty_output "$1"
    "$BUILD/indigoway-edge" --node="$1" --domain=hall-a --callers=127.0.0.1:0 --readiness=127.0.0.1:0 \
        --directory=127.0.0.1:0 --control=127.0.0.1:0 --metrics=127.0.0.1:0 --scheduling=127.0.0.1:0 --relay=127.0.0.1:0 \
        --store="${ADDRESSES[platform]}" "${EDGE_FLAGS[@]}" >"$RUN/$1.out" 2>&1 &
    PIDS[$1]=$!
    wait_for "$1 to start" grep -q '"kind":"start"' "$RUN/$1.out" || fail "$1 does not start"
    ADDRESSES[$1.callers]=$(logged_address "$1" '"callers":"[^"]*"')
    ADDRESSES[$1.metrics]=$(logged_address "$1" '"metrics":"[^"]*"')
    ADDRESSES[$1.directory]=$(logged_address "$1" '"for":"directory","address":"[^"]*"')
    ADDRESSES[$1.readiness]=$(logged_address "$1" '"for":"readiness","address":"[^"]*"')
}
ready() { [ "$(status_of "http://${ADDRESSES[$1.readiness]}/readiness")" = 200 ]; }
call() { # NODE PATH ID [CURL-FLAGS]: prints the status; the body is in $RUN/body
    local node=$1 path=$2 id=$3
    shift 3
    status_of -H 'Host: site.example' -H "Indigoway-Request-Id: $id" \
        -H 'Indigoway-Request-Deadline: 9000' "$@" "http://${ADDRESSES[$node.callers]}$path"
}
lists_node() { curl -s "http://${ADDRESSES[$1.directory]}/resolve?name=site.example" | grep -q "${ADDRESSES[$2.callers]}"; }
