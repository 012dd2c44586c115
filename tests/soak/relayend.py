#!/usr/bin/env python3
"""Ends the node through which another one reaches the servers, while answers without a length pass it.

    tests/soak/relayend.py --build build --seed 1        SIGTERM, then SIGKILL; a log is kept
    tests/soak/relayend.py --build build --seed 1 --runs 20

The first node is cut off from all servers; the others reach them. Streams are silent for longer than a node
that stops waits for an idle connection. What is checked: an answer that looks whole is whole, for callers
with HTTP/1.0 too; a node that gets SIGTERM cuts no answer that passes it, and ends well within its time.
"""

import argparse
import asyncio
import random
import signal
import sys
import time

from bareproxy import BareProxy
from callers import read_chunk, read_head
from fleet import LEAVE_LIMIT_S, Node, Platform
import organisations as organisation
import seeds

EVENTS = 60
# So late that a node which gets SIGTERM before is about to end by then.
SILENT_AFTER = 30
SILENCE_S = 1.2
STREAMS = 16
PLAIN_REQUESTS = 16
PATIENCE_S = 8.0
# Longest time until a node has ended whose last answer has passed.
LEAVE_S = 6.0


class SilentProxy(BareProxy):
    """Falls silent once in each stream."""

    async def _pass(self, writer, data):
        if f"id: {SILENT_AFTER}\n".encode() in data:
            await asyncio.sleep(SILENCE_S)
        await super()._pass(writer, data)


class Answer:
    """What one caller got."""

    def __init__(self, name):
        self.name = name
        self.status = None
        self.is_complete = False  # By what the caller can see.
        self.body = b""

    def whole(self):
        if self.name.startswith("plain"):
            return f"POST /plain/{self.name} body".encode()
        return "".join(f"id: {i}\ndata: token{i}\n\n" for i in range(1, EVENTS + 1)).encode()


async def read_body(reader, headers, answer):
    if headers.get("transfer-encoding") == "chunked":
        while chunk := await read_chunk(reader):
            answer.body += chunk
    elif "content-length" in headers:
        answer.body = await reader.readexactly(int(headers["content-length"]))
    else:
        while data := await reader.read(4096):
            answer.body += data


async def exchange(node, lines, answer, patience_s):
    """Sends the request of these lines; sets the status and the body of @p answer. Returns whether it looks complete."""
    host, port = node.callers.target.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write("\r\n".join(lines).encode())
        answer.status, headers = await asyncio.wait_for(read_head(reader), patience_s)
        await asyncio.wait_for(read_body(reader, headers, answer), patience_s)
        return True
    except (OSError, EOFError, ValueError, asyncio.TimeoutError):
        return False
    finally:
        writer.transport.abort()


async def ask(node, name, key, is_old):
    """One request; @p is_old: with HTTP/1.0, whose streams end with the connection."""
    answer = Answer(name)
    path = "plain" if name.startswith("plain") else "stream"
    tokens = [] if path == "plain" else ["Indigoway-Token-Count: 1000,100", "Indigoway-Model-Id: m"]
    lines = [f"POST /{path}/{name} HTTP/1.{0 if is_old else 1}", "Host: site.example",
             f"Indigoway-Request-Id: {name}", f"Indigoway-Request-Deadline: {int(PATIENCE_S * 1000)}",
             f"X-Api-Key: {key}", "Content-Length: 4", *tokens, "", "body"]
    answer.is_complete = await exchange(node, lines, answer, PATIENCE_S)
    return answer


async def play(options, seed, log, how):
    chance = random.Random(f"{seed}/{how.name}")
    begun = time.monotonic()
    platform = Platform(options.build, log, make_proxy=lambda: SilentProxy(chance))
    nodes = [Node(f"n{i}", options.build, log) for i in (1, 2, 3)]
    problems = []
    try:
        await platform.start(nodes)
        organisations = organisation.Organisations(lambda: time.monotonic() - begun)
        for node in nodes:
            await node.store.listen()
            await node.callers.listen()
            await node.start()
        await platform.declare(organisations.declared())
        await platform.control({"stream_events": EVENTS})
        key = organisations.good_keys()[-1]
        for node in nodes:
            for i in range(100):
                if (await ask(node, f"plain-{node.name}-{i}", key, False)).status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{node.name} never served")
        near, ended = nodes[0], nodes[1]
        # The nodes below it in the order of names reach the servers; one of them ends.
        near.cut_from_servers("hang")
        tasks = [asyncio.create_task(ask(near, f"{kind}-{how.name}-{i}", key, i % 2 == 0))
                 for kind, count in (("stream", STREAMS), ("plain", PLAIN_REQUESTS)) for i in range(count)]
        await asyncio.sleep(chance.uniform(0.6, 0.9))
        ended.is_expected_to_end = True
        signalled = time.monotonic()
        ended.signal(how)
        answers = await asyncio.gather(*tasks)
        await asyncio.wait_for(ended.process.wait(), LEAVE_LIMIT_S)
        took = time.monotonic() - signalled
        log.write(f"{how.name} took {took:.2f} s\n")
        for one in answers:
            log.write(f"{one.name} {one.status} complete={one.is_complete} {len(one.body)} of {len(one.whole())}\n")
            if one.status == 200 and one.is_complete and one.body != one.whole():
                problems.append(f"{how.name}: {one.name} looks whole with {len(one.body)} of {len(one.whole())} bytes")
            if how == signal.SIGTERM and not one.is_complete:
                problems.append(f"{how.name}: {one.name} was cut after {len(one.body)} of {len(one.whole())} bytes")
        cut = sum(not one.is_complete for one in answers)
        if how == signal.SIGTERM and took > LEAVE_S:
            problems.append(f"{ended.name} ended {took:.1f} s after SIGTERM")
        if how == signal.SIGKILL and cut == 0:
            problems.append("no answer passed the node that was killed: nothing was tested")
    finally:
        for process in [*nodes, platform]:
            await process.kill()
    return problems, f"{how.name}: {cut} of {len(answers)} answers cut"


async def play_both(options, seed, log):
    problems, said = [], []
    for how in (signal.SIGTERM, signal.SIGKILL):
        found, summary = await play(options, seed, log, how)
        problems += found
        said.append(summary)
    return problems, "; ".join(said)


async def main():
    parser = argparse.ArgumentParser(description="Ends nodes through which others reach servers.")
    seeds.add_options(parser, at_once=4)
    options = parser.parse_args()
    return await seeds.play_seeds(options, "relayend", lambda seed, log: play_both(options, seed, log))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
