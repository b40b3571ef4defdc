"""Ends responses of an aiohttp server."""

import asyncio

from aiohttp import hdrs, web

from wisteriapulley.unsent import discard_unsent

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


def cut(response: web.StreamResponse, transport: asyncio.Transport | None) -> None:
    """Close the connection of an incomplete response, so that no caller takes it whole.

    Without a length and chunks, as for callers of HTTP/1.0, the end of the connection
    ends the response, and a reset does not.
    """
    if transport is None or transport.is_closing():
        return
    if is_unframed(response):
        discard_unsent(transport)
        transport.abort()
    else:
        transport.close()


def is_unframed(response: web.StreamResponse) -> bool:
    """Return whether a response whose head was sent ends with its connection."""
    is_chunked = hdrs.TRANSFER_ENCODING in response.headers
    return response.content_length is None and not is_chunked
