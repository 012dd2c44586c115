# Functions for tests of what servers say in their answers; starts three nodes.
. "$(dirname "${BASH_SOURCE[0]}")/edgecommon.sh"

start_nodes() {
    for node in n1 n2 n3; do start_edge $node; done
    for node in n1 n2 n3; do wait_for "$node to be ready" ready $node || fail "$node is not ready"; done
    wait_for "n1 to list n3" lists_node n1 n3 || fail "n1 does not list n3"
}
start_nodes

advise() { control platform "{\"advice\":{\"worker\":\"$1\",\"headers\":{$2},\"refuses_for\":\"$3\"}}"; }
called() { curl -s "http://${ADDRESSES[platform]}/control" | grep -o "\"$1\":[0-9]*" | tail -1 | grep -o '[0-9]*$'; }
served() { [ "$(call "$1" /plain/a "id-$RANDOM$RANDOM" -d x)" = 200 ]; }
# Requests at the same time reach both servers. The node serves all of them.
serve_burst() { # NODE
    local jobs=() job
    for i in 1 2 3 4; do served "$1" & jobs+=($!); done
    for job in "${jobs[@]}"; do wait "$job" || return 1; done
}
serve_bursts() { # COUNT: at each node
    for i in $(seq "$1"); do
        for node in n1 n2 n3; do serve_burst $node || fail "$node does not serve a request"; done
    done
}
metric() { curl -s "http://${ADDRESSES[$1.metrics]}/metrics" | grep -E "^indigoway_$2 " | grep -o '[0-9]*$'; }
has_metric() { [ "$(metric "$1" "$2")" = "$3" ]; }
log_line() { grep -h "\"kind\":\"$1\"" "$RUN"/n?.out | grep -Eq "$2" || fail "no log line $1 $2"; }

