"""HTTP listener that answers every request it has read before it closes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.http_drain import (
    CLOSE_TIMEOUT_S,
    POLL_INTERVAL_S,
    CallerServer,
    close_when_answered,
)
from wisteriapulley.logs import fields
from wisteriapulley.settings import Address

log = logging.getLogger(__name__)

# How long a stop waits for requests in progress, and for the rest of a head. Callers
# of a control instance turn to another one after a second.
STOP_LIMIT_S = 1.0
RETRY_AFTER_MS = 200

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
Refuse = Callable[[WisteriapulleyError], web.StreamResponse]


class HttpListener:
    """Listens for HTTP requests, and answers or refuses all of them when it stops.

    Parameters
    ----------
    handler : callable
        Responds to a request.
    refuse : callable
        Returns the response to a request that a stop leaves undone, from its error.
    request_factory : callable, optional
        Creates the requests.
    overdue_code : ResultCode
        Result of a request that was read whole and is not done in time.
    handler_cancellation : bool
        Whether a request ends when its caller leaves.

    Attributes
    ----------
    limits : set of asyncio.Timeout
        Time limits of the requests in progress; none before a stop.
    ends_s : float or None
        When a stop refuses the requests in progress, on the loop's clock.
    """

    def __init__(
        self,
        handler: RequestHandler,
        refuse: Refuse,
        request_factory: Callable[..., web.BaseRequest] | None = None,
        overdue_code: ResultCode = ResultCode.MAY_HAVE_RUN,
        handler_cancellation: bool = False,
    ):
        self.handler = handler
        self.refuse = refuse
        self.overdue_code = overdue_code
        self.limits: set[asyncio.Timeout] = set()
        self.ends_s: float | None = None
        self.server = CallerServer(
            self.handle, request_factory, handler_cancellation, access_log=None
        )
        # All waiting is done before; no limit, or 0, would mean to wait for good.
        self.runner = web.ServerRunner(self.server, shutdown_timeout=POLL_INTERVAL_S)

    @classmethod
    async def from_app(
        cls, app: web.Application, refuse: Refuse, **options: object
    ) -> "HttpListener":
        """Create a listener for the routes of an application.

        The application has no signals of its own, so that there is no clean-up.
        """
        runner = web.AppRunner(app)
        await runner.setup()
        server = runner.server
        return cls(server.request_handler, refuse, server.request_factory, **options)

    @property
    def port(self) -> int:
        """Port on which the listener accepts connections."""
        return self.runner.addresses[0][1]

    async def start(self, address: Address, backlog: int = 128) -> None:
        """Start listening; an `OSError` says that the address can't be bound."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, address.host, address.port, backlog=backlog)
        await site.start()

    async def stop(self, max_s: float = STOP_LIMIT_S) -> None:
        """Stop listening, and close connections once their requests are answered.

        Parameters
        ----------
        max_s : float
            When to refuse the requests that are still in progress, in seconds.
        """
        now_s = asyncio.get_running_loop().time
        for site in self.runner.sites:
            await site.stop()
        self.ends_s = now_s() + max_s
        self.server.closing = True
        for limit in self.limits:
            limit.reschedule(self.ends_s)
        await close_when_answered(self.server, self.ends_s, self.ends_s)
        await close_when_answered(self.server, now_s() + CLOSE_TIMEOUT_S)
        await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a request, or refuse it if a stop leaves it undone."""
        # Not used here, but a connection keeps each arrival until it is taken.
        request.protocol.take_arrival_s()
        if request.protocol.close_announced:
            # The caller may have taken it for unread, and have sent it elsewhere.
            return self.refuse(leaving("sent behind a response that closes"))
        try:
            async with asyncio.timeout_at(self.ends_s) as limit:
                self.limits.add(limit)
                try:
                    return await self.handler(request)
                finally:
                    self.limits.discard(limit)
        except TimeoutError:
            if not limit.expired():
                raise
        return self.end_overdue(request)

    def end_overdue(self, request: web.BaseRequest) -> web.StreamResponse:
        """Refuse a request that is not done in time, or cut a response that began."""
        has_begun = request.writer.output_size > 0
        log.warning(
            "request in progress at the end of the stop",
            extra=fields(path=request.path, answer_started=has_begun),
        )
        if has_begun and request.transport is not None:
            request.transport.abort()
        if not request.content.is_eof():
            return self.refuse(leaving("stopped before the body of the request came"))
        return self.refuse(
            WisteriapulleyError(
                self.overdue_code,
                "stopped before the request was done; it may have taken effect",
                RETRY_AFTER_MS,
            )
        )


def leaving(message: str) -> WisteriapulleyError:
    """Return the error of a request that did not run, since the instance stops."""
    return WisteriapulleyError(ResultCode.LEAVING, message, RETRY_AFTER_MS)


def wait_limit_s(ends_s: float) -> float:
    """Return how long a server may wait for its requests in a stop.

    Parameters
    ----------
    ends_s : float
        When the stop should end, on the loop's clock.
    """
    left_s = ends_s - asyncio.get_running_loop().time()
    return min(STOP_LIMIT_S, max(0.0, left_s))
