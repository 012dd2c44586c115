"""Stand-ins for review/7: the platform's store, model workers and callers.

They follow PROTOCOL.md. Everything listens on loopback addresses, the router runs as a process of its own
with the settings that deploy/edge.settings renders.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import struct
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
START = time.monotonic()


def now_ms():
    return round((time.monotonic() - START) * 1000)


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self):
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now_ms():7d} ms  {text}")

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


# --- HTTP -------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends the channel with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class HttpServer:
    """Serves one address; handle() returns (status, headers, body) or None if it has answered itself."""

    def __init__(self):
        self.server = None
        self.address = None
        self.tasks = set()

    async def listen(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0, backlog=512)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                result = await self.handle(Request(method, target, headers, body), reader, writer)
                if result is None:
                    return
                status, more, text = result
                writer.write(answer_bytes(status, more, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    async def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


def json_answer(status, value, headers=None):
    return status, {"Content-Type": "application/json", **(headers or {})}, json.dumps(value).encode()


# --- the platform's store ----------------------------------------------------------------------------


class Store(HttpServer):
    def __init__(self):
        super().__init__()
        self.revision = 10
        self.items = {}  # key: dict
        self.events = []
        self.leases = {}  # id: (ttl_ms, ends at)
        self.changed = asyncio.Event()
        self.next_lease = 1000
        self.expiry = None

    async def listen(self, host):
        await super().listen(host)
        self.expiry = asyncio.create_task(self.expire())

    async def close(self):
        self.expiry.cancel()
        await super().close()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [one for one, (_, end) in self.leases.items() if time.monotonic() > end]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        await self.change([], [key for key, item in self.items.items() if item["lease"] == lease])

    async def change(self, writes, removed):
        if not writes and not removed:
            return self.revision
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.events.append(dict(item))
        for key in removed:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def put(self, key, value, lease=0):
        return await self.change([(key, json.dumps(value).encode(), lease)], [])

    async def remove(self, key):
        return await self.change([], [key])

    async def handle(self, request, reader, writer):
        await asyncio.sleep(0.004)
        if request.path == "/kv-key":
            item = self.items.get(request.query["key"])
            return json_answer(200, {**item, "at": self.revision}) if item else json_answer(404, {})
        if request.path == "/kv-range":
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return json_answer(200, {"items": [self.items[key] for key in keys[:500]],
                                     "has_more": len(keys) > 500, "at": self.revision})
        if request.path == "/kv-watch":
            return await self.watch(request)
        body = json.loads(request.body or b"{}")
        if request.path == "/kv-txn":
            return await self.commit(body)
        if request.path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, body["ttl_ms"])
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return json_answer(200, {"lease": self.next_lease, "ttl_ms": ttl})
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return json_answer(404, {})
        if request.path.startswith("/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return json_answer(200, {"ttl_ms": ttl})
        await self.end_lease(lease)
        return json_answer(200, {})

    async def watch(self, request):
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        end = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            events = [one for one in self.events if one["revision"] > after and one["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def commit(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return json_answer(412, {"items": [self.items[row["key"]]] if item else []})
        writes = []
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return json_answer(404, {})
            writes.append((row["key"], base64.b64decode(row["value"]), row.get("lease", 0)))
        revision = await self.change(writes, body.get("remove", []))
        return json_answer(200, {"revision": revision})


# --- workers ------------------------------------------------------------------------------------------


class Worker(HttpServer):
    """Registers itself in the store and checks in."""

    def __init__(self, record, store, name, service, zone, capacity, phase=None):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.id = f"i-{random.getrandbits(32):08x}"
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.phase = phase
        self.state = "ready"
        self.sequence = 0
        self.beats = None

    async def start(self, host):
        await self.listen(host)
        self.beats = asyncio.create_task(self.beat())
        self.record.add(f"worker {self.name} is {self.id} at {self.address}, service {self.service}"
                        + (f", phase {self.phase}" if self.phase else ""))

    async def beat(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(1.2)

    async def write_entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "capacity": self.capacity, "state": self.state, "warmup_ms": 0, "sequence": self.sequence}
        if self.phase:
            entry.update(phase=self.phase, models=[{"name": "m", "version": 1, "adapters": []}])
        await self.store.put(f"servers/{self.id}", entry)

    async def close(self):
        if self.beats:
            self.beats.cancel()
        await super().close()

    def headers(self, request, stamp=True):
        headers = {"Indigoway-Instance-Id": self.id, "Keep-Alive": "timeout=5"}
        if request.header("Indigoway-Request-Id"):
            headers["Indigoway-Request-Id"] = request.header("Indigoway-Request-Id")
        if stamp:
            headers["Indigoway-Server-Stamp"] = f"{random.getrandbits(64):016x}"
        return headers

    def misdirected(self, request):
        expected = request.header("Indigoway-Expect-Instance")
        if expected and expected != self.id:
            return json_answer(421, {}, {"Indigoway-Instance-Id": self.id, "Indigoway-Not-Executed": "1"})
        return None


class Run:
    def __init__(self, caller, prompt, total, made):
        self.id = caller
        self.prompt = prompt
        self.total = total  # Events of the whole answer.
        self.made = made
        self.began = time.monotonic()
        self.ended = None
        self.how = None
        self.writer = None
        self.task = None
        self.lost = False  # Its answer.


class Engine(Worker):
    """A model worker: prefill, decode, memory, moves. One event is a stride of 7 tokens."""

    STRIDE = 7

    def __init__(self, record, store, name, service, zone, phase, fleet, memory=25014, token_s=0.012):
        super().__init__(record, store, name, service, zone, 64, phase)
        self.fleet = fleet  # Engines by address.
        self.memory = memory
        self.token_s = token_s
        self.holds = {}  # id: (tokens, until)
        self.handles = {}  # id: (caller, tokens, until)
        self.copies = {}  # handle or caller's id: (tokens, until, made)
        self.stopped = {}  # handle: Run
        self.active = {}  # caller's id: Run
        self.runs = []
        self.orders = 0
        # The disruption: caller's id -> the event after which the answer is lost; the run goes on.
        self.loses_answer = {}

    async def start(self, host):
        await super().start(host)
        self.fleet[self.address] = self

    def used(self):
        now = time.monotonic()
        for table in (self.holds, self.handles, self.copies):
            for key in [one for one, value in table.items() if value[-1] < now]:
                del table[key]
        return (sum(one[0] for one in self.holds.values()) + sum(one[1] for one in self.handles.values())
                + sum(one[0] for one in self.copies.values())
                + sum(run.prompt + run.made * self.STRIDE for run in self.active.values()))

    async def handle(self, request, reader, writer):
        wrong = self.misdirected(request)
        if wrong:
            return wrong
        part = request.path.strip("/").split("/")
        if part[0] == "health":
            return json_answer(200, {}, self.headers(request, stamp=False))
        if part[0] == "report":
            return json_answer(200, {
                "phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "sequence": self.orders, "queued": 0, "active": len(self.active), "kv_used": self.used(),
                "kv_total": self.memory, "kv_handles": len(self.handles), "state": self.state,
                "runs": [[run.id, run.prompt + run.made * self.STRIDE, run.made, 5]
                         for run in self.active.values()]})
        if part[0] == "hold-take":
            wanted = json.loads(request.body)
            if self.used() + wanted["tokens"] > self.memory:
                return json_answer(503, {}, {"Indigoway-Not-Executed": "1"})
            hold = f"h{random.getrandbits(48):012x}"
            self.holds[hold] = (wanted["tokens"], time.monotonic() + wanted["ttl_ms"] / 1000)
            return json_answer(200, {"hold": hold})
        if part[0] == "hold-drop":
            self.holds.pop(part[1], None)
            return json_answer(200, {})
        if part[0] == "kv-handle":
            self.handles.pop(part[1], None)
            self.stopped.pop(part[1], None)
            return json_answer(200, {})
        if part[0] == "kv-move":
            return await self.move(json.loads(request.body))
        if part[0] == "order":
            self.orders += 1
            self.record.add(f"{self.name} gets an order: {request.body.decode()}")
            return json_answer(200, {})  # It already holds.
        if request.header("Indigoway-Serving-Phase") == "prefill":
            return await self.prefill(request)
        return await self.decode(request, reader, writer)

    async def prefill(self, request):
        if self.phase != "prefill":
            return json_answer(421, {}, {"Indigoway-Not-Executed": "1"})
        prompt = int(request.header("Indigoway-Token-Count").split(",")[0])
        await asyncio.sleep(prompt / 55_555.6)
        handle = f"{random.getrandbits(48):012x}"
        self.handles[handle] = (request.header("Indigoway-Request-Id"), prompt, time.monotonic() + 0.5)
        return json_answer(200, {"kv_handle": handle, "tokens": prompt, "version": 1},
                           self.headers(request))

    def not_run(self, request, why):
        self.record.add(f"{self.name} does not run {request.header('Indigoway-Request-Id')}: {why}")
        return json_answer(503, {}, {"Indigoway-Not-Executed": "1"})

    async def decode(self, request, reader, writer):
        caller = request.header("Indigoway-Request-Id")
        prompt, most = (int(one) for one in request.header("Indigoway-Token-Count").split(","))
        last = int(request.header("Last-Event-Id") or 0)
        if self.phase != "decode":
            return json_answer(421, {}, {"Indigoway-Not-Executed": "1"})
        self.holds.pop(request.header("Indigoway-Kv-Hold"), None)
        source = request.header("Indigoway-Kv-Source")
        read_s = 0.0
        if source:
            address, _, handle = source.partition("/")
            origin = self.fleet.get(address)
            if handle in self.copies:
                del self.copies[handle]
            elif origin is self and handle in self.stopped:
                del self.stopped[handle]
            elif origin is not None and origin.handles.get(handle, ("", 0, 0))[2] > time.monotonic():
                del origin.handles[handle]
                read_s = 0.005
            else:
                return self.not_run(request, "no such memory")
        else:
            read_s = 2 * prompt / 55_555.6  # It reads the prompt itself, at half the speed.
        if self.used() + prompt > self.memory:
            return self.not_run(request, "full")
        run = Run(caller, prompt, -(-most // self.STRIDE), last)
        run.writer = writer
        self.active[caller] = run
        self.runs.append(run)
        self.record.add(f"{self.name} runs {caller} from event {last + 1} on, memory from {source or '-'},"
                        f" backup {request.header('Indigoway-Kv-Backup') or '-'}")
        head = {**self.headers(request), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                "Indigoway-Weight-Versions": "1"}
        head.pop("Keep-Alive")
        run.task = asyncio.create_task(self.generate(run, head, read_s, request.header("Indigoway-Kv-Backup")))
        gone = asyncio.create_task(reader.read(1))
        gone.add_done_callback(lambda one: one.cancelled() or one.exception())
        await asyncio.wait({run.task, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not run.task.done() and run.writer is not None:
            run.task.cancel()  # The channel was closed: it drops the request.
            self.end(run, "dropped")
        gone.cancel()
        if run.how == "complete" and run.writer is not None:
            return None
        if run.how in ("stopped", "dropped"):
            reset(writer)
        return None

    def end(self, run, how):
        if run.ended is None:
            run.ended = time.monotonic()
            run.how = how
            self.active.pop(run.id, None)
            self.record.add(f"{self.name} ends its run of {run.id} after event {run.made}: {how}")

    def send(self, run, data):
        if run.writer is not None:
            run.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def generate(self, run, head, read_s, backup):
        await asyncio.sleep(read_s)
        keeper = self.fleet.get(backup) if backup else None
        is_first = True
        while run.made < run.total:
            await asyncio.sleep(self.token_s * self.STRIDE)
            run.made += 1
            if is_first and run.writer is not None:
                lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
                run.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                is_first = False
            self.send(run, f"id: {run.made}\ndata: {run.id} {run.made}/{run.total}\n\n".encode())
            if keeper is not None:
                keeper.copies[run.id] = (run.prompt, time.monotonic() + 0.5)
            if self.loses_answer.get(run.id) == run.made and run.writer is not None:
                run.lost = True
                self.record.add(f"{self.name} loses the answer of {run.id} after event {run.made}:"
                                " the channel is closed, the run goes on")
                writer, run.writer = run.writer, None
                writer.close()
        if run.writer is not None:
            run.writer.write(b"0\r\n\r\n")
            await run.writer.drain()
        if keeper is not None:
            keeper.copies.pop(run.id, None)
        self.end(run, "complete")

    async def move(self, wanted):
        run = self.active.get(wanted["id"])
        self.record.add(f"{self.name} is asked to move {wanted['id']} to {wanted['to']}")
        if run is None:
            return json_answer(404, {})
        handle = f"{random.getrandbits(48):012x}"
        target = self.fleet.get(wanted["to"])
        if wanted.get("last"):
            run.task.cancel()
            self.end(run, "stopped")
            self.stopped[handle] = run
        if target is None or target.used() + run.prompt > target.memory:
            return json_answer(503, {"kv_handle": handle} if wanted.get("last") else {})
        await asyncio.sleep(0.005)
        target.copies[handle] = (run.prompt, time.monotonic() + 0.5)
        return json_answer(200, {"kv_handle": handle, "created": run.made})


# --- the router ---------------------------------------------------------------------------------------


def render(template, fields):
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if lookup(match.group(1)) else ""

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.S)

    def field(match):
        value = lookup(match.group(1))
        return ",".join(value) if isinstance(value, list) else "" if value is None else str(value)

    return re.sub(r"{{([\w.]+)}}", field, text)


class Router:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(self, record, folder, name, ip, zone, store, bounds, seeds=()):
        self.record = record
        self.folder = folder
        self.name = name
        self.ip = ip
        self.fields = {
            "node_name": name, "ip": ip, "zone": zone, "region": "here",
            "seeds": list(seeds) or [f"{ip}:8144"],
            "listen": {"front": f"{ip}:8149", "readiness": f"{ip}:8141", "control": f"{ip}:8144",
                       "directory": f"{ip}:8143"},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0, "memory_mb": 110},
            "provider": {"address": store}, "policy_bounds": bounds}
        self.front = f"{ip}:8149"
        self.process = None
        self.log = None

    async def start(self):
        path = os.path.join(self.folder, f"{self.name}.settings")
        with open(os.path.join(ROOT, "deploy", "edge.settings"), encoding="utf-8") as template:
            text = render(template.read(), self.fields)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "indigoway-edge"), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "INDIGOWAY_NODE_FILE": path})
        self.record.add(f"{self.name} starts, callers at {self.front}")

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(f"{self.ip}:8141", "GET", "/readiness"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.log:
            self.log.close()


async def wait_until(check, limit_s, what):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"no {what} in {limit_s} s")


# --- callers ------------------------------------------------------------------------------------------


async def call(address, method, target, headers=None, body=b"", on_event=None):
    """One request on a new channel: (status, headers, body). Raises EOFError if the answer is cut."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, answer = await read_head(reader)
        status = int(first.split(" ")[1])
        if on_event is None or "content-length" in answer:
            return status, answer, await read_body(reader, answer)
        text = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                return status, answer, text
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            on_event(text)
    except (asyncio.IncompleteReadError, ConnectionError) as fault:
        raise EOFError(str(fault)) from fault
    finally:
        writer.close()


