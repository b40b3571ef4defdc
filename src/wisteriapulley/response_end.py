"""Ends responses of an aiohttp server."""

import asyncio

from aiohttp import web

POLL_INTERVAL_S = 0.01


async def write_end(
    response: web.StreamResponse, transport: asyncio.Transport | None
) -> None:
    """Write the end of a response, and wait until no byte of it is left here.

    aiohttp returns while up to 64 kB wait for a slow reader. They would be lost with a
    process that stops because it has no request in progress.
    """
    await response.write_eof()
    while transport is not None and not transport.is_closing():
        if not transport.get_write_buffer_size():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
