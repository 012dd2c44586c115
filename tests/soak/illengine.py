#!/usr/bin/env python3
"""Streams while one prefill engine of two sends bytes that are no answer, or that do not end.

    tests/soak/illengine.py --build build

Checked for each kind of trouble: nearly all streams are whole, since the other engine reads their prompts; and the
ill engine's connections are closed when no caller waits any more.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

from faultproxy import FaultProxy, abort
from fleet import Node, Platform
import organisations as organisation
from streams import Stream

ILL = 2  # Of the stand-in's servers: two plain ones, then the prefill engines.
STREAMS = 40
BETWEEN_S = 0.05
SERVED_SHARE = 0.9
# A healthy stream takes some 0.5 s; one whose first prefill is ill, a second try.
SERVED_S = 2.0
CLOSED_S = 1.0
RETRY_S = 0.1
SERVED_AT_START_S = 20.0
PART = b"x" * 4096

TROUBLES = {
    "head": (b"HTTP/1.1 200 OK\r\nX: ", PART, 0),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20, 0),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", PART, 0),
    "extension": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", PART, 0),
    "trailers": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n" * 50, 0),
    "dripping head": (b"HTTP/1.1 200 OK\r\nX: ", b"x", 0.02),
    "dripping body": (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", b"x", 0.02),
    "status 000": (b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", b"", 0),
}


class IllProxy(FaultProxy):
    """In place of an engine that is in trouble; forwards while it is not."""

    def __init__(self):
        super().__init__()
        self.trouble = None
        self.open = 0
        self.answered = 0

    async def _accept(self, reader, writer):
        if self.trouble is None:
            await super()._accept(reader, writer)
            return
        begin, part, between_s = TROUBLES[self.trouble]
        self.open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.answered += 1
            writer.write(begin)
            while part and not reader.at_eof():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(between_s)
            await reader.read()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self.open -= 1
            abort(writer)


async def serve(nodes, name, clock, key):
    """Sends the streams; returns how many were whole in time."""
    streams = [Stream(f"{name}-{i}", clock, key, "stream") for i in range(STREAMS)]

    async def one(number, stream):
        await asyncio.sleep(number * BETWEEN_S)
        try:
            attempt = await asyncio.wait_for(stream.attempt(nodes[number % len(nodes)]), SERVED_S)
            if attempt.status == 503:  # Not run; as the users' clients do, it asks once more.
                await asyncio.sleep(RETRY_S)
                await asyncio.wait_for(stream.attempt(nodes[number % len(nodes)], []), SERVED_S)
        except asyncio.TimeoutError:
            pass
        return stream.is_whole

    return sum(await asyncio.gather(*(one(i, stream) for i, stream in enumerate(streams))))


async def wait_until_served(node, clock, key):
    limit = clock() + SERVED_AT_START_S
    while not (await Stream(f"probe-{clock():.2f}", clock, key, "stream").attempt(node)).is_whole:
        if clock() > limit:
            raise RuntimeError(f"{node.name} never served")
        await asyncio.sleep(0.1)


async def play(options, log):
    begun = time.monotonic()
    clock = lambda: time.monotonic() - begun  # noqa: E731
    platform = Platform(options.build, log, prefill_engines=2)
    ill = IllProxy()
    platform.workers.insert(ILL, ill)
    nodes = [Node(f"n{i}", options.build, log) for i in (1, 2)]
    problems = []
    try:
        await platform.start()
        organisations = organisation.Organisations(clock)
        key = organisations.good_keys()[0]
        for node in nodes:
            node.store.target = platform.address
            await node.store.listen()
            await node.start()
        await platform.declare(organisations.declared())
        for trouble in options.only.split(",") if options.only else TROUBLES:
            for node in nodes:
                await wait_until_served(node, clock, key)
            ill.trouble, ill.answered = trouble, 0
            whole = await serve(nodes, trouble.replace(" ", "-"), clock, key)
            await asyncio.sleep(CLOSED_S)
            print(f"{trouble}: {whole} of {STREAMS} whole, {ill.answered} ill answers, {ill.open} open", flush=True)
            if whole < SERVED_SHARE * STREAMS:
                problems.append(f"{trouble}: only {whole} of {STREAMS} streams were whole in time")
            if ill.open:
                problems.append(f"{trouble}: {ill.open} connections are still open")
            if not ill.answered:
                problems.append(f"{trouble}: the ill engine was never asked: the test tests nothing")
            ill.trouble = None
            for node in nodes:  # Which judge the engine by this trouble.
                await node.kill()
                await node.start()
    finally:
        for process in [*nodes, platform]:
            await process.kill()
    return problems


async def main():
    parser = argparse.ArgumentParser(description="One prefill engine of two is in trouble.")
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the log")
    parser.add_argument("--only", default="", help="troubles to play, separated by commas")
    options = parser.parse_args()
    path = pathlib.Path(options.logs) / "illengine.log"
    with open(path, "w", encoding="utf-8") as log:
        problems = await play(options, log)
    for problem in problems:
        print(f"    {problem}")
    print(f"log: {path}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
