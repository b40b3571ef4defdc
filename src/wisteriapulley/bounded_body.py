"""Reads bodies whose largest size is known, and closes connections that send more."""

import logging
from collections.abc import AsyncIterator

import aiohttp

from wisteriapulley.logs import fields

log = logging.getLogger(__name__)

# Maximum size of a body that is read only to keep its connection.
MAX_ERROR_BYTES = 64 << 10


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body is longer than its content can be.

    Parameters
    ----------
    peer : str
        Host and port of the peer.
    limit : int
        Maximum size in bytes.
    size : int
        Stated length, or the bytes that were received until then.
    """

    def __init__(self, peer: str, limit: int, size: int):
        super().__init__(f"expected at most {limit} bytes from {peer}, got {size}")


async def bounded_parts(
    response: aiohttp.ClientResponse, limit: int, part_bytes: int = 0
) -> AsyncIterator[bytes]:
    """Yield a body of at most `limit` bytes as it arrives.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose head has arrived.
    limit : int
        Maximum size of the body in bytes.
    part_bytes : int
        Maximum size of a part; 0 for whatever has arrived.

    Raises
    ------
    BodyTooLongError
        The body is longer, or states a greater length; the connection is closed.
    """
    check_size(response, limit, response.content_length or 0)
    content = response.content
    parts = content.iter_chunked(part_bytes) if part_bytes else content.iter_any()
    received = 0
    async for part in parts:
        received += len(part)
        check_size(response, limit, received)
        yield part


async def read_bounded(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return a complete body of at most `limit` bytes; see `bounded_parts`."""
    return b"".join([part async for part in bounded_parts(response, limit)])


def check_size(response: aiohttp.ClientResponse, limit: int, size: int) -> None:
    """Close the connection if `size` exceeds `limit`."""
    if size <= limit:
        return
    response.close()
    peer = f"{response.url.host}:{response.url.port}"
    log.warning(
        "response too long",
        extra=fields(peer=peer, path=response.url.path, limit=limit, size=size),
    )
    raise BodyTooLongError(peer, limit, size)
