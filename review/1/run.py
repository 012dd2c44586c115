"""A node ends, through which another one reaches a worker, while answers without a length pass it.

run.py term: by SIGTERM, as in a planned restart; run.py kill: by SIGKILL.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import TROUBLE, CannotRun, Node, Path, Store, fetch, read_request, run_case

HOST = "site.example"
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56}
IS_PLANNED = sys.argv[1:] == ["term"]
PLAIN_REQUESTS = 0 if IS_PLANNED else 30
STREAMS = 24
STREAM_EVENTS = 30
EVENT_PAUSE_S = 0.06
# "A sound worker may fall silent for a second or so and go on": once, in the middle of its streams.
SILENT_BEFORE_EVENT = 20 if IS_PLANNED else 0
SILENCE_S = 1.2
WORK_S = 0.03
SECOND_HALF_AFTER_S = 0.6
END_AFTER_S = 0.3 if IS_PLANNED else 0.45
PLAIN_BUDGET_MS = 1000
STREAM_BUDGET_MS = 14000


class Worker:
    """A worker that answers a request without a length and ends the answer with its channel."""

    def __init__(self, name, service, phase, record):
        self.name = name
        self.service = service
        self.phase = phase
        self.record = record
        self.bodies = {}  # Request id: the whole body that this worker gives.
        self.handles = 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def entry(self):
        entry = {"service": self.service, "address": self.address, "zone": "hall-a", "version": "v1",
                 "capacity": 64 if self.phase else 6, "state": "ready", "warmup_ms": 0, "sequence": 1}
        if self.phase:
            entry |= {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return entry

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def whole(self, writer, status, body, headers=""):
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        return True

    async def answer(self, request, writer):
        """Returns whether the channel stays open."""
        method, target, headers, _ = request
        identity = headers.get("indigoway-request-id", "")
        echo = f"Indigoway-Request-Id: {identity}\r\n"
        if headers.get("indigoway-expect-instance") not in (None, self.name):
            return self.whole(writer, 421, "{}", "Indigoway-Not-Executed: 1\r\n")
        if target == "/report":
            return self.whole(writer, 200, '{"phase":"%s","busy":false,"sequence":0}' % self.phase)
        if target == "/hold-take":
            self.handles += 1
            return self.whole(writer, 200, '{"hold":"%s-%d"}' % (self.name, self.handles))
        if target.startswith(("/hold-drop/", "/kv-handle/")):
            return self.whole(writer, 200, "{}")
        if headers.get("indigoway-serving-phase") == "prefill":
            self.handles += 1
            return self.whole(writer, 200,
                              '{"kv_handle":"%s-%d","tokens":1460,"version":1}' % (self.name, self.handles), echo)
        self.record(f"{self.name} runs {identity}")
        kind = "text/event-stream" if self.phase else "application/octet-stream"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Indigoway-Server-Stamp: stamp-{self.name}\r\n"
                     f"Content-Type: {kind}\r\nConnection: close\r\n\r\n".encode())
        if self.phase:
            pieces = [f"id: {i}\ndata: {identity} piece {i}\n\n".encode() for i in range(1, STREAM_EVENTS + 1)]
            pause = EVENT_PAUSE_S
        else:
            half = (identity.encode() + b".") * (400 // (len(identity) + 1))
            pieces = [half, half]
            pause = SECOND_HALF_AFTER_S
            await asyncio.sleep(WORK_S)
        self.bodies[identity] = b"".join(pieces)
        for i, piece in enumerate(pieces):
            if i > 0:
                await asyncio.sleep(SILENCE_S if i == SILENT_BEFORE_EVENT else pause)
            writer.write(piece)
            await writer.drain()
        return False


def config():
    route = {"host": HOST, "priority": 1, "max_attempts": 1}
    return {
        "version": 1,
        "routes": [
            {**route, "name": "list-view", "prefix": "/list/", "kind": "non_idempotent", "timeout_ms": 1000,
             "slo_ms": 150, "service": "web"},
            {**route, "name": "chapter-summary", "prefix": "/summary/", "kind": "streaming", "timeout_ms": 14000,
             "slo_ms": 900, "service": "llm", "affinity": True, "resumable": False, "gap_target_ms": 300},
        ],
        "services": [
            {"name": "web", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False},
            {"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False,
             "engine": {"capacity": 64, "kv_capacity": 65205, "kv_token_bytes": 18432, "link_mbps": 370000.0,
                        "moves": False, "backups": False, "stride": 7, "most": 12, "kv_hold_s": 0.5,
                        "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def main(record, files, nodes):
    workers = [Worker(f"web-{i}", "web", "", record) for i in range(1, 4)]
    workers += [Worker(f"prefill-{i}", "llm", "prefill", record) for i in range(1, 4)]
    workers += [Worker(f"decode-{i}", "llm", "decode", record) for i in range(1, 7)]
    store = Store()
    paths = {}
    for worker in workers:
        await worker.open()
        paths[worker.name] = Path(worker.address)
        store.put(f"servers/{worker.name}", worker.entry())
    store.put("op/config", config())
    views = {name: await path.open() for name, path in paths.items()}

    # The first node has paths of its own to the workers. It is alone in its zone.
    names = [("edge-c-1", "hall-c")]
    names += [(f"edge-{zone}-{i}", f"hall-{zone}") for zone, count in (("a", 4), ("b", 3)) for i in range(1, count + 1)]
    nodes += [Node(name, zone, BOUNDS, files) for name, zone in names]
    seeds = [node.listen["control"] for node in nodes[:3]]
    for i, node in enumerate(nodes):
        await node.start(await store.open(views if i == 0 else {}), seeds)
    for node in nodes:
        await node.wait_until_ready()
    near = nodes[0]
    for _ in range(100):
        listed = await fetch(near.listen["directory"], "GET", f"/resolve?name={HOST}", [("Host", HOST)], limit=1)
        if listed.body.count(b":") >= len(nodes) + 1 and all(node.listen["front"].encode() in listed.body for node in nodes):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun(f"the nodes do not know each other: {listed.body!r}")
    await asyncio.sleep(1.0)

    if TROUBLE:
        for path in paths.values():
            path.cut()
        record(f"{near.name} is partitioned from all workers; the other machines reach them")
    answers = {}

    async def ask(identity, prefix, budget_ms, extra):
        headers = [("Host", HOST), ("Indigoway-Request-Id", identity), ("Indigoway-Request-Deadline", str(budget_ms)), *extra]
        record(f"client sends {identity} to {near.name}")
        answers[identity] = one = await fetch(near.listen["front"], "POST", f"{prefix}{identity}", headers, b"x" * 600,
                                              limit=budget_ms / 1000 + 1)
        record(f"client gets {identity}: status={one.status} complete={one.complete} bytes={len(one.body)} "
               f"stamp={one.headers.get('indigoway-server-stamp', '-')} {one.error}")

    tasks = []
    for i in range(PLAIN_REQUESTS):
        tasks.append(asyncio.create_task(ask(f"plain{i:02}", "/list/", PLAIN_BUDGET_MS, [])))
    for i in range(STREAMS):
        tokens = [("Indigoway-Model-Id", "m"), ("Indigoway-Token-Count", "1460,140"),
                  ("Indigoway-Prompt-Prefix", f"5c1e07a2:200,{0xabc000 + i:x}:1260")]
        tasks.append(asyncio.create_task(ask(f"stream{i:02}", "/summary/", STREAM_BUDGET_MS, tokens)))
    await asyncio.sleep(END_AFTER_S)
    if TROUBLE:
        record(f"{'SIGTERM' if IS_PLANNED else 'SIGKILL'} for {nodes[1].name}")
        nodes[1].signal(signal.SIGTERM if IS_PLANNED else signal.SIGKILL)
    await asyncio.gather(*tasks)

    truncated = 0
    for identity, one in sorted(answers.items()):
        if one.status != 200 or not one.complete:
            continue
        stamp = one.headers.get("indigoway-server-stamp", "").removeprefix("stamp-")
        whole = next((worker.bodies.get(identity) for worker in workers if worker.name == stamp), None)
        if whole != one.body:
            truncated += 1
            record.traced.append(f'"{identity}"')
            record(f"BROKEN: {identity} got a complete 200 of {stamp} with {len(one.body)} of "
                   f"{len(whole or b'')} bytes: ...{one.body[-30:]!r}")
    served = sum(one.status == 200 and one.complete for one in answers.values())
    record(f"{len(answers)} requests, {served} complete answers with 200, {truncated} of them cut short")
    if served < len(answers) / 2:
        raise CannotRun("most requests were not served")
    return truncated > 0


sys.exit(run_case(FOLDER, main))
