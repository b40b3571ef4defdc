"""Types of a routing table. Pure data; adapters decode them from their formats."""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """Which of a route's requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Split(NamedTuple):
    """Relative weight of one service in a route's traffic."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host and path prefix.

    Attributes
    ----------
    name : str
        The operator's name of the route.
    host, prefix : str
        Host and path prefix of its requests; the longest prefix of a host wins.
    kind : RouteKind
        What may be repeated.
    splits : tuple of Split
        Services that may run the requests.
    timeout_ms : float
        Longest time until the end of the answer.
    latency_ms : float
        Objective: answer, or first event of a stream, within this time.
    gap_ms : float
        Objective: longest gap between two events; 0 if there is none.
    priority : int
        0 goes first.
    attempts : int
        Maximum number of targets that one request may be sent to.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether another target may resume a stream after its last event.
    homes : tuple of str
        Regions that may serve the requests; empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_ms: float
    latency_ms: float = 0.0
    gap_ms: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    homes: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may run again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine(NamedTuple):
    """Parameters of a model service's engines.

    Attributes
    ----------
    model : str
        The model that they serve.
    slots : int
        Requests that one engine runs at once.
    stride : int
        Decode steps of one batch step, and tokens of one event of a stream.
    step_ms, step_ms_per_request : float
        Milliseconds of a decode step, and extra milliseconds for each running
        request.
    prefill_tokens_per_ms : float
        Prompt tokens prefilled per millisecond.
    layers, chunks, chunk_bytes : int
        The model's layers, and the pieces that its weights consist of.
    """

    model: str
    slots: int = 1
    stride: int = 1
    step_ms: float = 10.0
    step_ms_per_request: float = 0.0
    prefill_tokens_per_ms: float = 20.0
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0


class Origin(NamedTuple):
    """The origin that serves the weights of all models."""

    address: str
    failure_domain: str
    link_mbps: float = 0.0
    max_connections: int = 0


class Service(NamedTuple):
    """Targets of one name; `engine` and `origin` are None for a plain service.

    Attributes
    ----------
    cold_start_s : float
        How long a target is cold after its start, in seconds.
    cold_per_s : float
        Requests per second that a cold target bears; 0 without a limit.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: Engine | None = None
    origin: Origin | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class EdgeLimits(NamedTuple):
    """Limits on the size and duration of a caller's request."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Account(NamedTuple):
    """A client account; its priority, if set, overrides the route's.

    `homes` are the regions that may serve its requests, empty for all. They bind in
    addition to those of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    homes: tuple[str, ...] = ()


class RoutingTable(NamedTuple):
    """All routes, services and client accounts of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: EdgeLimits = EdgeLimits()

    @property
    def needs_keys(self) -> bool:
        """Whether callers need a key on routes that are not public."""
        return bool(self.accounts)

    def engines(self) -> dict[str, Engine]:
        """Return the engine parameters of each model service, by service name."""
        return {s.name: s.engine for s in self.services if s.engine is not None}

    def origin(self) -> Origin | None:
        """Return the origin of weights, if the table names one."""
        return next((s.origin for s in self.services if s.origin is not None), None)
