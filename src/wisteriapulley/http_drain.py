"""Connections of an aiohttp server that answer every request they have read.

aiohttp closes a connection by a flag: it drops what arrives from then on and what it
has parsed already, so that callers get no answer to requests that were read. What a
connection has read can be told only from private parts of the library;
`tests/test_library_connections.py` fails if they change their meaning.
"""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from aiohttp import StreamReader, web

from wisteriapulley.logs import fields

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02
# Time limit for closing connections whose requests are answered or refused.
CLOSE_TIMEOUT_S = 0.2
# How long a caller has to take a response that ends its connection before its body.
UNREAD_BODY_WAIT_S = 1.0
# How long a connection may take beyond its idle limit for the rest of a head.
HEAD_TIMEOUT_S = 20.0
# Turns of the loop in which a connection that was accepted becomes known.
ACCEPT_TURNS = 3


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    Attributes
    ----------
    server : CallerServer
        Server that accepted the connection.
    body : aiohttp.StreamReader or None
        Body of the last request whose head has arrived.
    partial_of : int
        How many requests had arrived when a part of the next head did; -1 before. It
        says nothing any more once that head is complete, and counts as a request.
    close_announced : bool
        Whether a response has told the caller that no other will follow.
    arrivals_s : list of float
        When the heads of the requests arrived that are not handled yet.
    answered_s : float
        When the last response ended, on the loop's clock; before the first one, when
        the connection was accepted.
    """

    __slots__ = (
        "answered_s",
        "arrivals_s",
        "body",
        "close_announced",
        "partial_of",
        "server",
    )

    def __init__(self, server: "CallerServer", **options: object):
        super().__init__(server, **options)
        self.server = server
        # The parser counts a request as queued until it is handled, or for good if its
        # body ends later. So it may pause one request before aiohttp expects it to, and
        # nothing would make it go on.
        self._max_msg_queue_size -= 1
        self.body: StreamReader | None = None
        self.partial_of = -1
        self.close_announced = False
        self.arrivals_s: list[float] = []
        self.answered_s: float = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, and note whether it is a part of a head."""
        request_count = self._request_count
        is_body = self.has_partial_body
        super().data_received(data)
        new_count = self._request_count - request_count
        if self._messages:
            self.body = self._messages[-1][1]
        if new_count:
            self.arrivals_s.extend([self._loop.time()] * new_count)
        elif not is_body and data.strip():
            self.partial_of = request_count

    def take_arrival_s(self) -> float:
        """Return when the head of the next request to handle arrived."""
        # aiohttp parses what came behind a declined upgrade by itself.
        return self.arrivals_s.pop(0) if self.arrivals_s else self._loop.time()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Log the requests that end without a response, unless the caller left."""
        is_own_close = self._close or self._force_close or self._task_handler is None
        progress = self.progress()
        if is_own_close and any(progress.values()):
            log.warning("connection closed before its end", extra=fields(**progress))
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        """Close an idle connection, but give the rest of a head its time.

        aiohttp calls this when the time to wait for a request has passed.
        """
        ends_s = self._next_keepalive_close_time + HEAD_TIMEOUT_S
        if self.has_partial_head and self._loop.time() < ends_s:
            self._keepalive_handle = self._loop.call_at(ends_s, self._process_keepalive)
        else:
            super()._process_keepalive()

    @property
    def requests_read(self) -> int:
        """How many requests have arrived."""
        return self._request_count

    @property
    def is_idle(self) -> bool:
        """Whether each request that has arrived has its response.

        The task of a connection waits for a request, or has not begun. It does neither
        while a request was parsed and is not yet handled.
        """
        if self._waiter is None:
            return not self._request_count
        return not self._waiter.done()

    @property
    def has_partial_body(self) -> bool:
        """Whether the body of the last request is incomplete."""
        return self.body is not None and not self.body.is_eof()

    @property
    def has_partial_head(self) -> bool:
        """Whether a part of the head of the next request has arrived."""
        return self.partial_of == self._request_count

    @property
    def has_more(self) -> bool:
        """Whether anything has arrived behind the request in progress."""
        return bool(self._messages) or self.has_partial_head or self.has_partial_body

    @property
    def has_earlier_requests(self) -> bool:
        """Whether what has arrived behind did so before the server's listener closed.

        A caller that always sends the next request before it has the last response
        would keep the connection open, if all that it has sent were waited for.
        """
        if self.arrivals_s:
            return self.arrivals_s[0] <= self.server.listener_closed_s
        return self.has_more

    def progress(self) -> dict[str, object]:
        """Return what has arrived, and is not answered, as fields of a log line."""
        return {
            "unanswered": len(self._messages) + self._request_in_progress,
            "partial_head": self.has_partial_head,
            "partial_body": self.has_partial_body,
        }

    def announce_close(self, response: web.StreamResponse) -> None:
        """Let a response tell the caller that the connection closes behind it.

        aiohttp's own way would drop a request that arrives before the response ends.
        """
        response.headers["Connection"] = "close"
        self.close_announced = True

    def end_connection(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Let the connection close behind a response, unless earlier requests wait.

        The rest of an incomplete body is read for a while: a close beside unread bytes
        could keep the caller from reading the response.
        """
        if not request.content.is_eof():
            self._lingering_time = UNREAD_BODY_WAIT_S
            self.announce_close(response)
        elif not self.has_earlier_requests:
            self.announce_close(response)

    async def finish_response(
        self, request: web.BaseRequest, response: web.StreamResponse, start_s: object
    ) -> tuple[web.StreamResponse, bool]:
        """End a response, and close the connection if the caller was told so."""
        if self.server.closing and not getattr(response, "prepared", True):
            self.end_connection(request, response)
        result = await super().finish_response(request, response, start_s)
        self.answered_s = self._loop.time()
        if self.close_announced and not self.has_more:
            self.force_close()
        return result


