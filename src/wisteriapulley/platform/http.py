"""The one HTTP client of the adapter: to targets, engines and the origin."""

import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

# A connection within a region takes a millisecond; a host without power answers
# nothing, and the request then still has time for another target.
CONNECT_TIMEOUT_S = 0.4
# Below the time after which targets close idle connections.
KEEPALIVE_S = 4.0
DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
NO_LIMIT = 0


class StrictHandler(ResponseHandler):
    """A connection whose reset never looks like the end of an answer.

    An answer without a length ends with its connection, and the library takes a
    reset for such an end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark the answer in progress as broken before it counts as ended."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class HttpClient:
    """Sessions on one pool of kept connections, and on none."""

    def __init__(self):
        self.pooled = new_session(force_close=False)
        self.unpooled = new_session(force_close=True)

    def session(self, fresh: bool) -> aiohttp.ClientSession:
        """Return the session that keeps connections, or the one that does not."""
        return self.unpooled if fresh else self.pooled

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def new_session(force_close: bool) -> aiohttp.ClientSession:
    """Make a session that changes nothing of what it sends and receives."""
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
    # The library would send again by itself what may have run.
    session._retry_connection = False
    return session
