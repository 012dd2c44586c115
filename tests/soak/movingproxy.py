"""A fault proxy before a decode engine: some streams have no length, and runs are stopped in many ways."""

import asyncio
import json
import random

from bareproxy import CLOSE, FRAMING
from callers import read_chunk, read_head
from faultproxy import FaultProxy, abort

# Beyond what a node waits for the answer to a stop.
LATE_S = (1.2, 1.6)
# The stand-in keeps the handle of a stopped run for half a second.
SLOW_S = (0.05, 0.2)
GIVES_UP_S = 4.0
# Answers to a stop, each with its weight. With those of PROMPT, the run can go on with its handle.
ANSWERS = {"at-once": 6, "slow": 6, "late": 1, "reset": 2, "none": 1, "half": 1, "500": 2}
PROMPT = ("at-once", "slow")
# Answers to a stop that is repeated, after the first answer told nothing: the page allows all three.
REPEATED = ("again", "409", "404")
# When the stream of a stopped run is closed, from the moment of the answer or, for "before", of the order.
CLOSES = {"before": 4, "with": 2, "after": 2, "long-after": 1}
CLOSE_S = {"before": (0.0, 0.0), "with": (0.0, 0.0), "after": (0.02, 0.2), "long-after": (0.5, 1.2)}


class Moves:
    """What all engines of a platform share: the seed, and what became of runs and streams."""

    def __init__(self, seed, log):
        self.seed = seed
        self.log = log
        self.stopped = 0  # Runs that were stopped by order.
        self.handles = set()  # Of these runs.
        self.moved = 0  # Runs that were sent on with such a handle.
        self.closed_by_stop = 0  # Streams without a length that were closed in good order since their run was stopped.
        self.bare = 0  # Streams without a length that began.
        self.unanswered = set()  # Ids of stopped runs whose node got no prompt answer with the handle.
        self._counts = {}

    def summary(self):
        """@return For the line of a seed."""
        moved = f"{self.moved} runs were moved" if self.moved else "NO RUN WAS MOVED"
        return f"{moved}, {self.stopped} stopped ({len(self.unanswered)} without a prompt answer), " \
            f"{self.bare} streams without a length ({self.closed_by_stop} closed by a stop)"

    def chance(self, *names):
        """Another one for each call with the same names; the same ones for each play of a seed."""
        count = self._counts[names] = self._counts.get(names, 0) + 1
        return random.Random(f"{self.seed}/{names}/{count}")


class Stop:
    """One order to stop a run, and what its engine does with it."""

    def __init__(self, request_id, chance):
        self.request_id = request_id
        self.answer = chance.choices(list(ANSWERS), ANSWERS.values())[0]
        self.close = chance.choices(list(CLOSES), CLOSES.values())[0]
        self.repeated = chance.choice(REPEATED)
        self.answer_s = chance.uniform(*{"slow": SLOW_S, "late": LATE_S}.get(self.answer, (0.0, 0.02)))
        self.close_s = chance.uniform(*CLOSE_S[self.close])
        self.told = None  # The engine's answer, if it stopped the run: status and body.
        self.is_decided = asyncio.Event()  # It is known whether the run was stopped.
        self.is_answered = asyncio.Event()

    def __str__(self):
        return f"answer={self.answer} {self.answer_s:.3f} s, close={self.close} {self.close_s:.3f} s, " \
            f"repeated={self.repeated}"


