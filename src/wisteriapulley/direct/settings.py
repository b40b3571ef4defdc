"""Settings of entries and sidecars whose targets serve HTTP themselves."""

import msgspec

from wisteriapulley.direct.kept_bytes import DEFAULT_REQUEST_BYTES
from wisteriapulley.settings import Address, NodeSettings


class ResponseLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How much a target may send in response to one request.

    A response that passes a limit counts as broken off, and the request goes to another
    target if it may.

    Attributes
    ----------
    head_bytes : int
        Largest head, with all interim responses before it. As much as one header line
        of a caller may have.
    framing_bytes : int
        How much longer the chunk sizes of a body may be than the body itself, and as
        much again for each second since its head. Chunks of a few bytes cost more time
        than their content is worth, and one stream of single tokens sends few of them a
        second, however long it lasts.
    body_bytes : int
        Largest body, except of streams. Callers send at most 4 MiB by default, and
        responses are seldom much larger. A body that is broken off at the limit must
        not take the time that another target needs.
    event_bytes : int
        Largest event of a stream. An event holds a few tokens, and one with a whole
        response stays far below.
    kept_bytes : int
        Memory for what all responses of an entry together keep until it is relayed. The
        largest bodies of a few faulty targets fit in. A body that finds no room is
        relayed as it arrives; a stream whose event finds none breaks off.
    """

    head_bytes: int = 64 << 10
    framing_bytes: int = 64 << 10
    body_bytes: int = 16 << 20
    event_bytes: int = 1 << 20
    kept_bytes: int = 64 << 20

    def framing_limit(self, elapsed_s: float) -> int:
        """Return how much framing a body may have this long after its head."""
        return int(self.framing_bytes * (1 + elapsed_s))


class DirectSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of an entry that sends requests directly to targets.

    Attributes
    ----------
    listen : Address
        Listener for callers.
    ready_listen : Address
        Listener for readiness checks of load balancers.
    control : tuple of Address
        Wire addresses of the initial control instances.
    sidecar_port : int
        Wire port of the sidecars, on the hosts of their targets.
    failure_domain_regions : dict
        Region of each failure domain.
    old_version_ms : int
        How long a superseded version of weights may serve after the newer one was
        accepted, in milliseconds.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget that all entries share for a service: in any window of
        `retry_window_s` seconds, `retry_ratio` of its requests plus `retry_slack`.
    returns_wait : bool
        Whether callers that come back after a refusal may wait at an engine for a slot.
        Fewer are refused for good, and more of these are refused late.
    response_limits : ResponseLimits
        How much targets may send.
    request_body_bytes : int
        Memory for the bodies of all requests that an entry has in progress. A request
        whose body finds no room is refused.
    drain_overrun_ms : int
        How much longer than `drain_ms` requests in progress may take. Nothing is taken
        that is expected to need it.
    """

    listen: Address
    ready_listen: Address
    control: tuple[Address, ...]
    sidecar_port: int
    failure_domain_regions: dict[str, str] = {}
    old_version_ms: int = 8000
    retry_ratio: float = 0.1
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    returns_wait: bool = False
    response_limits: ResponseLimits = ResponseLimits()
    request_body_bytes: int = DEFAULT_REQUEST_BYTES
    drain_overrun_ms: int = 0


class RolloutSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of a sidecar whose target receives requests directly from entries.

    Attributes
    ----------
    wire_listen : Address
        Listener for entries that request slots.
    control : tuple of Address
        Wire addresses of the initial control instances.
    target : Address
        The engine of this sidecar.
    service : str
        Service that the engine serves.
    link_mbps : float
        Bandwidth of this instance's link, in megabits per second.
    failure_domain_regions : dict
        Region of each failure domain.
    old_version_ms : int
        How long a superseded version of weights may serve after the newer one was
        accepted, in milliseconds.
    class_reserve : bool
        Whether slots are kept free for requests of more urgent priorities.
    cold_overshoot, cold_slack : float
        Bound on requests to a cold target: in any one second, `cold_overshoot` times
        the rate that its service states plus `cold_slack`.
    """

    wire_listen: Address
    control: tuple[Address, ...]
    target: Address
    service: str
    link_mbps: float = 0.0
    failure_domain_regions: dict[str, str] = {}
    old_version_ms: int = 8000
    class_reserve: bool = True
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
