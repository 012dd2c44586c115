"""Small stand-ins for the review's scripts: the platform's store, a cuttable path, clients, nodes.

Only the standard library. Every address is a loopback address; ports are free ones.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "a", encoding="utf-8")
        self.start = time.monotonic()
        self.traced = []  # Request ids whose log lines the record gets at the end.
        self(f"run, TROUBLE={int(TROUBLE)} {' '.join(sys.argv[1:])}")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def loopback_ip():
    """A random loopback address, so that the fixed ports of the settings template are free."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


# --- HTTP -------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (names in lowercase); None at an orderly end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader, on_data=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_data:
            on_data(data[:-2])


async def read_request(reader):
    """Returns (method, target, headers, body); None at an orderly end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = head[1]
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class Answer:
    """What a client got: `complete` is False if the answer's own framing shows that it broke off."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""


def text_of(method, target, headers, body):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def fetch(address, method, target, headers, body=b"", limit=30.0, on_data=None):
    """One request on a new channel."""
    answer = Answer()

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(text_of(method, target, headers, body))
            await writer.drain()
            while True:
                head = await read_head(reader)
                if head is None:
                    answer.error = "channel closed without an answer"
                    return
                answer.status = int(head[0].split(" ")[1])
                if answer.status >= 200:
                    break
            answer.headers = head[1]
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                def got(data):
                    answer.body += data
                    if on_data:
                        on_data(data)

                await read_chunks(reader, got)
            elif "content-length" in answer.headers:
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            else:
                answer.body = await reader.read()
            answer.complete = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), limit)
    except asyncio.TimeoutError:
        answer.error = "no complete answer in time"
    except asyncio.IncompleteReadError as error:
        if not answer.body:
            answer.body = error.partial
        answer.error = "channel ended inside of the answer"
    except (OSError, ValueError) as error:
        answer.error = repr(error)
    return answer


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """Keys, revisions, leases, watches and conditions as PROTOCOL.md has them.

    Each node has an entrance of its own, where the addresses of workers are those of the paths
    that this node has to them.
    """

    def __init__(self):
        self.items = {}  # key: [value, revision, created, lease]
        self.revision = 10
        self.changes = []  # (revision, key, removed)
        self.leases = {}
        self.changed = asyncio.Event()
        self.servers = []

    async def open(self, paths):
        """Opens an entrance where the worker ID has the address paths[ID]; returns its address."""

        async def serve(reader, writer):
            try:
                while request := await read_request(reader):
                    status, body = await self.handle(request, paths)
                    text = json.dumps(body).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                    )
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.note(key, False)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note(key, True)

    def note(self, key, removed):
        self.changes.append((self.revision, key, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if lease and item[3] == lease]:
            self.remove(key)

    def keep(self, lease, ttl_s):
        old = self.leases.get(lease)
        if old:
            old[1].cancel()
        timer = asyncio.get_running_loop().call_later(ttl_s, self.end_lease, lease)
        self.leases[lease] = (ttl_s, timer)

    def shown(self, key, paths):
        value, revision, created, lease = self.items[key]
        if key.startswith("servers/") and key[8:] in paths:
            entry = json.loads(value)
            entry["address"] = paths[key[8:]]
            value = json.dumps(entry).encode()
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    async def handle(self, request, paths):
        method, target, _, body = request
        path, _, query = target.partition("?")
        from urllib.parse import parse_qs

        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/kv-key":
            key = fields.get("key", "")
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, {**self.shown(key, paths), "at": self.revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(fields.get("prefix", "")) and key > fields.get("after", ""))
            return 200, {"items": [self.shown(key, paths) for key in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            after = int(fields["after"])
            end = time.monotonic() + int(fields["wait_ms"]) / 1000
            while not (events := self.events(fields.get("prefix", ""), after, paths)):
                left = end - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return 200, {"events": events, "at": self.revision}
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = json.loads(body)["ttl_ms"]
            lease = 70000 + len(self.changes) + random.randint(1, 10**9)
            self.keep(lease, ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            self.keep(number, self.leases[number][0])
            return 200, {"ttl_ms": int(self.leases[number][0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(number)
            return 200, {}
        return 404, {}

    def events(self, prefix, after, paths):
        events = []
        for revision, key, removed in self.changes:
            if revision <= after or not key.startswith(prefix):
                continue
            if removed or key not in self.items:
                events.append({"key": key, "revision": revision, "removed": True})
            elif self.items[key][1] == revision:
                events.append(self.shown(key, paths))
        return events

    def commit(self, body):
        for row in body.get("expected", []):
            present = self.items[row["key"]][1] if row["key"] in self.items else 0
            if present != row["revision"]:
                return 412, {"items": []}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# --- a path that can be cut -------------------------------------------------------------------


class Path:
    """One machine's path to one worker; cut() is silent: new channels get no answer at all."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.port = 0
        self.held = []
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        host, self.port = self.server.sockets[0].getsockname()
        return f"{host}:{self.port}"

    async def accept(self, reader, writer):
        try:
            host, port = self.target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    def cut(self):
        """New channels hang: the listen queue of the port is full, and nobody accepts."""
        self.server.close()
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", self.port))
        holder.listen(0)
        self.held = [holder]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.held.append(filler)
        for writer in self.writers:
            writer.transport.abort()

    def close(self):
        self.server.close()
        for one in self.held:
            one.close()


# --- nodes ------------------------------------------------------------------------------------


def render(template, settings):
    """The part of the platform's template language that deploy/edge.settings uses."""

    def find(name):
        value = settings
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = find(match.group(1))
        return ",".join(map(str, found)) if isinstance(found, list) else "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Node:
    """A machine with the role of deploy/system.toml, run as DEPLOY.md says."""

    def __init__(self, name, zone, bounds, folder):
        self.name = name
        self.zone = zone
        self.ip = loopback_ip()
        self.bounds = bounds
        self.folder = folder
        self.process = None
        names = ("front", "readiness", "control", "directory")
        self.listen = {one: f"{self.ip}:{free_port(self.ip)}" for one in names}

    def settings(self, store, seeds):
        return {
            "node_name": self.name, "ip": self.ip, "zone": self.zone, "listen": self.listen,
            "seeds": seeds, "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "policy_bounds": self.bounds, "provider": {"address": store},
        }

    async def start(self, store, seeds):
        with open(os.path.join(REPOSITORY, "deploy/edge.settings"), encoding="utf-8") as file:
            text = render(file.read(), self.settings(store, seeds))
        path = os.path.join(self.folder, f"{self.name}.settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
        if not os.path.exists(os.path.join(REPOSITORY, run[0])):
            raise CannotRun(f"{run[0]} has not been built")
        output = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=REPOSITORY, stdout=output, stderr=output,
            env={"PATH": os.environ["PATH"], "INDIGOWAY_NODE_FILE": path},
        )
        output.close()

    async def wait_until_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await fetch(self.listen["readiness"], "GET", "/readiness", [("Host", "x")], limit=1)
            if answer.status == 200:
                return
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def log(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)


def run_case(folder, main):
    """Runs main(record, folder for files, things to end) and exits with the case's status."""
    record = Record(os.path.join(folder, "record.txt"))
    files = tempfile.mkdtemp(prefix="review-")
    nodes = []

    async def run():
        try:
            return await asyncio.wait_for(main(record, files, nodes), 110)
        finally:
            for node in nodes:
                node.signal(signal.SIGKILL)
                if node.process:
                    await node.process.wait()

    try:
        broken = asyncio.run(run())
        record("RESULT: " + ("the rule was broken" if broken else "the rule held"))
        status = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        record(f"RESULT: could not run: {error!r}")
        status = 2
    finally:
        for node in nodes:
            try:
                for line in node.log().splitlines():
                    if any(word in line for word in ('"leave"', '"stop"', '"server_path"', *record.traced)):
                        record.file.write(f"log of {node.name}: {line[:500]}\n")
            except OSError:
                pass
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(files, keep, dirs_exist_ok=True)
        shutil.rmtree(files, ignore_errors=True)
    return status
