#!/usr/bin/env python3
"""Cuts nodes off from all backend servers, which the other nodes still reach, and checks what callers get.

    tests/soak/cutnode.py --build build                  three kinds of cut, one after the other
    tests/soak/cutnode.py --build build --how open-hang,open-reset   cuts in which connections open first

Callers keep the address of a node that is cut off, so their first attempts come to it all the while. What is
checked: from CONTACT_S after the cut on, at least nine in ten of them are served; the other nodes serve as
before; every answer is the caller's own, nothing runs twice, what was refused never runs; and after
the cut has healed nothing is held at the engines.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from callers import Caller, NOT_RUN
from fleet import Node, Platform
import organisations as organisation

CONTACT_S = 2.0
CUT_S = 6.0
SETTLE_S = 4.5
# Of these, the second half begins with the cut: streams that are cut hold the first ones up.
CALLERS_A_NODE = 6
# Of the first attempts in the cut, at nodes that are cut off and at the others.
LEAST_SERVED = 0.9


async def cut(nodes, cut_off, how, clock, callers):
    """One cut; the outcomes of first attempts from CONTACT_S after its start until it heals."""
    for node in cut_off:
        node.cut_from_servers(how)
    begun = clock()
    await asyncio.sleep(CUT_S)
    ended = clock()
    for node in cut_off:
        await node.heal_servers()
    await asyncio.sleep(1.0)
    counted = [one for caller in callers for one in caller.outcomes
               if begun + CONTACT_S <= one.started <= ended - 1.0]
    shares = {}
    for node in nodes:
        here = [one for one in counted if one.node is node]
        served = sum(one.status == 200 and one.is_whole for one in here)
        shares[node] = (served, len(here))
    return shares


async def settled(platform, nodes, callers, clock, problems):
    for node in nodes:
        caller = callers[node]
        for is_stream in (False, True):
            outcome = await caller.request(is_stream)
            if outcome.status != 200 or not outcome.is_whole:
                problems.append(f"{node.name} answers {outcome.status} after the cut")
    for _ in range(int(SETTLE_S * 10)):
        known = await platform.control({})
        if known["held"] == 0:
            return
        await asyncio.sleep(0.1)
    problems.append(f"engines still hold {known['held']} reservations or results")


async def play(options, log):
    begun = time.monotonic()

    def clock():
        return time.monotonic() - begun

    platform = Platform(options.build, log)
    nodes = [Node(f"n{i}", options.build, log) for i in range(1, options.nodes + 1)]
    problems = []
    try:
        await platform.start(nodes)
        organisations = organisation.Organisations(clock)
        for node in nodes:
            await node.store.listen()
            await node.callers.listen()
            await node.start()
        await platform.declare(organisations.declared())
        after = {node: Caller(f"after-{node.name}", node, random.Random(1), clock, organisations,
                              organisations.good_keys()[-1]) for node in nodes}
        for node in nodes:
            while not (await after[node].request(False)).is_whole or after[node].outcomes[-1].status != 200:
                if clock() > 30:
                    raise RuntimeError(f"{node.name} never served")
                await asyncio.sleep(0.1)
        for how in options.how.split(","):
            for count in (1, options.nodes - 1):
                callers = [Caller(f"{how}{count}-{i}-{node.name}", node, random.Random(i), clock, organisations,
                                  organisations.good_keys()[-1])
                           for node in nodes for i in range(CALLERS_A_NODE)]
                # The first node by name schedules the engines.
                cut_off = nodes[:count]
                until = clock() + 1.0 + CUT_S
                early = [caller for i, caller in enumerate(callers) if i % 2 == 0]
                late = [caller for i, caller in enumerate(callers) if i % 2 == 1]
                running = [asyncio.create_task(caller.run(until)) for caller in early]
                await asyncio.sleep(1.0)
                running += [asyncio.create_task(caller.run(until)) for caller in late]
                shares = await cut(nodes, cut_off, how, clock, callers)
                await asyncio.gather(*running)
                for node, (served, count_all) in shares.items():
                    kind = "cut off" if node in cut_off else "in reach"
                    print(f"{how}, {len(cut_off)} cut: {node.name} ({kind}) served {served} of {count_all}", flush=True)
                    if count_all < 20 or served < LEAST_SERVED * count_all:
                        problems.append(f"{how}, {len(cut_off)} cut: {node.name} ({kind}) served {served} of {count_all}")
                await settled(platform, nodes, after, clock, problems)
                known = await platform.control({})
                for one in (one for caller in callers for one in caller.outcomes):
                    runs = known["runs"].get(one.id, 0)
                    log.write(f"request {one.id} {one.started:.2f} {one.ended:.2f} {one.status} "
                              f"events={one.events} whole={one.is_whole} runs={runs}\n")
                    if one.problem:
                        problems.append(f"{one.id}: {one.problem}")
                    if runs > 1:
                        problems.append(f"{one.id} ran {runs} times")
                    if one.status in NOT_RUN and runs:
                        problems.append(f"{one.id} was answered {one.status} and ran")
        for node in nodes:
            if node.process.returncode is not None:
                problems.append(f"{node.name} ended by itself with {node.process.returncode}")
    finally:
        for process in [*nodes, platform]:
            await process.kill()
    return problems


async def main():
    parser = argparse.ArgumentParser(description="Cuts nodes off from all backend servers.")
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--nodes", type=int, default=3, help="how many nodes")
    parser.add_argument("--how", default="hang,reset,live-on", help="kinds of cut")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the log")
    options = parser.parse_args()
    path = pathlib.Path(options.logs) / "cutnode.log"
    with open(path, "w", encoding="utf-8") as log:
        problems = await play(options, log)
    for problem in problems:
        print(f"    {problem}")
    print(f"log: {path}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
