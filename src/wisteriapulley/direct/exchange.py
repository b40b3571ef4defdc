"""One send of a request to a target, and its response so far."""

from collections.abc import AsyncIterator
from typing import NamedTuple

from wisteriapulley.direct.events import EventSplitter
from wisteriapulley.direct.kept_bytes import KeptBytes, Reservation
from wisteriapulley.direct.progress import Progress
from wisteriapulley.direct.registry import Target
from wisteriapulley.direct.settings import ResponseLimits
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import Refusal, TargetAnswer
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.slot_requests import NOTHING_OBSERVED, ObservedWork
from wisteriapulley.policy.suspect_record import SuspectRecord

DEFAULT_LIMITS = ResponseLimits()


class Arrival(NamedTuple):
    """What arrived next from a target.

    Attributes
    ----------
    data : bytes
        Complete events of a stream, or a body; a part of it if it can't be kept whole.
    ended : bool
        Whether the response is complete with it.
    refusal : Refusal or None
        Why the target does not serve the request, or no longer.
    """

    data: bytes = b""
    ended: bool = False
    refusal: Refusal | None = None


class Exchange:
    """A request that is sent to one target.

    Parameters
    ----------
    slot : AllocatedSlot
        Slot at the target; released when the exchange is closed.
    progress : Progress
        Progress of the request. Events that are relayed of another exchange from now
        on make this one useless.
    now_s : float
        The loop's clock.
    limits : ResponseLimits, optional
        How much the target may send.
    kept_bytes : KeptBytes, optional
        Bounds what the entry keeps of responses.

    Attributes
    ----------
    events : EventSplitter
        Events that the caller has when this target is the one that goes on.
    response : TargetAnswer or None
        The response, once its head has arrived.
    parts : async iterator of bytes
        Parts of its body.
    body_bytes : int
        Bytes of a body so far.
    kept : Reservation
        What is kept of the response until it is relayed.
    outcome : SendOutcome
        What the target did with the request.
    waited_s : float
        How long the entry waited for the response and its events.
    waiting_since_s : float
        Since when the entry waits for the target to send something.
    silent_since_s : float or None
        Since when the target is silent, once it was for so long that another one was
        looked for; None while it goes on.
    begun : bool
        Whether a part of the first event has arrived, so that the request has started.
    was_silent : bool
        Whether it was silent for so long at any time. Its waits then do not tell how
        fast it works.
    broke_off : bool
        Whether the response broke off, or the target was left for another one.
    closed : bool
        Whether the slot was released.
    limit_s : float
        Time limit that the target got; 0 before the request was sent.
    stops_s : float or None
        When the target stops work because its version of the weights ends, on the
        loop's clock; None if it works until the deadline of the request.
    known_suspects : dict of bytes to SuspectRecord
        What was known of the parts of the prompt when it was sent.
    """

    def __init__(
        self,
        slot: AllocatedSlot,
        progress: Progress,
        now_s: float,
        limits: ResponseLimits = DEFAULT_LIMITS,
        kept_bytes: KeptBytes | None = None,
    ):
        self.slot = slot
        self.progress = progress
        progress.open_exchanges += 1
        self.events = EventSplitter(progress.events.last_id, limits.event_bytes)
        self.events.event_count = progress.events.event_count
        self.events_before = self.events.event_count
        self.response: TargetAnswer | None = None
        self.parts: AsyncIterator[bytes] | None = None
        self.body_bytes = 0
        self.kept = Reservation(kept_bytes or KeptBytes(limits.kept_bytes))
        self.outcome = SendOutcome.UNKNOWN
        self.waited_s = 0.0
        self.sent_s = self.waiting_since_s = now_s
        self.begun = False
        self.silent_since_s: float | None = None
        self.was_silent = False
        self.broke_off = False
        self.closed = False
        self.limit_s = 0.0
        self.stops_s: float | None = None
        self.known_suspects: dict[bytes, SuspectRecord] = {}

    @property
    def target(self) -> Target:
        """The target."""
        return self.slot.target

    @property
    def work(self) -> ObservedWork:
        """What was observed of the target's work."""
        if self.broke_off or self.was_silent:
            return NOTHING_OBSERVED._replace(events=self.events_received)
        return ObservedWork(self.events_received, self.waited_s * 1000)

    @property
    def events_received(self) -> int:
        """Number of complete events that the target has sent."""
        return self.events.event_count - self.events_before

    def record_part(
        self, begin_s: float, now_s: float, is_progress: bool = True
    ) -> None:
        """Record that the target sent something after a wait since `begin_s`.

        Without progress, as with a comment in a stream, it stays silent.
        """
        self.waited_s += now_s - begin_s
        if is_progress:
            self.waiting_since_s = now_s

    def fall_silent(self) -> bool:
        """Record that the target is silent; return whether that was not known."""
        if self.silent_since_s is not None:
            return False
        self.silent_since_s = self.waiting_since_s
        self.was_silent = True
        return True

    def silent_ms(self, now_s: float) -> int:
        """Return how long the target has sent nothing, in milliseconds."""
        since_s = self.silent_since_s
        if since_s is None:
            since_s = self.waiting_since_s
        return int((now_s - since_s) * 1000)

    def has_stopped(self, now_s: float) -> bool:
        """Return whether a target that keeps its time limit has stopped work."""
        return self.stops_s is not None and now_s >= self.stops_s

    def close(self) -> None:
        """Close the connection unless it is idle, and release the slot."""
        if self.closed:
            return
        self.closed = True
        self.kept.release()
        self.progress.open_exchanges -= 1
        if self.response is not None:
            self.response.close()
        self.slot.release(self.outcome, self.work)
