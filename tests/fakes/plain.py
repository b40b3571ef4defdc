"""A plain target that some bodies crash, as the platform's targets speak."""

import asyncio

from aiohttp import web

from tests.fakes.platform import Stating


class PlainTarget(Stating):
    """Answers at once, or crashes.

    Parameters
    ----------
    number : int
        Names it and its successors at the address.
    crashed_by : set of bytes
        Bodies that end the process when it begins to run them.

    Attributes
    ----------
    runs : list of bytes
        Bodies that it began to run, in order.
    work_s : float
        How long an answer takes.
    """

    def __init__(self, number, crashed_by=frozenset()):
        super().__init__()
        self.number = number
        self.crashed_by = crashed_by
        self.start_number = 0
        self.runs = []
        self.work_s = 0.0
        self.open_transports = set()
        self.app.add_routes([web.route("*", "/{tail:.*}", self.serve)])

    @property
    def target_id(self):
        return f"i-{self.number}-{self.start_number}"

    @property
    def is_up(self):
        return bool(self.runner.sites)

    async def serve(self, request):
        transport = request.transport
        self.open_transports.add(transport)
        try:
            return await self.answer(request)
        finally:
            self.open_transports.discard(transport)

    async def answer(self, request):
        body = await request.read()
        away = self.arrived(request)
        if away is not None:
            return away
        self.runs.append(body)
        if body in self.crashed_by:
            await self.crash()
            raise asyncio.CancelledError
        await asyncio.sleep(self.work_s)
        headers = {
            "X-Request-Attempt-Id": request.headers["X-Request-Attempt-Id"],
            "X-Server-Stamp": f"stamp.{self.target_id}",
            **self.stated(),
        }
        return web.Response(body=b"answer to " + body, headers=headers)

    async def crash(self):
        """Close everything at once, as the end of a process does."""
        for site in tuple(self.runner.sites):
            site._server.close()
            self.runner._unreg_site(site)
        for transport in tuple(self.open_transports):
            transport.abort()

    async def start_again(self):
        """Listen at the same address, as another incarnation."""
        self.start_number += 1
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
