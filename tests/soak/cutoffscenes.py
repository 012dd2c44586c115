"""Scenes of stoppedscenes.py in which a node or its runs must take another way: through a neighbour, or to a backup."""

import asyncio
import time

from scenesofstops import Scene
from stoppedplay import EVENTS, SERVED_S, STREAMS
from stoppingengine import BETWEEN_EVENTS_S


class CutOff(Scene):
    """The node is cut off from the servers and reaches them through its neighbour."""

    kind = "cut"
    node_names = ("n1", "n2")
    have_own_ways = True

    def serving(self):
        return self.nodes[:1]

    def is_cut_before(self):
        return self.fault.endswith("-first")

    async def before_streams(self):
        if self.is_cut_before():
            self.nodes[0].cut_from_servers(self.fault.removesuffix("-first"))
            await self.wait_until_served(self.nodes[0])

    async def disturb(self):
        if self.is_cut_before():
            await super().disturb()  # The streams and the stops go through the neighbour from the beginning.
            return
        how, _, self.heals = self.fault.partition("-heals-")
        self.is_healed = not self.heals
        self.engines[0].at_stop = self.at_stop
        await self.platform.control({"undrain": "d-2"})  # Runs that lose their stream have a target at once.
        limit = time.monotonic() + EVENTS * BETWEEN_EVENTS_S / 2
        while self.is_known_leaving(self.nodes[0], "d-2") and time.monotonic() < limit:
            await asyncio.sleep(BETWEEN_EVENTS_S / 5)
        self.nodes[0].cut_from_servers(how)
        if how == "hang":  # A silent stream alone stops no run.
            await self.platform.control({"drain": "d-1"})

    async def at_stop(self, moment):
        """What the old connections held up comes beside an answer that comes through the neighbour."""
        if moment == self.heals and not self.is_healed:
            self.is_healed = True
            await self.nodes[0].heal_servers()

    def tested_nothing(self):
        if not self.engines[0].stops:
            return "no run was asked to stop"
        relayed = any('"kind":"server_path"' in line and "reached through n2" in line for line in self.nodes[0].lines)
        if not self.is_cut_before() and not self.is_healed:
            return "the cut was not healed during a stop"
        return "" if relayed else "the node took no other path"


class Backups(Scene):
    """Backups are on; the engine refuses connections, or says 421 or 404, and closes its streams."""

    kind = "backups"
    keeps_backups = True
    streams = [*STREAMS, *STREAMS]

    async def before_streams(self):
        for engine in self.engines:
            engine.plan = self.plan
        # The scheduler names backups while it cannot learn which engines leave.
        await self.platform.control({"down": True})
        limit = time.monotonic() + SERVED_S
        while not self.runs_with_backup() and time.monotonic() < limit:
            await self.wait_until_served(self.nodes[0])
        self.backed_up_before = self.runs_with_backup()

    def runs_with_backup(self):
        return sum('"kind":"run_backup"' in line for line in self.nodes[0].lines)

    async def disturb(self):
        self.engines.sort(key=lambda engine: -len(engine.runs))  # The scheduler may give all streams to one.
        engine = self.engines[0]
        if self.plan.answer == "refused":
            engine.refuse()
        await self.platform.control({"down": False})
        await self.platform.control({"drain": engine.name})
        limit = time.monotonic() + EVENTS * BETWEEN_EVENTS_S
        while not self.is_known_leaving(self.nodes[0], engine.name) and time.monotonic() < limit:
            await asyncio.sleep(BETWEEN_EVENTS_S / 5)
        if self.fault.startswith("cut"):
            await asyncio.sleep(int(self.fault.removeprefix("cut")) / 1000)
            engine.cut_off()

    def tested_nothing(self):
        engine = self.engines[0]
        if self.runs_with_backup() == self.backed_up_before:
            return "no run had a backup"
        if self.fault.startswith("cut") and not engine.cut:
            return "no stream was closed early"
        if self.plan.answer == "refused":
            refused = any('"kind":"run_stopped"' in line and "connection refused" in line
                          for line in self.nodes[0].lines)
            return "" if refused else "no stop was refused"
        return "" if engine.stops else "no run was asked to stop"
