"""HTTP API of a control instance for operators and targets."""

import logging

from aiohttp import web

from wisteriapulley.control.control_api import ControlApi
from wisteriapulley.errors import (
    CatalogueError,
    ResultCode,
    SettingsError,
    WisteriapulleyError,
)
from wisteriapulley.http_listener import STOP_LIMIT_S, HttpListener
from wisteriapulley.platform import names
from wisteriapulley.platform.documents import (
    decode_configuration,
    decode_heartbeat,
    decode_weights,
)
from wisteriapulley.settings import Address

log = logging.getLogger(__name__)

# Maximum size of a call's body: enough for thousands of routes, far more than operators
# send.
MAX_BODY_BYTES = 16 << 20
EMPTY_JSON = b"{}"
# Errors in the content of a call, with which no retry can succeed.
PERMANENT_ERROR_CODES = (
    ResultCode.CATALOGUE_ENTRY_INVALID,
    ResultCode.HEARTBEAT_INVALID,
    ResultCode.FAILURE_DOMAIN_UNKNOWN,
)


class ControlCalls:
    """Serves the platform's calls through a control instance's `ControlApi`."""

    def __init__(self, api: ControlApi):
        self.api = api
        self.app = web.Application(
            middlewares=[map_errors], client_max_size=MAX_BODY_BYTES
        )
        self.listener: HttpListener | None = None
        self.app.add_routes(
            [
                web.post(names.REPLACE_CALL, self.replace),
                web.get(names.READ_CALL, self.read),
                web.post(names.WEIGHTS_CALL, self.set_desired_version),
                web.post(names.HEARTBEAT_CALL, self.heartbeat),
                web.post(names.LEAVE_CALL, self.leave),
                web.post(names.EVACUATE_CALL, self.evacuate),
                web.post(names.END_EVACUATION_CALL, self.end_evacuation),
            ]
        )

    async def start(self, address: Address) -> None:
        """Start listening.

        Raises
        ------
        SettingsError
            ADDRESS_CLASH: the address can't be bound.
        """
        self.listener = await HttpListener.from_app(
            self.app, refuse, overdue_code=ResultCode.NO_QUORUM
        )
        try:
            await self.listener.start(address, backlog=512)
        except OSError as error:
            raise SettingsError(
                ResultCode.ADDRESS_CLASH,
                f"cannot listen for operators at {address}: {error}",
            ) from error

    async def stop(self, max_s: float = STOP_LIMIT_S) -> None:
        """Stop listening; see `HttpListener.stop`."""
        if self.listener is not None:
            await self.listener.stop(max_s)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the current configuration."""
        body = await request.read()
        await self.api.replace_routing(decode_configuration(body), body)
        return ack_response()

    async def read(self, request: web.Request) -> web.Response:
        """Return the current configuration."""
        body = await self.api.read_routing()
        return web.Response(body=body, content_type="application/json")

    async def set_desired_version(self, request: web.Request) -> web.Response:
        """Set the desired version of a model's weights."""
        wire = decode_weights(await request.read())
        await self.api.set_desired_version(wire.model, wire.version)
        return ack_response()

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Record a heartbeat of a target."""
        target_id = request.match_info["target_id"]
        state = decode_heartbeat(target_id, await request.read())
        await self.api.observe_target(state)
        return ack_response()

    async def leave(self, request: web.Request) -> web.Response:
        """Record that a target is shutting down."""
        await self.api.remove_target(request.match_info["target_id"])
        return ack_response()

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuate a failure domain."""
        await self.api.evacuate(request.match_info["failure_domain"])
        return ack_response()

    async def end_evacuation(self, request: web.Request) -> web.Response:
        """Withdraw the evacuation of a failure domain."""
        await self.api.end_evacuation(request.match_info["failure_domain"])
        return ack_response()


def ack_response() -> web.Response:
    """Return the response to an accepted call."""
    return web.Response(body=EMPTY_JSON, content_type="application/json")


@web.middleware
async def map_errors(request: web.Request, handler) -> web.StreamResponse:
    """Map errors to responses: 400 for permanent errors, 503 for all others.

    Callers retry a call that was not acknowledged. 400 ends the retries, so it is
    returned only if the content of the call is invalid.
    """
    try:
        return await handler(request)
    except CatalogueError as error:
        is_permanent = error.code in PERMANENT_ERROR_CODES
        log.warning("call rejected: %s", error)
        return web.Response(status=400 if is_permanent else 503, text=f"{error}\n")
    except (WisteriapulleyError, TimeoutError) as error:
        return refuse(error)


def refuse(error: Exception) -> web.Response:
    """Return the response to a call that another instance may acknowledge."""
    log.info("call not acknowledged: %s", error)
    return web.Response(status=503, text=f"{error}\n", headers={"Retry-After": "0.2"})
