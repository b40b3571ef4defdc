"""Fake server that breaks off its responses after any byte."""

import asyncio
import re

from wisteriapulley.unsent import discard_unsent

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
NUMBER = re.compile(rb"\S+ /(\d+) ")
END = b"\r\n\r\n"


class CuttingServer:
    """Sends given bytes to each request, and then ends the connection.

    Parameters
    ----------
    *responses : bytes
        What it sends to a request for ``/0``, ``/1`` and so on; to any other, the
        first.
    first : bytes, optional
        Sent instead to the first request of a connection, which is kept.
    resets : bool, optional
        Whether it resets connections; otherwise it closes them in order.
    crashes : bool, optional
        Whether it first closes its listener, as the end of its process does.
    last_write : int, optional
        How many bytes it sends in a write of their own.

    Attributes
    ----------
    requests : int
        Requests that it has read.
    connections : int
        Connections so far.
    """

    PAUSE_S = 0.005

    def __init__(
        self, *responses, first=b"", resets=False, crashes=False, last_write=0
    ):
        self.responses = responses
        self.first, self.last_write = first, last_write
        self.resets, self.crashes = resets, crashes
        self.requests = self.connections = 0

    async def start(self):
        """Listen, and return the address."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, backlog=1000
        )
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
            await self.send(await self.read_request(reader), writer)
            if self.crashes:
                self.server.close()
            if self.resets:
                # What was written has arrived before.
                await asyncio.sleep(self.PAUSE_S)
                discard_unsent(writer.transport)
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader):
        """Read a request; return its response."""
        head = await reader.readuntil(END)
        length = LENGTH.search(head)
        await reader.readexactly(int(length[1]) if length else 0)
        self.requests += 1
        number = NUMBER.match(head)
        return self.responses[int(number[1]) if number else 0]

    async def send(self, response, writer):
        """Send a response in one or two writes."""
        at = max(0, len(response) - self.last_write)
        writer.write(response[:at])
        if self.last_write:
            await asyncio.sleep(self.PAUSE_S)
            writer.write(response[at:])


def cuts(whole, begin=0):
    """Return a response cut after each number of bytes from `begin`."""
    return [whole[:size] for size in range(begin, len(whole))]
