"""A TCP proxy on loopback whose connections a soak can delay, hold up one way, silence, reset and refuse."""

import asyncio
import socket
import struct

CHUNK = 65536
# Longest time that a held-up direction waits before it looks again.
LOOK_EVERY_S = 0.02


class FaultProxy:
    """Forwards to `target`, which may be set after the proxy listens."""

    def __init__(self):
        self.target = None
        self.delay_s = 0.0
        self.holds_up = set()  # Directions whose bytes wait: "to_server", "to_client".
        self.on_open = None  # "hang" or "reset": what happens to connections that open.
        self._server = None
        self._writers = set()
        self._port = 0
        # While nothing is accepted: sockets that keep the port, and the listen queue full in hang().
        self._holders = []
        self._starting = asyncio.Lock()  # Cuts overlap, and so do their ends.

    async def listen(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)
        host, self._port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{self._port}"
        return self.address

    def refuse(self):
        """New connections are refused; existing ones live on."""
        self._hold_port()

    def hang(self):
        """New connections get no answer, as across a network partition; existing ones live on."""
        self._hold_port()
        self._holders[0].listen(0)
        for _ in range(3):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", self._port))
            self._holders.append(client)

    async def accept_again(self):
        """Ends refuse() and hang()."""
        async with self._starting:
            self._drop_holders()
            if not self._server.is_serving():
                await self.listen()

    def _hold_port(self):
        """Stops listening; the port is kept, as another connection could take it otherwise."""
        self._server.close()
        self._drop_holders()
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", self._port))
        self._holders = [holder]

    def _drop_holders(self):
        for one in self._holders:
            one.close()
        self._holders = []

    def reset_all(self):
        """Ends every connection with a reset, as a crashed peer does."""
        for writer in list(self._writers):
            abort(writer)

    async def close(self):
        self.holds_up.clear()
        self._server.close()
        self.reset_all()

    async def _accept(self, reader, writer):
        if self.on_open == "reset":
            abort(writer)
            return
        if self.on_open == "hang":
            self._writers.add(writer)
            while self.on_open == "hang" and not reader.at_eof():
                await asyncio.sleep(LOOK_EVERY_S)
                if reader.exception():
                    break
            abort(writer)
            self._writers.discard(writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            to_server = await asyncio.open_connection(host, int(port))
        except OSError:
            abort(writer)
            return
        writers = {writer, to_server[1]}
        self._writers |= writers
        try:
            await self._forward((reader, writer), to_server)
        except asyncio.CancelledError:
            abort(writer)  # The soak is over.
        self._writers -= writers

    async def _forward(self, caller, server):
        """Until both directions have ended. Each side is a pair of reader and writer."""
        await asyncio.gather(
            self._pump(caller[0], server[1], "to_server"),
            self._pump(server[0], caller[1], "to_client"),
        )

    async def _delayed(self, direction):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        # Bytes of a connection are never dropped: a network delivers them late or resets.
        while direction in self.holds_up:
            await asyncio.sleep(LOOK_EVERY_S)

    async def _pump(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(CHUNK)
                await self._delayed(direction)
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            abort(writer)


def abort(writer):
    """Closes with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # It is closed already, which is what is wanted.
    writer.transport.abort()
