"""Faults in series that overlap: each strikes, lasts and is undone, and is written down."""

import asyncio
import signal

# A new process needs some time to be of use; faults in between would only keep it down.
RESTART_PAUSE_S = 0.3
CUT_AFTERMATH_S = 1.0
# The stand-in starts an engine again after 0.3 s; nodes learn of it later.
UPGRADE_S = 0.8


class Faults:
    """Strikes at random and remembers which nodes were touched, and when."""

    def __init__(self, random, clock, platform, nodes, organisations, log, cuts_nodes=False):
        self.organisations = organisations
        self.random = random
        self.clock = clock
        self.platform = platform
        self.nodes = nodes
        self.log = log
        self.touched = []  # (node or None for all, from, to)
        self.problems = []
        self.unanswered_stops = set()  # Ids of stopped runs whose node got no prompt answer with the handle.
        self._busy = set()  # Nodes whose process is being ended or started.
        self._kinds = [
            self.kill, self.kill, self.leave, self.pause, self.pause, self.herd_kill,
            self.store_link, self.store_link, self.caller_link, self.worker_link, self.worker_link,
            self.outage, self.change, self.revoke, self.revoke,
        ]
        if cuts_nodes:
            self._kinds += [self.node_cut] * 5

    async def run(self, until):
        tasks = []
        while self.clock() < until:
            fault = self.random.choice(self._kinds)
            tasks.append(asyncio.create_task(self._strike(fault)))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*tasks)

    async def advise(self, random, until):
        """Servers limit and refuse requests in their answers for a while, one at a time."""
        while self.clock() < until:
            worker = random.choice(["w-1", "p-1", "d-1"])
            limit = {"Server-Limit": str(random.choice([0, 0.5, 3, 20]))}
            refusal = random.choice(["0.3", "1.5"])
            advice = random.choice([{"headers": limit}, {"headers": {}, "refuses_for": refusal}])
            self.log.write(f"advice {self.clock():.2f} {worker} {advice}\n")
            await self.platform.control({"advice": {"worker": worker, **advice}})
            await asyncio.sleep(random.uniform(0.2, 2.0))
            await self.platform.control({"advice": {"worker": worker, "headers": {}}})
            await asyncio.sleep(random.uniform(0.1, 1.0))

    async def upgrade(self, random, until):
        """Decode engines come back with another software version, one or two at a time."""
        while self.clock() < until:
            await asyncio.sleep(random.uniform(0.8, 2.5))
            for worker in random.sample(["d-1", "d-2", "d-3", "d-4"], random.choice([1, 2])):
                version = random.choice(["v1", "v2", "v3"])
                record = [None, self.clock(), float("inf")]
                self.touched.append(record)
                self.log.write(f"upgrade {self.clock():.2f} {worker} {version}\n")
                await self.platform.control({"upgrade": {"worker": worker, "version": version}})
                record[2] = self.clock() + UPGRADE_S

    async def move(self, random, engines, until):
        """Decode engines leave and come back, one or two at a time, so that runs are moved. That excuses nothing."""
        while self.clock() < until:
            leaving = random.sample(engines, random.choice([1, 1, 2]))
            self.log.write(f"drain {self.clock():.2f} {leaving}\n")
            for engine in leaving:
                await self.platform.control({"drain": engine})
            await asyncio.sleep(random.uniform(0.3, 1.2))
            for engine in leaving:
                await self.platform.control({"undrain": engine})
            await asyncio.sleep(random.uniform(0.1, 0.6))

    async def crash(self, random, engines, until):
        """Decode engines crash under their streams, one at a time, and start again."""
        while self.clock() < until:
            await asyncio.sleep(random.uniform(1.5, 4.0))
            engine = random.choice(engines)
            record = [None, self.clock(), float("inf")]
            self.touched.append(record)
            self.log.write(f"crash {self.clock():.2f} {engine}\n")
            await self.platform.control({"upgrade": {"worker": engine, "version": "v1"}})
            await asyncio.sleep(UPGRADE_S)
            record[2] = self.clock()

    async def _strike(self, fault):
        node = self.random.choice(self.nodes)
        start = self.clock()
        record = [None if fault in (self.worker_link, self.outage, self.herd_kill) else node,
                  start, float("inf")]
        self.touched.append(record)
        self.log.write(f"fault {start:.2f} {fault.__name__} {node.name}\n")
        await fault(node)
        record[2] = self.clock()

    def was_touched(self, node, start, end):
        """Whether a fault could have reached a request at this node in that time."""
        return any(
            one[0] in (None, node) and one[1] <= end and one[2] >= start for one in self.touched
        )

    async def kill(self, node):
        if node in self._busy:
            return
        self._busy.add(node)
        node.is_expected_to_end = True
        await node.kill()
        await asyncio.sleep(self.random.uniform(0.05, 1.5))
        await node.start()
        await asyncio.sleep(RESTART_PAUSE_S)
        self._busy.discard(node)

    async def herd_kill(self, _):
        await asyncio.gather(*(self.kill(node) for node in self.nodes if self.random.random() < 0.7))

    async def leave(self, node):
        if node in self._busy:
            return
        self._busy.add(node)
        status = await node.leave()
        if status != 0 and not node.is_stopped:
            self.problems.append(f"{node.name} left with {status}")
        if status is None:
            await node.kill()
        await node.start()
        await asyncio.sleep(RESTART_PAUSE_S)
        self._busy.discard(node)

    async def pause(self, node):
        if node in self._busy:
            return
        self._busy.add(node)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        node.signal(signal.SIGCONT)
        self._busy.discard(node)

    async def _link(self, proxy):
        kind = self.random.choice(["delay", "reset", "to_server", "to_client", "silence"])
        lasts = self.random.uniform(0.2, 2.5)
        if kind == "reset":
            proxy.reset_all()
            return
        if kind == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        else:
            proxy.holds_up |= {"to_server", "to_client"} if kind == "silence" else {kind}
        await asyncio.sleep(lasts)
        proxy.delay_s = 0.0
        proxy.holds_up.clear()
        if self.random.random() < 0.5:
            proxy.reset_all()

    async def store_link(self, node):
        await self._link(node.store)

    async def caller_link(self, node):
        await self._link(node.callers)

    async def worker_link(self, _):
        await self._link(self.random.choice(self.platform.workers))

    async def node_cut(self, node):
        """This node reaches no backend server; at times another one neither, or all of them."""
        also = [one for one in self.nodes if one is not node and self.random.random() < 0.3]
        how = self.random.choice(["hang", "reset", "live-on"])
        self.log.write(f"cut {self.clock():.2f} {how} {[one.name for one in [node, *also]]}\n")
        records = [[one, self.clock(), float("inf")] for one in also]
        self.touched += records
        for one in [node, *also]:
            one.cut_from_servers(how)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        for one in [node, *also]:
            await one.heal_servers()
        # Connections through other nodes go on for a while.
        await asyncio.sleep(CUT_AFTERMATH_S)
        for record in records:
            record[2] = self.clock()

    async def outage(self, _):
        await self.platform.control({"down": True})
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        await self.platform.control({"down": False})

    async def revoke(self, _):
        await self.organisations.replace_key(self.platform)

    async def change(self, _):
        self.platform.version += self.random.randint(1, 3)
        await self.platform.control({"version": self.platform.version, "prefix": "/extra/"})
