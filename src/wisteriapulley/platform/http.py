"""HTTP client for targets, engines and the origin."""

import functools
import logging

import aiohttp
from aiohttp.client_proto import ResponseHandler

from wisteriapulley.logs import fields
from wisteriapulley.platform.unsent import discard_unsent, unsent_bytes

log = logging.getLogger(__name__)

# Time limit for connecting, which takes a millisecond within a region. A host without
# power does not respond at all, and the request must keep enough time for another
# target.
CONNECT_TIMEOUT_S = 0.4
# How long an idle connection is kept: less than the time after which targets close it.
KEEPALIVE_S = 4.0
DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
NO_LIMIT = 0


class StrictHandler(ResponseHandler):
    """A connection that does not take a close or a reset for the end of a message.

    A response without a length ends when its connection closes, and aiohttp treats a
    reset as such an end. Of a request that is cancelled, aiohttp first sends the rest.
    """

    def close(self) -> None:
        """Close the connection; reset it if the peer has not acknowledged everything.

        An orderly close would first send the rest of a request that was cancelled on
        its way, and the peer would run it.
        """
        transport = self.transport
        unsent = unsent_bytes(transport) if transport is not None else 0
        if not unsent:
            super().close()
            return
        log.info(
            "connection closed before all was sent",
            extra=fields(peer=transport.get_extra_info("peername"), unsent=unsent),
        )
        discard_unsent(transport)
        self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark the response in progress as broken before aiohttp treats it as ended."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class HttpClient:
    """One session with a connection pool, and one without."""

    def __init__(self):
        self.pooled = new_session(force_close=False)
        self.unpooled = new_session(force_close=True)

    def session(self, fresh: bool) -> aiohttp.ClientSession:
        """Return the unpooled session if `fresh`, else the pooled one."""
        return self.unpooled if fresh else self.pooled

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def new_session(force_close: bool) -> aiohttp.ClientSession:
    """Return a session that leaves headers and bodies unchanged."""
    options = {} if force_close else {"keepalive_timeout": KEEPALIVE_S}
    connector = aiohttp.TCPConnector(
        limit=NO_LIMIT, limit_per_host=NO_LIMIT, force_close=force_close, **options
    )
    connector._factory = functools.partial(StrictHandler, loop=connector._loop)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=DEFAULT_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        max_line_size=65536,
        max_field_size=65536,
    )
    # aiohttp would retry by itself a request that may have run.
    session._retry_connection = False
    return session
