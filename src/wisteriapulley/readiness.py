"""HTTP listener for the readiness checks of a load balancer."""

from collections.abc import Callable

from aiohttp import web

from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.http_listener import STOP_LIMIT_S, HttpListener
from wisteriapulley.settings import Address


class ReadinessServer:
    """Serve the readiness checks of a load balancer.

    Parameters
    ----------
    path : str
        Path that the load balancer requests.
    is_ready : callable
        Returns whether this process accepts requests.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]):
        self.path = path
        self.is_ready = is_ready
        self.listener: HttpListener | None = None

    async def start(self, address: Address) -> None:
        """Listen at `address`."""
        self.listener = HttpListener(self.answer, refuse)
        await self.listener.start(address)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer 200 if ready and 503 if not; 404 on any other path."""
        if request.path != self.path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def stop(self, max_s: float = STOP_LIMIT_S) -> None:
        """Stop listening; see `HttpListener.stop`."""
        if self.listener is not None:
            await self.listener.stop(max_s)


def refuse(error: WisteriapulleyError) -> web.Response:
    """Return the response to a check that a stop leaves undone."""
    return web.Response(status=503, text=f"{error}\n")
