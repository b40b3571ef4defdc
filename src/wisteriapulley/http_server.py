"""HTTP server of a daemon: health checks, metrics and the daemon's own routes."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from aiohttp import web
from aioprometheus import render

from wisteriapulley.errors import (
    CODE_TABLE,
    ResultCode,
    SettingsError,
    WisteriapulleyError,
)
from wisteriapulley.http_drain import CallerConnection
from wisteriapulley.http_listener import STOP_LIMIT_S, HttpListener
from wisteriapulley.metrics import Metrics
from wisteriapulley.settings import Address

MAX_BODY_BYTES = 8 << 20
# Time in which a new connection has to send the headers of its first request, and any
# connection the rest of headers that have begun, however slowly its bytes arrive.
FIRST_REQUEST_TIMEOUT_S = 20.0
# Idle time of a connection that has served a request; load balancers keep idle
# connections open for a similar time.
KEEP_ALIVE_TIMEOUT_S = 600.0
SWEEP_INTERVAL_S = 1.0


class Wait(NamedTuple):
    """What a connection without a request in progress waits for.

    Attributes
    ----------
    connection : CallerConnection
        The connection.
    requests_read : int
        How many requests have arrived on it.
    rest_of_head : bool
        Whether a part of the head of a further one has.
    """

    connection: CallerConnection
    requests_read: int
    rest_of_head: bool

    @classmethod
    def from_connection(cls, connection: CallerConnection) -> "Wait":
        """Return what a connection waits for."""
        requests_read = connection.requests_read
        is_kept = requests_read > 0
        return cls(connection, requests_read, is_kept and connection.has_partial_head)


class IdleConnections:
    """Finds connections that stay without a request for too long.

    Parameters
    ----------
    head_timeout_s : float
        Time limit for the first request of a connection, and for the rest of a head.
    keep_alive_timeout_s : float
        Time limit for a further request.

    Attributes
    ----------
    since_s : dict of Wait to float
        When each wait was seen first.
    """

    def __init__(self, head_timeout_s: float, keep_alive_timeout_s: float):
        self.head_timeout_s = head_timeout_s
        self.keep_alive_timeout_s = keep_alive_timeout_s
        self.since_s: dict[Wait, float] = {}

    def overdue(
        self, connections: Iterable[CallerConnection], now_s: float
    ) -> list[CallerConnection]:
        """Return the connections to close at `now_s`.

        One on which a request has arrived is not idle, even before its handler runs.
        """
        idle = (each for each in connections if each.is_idle)
        waits = map(Wait.from_connection, idle)
        self.since_s = {wait: self.since_s.get(wait, now_s) for wait in waits}
        return [
            wait.connection
            for wait, since_s in self.since_s.items()
            if now_s - since_s > self.limit_s(wait)
        ]

    def limit_s(self, wait: Wait) -> float:
        """Return how long a wait may take."""
        is_kept = wait.requests_read > 0 and not wait.rest_of_head
        return self.keep_alive_timeout_s if is_kept else self.head_timeout_s


class HttpServer:
    """Serve health checks, metrics and a daemon's own routes at one address.

    Parameters
    ----------
    metrics : Metrics
        Served at ``/metrics``.
    is_ready : callable
        Returns whether ``/health/ready`` reports ready.
    routes : iterable of aiohttp.web.RouteDef
        Additional routes of the daemon.
    max_body_bytes : int
        Maximum size of a request body.
    overdue_code : ResultCode
        Result of a request that a stop leaves undone.
    """

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        routes: Iterable[web.RouteDef] = (),
        max_body_bytes: int = MAX_BODY_BYTES,
        overdue_code: ResultCode = ResultCode.MAY_HAVE_RUN,
    ):
        self.metrics = metrics
        self.is_ready = is_ready
        self.overdue_code = overdue_code
        self.idle = IdleConnections(FIRST_REQUEST_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S)
        self.app = web.Application(
            middlewares=[error_middleware], client_max_size=max_body_bytes
        )
        self.app.add_routes(
            [
                web.get("/health/live", self.live),
                web.get("/health/ready", self.ready),
                web.get("/metrics", self.show_metrics),
                *routes,
            ]
        )
        self.listener: HttpListener | None = None
        self.address: Address | None = None

    async def start(self, address: Address) -> None:
        """Listen at `address`.

        Raises
        ------
        SettingsError
            ADDRESS_CLASH: the address cannot be bound.
        """
        self.sweep_task = asyncio.get_running_loop().create_task(
            self.close_idle_connections()
        )
        self.listener = await HttpListener.from_app(
            self.app,
            error_response,
            overdue_code=self.overdue_code,
            handler_cancellation=True,
        )
        try:
            await self.listener.start(address)
        except OSError as error:
            raise SettingsError(
                ResultCode.ADDRESS_CLASH, f"$.http_listen {address}: {error}"
            ) from error
        self.address = Address(address.host, self.listener.port)

    def announce_close(self) -> None:
        """Let each response tell its caller that the connection closes behind it."""
        self.listener.server.closing = True

    async def stop(self, max_s: float = STOP_LIMIT_S) -> None:
        """Stop listening; see `HttpListener.stop`."""
        self.sweep_task.cancel()
        if self.listener is not None:
            await self.listener.stop(max_s)

    async def close_idle_connections(self) -> None:
        """Close connections that stay without a request for too long.

        aiohttp has no timeout for the first header line of a connection, so callers
        that send it byte by byte would occupy sockets and memory indefinitely.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            connections = self.listener.server.connections
            for connection in self.idle.overdue(connections, time.monotonic()):
                connection.force_close()

    async def live(self, request: web.Request) -> web.Response:
        """Report that the event loop is running."""
        return web.Response(text="live\n")

    async def ready(self, request: web.Request) -> web.Response:
        """Report whether the daemon accepts requests."""
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in the Prometheus text format."""
        accepts = request.headers.getall("Accept", [])
        content, headers = render(self.metrics.registry, accepts)
        return web.Response(body=content, headers=headers)


class ErrorFields(msgspec.Struct, frozen=True):
    """Fields of an error response."""

    code: int
    name: str
    message: str
    not_run: bool
    retry_after_ms: int


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorFields


def error_body(error: WisteriapulleyError) -> bytes:
    """Return an error as JSON."""
    fields = ErrorFields(
        int(error.code),
        error.code.name,
        error.message,
        CODE_TABLE[error.code].not_run,
        error.retry_after_ms,
    )
    return msgspec.json.encode(ErrorBody(fields))


def error_response(error: WisteriapulleyError) -> web.Response:
    """Return the HTTP response for an error, with its result code."""
    headers = {"X-Result-Code": str(int(error.code))}
    if error.retry_after_ms:
        headers["Retry-After"] = str(max(1, round(error.retry_after_ms / 1000)))
    return web.Response(
        body=error_body(error),
        status=CODE_TABLE[error.code].http_status,
        headers=headers,
        content_type="application/json",
    )


@web.middleware
async def error_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Turn errors of handlers into JSON responses with a result code."""
    try:
        return await handler(request)
    except WisteriapulleyError as error:
        return error_response(error)
    except web.HTTPRequestEntityTooLarge as error:
        return error_response(
            WisteriapulleyError(ResultCode.BODY_TOO_LARGE, str(error.text))
        )
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
        response = error_response(
            WisteriapulleyError(
                ResultCode.REQUEST_MALFORMED, f"{request.method} {error.reason}"
            )
        )
        response.set_status(error.status)
        return response
