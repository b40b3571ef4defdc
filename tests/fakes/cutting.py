"""Fake server that breaks off its responses after any byte."""

import asyncio
import re

from wisteriapulley.unsent import discard_unsent

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
END = b"\r\n\r\n"


class CuttingServer:
    """Sends the same bytes to each request, and then ends the connection.

    Attributes
    ----------
    writes : tuple of bytes
        What it sends, one write after the other.
    first : bytes
        Sent instead, and the connection kept, to the first request of a connection.
    resets : bool
        Whether it resets the connection; otherwise it closes it in order.
    requests : int
        Requests that it has read.
    connections : int
        Connections so far.
    """

    PAUSE_S = 0.002

    def __init__(self, *writes, first=b"", resets=False):
        self.writes, self.first, self.resets = writes, first, resets
        self.requests = self.connections = 0

    async def start(self):
        """Listen, and return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            if self.first:
                await self.read_request(reader)
                writer.write(self.first)
            await self.read_request(reader)
            for data in self.writes:
                writer.write(data)
                await asyncio.sleep(self.PAUSE_S)
            if self.resets:
                discard_unsent(writer.transport)
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader):
        head = await reader.readuntil(END)
        length = LENGTH.search(head)
        await reader.readexactly(int(length[1]) if length else 0)
        self.requests += 1


def cuts(head, body=b"", step=1):
    """Yield a response cut after each number of bytes below its length."""
    whole = head + body
    yield from (whole[:size] for size in range(0, len(whole), step))
