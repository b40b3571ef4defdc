"""Requests for a slot of an engine, and the decisions on them. Pure."""

from enum import Enum
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
    """

    owner: str
    granted_ms: float
    events: float
    priority: int = 0
    begun: WorkMark = WorkMark(0.0, 0.0)
    prefilled_ms: float = 0.0
    running: int = 1


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
    rejected some requests. `reserved` tells that the request was denied because slots
    are kept for more urgent ones.
    """

    request_id: str
    granted: bool = False
    denied: bool = False
    retry_ms: float = 0.0
    limited: bool = False
    reserved: bool = False

    @property
    def outcome(self) -> str:
        """Name of the decision in metrics."""
        if self.granted:
            return "granted"
        if not self.denied:
            return "queued"
        return "reserved" if self.reserved else "denied"
