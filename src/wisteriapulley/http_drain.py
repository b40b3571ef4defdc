"""Connections of an aiohttp server that tell what they have read."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import StreamReader, web

from wisteriapulley.logs import fields

log = logging.getLogger(__name__)


class CallerConnection(web.RequestHandler):
    """One connection of a caller.

    Attributes
    ----------
    body : aiohttp.StreamReader or None
        Body of the last request whose head has arrived.
    partial_of : int
        How many requests had arrived when a part of the next head did; -1 before.
    """

    __slots__ = ("body", "partial_of")

    def __init__(self, server: web.Server, **options: object):
        super().__init__(server, **options)
        self.body: StreamReader | None = None
        self.partial_of = -1

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, and note whether it is a part of a head."""
        if self._close and data:
            log.warning(
                "bytes dropped by a connection that closes",
                extra=fields(bytes=len(data), **self.progress()),
            )
        request_count = self._request_count
        is_body = self.has_partial_body
        super().data_received(data)
        if self._messages:
            self.body = self._messages[-1][1]
        if self._request_count == request_count and not is_body and data.strip():
            self.partial_of = request_count

    def connection_lost(self, exc: BaseException | None) -> None:
        """Log the requests that end without a response, unless the caller left."""
        is_own_close = self._close or self._force_close or self._task_handler is None
        progress = self.progress()
        if is_own_close and any(progress.values()):
            log.warning("connection closed before its end", extra=fields(**progress))
        super().connection_lost(exc)

    @property
    def has_partial_body(self) -> bool:
        """Whether the body of the last request is incomplete."""
        return self.body is not None and not self.body.is_eof()

    @property
    def has_partial_head(self) -> bool:
        """Whether a part of the head of the next request has arrived."""
        return self.partial_of == self._request_count

    def progress(self) -> dict[str, object]:
        """Return what has arrived, and is not answered, as fields of a log line."""
        return {
            "unanswered": len(self._messages) + self._request_in_progress,
            "partial_head": self.has_partial_head,
            "partial_body": self.has_partial_body,
        }


class CallerServer(web.Server):
    """An aiohttp server with connections of the class `CallerConnection`.

    Parameters
    ----------
    handler : callable
        Responds to a request.
    request_factory : callable
        Creates the requests.
    **options : object
        Options of each connection.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        request_factory: Callable[..., web.BaseRequest],
        **options: object,
    ):
        super().__init__(
            handler, request_factory=request_factory, handler_cancellation=True
        )
        self.options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self.options)
