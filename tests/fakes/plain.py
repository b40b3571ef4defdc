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
                connection.transport.abort()

    async def restart(self):
        """Listen at the same address as a new incarnation."""
        self.incarnation_number += 1
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
