"""Requests for a slot of an engine, and the decisions on them. Pure."""

from enum import Enum
from typing import NamedTuple


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


class GrantedSlot(NamedTuple):
    """A slot granted to a request, and the events expected in its answer."""

    owner: str
    granted_ms: float
    events: float
    priority: int = 0


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
