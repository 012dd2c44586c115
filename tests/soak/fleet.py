"""The real programs as separate processes: a stand-in of the platform and some nodes."""

import asyncio
import json
import os
import signal
import socket
import urllib.request

from faultproxy import FaultProxy
from organisations import FLAGS

WORKERS = 5  # Of the stand-in: two plain ones, one prefill and two decode engines.
START_LIMIT_S = 20
LEAVE_LIMIT_S = 9.5  # A node ends within 8 s of SIGTERM.


class RefusingAddress:
    """Refuses connections; no other process can listen at it meanwhile."""

    def __init__(self):
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))  # It never listens.
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"


class Process:
    """One process; its lines are kept, its exit is expected or a finding."""

    def __init__(self, name, words, log):
        self.name = name
        self.words = words
        self.log = log
        self.lines = []
        self.process = None
        self.is_stopped = False
        self._reader = None

    async def start(self):
        self.lines = []
        self.is_stopped = False
        await self._spawn()
        self._reader = asyncio.create_task(self._read(self.process.stdout))

    async def _spawn(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )

    async def _read(self, stream):
        while line := await stream.readline():
            text = line.decode(errors="replace").rstrip()
            self.lines.append(text)
            self.log.write(f"{self.name} {text}\n")

    def signal(self, number):
        """By the id of a process that this soak started."""
        if self.process.returncode is None:
            os.kill(self.process.pid, number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_stopped = number == signal.SIGSTOP

    async def kill(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Node(Process):
    """An entry VM's process, with proxies on its way to the store and on its callers' way to it."""

    listens = ("callers", "readiness", "directory", "control", "metrics", "scheduling", "relay")

    def __init__(self, name, build, log):
        super().__init__(name, [], log)
        self.build = build
        self.domain = "hall-a"
        self.store = FaultProxy()
        self.callers = FaultProxy()
        # Callers of a node that has ended: its port may belong to another test's process, which would answer.
        self.ended = RefusingAddress()
        self.servers = []  # Proxies on this node's way to each backend server, if it has its own.
        self.lives = 0
        # A killed process closes its connections in good order, which ends answers to callers with HTTP/1.0; with this,
        # its end is that of a machine.
        self.resets_callers = False
        self.is_expected_to_end = False
        self.flags = FLAGS
        self.kept = {}  # Addresses that the next process has, too, by what they are for.

    def keep_addresses(self, *purposes):
        """From now on, each process has the same addresses for these purposes as the present one."""
        started = next(json.loads(line) for line in self.lines if '"kind":"start"' in line)
        self.kept = {one: started[one] for one in purposes}

    async def start(self):
        self.words = [
            f"{self.build}/indigoway-edge",
            f"--node={self.name}",
            f"--domain={self.domain}",
            *(f"--{one}={self.kept.get(one, '127.0.0.1:0')}" for one in self.listens),
            f"--store={self.store.address}",
            *self.flags,
        ]
        self.is_expected_to_end = False
        self.lives += 1
        await super().start()
        started = await self.wait_for_line('"kind":"start"')
        self.callers.target = json.loads(started)["callers"]

    async def kill(self):
        self.callers.target = self.ended.address
        if self.resets_callers:
            self.callers.reset_all()
        await super().kill()

    async def wait_for_line(self, *words):
        for _ in range(START_LIMIT_S * 50):
            for line in self.lines:
                if all(word in line for word in words):
                    return line
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} did not write {' '.join(words)}")

    async def reach_servers_by_proxies(self, make_proxy=FaultProxy):
        """Before the platform starts: this node, in a domain of its own, has proxies to the servers."""
        self.domain = f"hall-{self.name}"
        self.servers = [make_proxy() for _ in range(WORKERS)]
        return [await proxy.listen() for proxy in self.servers]

    def cut_from_servers(self, how):
        """"hang": nothing comes through; "reset": all is reset; "live-on": only what is new is refused;
        "open-hang", "open-reset": connections open, and then nothing comes through or they are reset."""
        if how.startswith("open-"):
            for proxy in self.servers:
                proxy.on_open = how.removeprefix("open-")
                if how == "open-hang":
                    proxy.holds_up = {"to_server", "to_client"}
                else:
                    proxy.reset_all()
            return
        for proxy in self.servers:
            proxy.hang() if how == "hang" else proxy.refuse()
            if how == "hang":
                proxy.holds_up = {"to_server", "to_client"}
            elif how == "reset":
                proxy.reset_all()

    async def heal_servers(self):
        for proxy in self.servers:
            proxy.on_open = None
            proxy.holds_up = set()
            await proxy.accept_again()

    async def leave(self):
        """SIGTERM; the exit status, or None if the process was still there at its limit."""
        self.is_expected_to_end = True
        self.signal(signal.SIGTERM)
        try:
            status = await asyncio.wait_for(self.process.wait(), LEAVE_LIMIT_S)
        except asyncio.TimeoutError:
            return None
        self.callers.target = self.ended.address
        return status


class Platform(Process):
    """The stand-in of the platform's store and backend servers, each behind a proxy."""

    def __init__(self, build, log, decode_engines=2, make_proxy=FaultProxy, prefill_engines=1):
        """@p make_proxy: makes the proxies on the nodes' own ways to the servers."""
        super().__init__("platform", [], log)
        self.build = build
        self.decode_engines = decode_engines
        self.make_proxy = make_proxy
        self.prefill_engines = prefill_engines
        self.workers = [FaultProxy() for _ in range(WORKERS)]
        self.address = None
        self.version = 1

    async def start(self, nodes=()):
        """Of @p nodes, each gets proxies of its own to the servers."""
        announced = [await proxy.listen() for proxy in self.workers]
        views = [",".join(await node.reach_servers_by_proxies(self.make_proxy)) for node in nodes]
        self.words = [
            f"{self.build}/indigoway-sharedplatform",
            f"--announce={','.join(announced)}",
            f"--views={';'.join(views)}",
            f"--decode_engines={self.decode_engines}",
            f"--prefill_engines={self.prefill_engines}",
        ]
        await super().start()
        while len(self.lines) < 1 + len(self.workers) + len(nodes):
            await asyncio.sleep(0.02)
        for line in self.lines:
            name, _, address = line.rpartition(" ")
            if name.startswith("worker"):
                self.workers[int(name.removeprefix("worker"))].target = address
            elif name:
                nodes[int(name.removeprefix("view"))].store.target = address
            else:
                self.address = address
        for node in nodes:
            for proxy, worker in zip(node.servers, self.workers):
                proxy.target = worker.address

    async def declare(self, organisations):
        """A new version of the desired state with these organisations; confirmed when this returns."""
        self.version += 1
        await self.control({"version": self.version, "prefix": "/extra/", "organisations": organisations})

    async def control(self, change):
        """Sends a change to the stand-in; what it knows of runs and of what is held."""
        request = urllib.request.Request(
            f"http://{self.address}/control", data=json.dumps(change).encode()
        )
        answer = await asyncio.to_thread(urllib.request.urlopen, request, timeout=5)
        return json.load(answer)
