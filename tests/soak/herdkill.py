#!/usr/bin/env python3
"""Streams that are taken up again after all nodes, or most of them, were killed at the same moment.

    tests/soak/herdkill.py --build build

Checked, as the users count it: of the streams that are taken up again the share that goes on is at least half of
the share of new streams that begin; no stream gets events of two software versions. Only what outlives the nodes
can tell the versions: the store, the servers and the callers.
"""

import asyncio
import sys
import time

from resumption import Play, main
STREAMS = 16
EVENTS = 90
DOWN_S = 0.5  # From the kill to the start of the next processes.
RECORDED_S = 0.6  # Longer than records wait for their write.
STORE_BACK_S = 1.5  # From the start of the next processes to the return of the store.
TAKEN_UP_S = 5.0
SLOW_STORE_S = 0.05  # Each way, for each of the small pages of the stand-in.


class HerdPlay(Play):
    async def wait_until_served(self, node, path="stream"):
        """With streams that are short."""
        await super().wait_until_served(node, path)

    async def begin_at_all(self, name):
        """Streams that have begun at all nodes."""
        parts = [await self.begin(f"{name}-{node.name}", node, STREAMS // len(self.nodes) + 1)
                 for node in self.nodes]
        return [one for streams, _ in parts for one in streams], [one for _, tasks in parts for one in tasks]

    async def kill(self, nodes):
        await asyncio.gather(*(node.kill() for node in nodes))
        await asyncio.sleep(DOWN_S)

    async def start_all(self):
        await asyncio.gather(*(node.start() for node in self.nodes))
        for node in self.nodes:
            await self.wait_until_served(node)

    async def take_up(self, name, streams, tasks, nodes=None):
        nodes = nodes or self.nodes
        await asyncio.gather(*tasks)
        cut = [one for one in streams if not one.is_whole]
        had = [len(one.events) for one in cut]
        fresh = [self.stream(f"{name}-new-{i}") for i in range(STREAMS)]
        attempts = [asyncio.create_task(one.attempt(nodes[i % len(nodes)])) for i, one in enumerate([*cut, *fresh])]
        limit = time.monotonic() + TAKEN_UP_S
        await asyncio.sleep(0.02)  # Each task has added its attempt.
        while time.monotonic() < limit and not all(
                task.done() or one.attempts[-1].events for one, task in zip([*cut, *fresh], attempts)):
            await asyncio.sleep(0.02)
        for task in attempts:
            task.cancel()  # Their callers leave: the rest of the streams says nothing more.
        await asyncio.gather(*attempts, return_exceptions=True)
        went_on = sum(len(one.events) > before for one, before in zip(cut, had))
        begun = sum(bool(one.events) for one in fresh)
        print(f"{name}: {went_on} of {len(cut)} streams went on, {begun} of {STREAMS} new ones began", flush=True)
        self.check(len(cut) >= 12, f"{name}: only {len(cut)} streams were cut: the test tests nothing")
        self.check(cut and went_on / len(cut) >= begun / STREAMS / 2 and begun > 0,
                   f"{name}: {went_on} of {len(cut)} went on, {begun} of {STREAMS} began")

    async def all_are_killed(self, name):
        streams, tasks = await self.begin_at_all(name)
        await asyncio.sleep(RECORDED_S)
        await self.kill(self.nodes)
        await self.start_all()
        await self.take_up(name, streams, tasks)

    async def killed_twice(self, name):
        """The second time while the streams go on that were taken up after the first one."""
        streams, tasks = await self.begin_at_all(name)
        await asyncio.sleep(RECORDED_S)
        for _ in range(2):
            await self.kill(self.nodes)
            await self.start_all()
            await asyncio.gather(*tasks)
            tasks = [asyncio.create_task(one.attempt(self.nodes[i % len(self.nodes)]))
                     for i, one in enumerate(streams) if not one.is_whole]
            await asyncio.sleep(RECORDED_S)
        await self.kill(self.nodes)
        await self.start_all()
        await self.take_up(name, streams, tasks)

    async def one_is_left(self, name):
        streams, tasks = await self.begin_at_all(name)
        await self.kill(self.nodes[1:])
        # What the last node has begun itself is not cut.
        others = [(one, task) for one, task in zip(streams, tasks) if f"-{self.nodes[0].name}-" not in one.name]
        more, more_tasks = await self.begin(f"{name}-more", self.nodes[0], 2)
        await self.nodes[0].kill()
        await self.start_all()
        await self.take_up(name, [*(one for one, _ in others), *more, *streams[:6]],
                           [*(task for _, task in others), *more_tasks, *tasks[:6]])

    async def killed_during_a_release(self, name):
        release = asyncio.create_task(self.release("v3"))
        await asyncio.sleep(0.9)
        streams, tasks = await self.begin_at_all(name)
        await asyncio.sleep(RECORDED_S)
        await self.kill(self.nodes)
        await self.start_all()
        await self.take_up(name, streams, tasks)
        await release

    async def release(self, version):
        """Half of the engines, so that each version keeps two, as the users' rule asks."""
        for worker in ("d-1", "d-2"):
            await self.platform.control({"upgrade": {"worker": worker, "version": version}})
            await asyncio.sleep(0.4)

    async def store_is_down_at_the_kill(self, name):
        streams, tasks = await self.begin_at_all(name)
        await asyncio.sleep(RECORDED_S)
        for node in self.nodes:
            node.store.refuse()
            node.store.reset_all()
        await self.kill(self.nodes)
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.sleep(STORE_BACK_S)
        for node in self.nodes:
            await node.store.accept_again()
        for node in self.nodes:
            await self.wait_until_served(node)
        await self.take_up(name, streams, tasks)

    async def store_is_slow(self, name):
        streams, tasks = await self.begin_at_all(name)
        for node in self.nodes:
            node.store.delay_s = SLOW_STORE_S
        await asyncio.sleep(RECORDED_S + 4 * SLOW_STORE_S)
        await self.kill(self.nodes)
        await self.start_all()
        await self.take_up(name, streams, tasks)
        for node in self.nodes:
            node.store.delay_s = 0.0

    async def run(self):
        await self.start()
        await self.platform.control({"resumable_events": EVENTS})
        await self.all_are_killed("one-version")
        await self.killed_twice("one-version-twice")
        await self.one_is_left("one-version-one-left")
        await self.store_is_down_at_the_kill("one-version-store-down")
        await self.upgrade("d-3", "v2")
        await self.upgrade("d-4", "v2")
        await self.all_are_killed("two-versions")
        await self.killed_twice("two-versions-twice")
        await self.one_is_left("two-versions-one-left")
        await self.store_is_down_at_the_kill("two-versions-store-down")
        await self.store_is_slow("two-versions-store-slow")
        await self.killed_during_a_release("release")
        versions = (await self.platform.control({}))["versions"]
        for one in self.streams:
            seen = versions.get(one.begun_id, [])
            self.check(len(seen) < 2, f"{one.name} has events of {' and '.join(seen)}")
            self.check(one.is_in_order(), f"{one.name} has the events {one.events}")
        begun = {version for seen in versions.values() for version in seen}
        self.check(begun >= {"v1", "v2"}, f"streams began at {begun} only: the test tests nothing")


if __name__ == "__main__":
    sys.exit(asyncio.run(main(HerdPlay, "herdkill", "Streams taken up again after all nodes were killed.")))