def caller_headers(caller, deadline_ms, tokens=None, parts=None):
    headers = {"Host": "site.example", "Indigoway-Request-Id": caller,
               "Indigoway-Request-Deadline": str(deadline_ms)}
    if tokens:
        headers.update({"Indigoway-Model-Id": "m", "Indigoway-Token-Count": f"{tokens[0]},{tokens[1]}",
                        "Indigoway-Length-Hint": str(tokens[1]),
                        "Indigoway-Prompt-Prefix": parts})
    return headers


def new_id():
    return f"{random.getrandbits(64):016x}"


def loopback_net():
    """The first three bytes of loopback addresses that no other run uses."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
ENGINE = {"capacity": 64, "kv_capacity": 25014, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": True,
          "backups": True, "stride": 7, "most": 12, "kv_hold_s": 0.5, "reconfig_s": 6.0, "pin_ms": 4000.0,
          "hold_ms": 2000.0, "models": [{"name": "m"}]}
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 54, "contact_ms": 3000,
          "drain_ms": 2000, "config_apply_ms": 2000}


def run_case(main, folder, trouble):
    """Runs a case, with the disruption if trouble is set; exits with 1 if the rule was broken, 0 if it held, 2 if
    the case could not run."""
    record = Record()
    record.add("with the disruption" if trouble else "without the disruption")

    async def limited():
        with tempfile.TemporaryDirectory() as scratch:
            return await asyncio.wait_for(main(record, scratch, trouble), 100)

    try:
        broken = asyncio.run(limited())
    except Exception as fault:  # pylint: disable=broad-except
        record.add(f"the case could not run: {type(fault).__name__} {fault}")
        record.write(folder)
        print(f"could not run: {type(fault).__name__} {fault}")
        sys.exit(2)
    record.add(f"rule broken: {broken}" if broken else "the rule held")
    record.write(folder)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
