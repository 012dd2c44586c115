"""What plays with stopped runs share: the processes, two engines whose streams have no length, and their callers."""

import asyncio
import itertools
import time

from fleet import Node, Platform
import organisations as organisation
from relayend import exchange
from stoppingengine import StoppingEngine

EVENTS = 60
STREAMS = [("stream", 1), ("stream", 0), ("stream", 1), ("stream", 0), ("resumable", 1), ("resumable", 0)]
PATIENCE_S = 14.0
SERVED_S = 20.0
LOOK_EVERY_S = 0.05
FIRST_DECODE = 3  # Of the stand-in's servers: two plain ones and a prefill engine come first.


class Answer:
    """What one caller got of a stream."""

    def __init__(self, path, minor, number):
        self.path = path
        self.minor = minor  # Of its HTTP version.
        self.patience_s = PATIENCE_S
        self.padding = ""  # Of each event.
        self.id = f"{path}-{minor}-{number}"
        self.status = None
        self.looks_whole = False
        self.body = b""

    def events(self):
        return [int(line[4:]) for line in self.body.split(b"\n") if line.startswith(b"id: ")]

    def is_in_order(self):
        return self.events() == list(range(1, len(self.events()) + 1))

    def is_part_of_whole(self):
        """Whether each byte is that of the whole stream."""
        whole = "".join(f"id: {i}\ndata: token{i}{self.padding}\n\n" for i in range(1, EVENTS + 1))
        return whole.encode().startswith(self.body)

    def is_whole(self):
        return self.looks_whole and self.status == 200 and len(self.events()) == EVENTS


async def ask(node, answer, key):
    lines = [f"POST /{answer.path}/{answer.id} HTTP/1.{answer.minor}", "Host: site.example",
             f"Indigoway-Request-Id: {answer.id}", f"Indigoway-Request-Deadline: {int(answer.patience_s * 1000)}",
             f"X-Api-Key: {key}", "Content-Length: 4", "Indigoway-Token-Count: 1000,200", "Indigoway-Model-Id: m",
             "", "body"]
    answer.looks_whole = await exchange(node, lines, answer, PATIENCE_S)
    return answer


class Play:
    """Subclasses may change what is there, and say what happens to the streams."""

    node_names = ("n1",)
    have_own_ways = False  # Proxies of each node to the servers.
    keeps_backups = False  # If so, both engines are there from the beginning.
    engine_class = StoppingEngine
    streams = STREAMS

    def __init__(self, options, plan, log):
        self.options = options
        self.plan = plan
        self.log = log
        self.begun = time.monotonic()
        self.platform = Platform(options.build, log)
        self.nodes = [Node(name, options.nodes or options.build, log) for name in self.node_names]
        self.numbers = itertools.count(1)  # Of probes.
        self.stood_still_s = 0.0  # Longest time in which this process, the engines', did nothing.
        self._watch = None
        handles = {}
        self.engines = [self.engine_class(name, handles, EVENTS) for name in ("d-1", "d-2")]

    async def _watch_itself(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK_EVERY_S)
            self.stood_still_s = max(self.stood_still_s, time.monotonic() - before - LOOK_EVERY_S)

    async def start(self):
        self._watch = asyncio.create_task(self._watch_itself())
        self.platform.workers[FIRST_DECODE:] = self.engines
        await self.platform.start(self.nodes if self.have_own_ways else ())
        organisations = organisation.Organisations(lambda: time.monotonic() - self.begun)
        for node in self.nodes:
            if not self.have_own_ways:
                node.store.target = self.platform.address
            await node.store.listen()
            await node.start()
        await self.platform.control({"engine": {"backups": self.keeps_backups, "moves": True}})
        await self.platform.declare(organisations.declared())
        if not self.keeps_backups:
            await self.platform.control({"drain": "d-2"})
        self.key = organisations.good_keys()[-1]
        for node in self.nodes:
            await self.wait_until_served(node)

    async def wait_until_served(self, node):
        limit = time.monotonic() + SERVED_S
        while time.monotonic() < limit:
            number = next(self.numbers)
            self.engines[0].events = self.engines[1].events = 1
            probe = await ask(node, Answer("stream", 1, f"probe-{number}"), self.key)
            is_current = self.knows_declared(node) and (self.keeps_backups or self.is_known_leaving(node, "d-2"))
            if probe.status == 200 and probe.looks_whole and is_current:
                for engine in self.engines:
                    engine.events = EVENTS
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node.name} never served")

    def knows_declared(self, node):
        """Without it, the node does not yet know that engines keep backups or move runs."""
        return any('"kind":"routing"' in line and f'"version":"{self.platform.version}"' in line for line in node.lines)

    def is_known_leaving(self, node, engine):
        known = [line for line in node.lines if '"kind":"server"' in line and f'"{engine}@' in line]
        return bool(known) and '"draining":"yes"' in known[-1]

    async def end(self):
        if self._watch:
            self._watch.cancel()
        for engine in self.engines:
            engine.close()
        for process in [*self.nodes, self.platform]:
            await process.kill()
