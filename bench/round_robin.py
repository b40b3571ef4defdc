"""Baseline of ``bench.load``: round robin with unbounded queues, as a process.

It passes each request to the next target at once, refuses none and knows
nothing of deadlines.
"""

import argparse
import asyncio
import itertools

import aiohttp
from aiohttp import web

MAX_BODY_BYTES = 8 << 20


class RoundRobin:
    """Proxy that takes targets in turn."""

    def __init__(self, targets: list[str], session: aiohttp.ClientSession):
        self.turns = itertools.cycle(targets)
        self.session = session

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Pass one request on."""
        body = await request.read()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "none")}
        url = next(self.turns) + request.path
        async with self.session.post(url, data=body, headers=headers) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for part in answer.content.iter_any():
                await response.write(part)
        await response.write_eof()
        return response


async def main() -> None:
    """Run as a process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--targets", required=True)
    args = parser.parse_args()
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        proxy = RoundRobin(args.targets.split(","), session)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes([web.post("/{rest:.*}", proxy.serve)])
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", args.port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
