"""Fake plain target with the platform's HTTP interface, crashed by some bodies."""

import asyncio

from aiohttp import web

from tests.fakes.platform import SignallingTarget


class PlainTarget(SignallingTarget):
    """Responds after its service time, or crashes.

    Parameters
    ----------
    number : int
        Part of the target id of all its incarnations.
    crash_bodies : set of bytes
        Bodies that crash the target when it starts to run them.

    Attributes
    ----------
    runs : list of bytes
        Bodies that it started to run, in order.
    service_time_s : float
        Time to run a request.
    """

    def __init__(self, number, crash_bodies=frozenset()):
        super().__init__()
        self.number = number
        self.crash_bodies = crash_bodies
        self.incarnation_number = 0
        self.runs = []
        self.service_time_s = 0.0
        self.app.add_routes([web.route("*", "/{tail:.*}", self.serve)])

    @property
    def target_id(self):
        return f"i-{self.number}-{self.incarnation_number}"

    @property
    def is_up(self):
        return bool(self.runner.sites)

    async def serve(self, request):
        body = await request.read()
        rejection = self.record_arrival(request)
        if rejection is not None:
            return rejection
        self.runs.append(body)
        if body in self.crash_bodies:
            await self.crash()
            raise asyncio.CancelledError
        await asyncio.sleep(self.service_time_s)
        await self.awake.wait()
        headers = {
            "X-Request-Attempt-Id": request.headers["X-Request-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.target_id}",
            **self.signal_headers(),
        }
        return web.Response(body=b"answer to " + body, headers=headers)

    async def crash(self):
        """Close the listener and all connections at once, as a process exit does."""
        for site in tuple(self.runner.sites):
            site._server.close()
            self.runner._unreg_site(site)
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                self.end_connection(connection.transport)

    def end_connection(self, transport):
        """Reset a connection, as the kernel does if data is left unread."""
        transport.abort()

    async def restart(self):
        """Listen at the same address as a new incarnation."""
        self.incarnation_number += 1
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()


class UnframedResponse:
    """A response with neither a length nor chunks, which ends with its connection."""

    def __init__(self, headers):
        self.headers = {**headers, "Connection": "close"}

    async def prepare(self, request):
        self.transport = request.transport
        lines = "".join(f"{name}: {value}\r\n" for name, value in self.headers.items())
        self.transport.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())

    async def write(self, data):
        self.transport.write(data)

    async def write_eof(self):
        self.transport.close()
        raise asyncio.CancelledError


class StreamTarget(PlainTarget):
    """Streams events, and crashes before the first one of some prompts.

    Attributes
    ----------
    crash_parts : set of str
        Parts of prompts that crash the target when it begins to answer.
    response_class : type
        `UnframedResponse` for responses that end with their connection. A crash then
        closes its connections in the same way.
    """

    EVENTS = 4
    EVENT_S = 0.02

    def __init__(self, number, crash_parts=frozenset()):
        super().__init__(number)
        self.crash_parts = crash_parts
        self.response_class = web.StreamResponse
        self.service_time_s = 0.05

    def crashes_on(self, request):
        entries = request.headers["X-Prompt-Prefix"].split(",")
        return any(entry.split(":")[0] in self.crash_parts for entry in entries)

    async def serve(self, request):
        body = await request.read()
        rejection = self.record_arrival(request)
        if rejection is not None:
            return rejection
        self.runs.append(body)
        await asyncio.sleep(self.service_time_s)
        headers = {
            "X-Request-Attempt-Id": request.headers["X-Request-Attempt-Id"],
            "Content-Type": "text/event-stream",
        }
        response = self.response_class(headers=headers)
        await response.prepare(request)
        if self.crashes_on(request):
            await self.crash()
            raise asyncio.CancelledError
        for number in range(self.EVENTS):
            await response.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(self.EVENT_S)
        await response.write_eof()
        return response

    def end_connection(self, transport):
        if self.response_class is UnframedResponse:
            transport.close()
        else:
            super().end_connection(transport)
