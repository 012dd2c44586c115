"""A fault proxy behind which servers give their answers no length: they end with their connection."""

from callers import read_chunk, read_head
from faultproxy import FaultProxy, abort

CLOSE = b"\r\nConnection: close\r\n\r\n"
FRAMING = {"content-length", "transfer-encoding", "connection", "keep-alive"}


class BareProxy(FaultProxy):
    """Of the connections, `bare_share` get bare answers, drawn with `random`."""

    def __init__(self, random, bare_share=1.0):
        super().__init__()
        self.random = random
        self.bare_share = bare_share

    async def _pump(self, reader, writer, direction):
        if direction == "to_server" or self.random.random() >= self.bare_share:
            await super()._pump(reader, writer, direction)
            return
        try:
            await self._answer_bare(reader, writer)
        except (OSError, RuntimeError, ValueError, EOFError):
            abort(writer)  # The server broke off: a regular end would complete the answer.

    async def _answer_bare(self, reader, writer):
        status, headers = await read_head(reader)
        lines = [f"HTTP/1.1 {status} -"]
        lines += [f"{name}: {value}" for name, value in headers.items()
                  if name and name not in FRAMING]
        await self._pass(writer, "\r\n".join(lines).encode("latin-1") + CLOSE)
        if headers.get("transfer-encoding") == "chunked":
            while chunk := await read_chunk(reader):
                await self._pass(writer, chunk)
        else:
            await self._pass(writer, await reader.readexactly(int(headers.get("content-length", 0))))
        writer.write_eof()

    async def _pass(self, writer, data):
        await self._delayed("to_client")
        writer.write(data)
        await writer.drain()
