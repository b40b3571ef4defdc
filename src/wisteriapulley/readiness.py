"""HTTP listener for the readiness checks of a load balancer."""

from collections.abc import Callable

from aiohttp import web

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
        self.runner: web.ServerRunner | None = None

    async def start(self, address: Address) -> None:
        """Listen at `address`."""
        server = web.Server(self.answer, access_log=None)
        self.runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, address.host, address.port).start()

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer 200 if ready and 503 if not; 404 on any other path."""
        if request.path != self.path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()
