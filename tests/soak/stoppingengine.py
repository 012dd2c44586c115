"""A stand-in of a decode engine that stops runs on order; its streams mostly have no length and end with their connection."""

import asyncio
import itertools
import json
import time

from faultproxy import abort

BETWEEN_EVENTS_S = 0.05
# Between the answer to a stop and the close of the stream, where the two are apart.
APART_S = 0.1
# Longer than a node waits for the answer to a stop.
LATE_S = 1.4
BORN = 1_700_000_000_000  # As the stand-in of the platform announces it.
NOT_RUN = "Indigoway-Not-Executed: 1"
STAMP = "Indigoway-Server-Stamp: stamp"

ANSWERS = {  # Status, and whether the answer names the handle of the stopped run.
    "200": (200, True),
    "503-handle": (503, True),
    "503": (503, False),
    "404": (404, False),
    "409": (409, False),
    "421": (421, False),
    "429": (429, False),
    "500": (500, False),
}
NO_ANSWERS = ("reset", "half", "none", "late")
# When the stream of a stopped run is closed, beside the answer; "own": the run is not stopped; "last": before the
# answer, when the last event has been sent.
CLOSES = ("before", "with", "after", "late", "own", "last")


class Plan:
    """What an engine does with the stops of each run; stops beyond @p times are served by the users' page."""

    def __init__(self, answer="200", close="before", times=1, keeps=True):
        self.answer = answer
        self.close = close
        self.times = times
        self.keeps = keeps  # The KV cache of a stopped run; without it, a later stop finds no such run.

    def __str__(self):
        return f"{self.answer}/{self.close}" + (f"/x{self.times}" if self.times > 1 else "") \
            + ("" if self.keeps else "/forgotten")

    @property
    def names_handle(self):
        return ANSWERS.get(self.answer, (0, False))[1]


class Run:
    def __init__(self, writer, events):
        self.writer = writer
        self.events = events  # The last one that was sent.
        self.is_running = True
        self.stops = 0


