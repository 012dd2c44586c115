"""Streams whose callers take them up again at other nodes when the connection breaks."""

import asyncio

from callers import read_chunk, read_head

RESUMED_EVENTS = 30  # Of a stream in the soak: long enough for faults to strike under it.
PATIENCE_S = 14.0
ANSWER_LIMIT_S = 5.0


class Attempt:
    """What one attempt of a caller brought."""

    def __init__(self, node):
        self.node = node
        self.status = None  # "closed": no answer; "silent": none in time.
        self.events = []
        self.is_whole = False
        self.took_s = None  # From the request to the head of the answer.


class Stream:
    """One stream from its first attempt to its last, with the ids that its attempts have."""

    def __init__(self, name, clock, key, path="resumable"):
        self.name = name
        self.clock = clock
        self.key = key
        self.path = path
        self.attempts = []
        self.events = []
        self.begun_id = None  # The attempt that brought the first event.

    @property
    def is_whole(self):
        return bool(self.attempts) and self.attempts[-1].is_whole

    def is_in_order(self):
        return self.events == list(range(1, len(self.events) + 1))

    async def attempt(self, node, headers=None):
        """Sends the next attempt to @p node. @p headers: in place of those that resume the stream."""
        attempt = Attempt(node)
        self.attempts.append(attempt)
        request_id = f"{self.name}-{len(self.attempts)}"
        if headers is None:
            headers = []
            if self.events:
                headers = [f"Last-Event-Id: {self.events[-1]}", f"Resumes: {self.begun_id}"]
        try:
            await asyncio.wait_for(self._exchange(attempt, request_id, headers), PATIENCE_S)
        except asyncio.TimeoutError:
            attempt.status = attempt.status or "silent"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            attempt.status = attempt.status or "closed"
        return attempt

    async def _exchange(self, attempt, request_id, headers):
        host, port = attempt.node.callers.target.rsplit(":", 1)
        started = self.clock()
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [
                f"POST /{self.path}/{self.name} HTTP/1.1",
                "Host: site.example",
                f"Indigoway-Request-Id: {request_id}",
                f"Indigoway-Request-Deadline: {int(PATIENCE_S * 1000)}",
                "Indigoway-Token-Count: 1000,100",
                "Indigoway-Model-Id: m",
                f"X-Api-Key: {self.key}",
                "Content-Length: 6",
                *headers,
            ]
            writer.write("\r\n".join([*head, "", "prompt"]).encode())
            status, answer = await asyncio.wait_for(read_head(reader), ANSWER_LIMIT_S)
            attempt.status = status
            attempt.took_s = self.clock() - started
            if status != 200:
                await reader.readexactly(int(answer.get("content-length", 0)))
                return
            await self._read_events(reader, attempt, request_id)
        finally:
            writer.transport.abort()

    async def _read_events(self, reader, attempt, request_id):
        text = b""
        while chunk := await read_chunk(reader):
            text += chunk
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number = int(event.split(b"\n")[0].removeprefix(b"id: "))
                attempt.events.append(number)
                self.events.append(number)
                self.begun_id = self.begun_id or request_id
        attempt.is_whole = True

    @property
    def was_resumed(self):
        """Whether an attempt that resumed the stream has brought events."""
        return any(one.events for one in self.attempts[1:]) and bool(self.attempts[0].events)


class ResumingCaller:
    """A caller who takes its streams up again at other nodes until they are whole or refused."""

    MAX_ATTEMPTS = 4

    def __init__(self, name, nodes, random, clock, organisations):
        self.name = name
        self.nodes = nodes
        self.random = random
        self.clock = clock
        self.organisations = organisations
        self.streams = []

    async def run(self, until):
        while self.clock() < until:
            key = self.organisations.good_keys()[-1]
            stream = Stream(f"{self.name}-{len(self.streams)}", self.clock, key)
            self.streams.append(stream)
            for _ in range(self.MAX_ATTEMPTS):
                if stream.is_whole or self.clock() > until:
                    break
                await stream.attempt(self.random.choice(self.nodes))
                await asyncio.sleep(self.random.uniform(0.0, 0.1))


def mixed_or_disordered(streams, versions):
    """Broken promises: events of two software versions, events that are missing or come twice."""
    for one in streams:
        seen = versions.get(one.begun_id, [])
        if len(seen) > 1:
            yield f"{one.name} has events of {' and '.join(seen)}"
        if not one.is_in_order():
            yield f"{one.name} has the events {one.events}"
        if one.is_whole and len(one.events) != RESUMED_EVENTS:
            yield f"{one.name} ended in good order after {len(one.events)} events"
