#!/usr/bin/env python3
"""Fault soak: real processes, faults from outside, and the promises checked from what callers and
backend servers see.

    tests/soak/soak.py --build build --seed 7            one run; its log is kept if it fails
    tests/soak/soak.py --build build --seed 1 --runs 50  seeds 1 to 50, some at a time
    tests/soak/soak.py --build build --seed 1 --cuts     also cuts nodes off from all backend servers, half of
                                                         whose answers have no length; each node is then in a
                                                         failure domain of its own
    tests/soak/soak.py --build build --seed 1 --versions engines come back with other software versions, and
                                                         callers resume their streams at other nodes
    tests/soak/soak.py --build build --seed 1 --moves    engines leave and come back under long streams, half of
                                                         which have no length; their runs are moved, and the
                                                         answers to the stops are late, lost or say nothing
    tests/soak/soak.py --build build --seed 1 --moves --nodes-build old/build  with nodes of another build

A seed fixes which faults strike and when they are due; processes and their timing are real. What
is checked: every answer is the caller's own, and whole or visibly cut; nothing runs twice; what
was refused as not run never runs; nothing is silent beyond a caller's patience on a node that no
fault touched; a node that leaves cuts no stream; no process ends by itself; and when the faults
are over, all nodes serve and no engine memory is held. Servers limit and refuse requests in their answers,
and keys come and go meanwhile; one organisation sends far more than its quota (organisations.py).
No stream has events of two software versions (streams.py). With --moves, a run whose stop got no prompt
answer with its handle may be cut, since its node cannot know whether it goes on.
"""

import argparse
import asyncio
import random
import sys
import time

from bareproxy import BareProxy
from callers import Caller, EVENTS, NOT_RUN
from faultproxy import FaultProxy
from faults import Faults
from fleet import Node, Platform
from movingproxy import MovingProxy, Moves
import organisations as organisation
import seeds
from streams import RESUMED_EVENTS, ResumingCaller, mixed_or_disordered

FAULTS_S = 8.0
# Leases of killed nodes end, and what they held at engines lapses.
SETTLE_S = 4.5
CALLERS_A_NODE = 3
PROBES_A_NODE = 6
RESUMING_CALLERS = 6
# Of the servers' connections, with --cuts: their answers have no length and end with them.
BARE_SHARE = 0.5
# With --moves. Two prefill engines, so that streams begin while one of them limits or refuses requests.
PLAIN_SERVERS = 2  # Of the stand-in; its prefill and decode engines follow.
MOVING_PREFILL_ENGINES = 2
MOVING_ENGINES = ["d-1", "d-2", "d-3"]
# Events of a stream, and how long callers wait for one, moves included.
MOVED_EVENTS = (30, 40)
MOVED_PATIENCE_S = 8.0


async def wait_until_served(caller, clock, limit):
    while clock() < limit:
        outcome = await caller.request(False, caller.organisations.good_keys()[-1])
        if outcome.status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def broken_promises(outcomes, runs, faults):
    """What each request's caller and the backend servers saw, against the promises."""
    for one in outcomes:
        count = runs.get(one.id, 0)
        if one.problem:
            yield f"{one.id} on {one.node.name}: {one.problem}"
        if count > 1:
            yield f"{one.id} ran {count} times"
        if one.status in NOT_RUN and count:
            yield f"{one.id} was answered {one.status} and ran"
        if one.status == 404:
            yield f"{one.id} on {one.node.name}: a route that exists was not found"
        calm = not faults.was_touched(one.node, one.started - 0.5, one.ended)
        if calm and one.status == "silent":
            yield f"{one.id} on {one.node.name}: no answer, and no fault there"
        if calm and one.status == 200 and not one.is_whole and one.id not in faults.unanswered_stops:
            yield f"{one.id} on {one.node.name}: cut after {one.events} events, and no fault there"


async def settle(platform, nodes, chance, clock, organisations, problems):
    """When the faults are over: all nodes serve, and nothing is held."""
    outcomes = []
    for node in nodes:
        caller = Caller(f"after-{node.name}", node, chance, clock, organisations)
        if not await wait_until_served(caller, clock, clock() + SETTLE_S):
            problems.append(f"{node.name} does not serve {SETTLE_S} s after the last fault")
    await asyncio.sleep(1.0)
    for node in nodes:
        caller = Caller(f"probe-{node.name}", node, chance, clock, organisations)
        for i in range(PROBES_A_NODE):
            outcome = await caller.request(i % 2 == 0, organisations.good_keys()[-1])
            outcomes.append(outcome)
            if outcome.status != 200 or not outcome.is_whole:
                problems.append(f"{outcome.id}: {outcome.status} after all faults were over")
    for _ in range(60):
        known = await platform.control({})
        if known["held"] == 0:
            return outcomes, known
        await asyncio.sleep(0.1)
    problems.append(f"engines still hold {known['held']} reservations or results")
    return outcomes, known


async def soak(options, seed, log):
    chance = random.Random(seed)
    begun = time.monotonic()

    def clock():
        return time.monotonic() - begun

    bare = random.Random(f"{seed}/bare")
    moves = Moves(seed, log)
    engines = len(MOVING_ENGINES) if options.moves else 4 if options.versions else 2
    platform = Platform(options.build, log, decode_engines=engines, make_proxy=lambda: BareProxy(bare, BARE_SHARE),
                        prefill_engines=MOVING_PREFILL_ENGINES if options.moves else 1)
    nodes = [Node(f"n{i}", options.nodes_build or options.build, log) for i in range(1, options.nodes + 1)]
    if options.moves:
        others = [FaultProxy() for _ in range(PLAIN_SERVERS + MOVING_PREFILL_ENGINES)]
        platform.workers = [*others, *(MovingProxy(name, moves, BARE_SHARE) for name in MOVING_ENGINES)]
    try:
        return await play(platform, nodes, seed, chance, clock, options, log, moves)
    finally:
        for process in [*nodes, platform]:
            await process.kill()


