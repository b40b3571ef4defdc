"""The operators' interface of a control instance: HTTP with bearer tokens."""

import hmac

import msgspec
from aiohttp import web

from wisteriapulley.catalogue import Change, ChangeResult
from wisteriapulley.control.commands import ChangeCatalogue
from wisteriapulley.errors import CODE_TABLE, CatalogueError, ResultCode

BEARER = "Bearer "


def operator_routes(service) -> list[web.RouteDef]:
    """Make the routes of `service` (a ControlService)."""
    operators = Operators(service)
    return [
        web.post("/v1/catalogue/changes", operators.change),
        web.get("/v1/catalogue", operators.get),
        web.get("/v1/catalogue/history", operators.history),
        web.get("/v1/status", operators.status),
    ]


class StatusRow(msgspec.Struct, frozen=True):
    """What one node reports."""

    node_id: str
    role: str
    service: str
    failure_domain: str
    revision: int
    state: str
    version: str
    desired: str
    bytes_done: int
    bytes_total: int
    detail: str


class Status(msgspec.Struct, frozen=True):
    """Answer of ``/v1/status``: the revision accepted and every node's own."""

    revision: int
    leader: str
    nodes: tuple[StatusRow, ...]


class Operators:
    """Handlers of the operators' interface."""

    def __init__(self, service):
        self.service = service

    def owner_of(self, request: web.Request) -> str:
        """Return whose token the request bears.

        Raises
        ------
        CatalogueError
            The token is missing or unknown.
        """
        header = request.headers.get("Authorization", "")
        given = header.removeprefix(BEARER).encode()
        owner = ""
        for token, name in self.service.operators.items():
            if hmac.compare_digest(token.encode(), given):
                owner = name
        if not owner:
            raise CatalogueError(
                ResultCode.UNAUTHORIZED, "expected the bearer token of an operator"
            )
        return owner

    async def change(self, request: web.Request) -> web.Response:
        """Accept a change."""
        owner = self.owner_of(request)
        try:
            change = msgspec.json.decode(await request.read(), type=Change)
        except msgspec.DecodeError as error:
            raise CatalogueError(
                ResultCode.CATALOGUE_ENTRY_INVALID, f"expected a change: {error}"
            ) from error
        if change.owner != owner:
            raise CatalogueError(
                ResultCode.NOT_OWNER,
                f"the token is of {owner!r}, the change of {change.owner!r}",
            )
        data = await self.service.propose(ChangeCatalogue(change))
        result = msgspec.msgpack.decode(data, type=ChangeResult)
        status = CODE_TABLE[ResultCode(result.code)].http_status
        return json_response(result, status)

    async def get(self, request: web.Request) -> web.Response:
        """Return the accepted catalogue, confirmed by a quorum."""
        self.owner_of(request)
        await self.service.driver.read_barrier()
        return json_response(self.service.state.catalogue.image())

    async def history(self, request: web.Request) -> web.Response:
        """Return the accepted changes, oldest first."""
        self.owner_of(request)
        await self.service.driver.read_barrier()
        records = tuple(self.service.state.catalogue.history.values())
        return json_response(records)

    async def status(self, request: web.Request) -> web.Response:
        """Return what every node has in force."""
        self.owner_of(request)
        service = self.service
        rows = tuple(
            StatusRow(
                report.node_id,
                report.role,
                report.service,
                report.failure_domain,
                report.revision,
                report.state,
                report.version,
                report.desired,
                report.bytes_done,
                report.bytes_total,
                report.detail,
            )
            for report in service.reports.values()
        )
        return json_response(
            Status(
                service.state.catalogue.revision, service.driver.replica.leader, rows
            )
        )


def json_response(value: object, status: int = 200) -> web.Response:
    """Answer with `value` as JSON."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
