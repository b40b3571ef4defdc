"""HTTP interface for operators of a control instance, with bearer tokens."""

import hmac
import logging

import msgspec
from aiohttp import web

from wisteriapulley.catalogue import Change, ChangeResult
from wisteriapulley.catalogue.catalogue import history_rows
from wisteriapulley.control.commands import ChangeCatalogue
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.reports import (
    EvacuationStatus,
    QuarantineStatus,
    Status,
)
from wisteriapulley.errors import CODE_TABLE, CatalogueError, ResultCode
from wisteriapulley.logs import fields

log = logging.getLogger(__name__)

BEARER = "Bearer "
# Maximum size of a change: enough for one of every entry at about 300 bytes each.
# Without a limit one body could fill the log and the memory of every follower.
MAX_CHANGE_BYTES = 1 << 20
EVACUATION_PATH = "/v1/evacuations/{failure_domain}"
QUARANTINE_PATH = "/v1/quarantine/{fingerprint}"


def operator_routes(service) -> list[web.RouteDef]:
    """Return the operators' routes of `service` (a ControlService)."""
    operators = OperatorHandlers(service)
    return [
        web.post("/v1/catalogue/changes", operators.change),
        web.get("/v1/catalogue", operators.get),
        web.get("/v1/catalogue/history", operators.history),
        web.get("/v1/status", operators.status),
        web.get("/v1/evacuations", operators.evacuations),
        web.put(EVACUATION_PATH, operators.evacuate),
        web.delete(EVACUATION_PATH, operators.end_evacuation),
        web.get("/v1/quarantine", operators.quarantine),
        web.delete(QUARANTINE_PATH, operators.lift_quarantine),
    ]


class OperatorHandlers:
    """Handlers of the operators' routes."""

    def __init__(self, service):
        self.service = service

    def authenticate(self, request: web.Request) -> str:
        """Return the operator whose token the request carries.

        Raises
        ------
        CatalogueError
            UNAUTHORIZED: the token is missing or unknown.
        """
        header = request.headers.get("Authorization", "")
        given = header.removeprefix(BEARER).encode(errors="replace")
        owner = ""
        for token, name in self.service.operators.items():
            if hmac.compare_digest(token.encode(), given):
                owner = name
        if not owner or not header.startswith(BEARER):
            raise CatalogueError(
                ResultCode.UNAUTHORIZED,
                "expected `Authorization: Bearer` with the token of an operator",
            )
        return owner

    async def change(self, request: web.Request) -> web.Response:
        """Commit a catalogue change."""
        owner = self.authenticate(request)
        try:
            change = msgspec.json.decode(await request.read(), type=Change)
        except msgspec.DecodeError as error:
            raise CatalogueError(
                ResultCode.CATALOGUE_ENTRY_INVALID,
                f"expected a catalogue change as JSON: {error}",
            ) from error
        if change.owner != owner:
            raise CatalogueError(
                ResultCode.NOT_OWNER,
                f"the token belongs to {owner!r}, the change to {change.owner!r}",
            )
        data = await self.service.propose(ChangeCatalogue(change))
        result = msgspec.msgpack.decode(data, type=ChangeResult)
        status = CODE_TABLE[ResultCode(result.code)].http_status
        return json_response(result, status)

    async def get(self, request: web.Request) -> web.Response:
        """Return the accepted catalogue, confirmed by a quorum."""
        self.authenticate(request)
        await self.wait_for_quorum()
        return json_response(self.service.state.catalogue.image())

    async def history(self, request: web.Request) -> web.Response:
        """Return the accepted changes, oldest first."""
        self.authenticate(request)
        await self.wait_for_quorum()
        return json_response(tuple(history_rows(self.service.state.catalogue)))

    async def wait_for_quorum(self) -> None:
        """Wait until all changes committed so far are applied here.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: no quorum answered, or this instance lags too far behind.
        """
        try:
            await self.service.driver.read_barrier()
        except TimeoutError as error:
            raise no_quorum("this instance lags behind the leader") from error

    async def status(self, request: web.Request) -> web.Response:
        """Return what every node has in force; this needs no quorum."""
        self.authenticate(request)
        service = self.service
        rows = tuple(service.reports.rows(service.members.view))
        return json_response(
            Status(
                service.state.catalogue.revision,
                service.driver.replica.leader,
                rows,
                tuple(sorted(service.publisher.evacuations.domains)),
            )
        )

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuate a failure domain."""
        return await self.set_evacuated(request, True)

    async def end_evacuation(self, request: web.Request) -> web.Response:
        """Withdraw the evacuation of a failure domain."""
        return await self.set_evacuated(request, False)

    async def set_evacuated(
        self, request: web.Request, evacuated: bool
    ) -> web.Response:
        """Commit whether a failure domain is evacuated; return all that are."""
        self.authenticate(request)
        domain = request.match_info["failure_domain"]
        await self.service.api.set_evacuated(domain, evacuated)
        # The leader has applied the order, and this instance may lag behind it.
        return json_response(EvacuationStatus(await self.service.api.read_evacuated()))

    async def evacuations(self, request: web.Request) -> web.Response:
        """Return the evacuated failure domains, confirmed by a quorum."""
        self.authenticate(request)
        return json_response(EvacuationStatus(await self.service.api.read_evacuated()))

    async def quarantine(self, request: web.Request) -> web.Response:
        """Return what is quarantined; this needs no quorum."""
        self.authenticate(request)
        feed = self.service.publisher.suspect_feed
        return json_response(QuarantineStatus(feed.quarantined()))

    async def lift_quarantine(self, request: web.Request) -> web.Response:
        """End one quarantine; return what else is quarantined.

        What still crashes targets is quarantined again. An order that is resent finds
        nothing to lift, and is acknowledged.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: it is lifted here, and too few other instances are known to have
            heard of it.
        """
        owner = self.authenticate(request)
        fingerprint = request.match_info["fingerprint"]
        feed = self.service.publisher.suspect_feed
        if feed.lift(fingerprint):
            log.warning(
                "quarantine lifted", extra=fields(fingerprint=fingerprint, owner=owner)
            )
        await self.service.confirm_delivery()
        return json_response(QuarantineStatus(feed.quarantined()))


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with `value` as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
