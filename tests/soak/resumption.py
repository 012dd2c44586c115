#!/usr/bin/env python3
"""Streams that are taken up again while servers of two software versions serve side by side.

    tests/soak/resumption.py --build build

Checked: no stream gets events from two versions, each is whole or visibly cut, and those whose node was killed
go on at other nodes; what cannot go on is refused at once as not run.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

from fleet import Node, Platform
import organisations as organisation
from streams import Stream

DECODE_ENGINES = 4
EVENTS = 40
STREAMS = 12
# Streams at an engine of which no node knows that it has started again, and how often they are begun until there are some.
UNSEEN_STREAMS = 3
BATCHES = 5
SERVED_S = 20.0  # From the start of a node.
# A refusal "at once" needs no more than some messages between nodes.
AT_ONCE_S = 0.5


class Play:
    def __init__(self, build, log):
        self.log = log
        self.begun = time.monotonic()
        self.platform = Platform(build, log, decode_engines=DECODE_ENGINES)
        self.nodes = [Node(f"n{i}", build, log) for i in range(1, 4)]
        self.problems = []
        self.streams = []
        self.key = None

    def clock(self):
        return time.monotonic() - self.begun

    def check(self, holds, problem):
        if not holds:
            self.problems.append(problem)

    def stream(self, name, path="resumable"):
        self.streams.append(Stream(name, self.clock, self.key, path))
        return self.streams[-1]

    async def start(self):
        await self.platform.start()
        organisations = organisation.Organisations(self.clock)
        self.key = organisations.good_keys()[0]
        for node in self.nodes:
            node.domain = f"hall-{node.name}"
            node.store.target = self.platform.address
            await node.store.listen()
            await node.start()
        await self.platform.declare(organisations.declared())
        for node in self.nodes:
            await self.wait_until_served(node)
        await self.platform.control({"resumable_events": EVENTS})

    async def wait_until_served(self, node, path="resumable"):
        limit = time.monotonic() + SERVED_S
        while time.monotonic() < limit:
            probe = Stream(f"probe-{node.name}-{time.monotonic():.2f}", self.clock, self.key, path)
            if (await probe.attempt(node)).is_whole:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} never served")

    async def upgrade(self, worker, version):
        await self.platform.control({"upgrade": {"worker": worker, "version": version}})
        await asyncio.sleep(0.5)  # The stand-in starts it again after 0.3 s.
        for node in self.nodes:
            if node.process.returncode is None:
                await node.wait_for_line(f'"{worker}@', f'"version":"{version}"')

    async def begin(self, name, node, count=STREAMS, path="resumable"):
        """Streams that have some events from @p node."""
        streams = [self.stream(f"{name}-{i}", path) for i in range(count)]
        tasks = [asyncio.create_task(one.attempt(node)) for one in streams]
        limit = self.clock() + 5
        while self.clock() < limit and not all(len(one.events) >= 3 or task.done()
                                               for one, task in zip(streams, tasks)):
            await asyncio.sleep(0.02)
        for one in streams:
            self.check(len(one.events) >= 3, f"{one.name} did not begin: {one.attempts[0].status}")
        return streams, tasks

    async def resume(self, streams, tasks, nodes):
        """Each caller takes its stream up again as soon as its connection breaks."""
        async def go_on(index, stream, task):
            await task
            if not stream.is_whole:
                await stream.attempt(nodes[index % len(nodes)])
        await asyncio.gather(*(go_on(i, *pair) for i, pair in enumerate(zip(streams, tasks))))
        for one in streams:
            self.log.write(f"stream {one.name} {[(a.node.name, a.status, a.events) for a in one.attempts]}\n")
        return sum(one.is_whole for one in streams)

    async def node_is_killed(self):
        streams, tasks = await self.begin("killed", self.nodes[0])
        await self.nodes[0].kill()
        whole = await self.resume(streams, tasks, self.nodes[1:])
        print(f"one node killed: {whole} of {len(streams)} streams went on", flush=True)
        self.check(whole == len(streams), f"after the death of one node only {whole} of {len(streams)} went on")
        await self.nodes[0].start()
        await self.wait_until_served(self.nodes[0])

    async def two_nodes_are_killed(self):
        streams, tasks = await self.begin("two-killed", self.nodes[1])
        await asyncio.gather(self.nodes[1].kill(), self.nodes[2].kill())
        whole = await self.resume(streams, tasks, self.nodes[:1])
        print(f"two of three nodes killed: {whole} of {len(streams)} streams went on", flush=True)
        self.check(whole == len(streams), f"after the death of two nodes only {whole} of {len(streams)} went on")
        for node in self.nodes[1:]:
            await node.start()
            await self.wait_until_served(node)

    async def engine_is_killed(self):
        """The node resumes the stream itself, in the same answer."""
        streams, tasks = await self.begin("engine", self.nodes[0], 6)
        await self.platform.control({"upgrade": {"worker": "d-1", "version": "v1"}})
        whole = await self.resume(streams, tasks, self.nodes[1:])
        print(f"an engine killed: {whole} of {len(streams)} streams went on", flush=True)
        self.check(whole == len(streams), f"after the death of an engine only {whole} of {len(streams)} went on")

    async def begin_at_version(self, name, version):
        streams, tasks, there = [], [], 0
        for batch in range(BATCHES):
            more, more_tasks = await self.begin(f"{name}-{batch}", self.nodes[0])
            streams += more
            tasks += more_tasks
            versions = (await self.platform.control({}))["versions"]
            there = sum(version in versions.get(one.begun_id, []) for one in streams)
            if there >= UNSEEN_STREAMS:
                break
        self.check(there >= UNSEEN_STREAMS, f"{name}: {there} streams began at {version}: the test tests nothing")
        return streams, tasks, there

    async def server_changes_unseen(self, name, version):
        """
        An engine starts again with other software while no node hears of it. Streams begin there, and it crashes.
        Nobody knows which version began them: they must not go on at the version that its old entry names.
        """
        for node in self.nodes:
            node.store.refuse()
            node.store.reset_all()
        await self.platform.control({"upgrade": {"worker": "d-2", "version": version}})
        await asyncio.sleep(0.6)  # The stand-in starts it again after 0.3 s.
        streams, tasks, there = await self.begin_at_version(name, version)
        await self.platform.control({"upgrade": {"worker": "d-2", "version": "v1"}})
        await asyncio.sleep(0.6)
        for node in self.nodes:
            await node.store.accept_again()
        whole = await self.resume(streams, tasks, self.nodes[1:])
        print(f"{name}: {there} of {len(streams)} streams began at {version}, {whole} are whole", flush=True)
        for node in self.nodes:
            await self.wait_until_served(node)
        await asyncio.sleep(1.0)  # All nodes know the engine's present life.

    async def refused(self, name, headers):
        attempt = await self.stream(name).attempt(self.nodes[1], headers)
        self.check(attempt.status == 503 and not attempt.events, f"{name}: {attempt.status} {attempt.events}")
        self.check(attempt.took_s is not None and attempt.took_s < AT_ONCE_S, f"{name}: answered after {attempt.took_s} s")

    async def bad_input(self):
        last = "Last-Event-Id: 3"
        await self.refused("unknown", [last, "Resumes: nobody"])
        await self.refused("endless", [last, "Resumes: " + "a" * 3000])
        await self.refused("doubled", [last, "Resumes: killed-0-1", "Resumes: killed-1-1"])
        await self.refused("empty", [last, "Resumes:"])

    async def version_has_gone(self):
        streams, tasks = await self.begin("gone", self.nodes[0], 4)
        for worker in ("d-1", "d-2", "d-3", "d-4"):
            await self.platform.control({"upgrade": {"worker": worker, "version": "v3"}})
        await asyncio.sleep(0.6)
        await asyncio.gather(*tasks)
        await self.resume(streams, tasks, self.nodes[1:])
        for one in streams:
            last = one.attempts[-1]
            self.check(last.status == 503, f"{one.name} got {last.status} when no server of its version was left")

    async def run(self):
        await self.start()
        await self.server_changes_unseen("unseen-one-version", "v4")
        await self.upgrade("d-3", "v2")
        await self.upgrade("d-4", "v2")
        await self.server_changes_unseen("unseen-two-versions", "v5")
        await self.node_is_killed()
        await self.two_nodes_are_killed()
        await self.engine_is_killed()
        await self.bad_input()
        await self.version_has_gone()
        versions = (await self.platform.control({}))["versions"]
        begun = {}
        for one in self.streams:
            seen = versions.get(one.begun_id, [])
            for version in seen:
                begun[version] = begun.get(version, 0) + 1
            self.check(len(seen) < 2, f"{one.name} has events of {' and '.join(seen)}")
            self.check(one.is_in_order(), f"{one.name} has the events {one.events}")
        print(f"streams with events of each version: {begun}", flush=True)
        self.check(begun.get("v1") and begun.get("v2"), "only one version began streams: the test tests nothing")


async def main(play_class, name, description):
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the log")
    options = parser.parse_args()
    path = pathlib.Path(options.logs) / f"{name}.log"
    with open(path, "w", encoding="utf-8") as log:
        play = play_class(options.build, log)
        try:
            await play.run()
        finally:
            for process in [*play.nodes, play.platform]:
                await process.kill()
    for problem in play.problems:
        print(f"    {problem}")
    print(f"log: {path}")
    return 1 if play.problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(Play, "resumption", "Streams taken up again while two versions serve.")))
