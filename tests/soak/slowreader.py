#!/usr/bin/env python3
"""Stops a node by SIGTERM while callers slowly read answers that their server has given in full.

    tests/soak/slowreader.py --build build

What is checked: each answer is whole, and the node ends within its time, soon after the last byte was read.
"""

import argparse
import asyncio
import pathlib
import signal
import socket
import sys
import tempfile
import time

from callers import read_head
from fleet import LEAVE_LIMIT_S, Node, Platform
import organisations as organisation

READERS = 6
ANSWER_BYTES = 7 * 1024 * 1024
# Of each reader; the whole takes longer than a node that leaves waits for late callers.
BYTES_PER_S = 1_400_000
READ_BYTES = 35_000
RECEIVE_BUFFER_BYTES = 32_768
PATIENCE_S = 8.0
# From the last byte that a reader has got to the end of the node.
END_LIMIT_S = 2.0


async def read_slowly(node, name, key):
    """Returns whether the answer is whole, and when its last byte came."""
    host, port = node.callers.target.rsplit(":", 1)
    # What the kernels hold outlives the node.
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=connection, limit=READ_BYTES)
    lines = [f"POST /plain/{name} HTTP/1.1", "Host: site.example", f"Indigoway-Request-Id: {name}",
             f"Indigoway-Request-Deadline: {int(PATIENCE_S * 1000)}", f"X-Api-Key: {key}",
             "Content-Length: 4", "", "body"]
    try:
        writer.write("\r\n".join(lines).encode())
        status, headers = await read_head(reader)
        left = int(headers["content-length"])
        while left > 0:
            left -= len(await reader.readexactly(min(READ_BYTES, left)))
            await asyncio.sleep(READ_BYTES / BYTES_PER_S)
        return status == 200 and int(headers["content-length"]) > ANSWER_BYTES, time.monotonic()
    except (OSError, EOFError, KeyError):
        return False, time.monotonic()
    finally:
        writer.transport.abort()


async def play(options, log):
    platform = Platform(options.build, log)
    node = Node("n1", options.build, log)
    problems = []
    try:
        await platform.start()
        node.store.target = platform.address
        await node.store.listen()
        await node.callers.listen()
        await node.start()
        organisations = organisation.Organisations(time.monotonic)
        await platform.declare(organisations.declared())
        await node.wait_for_line('"kind":"routing"', f'"version":"{platform.version}"')
        await platform.control({"plain_padding": ANSWER_BYTES})
        key = organisations.good_keys()[-1]
        readers = [asyncio.create_task(read_slowly(node, f"slow-{i}", key)) for i in range(READERS)]
        await asyncio.sleep(0.5)
        node.is_expected_to_end = True
        node.signal(signal.SIGTERM)
        ends = await asyncio.gather(*readers)
        last = max(at for _, at in ends)
        await asyncio.wait_for(node.process.wait(), LEAVE_LIMIT_S)
        if time.monotonic() - last > END_LIMIT_S:
            problems.append(f"the node ended {time.monotonic() - last:.1f} s after the last byte was read")
        cut = sum(not is_whole for is_whole, _ in ends)
        if cut:
            problems.append(f"{cut} of {READERS} answers were cut")
        print(f"{READERS - cut} of {READERS} answers whole")
    finally:
        for process in (node, platform):
            await process.kill()
    return problems


async def main():
    parser = argparse.ArgumentParser(description="Stops a node under slow readers.")
    parser.add_argument("--build", default="build", help="folder with the programs")
    parser.add_argument("--logs", default=tempfile.gettempdir(), help="folder for the log")
    options = parser.parse_args()
    path = pathlib.Path(options.logs) / "slowreader.log"
    with open(path, "w", encoding="utf-8") as log:
        problems = await play(options, log)
    for problem in problems:
        print(f"    {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
