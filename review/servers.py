"""Plain servers: they report to control, run requests and leave as planned."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
from standins.deployment import HEARTBEAT_S

CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class PlainServer:
    """One server of a service; `runs` holds the time and id of each run."""

    def __init__(self, deployment, session, service, instance, zone, work_s=0.06):
        self.deployment, self.session = deployment, session
        self.service, self.instance, self.zone = service, instance, zone
        self.work_s = work_s
        self.sequence = 0
        self.runs = []
        self.running = 0
        self.task = None
        app = web.Application(client_max_size=8 << 20)
        app.router.add_route("*", "/{tail:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)

    async def start(self, host):
        """Listen, and begin to report."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.task = asyncio.create_task(self.report_loop())

    async def stop(self):
        """Exit."""
        if self.task is not None:
            self.task.cancel()
        await self.runner.cleanup()

    def controls(self):
        """Return all control addresses, in random order."""
        machines = [m for m in self.deployment.machines if "control" in m.roles]
        return random.sample([m.address(10) for m in machines], len(machines))

    async def call(self, address, path, body):
        """Make one call to control; return whether it was acknowledged."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.session.post(
                f"http://{address}{path}", json=body, timeout=CALL_TIMEOUT
            ) as response:
                await response.read()
                return 200 <= response.status < 300
        return False

    async def report(self):
        """Send one status report; move on to the next node if it fails."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        path = f"/api/Instances.Heartbeat/{self.instance}"
        for address in self.controls():
            if await self.call(address, path, body):
                return

    async def report_loop(self):
        """Report at the interval of the settings."""
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self, address):
        """Say that it leaves; return whether that was acknowledged."""
        self.task.cancel()
        path = f"/api/Instances.Deregister/{self.instance}"
        return await self.call(address, path, {})

    async def serve(self, request):
        """Run a request."""
        body = await request.read()
        if request.path == "/health":
            return web.Response(headers={"X-Instance-Id": self.instance})
        attempt = request.headers.get("X-Request-Attempt-Id", "")
        if request.headers.get("X-Expect-Instance", self.instance) != self.instance:
            return web.Response(status=421, headers={"X-Not-Executed": "1"})
        self.runs.append((self.deployment.now_s(), attempt))
        self.deployment.record(f"{self.instance} runs {attempt}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers = {
            "X-Request-Attempt-Id": attempt,
            "X-Server-Stamp": f"stamp.{self.instance}.{attempt}",
            "X-Server-Load": f"{self.running},0,6",
        }
        return web.Response(body=b"answer to " + body, headers=headers)
