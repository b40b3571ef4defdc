"""Baseline of ``bench.load``: a round-robin proxy with unbounded queues.

It forwards each request to the next target immediately, refuses none and ignores
deadlines.
"""

import argparse
import asyncio
import itertools

import aiohttp
from aiohttp import web

MAX_BODY_BYTES = 8 << 20


class RoundRobin:
    """Proxy that forwards to each target in turn."""

    def __init__(self, targets: list[str], session: aiohttp.ClientSession):
        self.urls = itertools.cycle(targets)
        self.session = session

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Forward one request."""
        body = await request.read()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "none")}
        url = next(self.urls) + request.path
        async with self.session.post(
            url, data=body, headers=headers
        ) as target_response:
            response = web.StreamResponse(status=target_response.status)
            response.content_type = target_response.content_type
            await response.prepare(request)
            async for part in target_response.content.iter_any():
                await response.write(part)
        await response.write_eof()
        return response


async def main() -> None:
    """Parse the command line and run the proxy."""
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
