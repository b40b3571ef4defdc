"""Tells the end of a response from the end of its connection."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

NO_LIMIT = 0
# Responses with these statuses have no body.
BODILESS_STATUSES = frozenset({204, 304})


class ResetHandler(ResponseHandler):
    """A connection that does not take a reset for the end of a response.

    A response without a length ends when its connection closes, and aiohttp treats a
    reset as such an end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark the response in progress as broken before aiohttp treats it as ended."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


def new_session() -> aiohttp.ClientSession:
    """Return a session without time limits whose connections tell a reset."""
    connector = aiohttp.TCPConnector(limit=NO_LIMIT)
    connector._factory = functools.partial(ResetHandler, loop=connector._loop)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
    )


def is_bodiless(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response has no body, whatever length it states."""
    return response.method == "HEAD" or response.status in BODILESS_STATUSES


def is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a body ends with its connection (RFC 9112, section 6.3)."""
    if is_bodiless(response):
        return False
    encoding = response.headers.get("Transfer-Encoding", "")
    return response.content_length is None and "chunked" not in encoding.lower()
