"""Calls of operators and targets at a control instance."""

import logging

from aiohttp import web

from wisteriapulley.control.orders import Orders
from wisteriapulley.errors import (
    CatalogueError,
    ResultCode,
    SettingsError,
    WisteriapulleyError,
)
from wisteriapulley.platform import names
from wisteriapulley.platform.documents import (
    decode_configuration,
    decode_heartbeat,
    decode_weights,
)
from wisteriapulley.settings import Address

log = logging.getLogger(__name__)

# Thousands of routes; far above what an operator sends.
MAX_BODY_BYTES = 16 << 20
EMPTY_JSON = b"{}"
# What is invalid in itself, however often it is sent.
PERMANENT_ERROR_CODES = (
    ResultCode.CATALOGUE_ENTRY_INVALID,
    ResultCode.HEARTBEAT_INVALID,
)


class ControlCalls:
    """Serves the platform's calls with a control instance's `Orders`."""

    def __init__(self, orders: Orders):
        self.orders = orders
        app = web.Application(middlewares=[map_errors], client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post(names.REPLACE_CALL, self.replace),
                web.get(names.READ_CALL, self.read),
                web.post(names.WEIGHTS_CALL, self.set_desired_version),
                web.post(names.HEARTBEAT_CALL, self.heartbeat),
                web.post(names.LEAVE_CALL, self.leave),
            ]
        )
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)

    async def start(self, address: Address) -> None:
        """Listen.

        Raises
        ------
        SettingsError
            ADDRESS_CLASH.
        """
        await self.runner.setup()
        site = web.TCPSite(self.runner, address.host, address.port, backlog=512)
        try:
            await site.start()
        except OSError as error:
            raise SettingsError(
                ResultCode.ADDRESS_CLASH, f"operators' address {address}: {error}"
            ) from error

    async def stop(self) -> None:
        """Stop listening."""
        await self.runner.cleanup()

    async def replace(self, request: web.Request) -> web.Response:
        """Put a configuration in force."""
        body = await request.read()
        await self.orders.replace_routing(decode_configuration(body), body)
        return ack_response()

    async def read(self, request: web.Request) -> web.Response:
        """Return the configuration in force."""
        body = await self.orders.read_routing()
        return web.Response(body=body, content_type="application/json")

    async def set_desired_version(self, request: web.Request) -> web.Response:
        """Name weights."""
        wire = decode_weights(await request.read())
        await self.orders.name_weights(wire.model, wire.version)
        return ack_response()

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Take a target's heartbeat."""
        target_id = request.match_info["target_id"]
        self.orders.heard(decode_heartbeat(target_id, await request.read()))
        return ack_response()

    async def leave(self, request: web.Request) -> web.Response:
        """Take a target's word that it ends."""
        self.orders.left(request.match_info["target_id"])
        return ack_response()


def ack_response() -> web.Response:
    """Make the answer to a call that was taken."""
    return web.Response(body=EMPTY_JSON, content_type="application/json")


@web.middleware
async def map_errors(request: web.Request, handler) -> web.StreamResponse:
    """Answer errors: 400 for what never can be taken, 503 for anything else.

    A caller whose call was not acknowledged sends it again, so only what is
    invalid in itself may be refused for good.
    """
    try:
        return await handler(request)
    except CatalogueError as error:
        is_permanent = error.code in PERMANENT_ERROR_CODES
        log.warning("call refused: %s", error)
        return web.Response(status=400 if is_permanent else 503, text=f"{error}\n")
    except (WisteriapulleyError, TimeoutError) as error:
        log.info("call not acknowledged: %s", error)
        return web.Response(
            status=503, text=f"{error}\n", headers={"Retry-After": "0.2"}
        )
