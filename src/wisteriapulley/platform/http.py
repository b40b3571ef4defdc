"""HTTP client for targets, engines and the origin."""

import asyncio
import functools
import logging
import math
import re

import aiohttp

from wisteriapulley.direct.settings import ResponseLimits
from wisteriapulley.http_client import ResetHandler
from wisteriapulley.logs import fields
from wisteriapulley.platform import names
from wisteriapulley.unsent import discard_unsent, unsent_bytes

log = logging.getLogger(__name__)

# Time limit for connecting, which takes a millisecond within a region. A host without
# power does not respond at all, and the request must keep enough time for another
# target.
CONNECT_TIMEOUT_S = 0.4
# How long an idle connection is kept: less than the time after which targets close it.
KEEPALIVE_S = 4.0
DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
NO_LIMIT = 0
# An empty line; aiohttp accepts lines that end with LF alone.
HEAD_END = re.compile(rb"\n\r?\n")
MAX_HEAD_END_BYTES = 3
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
# What a connection reads ahead of its reader: enough to go on while the loop is busy.
# aiohttp also derives from it how many chunks it parses without returning to the loop.
READ_AHEAD_BYTES = 64 << 10
# How much of a body is parsed until it is looked at how much of that is framing.
MAX_PIECE_BYTES = 16 << 10
DEFAULT_LIMITS = ResponseLimits()


class ResponseLimitError(aiohttp.ClientError):
    """A response that passes a limit; see `direct.types.OversizedAnswerError`."""

    def __init__(self, part: str, size: int, max_size: int):
        super().__init__(f"expected at most {max_size} bytes of {part}, got {size}")
        self.part, self.size, self.max_size = part, size, max_size


class TimeLimitPassedError(aiohttp.ClientError):
    """The time limit of a request passed before it had a connection."""


