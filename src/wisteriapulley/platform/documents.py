"""Decodes the operator's configuration and the targets' heartbeats."""

from enum import StrEnum
from typing import Annotated

import msgspec

from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.routing import (
    Account,
    EdgeLimits,
    Engine,
    Origin,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.settings import Address
from wisteriapulley.wire.messages import TargetState

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class WireSplit(msgspec.Struct):
    """The service that serves a fraction of a route's requests, and its weight."""

    service: str
    weight: int


class WireRoute(msgspec.Struct, rename="kebab"):
    """One route."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ""
    traffic_split: list[WireSplit] | None = None
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    stream_resumption: bool = False
    home_regions: list[str] = []


class WireEngineModel(msgspec.Struct):
    """A model that a service's engines serve."""

    name: str


class WireEngine(msgspec.Struct):
    """Parameters of a service's engines."""

    slots: int = 1
    models: list[WireEngineModel] = []
    # Decode steps per batch step.
    stride: int = 1
    step_ms: float = 10.0
    # Milliseconds that each decoding request adds to a step.
    per_seq_ms: float = 0.0
    # Prefill rate in prompt tokens per second.
    read_per_s: float = 20000.0
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = msgspec.field(name="chunk-bytes", default=0)


class WireService(msgspec.Struct, rename="kebab"):
    """One service; a service with an origin distributes weights."""

    name: str
    health_check_path: str = ""
    max_connections: int = 0
    # How long a target is cold after its start, and what it bears meanwhile.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: WireEngine | None = None
    # Address of the origin of the weights; the origin is not a target.
    origin: str = ""
    zone: str = ""
    link_mbps: float = 0.0


class WireLimits(msgspec.Struct, rename="kebab"):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class WireTenant(msgspec.Struct, rename="kebab"):
    """A client account and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    home_regions: list[str] = []


class WireConfiguration(msgspec.Struct):
    """The complete configuration, which an operator replaces at once."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


class WireWeights(msgspec.Struct):
    """The desired version of a model's weights."""

    model: str
    version: int


# Range of a count: fits the integer fields of a frame and exceeds any count of a
# running target.
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=1 << 16)]
ColdMs = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]


class TargetStage(StrEnum):
    """Whether a target accepts new requests or drains before it leaves."""

    READY = "ready"
    DRAINING = "draining"


class WireHeldModel(msgspec.Struct):
    """A model whose weights a target holds."""

    name: str
    version: Count = 0


class WireHeartbeat(msgspec.Struct, rename="kebab"):
    """Heartbeat of a target; one invalid field rejects the whole heartbeat."""

    service: str
    address: str
    zone: str
    slots: Slots
    state: TargetStage
    sequence: Count
    # How much longer the target is slow after its start.
    cold_remaining_ms: ColdMs = 0.0
    models: list[WireHeldModel] = []
    # Unix time of its start in milliseconds; a target may restart under its id.
    born: Count = 0


def decode_configuration(body: bytes) -> RoutingTable:
    """Decode a configuration.

    Raises
    ------
    CatalogueError
        CATALOGUE_ENTRY_INVALID: any part of it is invalid.
    """
    try:
        wire = msgspec.json.decode(body, type=WireConfiguration)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CatalogueError(
            ResultCode.CATALOGUE_ENTRY_INVALID, f"expected a configuration: {error}"
        ) from error
    return RoutingTable(
        wire.version,
        tuple(map(to_route, wire.routes)),
        tuple(map(to_service, wire.services)),
        tuple(map(to_account, wire.tenants)),
        EdgeLimits(*msgspec.structs.astuple(wire.limits)),
    )


def to_route(wire: WireRoute) -> Route:
    """Return the product's form of a route."""
    if wire.kind not in ROUTE_KINDS:
        raise CatalogueError(
            ResultCode.CATALOGUE_ENTRY_INVALID,
            f"route {wire.name!r}: expected a kind of {sorted(ROUTE_KINDS)}, got"
            f" {wire.kind!r}",
        )
    if wire.traffic_split is not None:
        splits = tuple(Split(s.service, s.weight) for s in wire.traffic_split)
    else:
        splits = (Split(wire.service, 1),)
    return Route(
        wire.name,
        wire.host.lower(),
        wire.path_prefix,
        ROUTE_KINDS[wire.kind],
        splits,
        wire.timeout_ms,
        wire.target_latency_ms,
        wire.target_gap_ms,
        wire.priority,
        wire.attempts,
        wire.public,
        wire.stream_resumption,
        tuple(wire.home_regions),
    )


def to_account(wire: WireTenant) -> Account:
    """Return the product's form of a client account."""
    return Account(
        wire.name, tuple(wire.api_keys), wire.priority, tuple(wire.home_regions)
    )


def to_service(wire: WireService) -> Service:
    """Return the product's form of a service."""
    origin = None
    if wire.origin:
        origin = Origin(wire.origin, wire.zone, wire.link_mbps, wire.max_connections)
    engine = None
    if wire.engine is not None and wire.engine.models:
        engine = to_engine(wire.engine)
    return Service(
        wire.name,
        wire.health_check_path,
        wire.max_connections,
        engine,
        origin,
        wire.cold_start_s,
        wire.cold_per_s,
    )


def to_engine(wire: WireEngine) -> Engine:
    """Return the product's form of a service's engine parameters."""
    return Engine(
        wire.models[0].name,
        wire.slots,
        wire.stride,
        wire.step_ms,
        wire.per_seq_ms,
        wire.read_per_s / 1000,
        wire.layers,
        wire.chunks,
        wire.chunk_bytes,
    )


def decode_heartbeat(target_id: str, body: bytes) -> TargetState:
    """Decode a heartbeat of a target.

    Raises
    ------
    CatalogueError
        HEARTBEAT_INVALID: a field is missing, of another type or out of bounds,
        the state is unknown, or the address is not a host and a port.
    """
    try:
        wire = msgspec.json.decode(body, type=WireHeartbeat)
        address = Address.from_text(wire.address)
        if not address.port:
            raise ValueError("expected a port above 0, got port 0")
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        raise CatalogueError(
            ResultCode.HEARTBEAT_INVALID,
            f"expected a heartbeat of target {target_id!r}: {error}",
        ) from error
    return TargetState(
        target_id,
        wire.service,
        str(address),
        wire.zone,
        leaving=wire.state is TargetStage.DRAINING,
        sequence=wire.sequence,
        slots=wire.slots,
        cold_ms=int(wire.cold_remaining_ms),
        version=max((model.version for model in wire.models), default=0),
        started_ms=wire.born,
    )


def decode_weights(body: bytes) -> WireWeights:
    """Decode a call that sets the desired version of a model's weights.

    Raises
    ------
    CatalogueError
        CATALOGUE_ENTRY_INVALID: the body can't be decoded.
    """
    try:
        return msgspec.json.decode(body, type=WireWeights)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CatalogueError(
            ResultCode.CATALOGUE_ENTRY_INVALID, f"expected model and version: {error}"
        ) from error
