#!/usr/bin/env bash
# Two short runs of the fault soak, each seed that ever failed (tests/soak/failed-seeds), and two runs
# each that also cut nodes off from the backend servers, and that mix software versions of engines. One run moves
# runs whose streams have no length: guards against a part of a stream that passes for a whole one.
. "$(dirname "$0")/common.sh"
SEEDS="1 2 $(grep -o '^[0-9]*' tests/soak/failed-seeds)"
for seed in $SEEDS; do
    python3 tests/soak/soak.py --build "$BUILD" --seed "$seed" --logs "$RUN" || fail "soak of seed $seed"
done
for seed in 1 2; do
    python3 tests/soak/soak.py --build "$BUILD" --seed "$seed" --cuts --logs "$RUN" || fail "soak with cuts of seed $seed"
done
for seed in 1 2; do
    python3 tests/soak/soak.py --build "$BUILD" --seed "$seed" --versions --logs "$RUN" || fail "soak with versions of seed $seed"
done
python3 tests/soak/soak.py --build "$BUILD" --seed 1 --moves --logs "$RUN" || fail "soak with moves of seed 1"
echo "OK"