class LimitedRequest(aiohttp.ClientRequest):
    """A request whose stated time limit counts from when it was made.

    Its target counts the stated time from when it reads the request. So what it took
    to get a connection is taken off, and nothing is sent once no time is left.
    """

    def __init__(self, *args: object, **options: object):
        super().__init__(*args, **options)
        self.made_s = self.loop.time()

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request to a connection."""
        stated_ms = self.headers.get(names.DEADLINE_MS)
        if stated_ms is not None:
            waited_ms = math.ceil((self.loop.time() - self.made_s) * 1000)
            left_ms = int(stated_ms) - waited_ms
            if left_ms <= 0:
                raise TimeLimitPassedError(f"no time left after {waited_ms} ms")
            self.headers[names.DEADLINE_MS] = str(left_ms)
        return await super().send(conn)


class StrictHandler(ResetHandler):
    """A connection that does not take a close or a reset for the end of a message.

    Of a request that is cancelled, aiohttp first sends the rest.
    Of a response that arrives in one read with bytes that are none, it drops all. It
    limits neither interim responses nor the number of chunks.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The event loop.
    limits : ResponseLimits
        How much may arrive for one response.

    Attributes
    ----------
    awaiting_head : bool
        Whether the head of the response in progress is incomplete.
    head_tail : bytes
        Its last bytes, in which its end may have begun.
    head_bytes, wire_bytes : int
        What was parsed of the head and of the body, with its framing.
    head_s : float
        When the head was complete.
    is_chunked : bool
        Whether the body is chunked; no other has framing.
    backlog : bytes
        What arrived since reading was paused.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: ResponseLimits = DEFAULT_LIMITS
    ):
        super().__init__(loop)
        self.limits = limits
        self.awaiting_head = True
        self.head_tail = b""
        self.head_bytes = self.wire_bytes = 0
        self.head_s = 0.0
        self.is_chunked = False
        self.backlog = b""

    def set_response_params(self, **params: object) -> None:
        """Prepare for the response to the next request."""
        self.awaiting_head = True
        self.head_tail = b""
        self.head_bytes = self.wire_bytes = 0
        self.backlog = b""
        super().set_response_params(**params)

    def feed_data(self, message: tuple, size: int = 0) -> None:
        """Queue a response whose head is complete; drop an interim response.

        No request asks for another protocol, so a switch to one is no response, and
        nothing that follows it is read.
        """
        if message[0].code == SWITCHING_PROTOCOLS:
            reason = "status 101 switches to a protocol that was not asked for"
            self.break_off(aiohttp.ClientPayloadError(reason))
            return
        if message[0].code < FIRST_FINAL_STATUS:
            return
        self.awaiting_head = False
        self.head_s = self._loop.time()
        self.is_chunked = message[0].chunked
        super().feed_data(message, size)

    def data_received(self, data: bytes) -> None:
        """Parse a head by itself, so that no error in what follows takes it along."""
        at = 0
        while self.awaiting_head and at < len(data):
            end = self.find_head_end(data, at)
            left = self.limits.head_bytes - self.head_bytes
            if left <= 0:
                size = self.head_bytes + end - at
                limit = self.limits.head_bytes
                self.break_off(ResponseLimitError("head", size, limit))
                return
            end = min(end, at + left)
            self.head_bytes += end - at
            super().data_received(data[at:end])
            at = end
            if self.exception() is not None:
                return
        if at < len(data) or not data:
            self.body_received(data[at:])

    def body_received(self, data: bytes) -> None:
        """Parse what follows the head, a little at a time, until reading is paused."""
        self.backlog += data
        if not data:
            # Goes on with what the parser holds since reading was paused.
            super().data_received(data)
        while self.backlog and not self._reading_paused:
            if self.is_chunked:
                self.check_framing()
            if self.exception() is not None:
                self.backlog = b""
                return
            piece = self.backlog[:MAX_PIECE_BYTES]
            self.backlog = self.backlog[MAX_PIECE_BYTES:]
            self.wire_bytes += len(piece)
            super().data_received(piece)

    def check_framing(self) -> None:
        """Break off a body with more framing than it may have by now."""
        excess = self.framing_excess()
        limit = self.limits.framing_limit(self._loop.time() - self.head_s)
        if excess > limit:
            self.break_off(ResponseLimitError("framing", excess, limit))

    def framing_excess(self) -> int:
        """Return by how much the framing of a body in progress outweighs it."""
        payload = self._payload
        if payload is None or payload.is_eof():
            return 0
        return self.wire_bytes - 2 * payload.total_bytes

    @property
    def should_close(self) -> bool:
        """Whether the connection can't be used again."""
        return super().should_close or bool(self.backlog)

    def break_off(self, error: aiohttp.ClientError) -> None:
        """Close the connection of a response that is not read any further."""
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(error)
        # The end of the connection would replace the error of the body.
        self._payload = None

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Break off the body in progress too, which aiohttp would leave waiting."""
        super().set_exception(exc, *cause)
        payload = self._payload
        if payload is not None and not payload.is_eof() and not payload.exception():
            is_limit = isinstance(exc, ResponseLimitError)
            payload.set_exception(
                exc if is_limit else aiohttp.ClientPayloadError(str(exc))
            )

    def find_head_end(self, data: bytes, at: int) -> int:
        """Return where the head ends that goes on at `at`, or the end of the data."""
        tail = self.head_tail
        straddling = HEAD_END.search(tail + data[at : at + MAX_HEAD_END_BYTES - 1])
        if straddling is not None:
            end = at + straddling.end() - len(tail)
        elif found := HEAD_END.search(data, at):
            end = found.end()
        else:
            self.head_tail = (tail + data[at:])[1 - MAX_HEAD_END_BYTES :]
            return len(data)
        self.head_tail = b""
        return end

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


class HttpClient:
    """One session with a connection pool, and one without.

    Parameters
    ----------
    limits : ResponseLimits, optional
        How much may arrive for one response.
    """

    def __init__(self, limits: ResponseLimits = DEFAULT_LIMITS):
        self.pooled = new_session(False, limits)
        self.unpooled = new_session(True, limits)

    def session(self, fresh: bool) -> aiohttp.ClientSession:
        """Return the unpooled session if `fresh`, else the pooled one."""
        return self.unpooled if fresh else self.pooled

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def new_session(force_close: bool, limits: ResponseLimits) -> aiohttp.ClientSession:
    """Return a session that leaves headers and bodies unchanged."""
    options = {} if force_close else {"keepalive_timeout": KEEPALIVE_S}
    connector = aiohttp.TCPConnector(
        limit=NO_LIMIT, limit_per_host=NO_LIMIT, force_close=force_close, **options
    )
    connector._factory = functools.partial(
        StrictHandler, loop=connector._loop, limits=limits
    )
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=LimitedRequest,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=DEFAULT_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        read_bufsize=READ_AHEAD_BYTES,
        max_line_size=65536,
        max_field_size=65536,
    )
    # aiohttp would retry by itself a request that may have run.
    session._retry_connection = False
    return session
