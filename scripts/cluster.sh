# Starts stand-ins and nodes on loopback for the demo and the process scenarios. Sourced.
# Every process started is in PIDS and is ended by stop_cluster, by its id.

BUILD=${BUILD:-build}
RUN=$(mktemp -d)
declare -A PIDS ADDRESSES
export INDIGOWAY_TOKEN=demo-token-for-the-nodes
export INDIGOWAY_OPERATOR_TOKENS=ada:demo-token-of-operator-ada
export INDIGOWAY_OPERATOR_TOKEN=demo-token-of-operator-ada

# A process that is started again must not be looked for in the output of the one before: its shell
# empties the file some time after the start, and the old address would be taken for the new one.
empty_output() { : >"$RUN/$1.out"; }

# start_standin NAME PROGRAM [FLAG...]: its address is then in ADDRESSES[NAME].
start_standin() {
    local name=$1 program=$2
    shift 2
    empty_output "$name"
    "$BUILD/$program" --listen=127.0.0.1:0 "$@" >"$RUN/$name.out" 2>&1 &
    PIDS[$name]=$!
    wait_for "$name to listen" test -s "$RUN/$name.out"
    ADDRESSES[$name]=$(head -n 1 "$RUN/$name.out")
}

# start_node NAME DOMAIN [FLAG...]: callers' and inner addresses in ADDRESSES[NAME.callers|inner].
start_node() {
    local name=$1 domain=$2
    shift 2
    empty_output "$name"
    "$BUILD/indigowayd" --node="$name" --domain="$domain" --callers=127.0.0.1:0 \
        --inner=127.0.0.1:0 --store="${ADDRESSES[store]}" "$@" >"$RUN/$name.out" 2>&1 &
    PIDS[$name]=$!
    wait_for "$name to listen" grep -q "serves callers on" "$RUN/$name.out"
    local line
    line=$(grep "serves callers on" "$RUN/$name.out")
    ADDRESSES[$name.callers]=$(sed -E 's/.*callers on ([^ ]+) and.*/\1/' <<<"$line")
    ADDRESSES[$name.inner]=$(sed -E 's/.*peers on ([^ ]+).*/\1/' <<<"$line")
}

# wait_for WHAT COMMAND...: until the command succeeds; conditions, not times, end the wait.
wait_for() {
    local what=$1 tries=0
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        if [ "$tries" -gt 600 ]; then
            echo "gave up waiting for $what" >&2
            return 1
        fi
        sleep 0.05
    done
}

cli() {
    "$BUILD/indigoway" --address="$INNER" "$@"
}

stop_cluster() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$RUN"
}