class CallerServer(web.Server):
    """An aiohttp server with connections of the class `CallerConnection`.

    Parameters
    ----------
    handler : callable
        Responds to a request.
    request_factory : callable, optional
        Creates the requests.
    handler_cancellation : bool
        Whether a request ends when its caller leaves.
    **options : object
        Options of each connection.

    Attributes
    ----------
    listener_closed_s : float
        When it began to accept no new connections, on the loop's clock.
    closing : bool
        Whether responses tell their callers that the connection closes.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        request_factory: Callable[..., web.BaseRequest] | None,
        handler_cancellation: bool = True,
        **options: object,
    ):
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
        )
        self.options = options
        self.listener_closed_s = math.inf
        self.closing = False

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self.options)


def close_idle(
    server: CallerServer,
    keep_partial_heads: bool = False,
    answered_before_s: float = math.inf,
) -> None:
    """Close idle connections.

    Parameters
    ----------
    server : CallerServer
        Server whose connections to close.
    keep_partial_heads : bool
        Whether to keep the connections on which a part of a head has arrived.
    answered_before_s : float
        Keep the connections whose last response ended later, on the loop's clock,
        unless it announced the close.
    """
    for connection in server.connections:
        is_kept = keep_partial_heads and connection.has_partial_head
        if not connection.close_announced:
            is_kept |= connection.answered_s > answered_before_s
        if connection.is_idle and not is_kept:
            connection.force_close()


async def close_when_answered(
    server: CallerServer,
    ends_s: float,
    head_ends_s: float = 0.0,
    next_wait_s: float = 0.0,
) -> None:
    """Close each connection once all requests that were read on it have a response.

    A caller that no response told of the close may just be sending its next request.
    That one is waited for, and its response announces the close.

    Parameters
    ----------
    server : CallerServer
        Server that accepts no new connections any more.
    ends_s : float
        When to stop waiting, on the loop's clock.
    head_ends_s : float
        When to stop waiting for the rest of a head, on the loop's clock.
    next_wait_s : float
        How long to wait for a request behind the last response, in seconds.
    """
    now_s = asyncio.get_running_loop().time
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
    while True:
        close_idle(server, now_s() < head_ends_s, now_s() - next_wait_s)
        if not server.connections or now_s() >= ends_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def abort_remaining(server: CallerServer) -> None:
    """Abort the connections that are still open once each request has its response.

    The rest of a refused body may be read there, for longer than a stop may take.
    """
    for connection in server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
