"""Connections of the HTTP client that tell a reset from the end of a response."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

NO_LIMIT = 0


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