class StoppingEngine:
    """One engine; all of a platform share @p handles, the KV caches of stopped runs."""

    _numbers = itertools.count(1)

    def __init__(self, name, handles, events):
        self.name = name
        self.handles = handles
        self.events = events  # Of a whole stream.
        self.plan = Plan()
        self.is_chunked = False
        self.padding = ""  # Of each event.
        self.runs = {}
        self.stops = []  # The id and the answer of each stop that came.
        self.whole = set()  # Ids of runs that have come to their own end.
        self.cut = set()  # Of those that ended early without an order: out of time, or not read.
        self._server = None
        self._writers = set()

    async def at_stop(self, moment):
        """Called with "before", "while" and "after" the stream's close and the answer; for scenes."""

    async def before_events(self, run):
        """Called when the head of a stream has been sent; for scenes."""

    def last_words(self, run):
        """Returns what a stopped run still writes before its stream is closed; for scenes."""
        return b""

    async def listen(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def refuse(self):
        """New connections are refused; those that are open live on."""
        self._server.close()

    def close(self):
        self._server.close()
        for writer in list(self._writers):
            abort(writer)

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve(reader, writer):
                pass
        except (OSError, EOFError, ValueError, IndexError):
            abort(writer)
        except asyncio.CancelledError:
            abort(writer)
        self._writers.discard(writer)

    async def _serve(self, reader, writer):
        """Serves one request; returns whether the connection is kept."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path = lines[0].split()[:2]
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("indigoway-request-id", "")
        if headers.get("indigoway-expect-instance") != self.name:
            self._answer(writer, 421, {}, NOT_RUN)
        elif path == "/hold-take":
            self._answer(writer, 200, {"hold": f"hold-{next(self._numbers)}"})
        elif path == "/kv-move":
            return await self._stop(writer, json.loads(body))
        elif path == "/report":
            self._answer(writer, 200, {"busy": False, "sequence": 0, "born": BORN})
        elif method == "DELETE":
            self.handles.pop(path.rsplit("/", 1)[1], None)
            self._answer(writer, 200, {})
        elif not self._take_handle(headers):
            self._answer(writer, 503, {}, NOT_RUN)
        else:
            await self._generate(writer, request_id, headers)
            return False
        await writer.drain()
        return True

    def _answer(self, writer, status, body, *headers):
        text = json.dumps(body)
        lines = [f"HTTP/1.1 {status} -", "Content-Type: application/json", f"Content-Length: {len(text)}", *headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + text).encode())

    def _take_handle(self, headers):
        """A prefill's result is always there; that of a stopped run can be used once."""
        handle = headers.get("indigoway-kv-source", "").rsplit("/", 1)[-1]
        return not handle.startswith("run-") or self.handles.pop(handle, None) is not None

    async def _generate(self, writer, request_id, headers):
        """Stops work when the time that it was given is over."""
        run = self.runs[request_id] = Run(writer, int(headers.get("last-event-id", 0)))
        until = time.monotonic() + int(headers["indigoway-request-deadline"]) / 1000
        lines = ["HTTP/1.1 200 -", "Content-Type: text/event-stream", "Connection: close", STAMP,
                 f"Indigoway-Request-Id: {request_id}", *(["Transfer-Encoding: chunked"] if self.is_chunked else [])]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await self.before_events(run)
        while run.is_running and run.events < self.events:
            if time.monotonic() >= until:
                self._cut(request_id, run)
                return
            self._send_event(run)
            await writer.drain()
            await asyncio.sleep(min(BETWEEN_EVENTS_S, max(0, until - time.monotonic())))
        if run.is_running:
            self.whole.add(request_id)
            self.runs.pop(request_id, None)
            writer.write(b"0\r\n\r\n" if self.is_chunked else b"")
            writer.close()
            return
        while not writer.is_closing():
            await asyncio.sleep(0.01)

    def _send_event(self, run):
        run.events += 1
        event = f"id: {run.events}\ndata: token{run.events}{self.padding}\n\n"
        run.writer.write((f"{len(event):x}\r\n{event}\r\n" if self.is_chunked else event).encode())

    def cut_off(self):
        """Closes all streams early."""
        for request_id, run in list(self.runs.items()):
            run.is_running = False
            self._cut(request_id, run)

    def _cut(self, request_id, run):
        self.cut.add(request_id)
        del self.runs[request_id]
        run.writer.close()

    async def _stop(self, writer, order):
        """Returns whether the connection is kept."""
        run = self.runs.get(order["id"])
        if run is None:
            self.stops.append((order["id"], "404"))
            self._answer(writer, 404, {})
            return True
        run.stops += 1
        plan = self.plan if run.stops <= self.plan.times else Plan()
        self.stops.append((order["id"], plan.answer))
        loop = asyncio.get_running_loop()
        await self.at_stop("before")
        if plan.close == "late":
            loop.call_later(LATE_S if plan.answer in NO_ANSWERS else 5 * APART_S, self._stop_run, order["id"], run, plan)
        elif plan.close != "own":
            self._stop_run(order["id"], run, plan)
        if plan.close == "before":
            await self.at_stop("while")
            await asyncio.sleep(APART_S)
        keeps = await self._answer_stop(writer, plan, order["id"], run)
        if plan.close == "with":
            await self.at_stop("while")
            run.writer.close()
        elif plan.close == "after":
            loop.call_later(APART_S, run.writer.close)
        await self.at_stop("after")
        return keeps

    def _stop_run(self, request_id, run, plan):
        if self.runs.get(request_id) is not run:
            return
        run.is_running = False
        while plan.close == "last" and run.events < self.events:
            self._send_event(run)
        if not run.writer.is_closing():
            run.writer.write(self.last_words(run))
        if plan.close in ("before", "late", "last"):
            run.writer.close()
        if not plan.keeps:
            del self.runs[request_id]

    async def _answer_stop(self, writer, plan, request_id, run):
        if plan.answer == "reset":
            abort(writer)
            return False
        if plan.answer == "half":
            writer.write(b"HTTP/1.1 200 -\r\nContent-Length: 60\r\n\r\n{\"kv_ha")
            writer.close()
            return False
        if plan.answer == "none":
            await asyncio.sleep(LATE_S + 1.0)
            return False
        if plan.answer == "late":
            await asyncio.sleep(LATE_S)
        status, names_handle = ANSWERS.get(plan.answer, (200, True))
        body = {"created": run.events}
        if names_handle:
            body["kv_handle"] = f"run-{next(self._numbers)}"
            self.handles[body["kv_handle"]] = request_id
            self.runs.pop(request_id, None)
        self._answer(writer, status, body, *([NOT_RUN] if plan.answer in ("421", "429") else []))
        await writer.drain()
        return True