class MovingProxy(FaultProxy):
    """Of the connections, `bare_share` get streams without a length. A stream that a stop has closed ends in good
    order, and so does a whole one; one that the engine's crash has cut is reset."""

    def __init__(self, name, moves, bare_share=0.5):
        super().__init__()
        self.name = name
        self.moves = moves
        self.bare_share = bare_share
        self.stops = {}  # By the id of the run, until a run with this id begins here.

    async def _forward(self, caller, server):
        is_bare = self.moves.chance(self.name, "bare").random() < self.bare_share
        asked = asyncio.Queue()
        await asyncio.gather(self._pass_requests(caller, server, asked),
                             self._pass_answers(server[0], caller[1], asked, is_bare))

    async def _pass_requests(self, caller, server, asked):
        reader, writer = caller[0], server[1]
        try:
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError as error:
                    await self._delayed("to_server")
                    if error.partial:
                        raise
                    writer.write_eof()
                    return
                method, path, headers = parse_request(head)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("transfer-encoding") == "chunked":
                    while chunk := await read_chunk(reader):
                        body += b"%x\r\n%s\r\n" % (len(chunk), chunk)
                    body += b"0\r\n\r\n"
                await self._delayed("to_server")
                stop = None
                if method == "POST" and path == "/kv-move":
                    stop = self._order(json.loads(body)["id"])
                    if stop.told is not None:
                        await self._answer_again(stop, caller[1])
                        continue
                elif method == "POST" and path != "/hold-take":
                    self.stops.pop(headers.get("indigoway-request-id"), None)
                    handle = headers.get("indigoway-kv-source", "").rsplit("/", 1)[-1]
                    self.moves.moved += handle in self.moves.handles
                asked.put_nowait((headers.get("indigoway-request-id"), stop))
                writer.write(head + body)
                await writer.drain()
        except (OSError, RuntimeError, ValueError, EOFError):
            abort(writer)

    def _order(self, request_id):
        stop = self.stops.get(request_id)
        if stop is None:
            stop = self.stops[request_id] = Stop(request_id, self.moves.chance(self.name, request_id))
            self.moves.log.write(f"stop {self.name} {request_id} {stop}\n")
        return stop

    async def _answer_again(self, stop, writer):
        """A run that is stopped already, and whose stop is ordered once more."""
        status, body = stop.told
        if stop.answer in PROMPT or stop.repeated == "404":
            status, body = 404, b"{}"
        elif stop.repeated == "409":
            status, body = 409, b"{}"
        self.moves.log.write(f"stop {self.name} {stop.request_id} repeated: {status}\n")
        await self._send(writer, framed(status, {"content-type": "application/json"}, body))

    async def _pass_answers(self, reader, writer, asked, is_bare):
        stop = None
        try:
            while True:
                try:
                    status, headers = await read_head(reader)
                except asyncio.IncompleteReadError as error:
                    if error.partial or not asked.empty():
                        raise
                    await self._delayed("to_client")
                    writer.write_eof()
                    return
                request_id, stop = asked.get_nowait()
                if headers.get("transfer-encoding") == "chunked":
                    if await self._pass_stream(reader, writer, request_id, status, headers, is_bare):
                        continue
                    return
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if stop is None:
                    await self._send(writer, framed(status, headers, body))
                elif not await self._answer_stop(stop, writer, status, headers, body):
                    return
        except (OSError, RuntimeError, ValueError, EOFError, asyncio.QueueEmpty):
            abort(writer)  # The engine broke off: a regular end would complete the answer.
        finally:
            for one in [stop, *(asked.get_nowait()[1] for _ in range(asked.qsize()))]:
                if one is not None:
                    one.is_decided.set()
                    one.is_answered.set()

    async def _pass_stream(self, reader, writer, request_id, status, headers, is_bare):
        """Returns whether the connection is kept."""
        self.moves.bare += is_bare
        if is_bare:
            await self._send(writer, head_of(status, headers, FRAMING) + CLOSE)
        else:
            await self._send(writer, head_of(status, headers) + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while chunk := await read_chunk(reader):
                await self._send(writer, chunk if is_bare else b"%x\r\n%s\r\n" % (len(chunk), chunk))
        except (OSError, EOFError, ValueError):
            await self._end_of_cut(writer, request_id, is_bare)
            return False
        await self._delayed("to_client")
        if is_bare:
            writer.write_eof()
            return False
        await self._send(writer, b"0\r\n\r\n")
        return True

    async def _end_of_cut(self, writer, request_id, is_bare):
        """The stand-in has closed a stream without its end: by order, or as its engine crashed or its link broke."""
        stop = self.stops.get(request_id)
        if stop is not None:
            await stop.is_decided.wait()
        if stop is None or stop.told is None:
            abort(writer)
            return
        if stop.close != "before":
            await stop.is_answered.wait()
        await asyncio.sleep(stop.close_s)
        await self._delayed("to_client")
        writer.write_eof()
        self.moves.closed_by_stop += is_bare

    async def _answer_stop(self, stop, writer, status, headers, body):
        """Returns whether the connection is kept."""
        if b"kv_handle" not in body:  # No such run, or another call has stopped it meanwhile.
            stop.is_decided.set()
            await self._send(writer, framed(status, headers, body))
            return True
        stop.told = (status, body)
        self.moves.stopped += 1
        self.moves.handles.add(json.loads(body)["kv_handle"])
        if stop.answer not in PROMPT:
            self.moves.unanswered.add(stop.request_id)
        stop.is_decided.set()
        try:
            await asyncio.sleep(stop.answer_s)
            answer = framed(status, headers, body)
            if stop.answer == "500":
                answer = framed(500, {"content-type": "application/json"}, b"{}")
            elif stop.answer == "half":
                answer = answer[:-len(body) // 2]
            elif stop.answer == "none":
                stop.is_answered.set()  # Its stream is closed all the same.
                await asyncio.sleep(GIVES_UP_S)
            if stop.answer in ("none", "reset"):
                abort(writer)
                return False
            await self._send(writer, answer)
            if stop.answer == "half":
                writer.write_eof()
            return stop.answer != "half"
        finally:
            stop.is_answered.set()

    async def _send(self, writer, data):
        await self._delayed("to_client")
        writer.write(data)
        await writer.drain()


def parse_request(head):
    lines = head.decode("latin-1").split("\r\n")
    method, path = lines[0].split()[:2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, path, headers


def head_of(status, headers, without=("content-length", "transfer-encoding")):
    """The head without the headers in @p without, and without the empty line."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items() if name and name not in without]
    return "\r\n".join(lines).encode("latin-1")


def framed(status, headers, body):
    return head_of(status, headers) + b"\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
