#!/usr/bin/env python3
"""Turns a domain's watcher away from the store while another node of the domain is just starting.

    tests/soak/sourcecycle.py --build build --seed 1 --runs 20

The store serves the node that starts. What is checked: both nodes of the domain apply each change of the
desired state within APPLY_LIMIT_S of its confirmation; they must not take each other for the source of changes.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from datetime import datetime, timezone

from fleet import Node, Platform
import seeds

ROUNDS = 5
APPLY_LIMIT_S = 2.0
CHANGE_EVERY_S = 0.33
WATCHED_S = 5.5
SETTLE_S = 3.0


def logged_at(line):
    return datetime.fromisoformat(json.loads(line)["time"]).replace(tzinfo=timezone.utc).timestamp()


def applied(node):
    """When the present process has applied each version."""
    times = {}
    for line in node.lines:
        if '"kind":"routing"' in line:
            times[int(json.loads(line)["version"])] = logged_at(line)
    return times


def longest_delay(node, confirmed, until):
    """The longest time for which a confirmed version, or a later one, was not applied by this process."""
    started = logged_at(node.lines[0])
    times = applied(node)
    most = 0.0
    for version, at in confirmed.items():
        done = min((time_ for known, time_ in times.items() if known >= version), default=until)
        most = max(most, done - max(at, started))
    return most


async def play(options, seed, log):
    chance = random.Random(seed)
    platform = Platform(options.build, log)
    nodes = [Node(f"n{i}", options.build, log) for i in (1, 2, 3)]
    nodes[2].domain = "hall-b"
    for node in nodes:
        node.flags = []  # Without API keys, whose proofs end a cycle within seconds.
    watcher, starting = nodes[:2]
    problems, worst = [], 0.0
    try:
        await platform.start()
        for node in nodes:
            node.store.target = platform.address
            await node.store.listen()
            await node.callers.listen()
            await node.start()
        starting.keep_addresses("control")  # As on a VM; the watcher knows no other one.
        for _ in range(ROUNDS):
            await asyncio.sleep(SETTLE_S)
            await starting.kill()
            await asyncio.sleep(1.0)
            # The node lists the store within some 10 to 40 ms after its process has begun.
            offset = chance.uniform(-0.06, 0.05)
            begin = asyncio.create_task(delayed(max(0.0, -offset), starting.start()))
            await asyncio.sleep(max(0.0, offset))
            watcher.store.refuse()
            watcher.store.reset_all()
            confirmed = {}
            until = time.time() + WATCHED_S
            while time.time() < until:
                platform.version += 1
                await platform.control({"version": platform.version, "prefix": "/extra/"})
                confirmed[platform.version] = time.time()
                await asyncio.sleep(CHANGE_EVERY_S)
            await begin
            for node in (watcher, starting):
                delay = longest_delay(node, confirmed, time.time())
                log.write(f"round offset={offset * 1000:.0f} ms {node.name} delay={delay:.2f} s\n")
                worst = max(worst, delay)
                if delay > APPLY_LIMIT_S:
                    problems.append(f"{node.name} applied a change {delay:.1f} s late, offset {offset * 1000:.0f} ms")
            await watcher.store.accept_again()
    finally:
        for process in [*nodes, platform]:
            await process.kill()
    return problems, f"longest delay {worst:.2f} s in {ROUNDS} rounds"


async def delayed(seconds, action):
    await asyncio.sleep(seconds)
    await action


async def main():
    parser = argparse.ArgumentParser(description="Lets nodes start while their watcher loses the store.")
    seeds.add_options(parser, at_once=6)
    options = parser.parse_args()
    return await seeds.play_seeds(options, "sourcecycle", lambda seed, log: play(options, seed, log))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
