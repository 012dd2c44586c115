#!/usr/bin/env python3
"""Requests that share a part under which engines end, among sound ones that share their first part.

    tests/soak/crashingparts.py --build build --seed 1 --runs 20

By turns, a seed plays without further faults, with a store that is down when the crashes begin, and with nodes that
are killed and start again. Checked: once five engines have ended and 3 s have passed, no more than three requests with
the part reach servers; sound requests begin more than half as often as before; engines hold nothing at the end.
"""

import argparse
import asyncio
import random
import sys
import time

from callers import read_chunk, read_head
from fleet import Node, Platform
import seeds

DECODE_ENGINES = 6
NODES = 4
CONTACT_S = 3.0
ALLOWED_SENDS = 3
CRASHING_FROM_S = 3.0
CRASHING_FOR_S = 12.0
SOUND_A_SECOND = 12.0
PATIENCE_S = 6.0
MODES = ["calm", "store down", "nodes killed"]


class Request:
    def __init__(self, node, started, is_crashing):
        self.node = node
        self.life = node.lives
        self.started = started
        self.is_crashing = is_crashing
        self.status = "silent"
        self.events = 0


class Play:
    def __init__(self, build, seed, log):
        self.random = random.Random(seed)
        self.mode = MODES[seed % len(MODES)]
        self.crashing_a_second = self.random.choice([2.0, 5.0, 10.0])
        self.log = log
        self.begun = time.monotonic()
        self.platform = Platform(build, log, decode_engines=DECODE_ENGINES)
        self.nodes = [Node(f"n{i}", build, log) for i in range(1, NODES + 1)]
        self.requests = []
        self.touched = []  # (node, from, to)
        self.fifth_at = None
        self.calls_then = None  # With the part, 3 s after the fifth engine had ended.
        self.tasks = set()

    def clock(self):
        return time.monotonic() - self.begun

    async def start(self):
        await self.platform.start()
        for node in self.nodes:
            node.store.target = self.platform.address
            await node.store.listen()
            await node.start()
        for node in self.nodes:
            while not (await self.send(node, ["f1"])).events:
                await asyncio.sleep(0.1)
        self.requests.clear()
        self.begun = time.monotonic()

    async def send(self, node, parts, is_crashing=False):
        request = Request(node, self.clock(), is_crashing)
        self.requests.append(request)
        try:
            await asyncio.wait_for(self._exchange(request, parts), PATIENCE_S)
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            request.status = request.status if request.events else "broken"
        return request

    async def _exchange(self, request, parts):
        own = f"{self.random.getrandbits(48):x}"
        host, port = request.node.callers.target.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [
                f"POST /stream/{own} HTTP/1.1",
                "Host: site.example",
                f"Indigoway-Request-Id: {own}",
                f"Indigoway-Request-Deadline: {int(PATIENCE_S * 1000)}",
                "Indigoway-Token-Count: 1000,100",
                "Indigoway-Model-Id: m",
                f"Indigoway-Prompt-Prefix: {','.join(f'{part}:100' for part in parts)},{own}:500",
                f"Content-Length: {len(own)}",
            ]
            writer.write("\r\n".join([*head, "", own]).encode())
            request.status, _ = await read_head(reader)
            while request.status == 200 and await read_chunk(reader):
                request.events += 1
        finally:
            writer.transport.abort()

    async def arrivals(self, until, a_second, is_crashing):
        while self.clock() < until:
            session = f"5{self.random.randrange(5)}"
            parts = ["f1", *self.random.sample(["dead", session], 2)] if is_crashing else ["f1", session]
            task = asyncio.create_task(self.send(self.random.choice(self.nodes), parts, is_crashing))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.random.expovariate(a_second))

    async def crashing(self):
        await asyncio.sleep(CRASHING_FROM_S)
        await self.arrivals(CRASHING_FROM_S + CRASHING_FOR_S, self.crashing_a_second, True)

    async def watch(self, until):
        while self.clock() < until:
            known = await self.platform.control({})
            if known["crashes"] >= 5 and self.fifth_at is None:
                self.fifth_at = self.clock()
            if self.fifth_at and self.calls_then is None and self.clock() > self.fifth_at + CONTACT_S:
                self.calls_then = known["calls_with_crashing_part"]
            await asyncio.sleep(0.05)

    async def faults(self):
        if self.mode == "store down":
            await asyncio.sleep(CRASHING_FROM_S - 0.5)
            await self.platform.control({"down": True})
            await asyncio.sleep(self.random.uniform(3.0, 6.0))
            await self.platform.control({"down": False})
        while self.mode == "nodes killed" and self.clock() < CRASHING_FROM_S + CRASHING_FOR_S - 2:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            node = self.random.choice(self.nodes)
            record = [node, self.clock(), float("inf")]
            self.touched.append(record)
            await node.kill()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            await node.start()
            record[2] = self.clock() + CONTACT_S

    def was_touched(self, request):
        return any(node is request.node and since <= request.started + 1 and until >= request.started
                   for node, since, until in self.touched)

    def begun_share(self, since, until):
        sound = [one for one in self.requests if not one.is_crashing and since <= one.started < until
                 and not self.was_touched(one)]
        return sum(one.events > 0 for one in sound) / len(sound) if sound else None

    async def run(self):
        await self.start()
        until = CRASHING_FROM_S + CRASHING_FOR_S
        await asyncio.gather(self.arrivals(until, SOUND_A_SECOND, False), self.crashing(), self.watch(until),
                             self.faults())
        await asyncio.gather(*self.tasks)
        known = await self.platform.control({})
        for one in self.requests:
            self.log.write(f"request {one.node.name} {one.started:.2f} crashing={one.is_crashing} {one.status} "
                           f"events={one.events} touched={self.was_touched(one)}\n")
        problems = []
        late = 0 if self.calls_then is None else known["calls_with_crashing_part"] - self.calls_then
        before = self.begun_share(0, CRASHING_FROM_S - 0.5)
        fifth_or_last = self.fifth_at or CRASHING_FROM_S + 3
        after = self.begun_share(fifth_or_last + 2 * CONTACT_S, until)
        if known["crashes"] == 0:
            problems.append("no engine ended: the test tests nothing")
        if late > ALLOWED_SENDS:
            problems.append(f"{late} sends later than {CONTACT_S} s after the fifth engine had ended")
        if after is not None and after < before / 2:
            problems.append(f"sound requests begin at {after:.2f}, before at {before:.2f}")
        problems += [f"a caller got {one.status}" for one in self.requests if one.status in (400, 401, 404)]
        for _ in range(60):
            if known["held"] == 0:
                break
            await asyncio.sleep(0.1)
            known = await self.platform.control({})
        if known["held"]:
            problems.append(f"engines still hold {known['held']} reservations or results")
        return problems, (f"{self.mode}, {self.crashing_a_second:.0f}/s: {known['crashes']} engines ended, "
                          f"{late} late sends, sound begun {before:.2f} before, "
                          f"{'-' if after is None else f'{after:.2f}'} after")


async def play(build, seed, log):
    one = Play(build, seed, log)
    try:
        return await one.run()
    finally:
        for process in [*one.nodes, one.platform]:
            await process.kill()


async def main():
    parser = argparse.ArgumentParser(description="A part of prompts under which engines end.")
    seeds.add_options(parser, at_once=3)
    options = parser.parse_args()
    return await seeds.play_seeds(options, "crashingparts", lambda seed, log: play(options.build, seed, log))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
