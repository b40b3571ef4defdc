"""Callers on plain sockets, which may send in parts and behind one another."""

import asyncio
import socket
import time
from typing import NamedTuple

CLOSED, RESET = "closed", "reset"


class Request(NamedTuple):
    """A request of a caller."""

    request_id: str
    data: bytes


class Response(NamedTuple):
    """A whole response, and when it had arrived."""

    status: int
    body: bytes
    at_s: float


class RawCaller:
    """One connection to an entry.

    Attributes
    ----------
    begun : list of str
        Ids of the requests of which a part was sent, in order.
    whole : set of str
        Those that were sent whole.
    responses : list of Response
        The whole responses, in the order of the requests.
    received : bytearray
        What has arrived of the next response.
    end : str
        ``CLOSED`` if the entry closed the connection and had read all that was sent
        before; ``RESET`` if it had not, as the system then resets the connection.
    """

    def __init__(self, host, port):
        self.address = host, port
        self.begun = []
        self.whole = set()
        self.responses = []
        self.received = bytearray()
        self.end = ""

    async def open(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.socket = self.writer.transport.get_extra_info("socket")
        self.reading = asyncio.create_task(self.read(reader))

    async def wait_for_end(self):
        await asyncio.wait([self.reading])

    async def leave(self):
        """Close the connection without waiting for responses."""
        self.writer.transport.abort()
        await self.wait_for_end()

    async def read(self, reader):
        try:
            while data := await reader.read(65536):
                self.received += data
                while response := take_response(self.received):
                    self.responses.append(response)
            error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as caught:
            error = caught
        self.end = RESET if error else CLOSED
        self.writer.transport.abort()

    @property
    def is_open(self):
        return not self.end and not self.writer.transport.is_closing()

    @property
    def statuses(self):
        return [response.status for response in self.responses]

    @property
    def unanswered(self):
        """Ids of the requests that were sent whole and have no whole response."""
        return [
            each for each in self.begun[len(self.responses) :] if each in self.whole
        ]

    def send(self, *requests):
        """Send whole requests in one write."""
        if self.is_open:
            self.begun += (request.request_id for request in requests)
            self.whole.update(request.request_id for request in requests)
            self.write(b"".join(request.data for request in requests))

    async def send_in_parts(self, request, count, pause):
        """Send a request in equal parts; `pause` returns what to wait for between."""
        size = -(-len(request.data) // count)
        parts = [request.data[at : at + size] for at in range(0, size * count, size)]
        self.begin(request, parts[0])
        for part in parts[1:]:
            await pause()
            self.write(part)
        if self.is_open:
            self.whole.add(request.request_id)

    def begin(self, request, part):
        """Send the first part of a request."""
        if self.is_open:
            self.begun.append(request.request_id)
            self.write(part)

    def write(self, data):
        if self.is_open:
            self.writer.write(data)


def take_response(received):
    """Remove a whole response from the start of some bytes; None if there is none."""
    head, separator, rest = bytes(received).partition(b"\r\n\r\n")
    if not separator:
        return None
    lines = head.decode().lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    if "content-length" in fields:
        length = int(fields["content-length"])
        if len(rest) < length:
            return None
        body, rest = rest[:length], rest[length:]
    else:
        taken = take_chunks(rest)
        if taken is None:
            return None
        body, rest = taken
    received[:] = rest
    return Response(int(lines[0].split()[1]), body, time.monotonic())


def take_chunks(data):
    """Return a whole chunked body and what follows it; None if it is not whole."""
    body = b""
    while True:
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return None
        size = int(line, 16)
        if len(rest) < size + 2:
            return None
        body, data = body + rest[:size], rest[size + 2 :]
        if not size:
            return body, data
