"""Requests for a slot of an engine, and the decisions on them. Pure."""

from enum import Enum, IntEnum
from typing import NamedTuple

from wisteriapulley.policy.target_speed import WorkMark


class AdmissionState(Enum):
    """Whether slots are granted now, soon, or not at all.

    `LIMITED` is open, but subject to the rate that the engine advertises.
    """

    OPEN = "open"
    LIMITED = "limited"
    OPENING = "opening"
    CLOSED = "closed"


class DenialReason(IntEnum):
    """Why a slot was denied; the numbers are those of the wire.

    `FIRST_EVENT` means that the request would be late even without a wait for a slot,
    `SLOT_WAIT` that it would be in time without one, and `NO_LATE_PLACE` that all
    places for late requests are taken. `PREFILL` means that too many queued prompts go
    before a late one, and `LARGE_PROMPTS` that large prompts, which get too few slots,
    could not wait for as long. `ENGINE_SILENT` means that the weights end soon, and
    that the engine has not just answered.
    """

    UNKNOWN = 0
    CLOSED = 1
    THROTTLED = 2
    RESERVED = 3
    SLOT_WAIT = 4
    FIRST_EVENT = 5
    NO_LATE_PLACE = 6
    PREFILL = 7
    WEIGHTS_END = 8
    EXPIRED = 9
    OVERTAKEN = 10
    LARGE_PROMPTS = 11
    ENGINE_SILENT = 12

    @classmethod
    def from_wire(cls, number: int) -> "DenialReason":
        """Return the reason of this number; UNKNOWN for one of a newer sidecar."""
        return cls(number) if number in cls._value2member_map_ else cls.UNKNOWN

    @property
    def label(self) -> str:
        """Name in logs and metrics."""
        return self.name.lower()


class SlotRequest(NamedTuple):
    """Request of an entry for a slot.

    Attributes
    ----------
    request_id : str
        Id of the request.
    owner : str
        The entry that sends it.
    prompt_tokens, answer_tokens : int
        Tokens to prefill before the first event, and expected in the answer.
    priority : int
        Lower goes first.
    wait_ms : float
        Time until the first event must be there.
    late : bool
        Whether the request's objective has passed already.
    target : str
        Incarnation of the engine that the request is for.
    is_last : bool
        Whether it can't be sent again if the engine rejects it.
    may_wait : bool
        Whether it may wait for a slot although it is late; see `policy.return_queue`.
    route : str
        Name of its route.
    large_prompt : int
        Tokens of a typical large prompt of its route; 0 if that is not known.
    """

    request_id: str
    owner: str
    prompt_tokens: int
    answer_tokens: int
    priority: int
    wait_ms: float
    late: bool = False
    target: str = ""
    is_last: bool = False
    may_wait: bool = False
    route: str = ""
    large_prompt: int = 0


class GrantedSlot(NamedTuple):
    """A slot granted to a request.

    Attributes
    ----------
    owner : str
        The entry that sends the request.
    granted_ms : float
        When it was granted.
    events : float
        Events expected in the answer.
    priority : int
        Priority of the request.
    begun : WorkMark
        Mark of the work's begin.
    prefilled_ms : float
        Time, at the usual speed, of all prompts that were granted before.
    running : int
        Slots in use, this one included.
    prompt_ms : float
        Time to prefill its own prompt, at the speed when it was granted.
    first_event_ms : float
        When its first event was expected.
    """

    owner: str
    granted_ms: float
    events: float
    priority: int = 0
    begun: WorkMark = WorkMark(0.0, 0.0)
    prefilled_ms: float = 0.0
    running: int = 1
    prompt_ms: float = 0.0
    first_event_ms: float = 0.0


class ObservedWork(NamedTuple):
    """What an entry observed of a request that an engine ran.

    Attributes
    ----------
    events : int
        Events of the answer.
    took_ms : float
        Time for which the entry waited for them; the time that a slow caller took to
        read them is left out.
    """

    events: int = 0
    took_ms: float = 0.0


NOTHING_OBSERVED = ObservedWork()


class QueuedRequest(NamedTuple):
    """A queued request, ordered by its priority in the queue, then by arrival."""

    priority: int
    sequence: int
    request: SlotRequest
    expires_ms: float


class AdmissionDecision(NamedTuple):
    """Decision on a request; neither granted nor denied means that it is queued.

    `limited` tells that the engine itself is throttled: it advertises a rate, or
    rejected some requests. `reason` is why the request was denied.
    """

    request_id: str
    granted: bool = False
    denied: bool = False
    retry_ms: float = 0.0
    limited: bool = False
    reason: DenialReason = DenialReason.UNKNOWN

    @property
    def outcome(self) -> str:
        """Name of the decision in metrics."""
        if self.granted:
            return "granted"
        if not self.denied:
            return "queued"
        is_reserved = self.reason is DenialReason.RESERVED
        return "reserved" if is_reserved else "denied"
