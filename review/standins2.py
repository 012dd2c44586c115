"""Stand-ins for the review's scripts: a small deployment on loopback in one event loop.

The platform's store, backend servers and clients live in this process; the nodes are separate
processes of target/indigoway-edge, with settings filled into deploy/edge.settings.
"""

import asyncio
import base64
import ipaddress
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BOUNDS = {  # As on the sheet of the small deployments.
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56, "lease_ms": 3000,
}
HOST = "site.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who}: {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def head(status, headers):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}\r\n"
    return (text + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n").encode()


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store: pages, watches, conditions and leases, as PROTOCOL.md tells them."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> (value bytes, revision, created, lease)
        self.history = []  # (revision, key, value or None, created, lease)
        self.revision = 1
        self.leases = {}  # id -> [ttl, end]
        self.next_lease = 1000
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.ticker = asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, value, created, lease))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((self.revision, key, None, 0, 0))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [one for one, (_, end) in self.leases.items() if end < now]:
                self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                status, body = await self.answer(*message)
                data = json.dumps(body).encode()
                writer.write(head(status, [("Content-Type", "application/json"),
                                           ("Content-Length", len(data))]) + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        from urllib.parse import parse_qs, urlsplit

        method, target, _ = line.split(" ", 2)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        data = json.loads(body) if body else {}
        if parts.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"items": [self.item(k, *self.items[k]) for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if parts.path == "/kv-key":
            key = query.get("key", "")
            return (200, self.item(key, *self.items[key])) if key in self.items else (404, {})
        if parts.path == "/kv-watch":
            return await self.watch(query)
        if parts.path == "/kv-txn":
            return self.commit(data)
        if parts.path == "/kv-lease":
            self.next_lease += 1
            ttl = max(1000, data["ttl_ms"])
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(parts.path.rsplit("/", 1)[1]) if parts.path.count("/") == 2 else 0
        if parts.path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
            return 200, {"ttl_ms": self.leases[lease][0]}
        if parts.path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def item(self, key, value, revision, created, lease):
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = []
            for revision, key, value, created, lease in self.history:
                if revision > after and key.startswith(prefix):
                    events.append({"key": key, "revision": revision, "removed": True}
                                  if value is None else self.item(key, value, revision, created, lease))
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, data):
        for row in data.get("expected", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in data.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in data.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in data.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A backend server. Model servers have a phase; others answer plain requests."""

    def __init__(self, name, service, store, record, phase=None, capacity=64, zone="hall-a",
                 tokens=65205):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.phase, self.capacity, self.zone, self.tokens = phase, capacity, zone, tokens
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.runs = {}  # request id -> dict of a run that is being worked on
        self.handles = set()
        self.copies = {}
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23,
                                                 backlog=512)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.announce()

    def announce(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": "v1", "capacity": self.capacity, "state": self.state, "warmup_ms": 0,
                 "sequence": self.sequence}
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.record(self.name, f"registers as {self.state} {self.phase or ''}")
        self.store.put("servers/" + self.name, json.dumps(entry).encode())

    def stop_listening(self):
        """New connections are reset by the kernel; open ones stay."""
        self.port = int(self.address.rsplit(":", 1)[1])
        self.server.close()

    async def listen_again(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 23,
                                                 backlog=512, reuse_address=True)

    def crash(self):
        self.server.close()
        self.runs.clear()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(reader, writer, *message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, status, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        load = ("Indigoway-Server-Load", f"{len(self.runs)},0,{self.capacity}")
        writer.write(head(status, [*headers, load, ("Keep-Alive", "timeout=15"),
                                   ("Content-Length", len(data))]) + data)
        await writer.drain()
        return True

    async def handle(self, reader, writer, line, headers, body):
        method, path, _ = line.split(" ", 2)
        if headers.get("indigoway-expect-instance", self.name) != self.name:
            return await self.reply(writer, 421, {}, [("Indigoway-Not-Executed", "1")])
        if path == "/hold-take":
            return await self.reply(writer, 200, {"hold": "%08x" % random.getrandbits(32)})
        if path.startswith("/hold-drop/"):
            return await self.reply(writer, 200, {})
        if path.startswith("/kv-handle/"):
            self.handles.discard(path.rsplit("/", 1)[1])
            return await self.reply(writer, 200, {})
        if path == "/report":
            return await self.reply(writer, 200, {
                "phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": self.orders, "queued": 0, "active": len(self.runs),
                "kv_used": 0, "kv_total": self.tokens, "kv_handles": len(self.handles)})
        if path == "/order":
            # An order is in progress here for as long as the script runs.
            return await self.reply(writer, 409, {})
        if path == "/kv-move":
            return await self.move(writer, json.loads(body))
        rid = headers.get("indigoway-request-id", "")
        if headers.get("indigoway-serving-phase") == "prefill":
            self.record(self.name, f"reads the prompt of {rid}")
            await asyncio.sleep(0.05)
            handle = "%012x" % random.getrandbits(48)
            self.handles.add(handle)
            asyncio.get_running_loop().call_later(0.5, self.handles.discard, handle)
            return await self.reply(writer, 200, {"kv_handle": handle, "tokens": 1000, "version": 1},
                                    [("Indigoway-Request-Id", rid)])
        return await self.work(reader, writer, method, path, headers, body, rid)

    async def move(self, writer, call):
        return await self.reply(writer, 404, {})

    async def work(self, reader, writer, method, path, headers, body, rid):
        raise NotImplementedError

    def stamp(self, rid):
        return [("Indigoway-Request-Id", rid), ("Indigoway-Server-Stamp", f"{self.name}.{rid}")]


class Node:
    """A process of the role in deploy/system.toml, with its own loopback address."""

    used = 0

    def __init__(self, name, store, folder, record, zone="hall-a", seeds=()):
        Node.used += 1
        self.ip = str(ipaddress.IPv4Address("127.0.0.0") + random.Random(os.getpid()).randrange(
            1 << 12, 1 << 23) + Node.used)
        self.name, self.folder, self.record = name, folder, record
        ports = {"front": 8149, "readiness": 8141, "control": 8144, "directory": 8143}
        self.listen = {what: f"{self.ip}:{port}" for what, port in ports.items()}
        self.fields = {
            "node_name": name, "zone": zone, "ip": self.ip, "listen": self.listen,
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "provider": {"address": store.address}, "policy_bounds": BOUNDS,
            "seeds": ",".join([self.listen["control"], *seeds]),
        }
        self.process = None

    def settings(self):
        def value(path):
            found = self.fields
            for part in path.split("."):
                found = found.get(part, "") if isinstance(found, dict) else ""
            return found

        text = open(os.path.join(ROOT, "deploy", "edge.settings")).read()
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m.group(2) if value(m.group(1)) else "", text, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1))), text)

    async def start(self):
        path = os.path.join(self.folder, self.name + ".settings")
        with open(path, "w") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                       "INDIGOWAY_NODE_FILE": path}
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "indigoway-edge")], cwd=ROOT,
                                        env=environment, stdout=self.log, stderr=self.log)
        self.record(self.name, f"starts at {self.listen['front']}")

    async def ready(self, within=10):
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                answer = await fetch(self.listen["readiness"], "GET", "/readiness", {})
                if answer.status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record(self.name, f"gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete = None, {}, b"", False

    def __str__(self):
        what = "complete" if self.complete else "cut off"
        return f"status={self.status} bytes={len(self.body)} {what}"


def request_bytes(method, path, headers, body=b""):
    fields = [("Host", HOST), *headers.items()]
    if body or method == "POST":
        fields.append(("Content-Length", len(body)))
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields)
            + "\r\n").encode() + body


async def read_answer(reader, on_data=None):
    """Reads one answer as PROTOCOL.md has it: with a length, in chunks, or up to the close."""
    answer = Answer()
    try:
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(raw[0].split()[1])
        for line in raw[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0] or b"", 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if on_data:
                    await on_data(answer)
            await reader.readline()
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError) as error:
        answer.headers["error"] = repr(error)
    return answer


async def fetch(address, method, path, headers, body=b"", on_data=None):
    """One request on a channel of its own."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
    try:
        writer.write(request_bytes(method, path, headers, body))
        return await read_answer(reader, on_data)
    finally:
        writer.close()


def request_headers(rid, deadline_ms, tokens=None, hint=None, parts=None):
    headers = {"Indigoway-Request-Id": rid, "Indigoway-Request-Deadline": str(deadline_ms)}
    if tokens:
        headers["Indigoway-Model-Id"] = "m"
        headers["Indigoway-Token-Count"] = "%d,%d" % tokens
        headers["Indigoway-Prompt-Prefix"] = parts or f"5c1e07a2:200,{rid}:{tokens[0] - 200}"
    if hint:
        headers["Indigoway-Length-Hint"] = str(hint)
    return headers


def new_id():
    return "%016x" % random.getrandbits(64)


def desired_state(routes, services):
    return json.dumps({
        "version": 7, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}).encode()


def route(name, prefix, kind, service, timeout_ms, slo_ms, max_attempts=1, resumable=False):
    one = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
           "slo_ms": slo_ms, "priority": 1, "service": service, "max_attempts": max_attempts}
    if kind == "streaming":
        one.update({"affinity": True, "resumable": resumable, "gap_target_ms": 300})
    return one


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
            "tls": False}


def engine_service(name, tokens=65205):
    """As `fleetbench wire` shows it for the small deployments."""
    one = plain_service(name)
    one["max_conns"] = 370
    one["engine"] = {
        "capacity": 64, "kv_capacity": tokens, "kv_token_bytes": 18432, "link_mbps": 370000.0,
        "moves": True, "backups": True, "stride": 7, "most": 12, "kv_hold_s": 0.5,
        "reconfig_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}
    return one


def main(case_file, play):
    """Runs play(record, folder); it returns True if the rule held. Exits as run.sh has to."""
    case = os.path.dirname(os.path.abspath(case_file))
    record = Record(case)
    folder = tempfile.mkdtemp(prefix="indigoway-review-")
    nodes = []

    async def run():
        # Channels are cut off when the case ends; that is no event worth a line.
        sys.unraisablehook = lambda unraisable: None
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(record, folder, nodes), 110)

    try:
        held = asyncio.run(run())
    except Exception as error:  # The case could not run.
        record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    finally:
        for node in nodes:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    if held is None:
        sys.exit(2)
    record("case", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