def moving_callers(nodes, seed, clock, organisations):
    """Callers of streams only, of both versions of HTTP."""
    callers = [
        Caller(f"m{minor}-{node.name}", node, random.Random(f"{seed}/{node.name}/moves/{minor}"), clock, organisations)
        for node in nodes for minor in (0, 1)
    ]
    for i, caller in enumerate(callers):
        caller.minor = i % 2
    return callers


async def play(platform, nodes, seed, chance, clock, options, log, moves):
    await platform.start(nodes if options.cuts else ())
    organisations = organisation.Organisations(clock)
    await platform.declare(organisations.declared())
    for node in nodes:
        node.store.target = node.store.target or platform.address
        node.resets_callers = options.moves
        await node.store.listen()
        await node.callers.listen()
        await node.start()
    faults = Faults(chance, clock, platform, nodes, organisations, log, options.cuts)
    problems = faults.problems
    for node in nodes:
        first = Caller(f"before-{node.name}", node, chance, clock, organisations)
        if not await wait_until_served(first, clock, clock() + 10):
            problems.append(f"{node.name} never served")
    await platform.control({"resumable_events": RESUMED_EVENTS})
    until = clock() + FAULTS_S
    callers = [
        Caller(f"c{i}-{node.name}", node, random.Random(f"{seed}/{node.name}/{i}"), clock, organisations)
        for node in nodes for i in range(CALLERS_A_NODE)
    ]
    hot = [
        Caller(f"hot-{node.name}", node, random.Random(f"{seed}/{node.name}/hot"), clock, organisations,
               organisation.HOT_KEY)
        for node in nodes
    ]
    resuming = [
        ResumingCaller(f"r{i}", nodes, random.Random(f"{seed}/resuming/{i}"), clock, organisations)
        for i in range(RESUMING_CALLERS if options.versions else 0)
    ]
    streaming = moving_callers(nodes, seed, clock, organisations) if options.moves else []
    moving = []
    if options.moves:
        drawn = random.Random(f"{seed}/moves")
        events = drawn.randint(*MOVED_EVENTS)
        for caller in [*callers, *streaming]:
            caller.stream_events = events
            caller.stream_patience_s = MOVED_PATIENCE_S
        platform.version += 1
        await platform.control({"engine": {"backups": drawn.random() < 0.7, "moves": True}, "stream_events": events,
                                "version": platform.version, "prefix": "/extra/"})
        faults.unanswered_stops = moves.unanswered
        moving = [faults.move(drawn, MOVING_ENGINES, until),
                  faults.crash(random.Random(f"{seed}/crashes"), MOVING_ENGINES, until)]
    advising = faults.advise(random.Random(f"{seed}/advice"), until)
    upgrading = [faults.upgrade(random.Random(f"{seed}/upgrade"), until)] if options.versions else []
    await asyncio.gather(faults.run(until), advising, *upgrading, *moving,
                         *(caller.run_streams(until + 1.0) for caller in streaming),
                         *(caller.run(until + 1.0) for caller in resuming), *(caller.run(until + 1.0) for caller in callers),
                         *(caller.run_without_pause(until + 1.0) for caller in hot))
    callers += hot + streaming
    await platform.control({"stream_events": EVENTS})
    for node in nodes:
        if node.process.returncode is not None:
            problems.append(f"{node.name} ended by itself with {node.process.returncode}")
    outcomes, known = await settle(platform, nodes, chance, clock, organisations, problems)
    runs = known["runs"]
    outcomes += [one for caller in callers for one in caller.outcomes]
    for one in outcomes:
        log.write(f"request {one.id} {one.node.name} {one.started:.2f} {one.ended:.2f} {one.status} {one.key} "
                  f"events={one.events} whole={one.is_whole} runs={runs.get(one.id, 0)}\n")
    streams = [one for caller in resuming for one in caller.streams]
    for one in streams:
        log.write(f"stream {one.name} versions={known['versions'].get(one.begun_id)} "
                  f"{[(a.node.name, a.status, a.events) for a in one.attempts]}\n")
    problems += mixed_or_disordered(streams, known["versions"])
    problems += broken_promises(outcomes, runs, faults)
    problems += organisation.broken_promises(outcomes, known, organisations)
    served = sum(one.status == 200 and one.is_whole for one in outcomes)
    moved = f", {moves.summary()}" if options.moves else ""
    return problems, f"{served} of {len(outcomes)} served, {len(faults.touched)} faults, "\
        f"{sum(one.was_resumed for one in streams)} of {len(streams)} streams went on at another node{moved}"


async def main():
    parser = argparse.ArgumentParser(description="Fault soak of indigoway-edge.")
    seeds.add_options(parser, at_once=4)
    parser.add_argument("--cuts", action="store_true", help="also cut nodes off from all backend servers")
    parser.add_argument("--versions", action="store_true",
                        help="also restart engines with other software versions under streams that are resumed")
    parser.add_argument("--moves", action="store_true",
                        help="also move runs off engines that leave, under streams of which half have no length")
    parser.add_argument("--nodes", type=int, default=3, help="nodes a run")
    parser.add_argument("--nodes-build", default="", help="folder with the nodes' program, if it is another one")
    options = parser.parse_args()
    if options.moves and (options.cuts or options.versions):
        parser.error("--moves goes with neither --cuts nor --versions")
    return await seeds.play_seeds(options, "soak", lambda seed, log: soak(options, seed, log))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
