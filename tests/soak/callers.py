"""Callers that keep their connections and check every byte that comes back."""

import asyncio
import itertools

EVENTS = 6  # Of a stream of the stand-in.
PLAIN_PATIENCE_S = 2.0
STREAM_PATIENCE_S = 5.0
# Beyond the patience: the node's own grace, the way, a busy machine.
ANSWER_SLACK_S = 2.0
NOT_RUN = {408, 421, 429, 503}


class Outcome:
    """What a caller saw of one request."""

    def __init__(self, request_id, node, life, started):
        self.id = request_id
        self.node = node
        self.life = life
        self.started = started
        self.ended = None
        self.status = None
        self.events = None  # Of a stream that was answered.
        self.is_whole = False
        self.is_stream = False
        self.key = None  # That the caller showed.
        self.problem = None  # A broken promise that shows in the answer itself.


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return status, headers


async def read_chunk(reader):
    size = int((await reader.readline()).strip(), 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


class Caller:
    """One caller: request after request on one connection, a new one only when that has ended."""

    _numbers = itertools.count(1)

    def __init__(self, name, node, random, clock, organisations, key=None):
        """@p key: the one it shows always; else one that is good, or was."""
        self.name = name
        self.organisations = organisations
        self.key = key
        self.node = node
        self.random = random
        self.clock = clock
        self.outcomes = []
        self._connection = None
        self.stream_events = EVENTS  # Of a whole stream.
        self.stream_patience_s = STREAM_PATIENCE_S
        self.minor = 1  # Of its HTTP version; answers to callers with 1.0 end with their connection.

    async def run_streams(self, until):
        while self.clock() < until:
            await self.request(True)
            await asyncio.sleep(self.random.uniform(0.01, 0.1))
        self._drop()

    async def run(self, until):
        while self.clock() < until:
            await self.request(self.random.random() < 0.5)
            await asyncio.sleep(self.random.uniform(0.01, 0.1))
        self._drop()

    async def run_without_pause(self, until):
        while self.clock() < until:
            await self.request(False)
            await asyncio.sleep(0.005)
        self._drop()

    async def request(self, is_stream, key=None):
        outcome = Outcome(f"{self.name}-{next(self._numbers)}", self.node, self.node.lives, self.clock())
        outcome.is_stream = is_stream
        outcome.key = key or self.key or self.organisations.pick(self.random)
        patience = self.stream_patience_s if is_stream else PLAIN_PATIENCE_S
        try:
            await asyncio.wait_for(self._exchange(outcome, patience), patience + ANSWER_SLACK_S)
        except asyncio.TimeoutError:
            outcome.status = outcome.status or "silent"
            self._drop()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            outcome.status = outcome.status or "closed"
            self._drop()
        outcome.ended = self.clock()
        self.outcomes.append(outcome)
        return outcome

    async def _exchange(self, outcome, patience):
        if self._connection is None:
            host, port = self.node.callers.address.rsplit(":", 1)
            self._connection = await asyncio.open_connection(host, int(port))
        reader, writer = self._connection
        path = f"/{'stream' if outcome.is_stream else 'plain'}/{outcome.id}"
        body = f"body of {outcome.id}"
        head = [
            f"POST {path} HTTP/1.{self.minor}",
            "Host: site.example",
            f"Indigoway-Request-Id: {outcome.id}",
            f"Indigoway-Request-Deadline: {int(patience * 1000)}",
            f"Content-Length: {len(body)}",
            f"X-Api-Key: {outcome.key}",
        ]
        if outcome.is_stream:
            head += ["Indigoway-Token-Count: 1000,100", "Indigoway-Model-Id: m"]
        writer.write("\r\n".join([*head, "", body]).encode())
        status, headers = await read_head(reader)
        outcome.status = status
        if outcome.is_stream and status == 200:
            await self._read_stream(reader, headers, outcome)
        else:
            data = await reader.readexactly(int(headers.get("content-length", 0)))
            outcome.is_whole = True
            if status == 200 and data.decode() != f"POST {path} {body}":
                outcome.problem = f"another request's answer: {data!r}"
        if status == 200 and headers.get("indigoway-request-id") != outcome.id:
            outcome.problem = f"the answer names {headers.get('indigoway-request-id')}"
        if headers.get("connection", "").lower() == "close" or self.minor == 0:
            self._drop()

    async def _read_stream(self, reader, headers, outcome):
        outcome.events = 0
        text = b""
        is_chunked = headers.get("transfer-encoding") == "chunked"
        if self.minor == 1 and not is_chunked:
            outcome.problem = "a stream without chunks"
        while chunk := await (read_chunk(reader) if is_chunked else reader.read(65536)):
            text += chunk
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                outcome.events += 1
                if f"data: token{outcome.events}".encode() not in event:
                    outcome.problem = f"event {outcome.events} is {event!r}"
        outcome.is_whole = True
        if outcome.events != self.stream_events or text:
            outcome.problem = f"ended in good order after {outcome.events} events"

    def _drop(self):
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
