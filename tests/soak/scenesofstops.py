"""Scenes of stoppedscenes.py: each is a play with another fault beside the stops of its runs."""

import asyncio
import signal
import time

from stoppedplay import STREAMS, Play
from stoppingengine import BETWEEN_EVENTS_S, Plan, StoppingEngine

# From the head of a continued stream until a stop whose answer was lost is carried out: in the stream's middle.
CARRIED_OUT_AFTER_S = 0.5
# Between a moment of a stop and the freeze of its node, or between SIGTERM and what follows at the engine.
SHORTLY_S = 0.001
# Between the head and the first event of a stream: longer than a node needs to stop the run of an engine that leaves.
FIRST_EVENT_AFTER_S = 1.5


def scene_name(kind, plan, fault):
    return "/".join([kind.kind + (f"-{fault}" if fault else ""), str(plan)])


class Scene(Play):
    """@p fault: what happens, of those that the subclass knows."""

    first_wait_s = 0.3
    kind = ""

    def __init__(self, options, log, plan, fault=""):
        super().__init__(options, plan, log)
        self.fault = fault
        self.name = scene_name(type(self), plan, fault)
        self.problems = []

    def serving(self):
        return self.nodes

    async def before_streams(self):
        """When all is served, before the first stream begins."""

    async def disturb(self):
        await self.platform.control({"drain": "d-1", "undrain": "d-2"})

    async def after_streams(self):
        """When each caller has its answer."""

    def tested_nothing(self):
        """Returns what did not happen, if the play tests nothing without it."""
        return "" if self.engines[0].stops else "no run was asked to stop"


class LateEngine(StoppingEngine):
    """Loses its answer to the first stop of each run, and carries it out when the run goes on after a second one."""

    def __init__(self, name, handles, events):
        super().__init__(name, handles, events)
        self.loses = None
        self.lost = set()
        self.carried_out = set()
        self.is_slow = False  # To begin: after the first stops.
        self.empty = 0  # Runs that were stopped late before the first event of their stream.

    async def _stop(self, writer, order):
        run = self.runs.get(order["id"])
        if run is None or self.loses is None or order["id"] in self.lost:
            return await super()._stop(writer, order)
        self.lost.add(order["id"])
        self.stops.append((order["id"], self.loses))
        return await self._answer_stop(writer, Plan(self.loses, "own"), order["id"], run)

    async def before_events(self, run):
        run.began_after = run.events
        until = time.monotonic() + FIRST_EVENT_AFTER_S
        while self.is_slow and run.is_running and time.monotonic() < until:
            await asyncio.sleep(BETWEEN_EVENTS_S / 5)

    async def _generate(self, writer, request_id, headers):
        if request_id in self.lost and "/run-" in headers.get("indigoway-kv-source", ""):
            asyncio.get_running_loop().call_later(CARRIED_OUT_AFTER_S, self._carry_out, request_id)
        await super()._generate(writer, request_id, headers)

    def _carry_out(self, request_id):
        run = self.runs.get(request_id)
        if run is not None and run.is_running:
            run.is_running = False
            run.writer.close()
            self.carried_out.add(request_id)
            self.empty += run.events == run.began_after


class LateStop(Scene):
    """The run goes on at the same engine, which carries out an earlier stop in the middle of that stream."""

    kind = "late-stop"
    engine_class = LateEngine

    async def disturb(self):
        self.engines[0].loses = self.fault
        await super().disturb()

    def tested_nothing(self):
        return "" if self.engines[0].carried_out else "no lost stop was carried out late"


class Freeze(Scene):
    """The node stands still around the moment in which its first runs are stopped."""

    kind = "freeze"

    async def disturb(self):
        self.during = 0
        self.frozen_ms, self.moment = self.fault.split("-")
        self.is_over = False
        self.engines[0].at_stop = self.at_stop
        await super().disturb()

    async def at_stop(self, moment):
        node = self.nodes[0]
        if moment == "after" and node.is_stopped:
            self.during += 1
        if moment != self.moment or self.is_over:
            return
        self.is_over = True
        await asyncio.sleep(SHORTLY_S)
        node.signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(int(self.frozen_ms) / 1000, node.signal, signal.SIGCONT)

    def tested_nothing(self):
        if not self.engines[0].stops:
            return "no run was asked to stop"
        if not self.is_over:
            return "the node was not frozen"
        # An answer that never comes, or whose connection was reset, is not there when the node wakes.
        return "" if self.during or self.moment == "after" or self.plan.answer == "none" else "no stop ended meanwhile"


class Leave(Scene):
    """The node gets SIGTERM while its stops are open."""

    kind = "leave"

    async def disturb(self):
        self.left = None
        self.engines[0].at_stop = self.at_stop
        await super().disturb()

    async def at_stop(self, moment):
        if moment == self.fault and self.left is None:
            self.left = asyncio.create_task(self.nodes[0].leave())
            await asyncio.sleep(SHORTLY_S)

    async def after_streams(self):
        if self.left is not None:
            status = await self.left
            if status != 0:
                self.problems.append(f"the node's exit after SIGTERM: {status}")

    def tested_nothing(self):
        return "" if self.left is not None else "the node got no SIGTERM during a stop"


class EmptyContinuation(LateStop):
    """A lost stop is carried out when the continued stream has a head and no event yet."""

    kind = "empty-continued"

    async def disturb(self):
        self.engines[0].is_slow = True
        await super().disturb()

    def tested_nothing(self):
        return "" if self.engines[0].empty else "no run was stopped before the first event of its continued stream"


class HalfEventEngine(StoppingEngine):
    halves = 0

    def last_words(self, run):
        self.halves += 1
        return f"id: {run.events + 1}\ndata: tok".encode()


class HalfEvent(Scene):
    """An engine stops a run in the middle of an event."""

    kind = "half-event"
    engine_class = HalfEventEngine

    def tested_nothing(self):
        return "" if self.engines[0].halves else "no run was stopped in the middle of an event"


class TwoNodes(Scene):
    """Two nodes stop their runs at the same engine."""

    kind = "two-nodes"
    node_names = ("n1", "n2")
    streams = [one for one in STREAMS for _ in range(2)]

    def tested_nothing(self):
        asked = {i % 2 for i in range(len(self.streams)) for id_, _ in self.engines[0].stops if id_.endswith(f"-{i}")}
        return "" if len(asked) == 2 else "not both nodes asked runs to stop"
