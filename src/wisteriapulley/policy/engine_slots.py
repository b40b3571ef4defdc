"""Who gets a place at one target, and who waits for one.

Load pattern: many entries send to one engine, which batches `slots` requests and
reads new prompts between the tokens of those that run. No entry sees what the
others send. Harm prevented: without one queue in front of the engine, the entries
together overfill one target while another has places empty, and a burst of long
prompts makes the first event of every request late.

The engine's sidecar keeps this queue; its entries ask for a place before they
send. A place is granted only if the first event can still be in time, so that
what can't be is refused at once and does not delay what can.
"""

import heapq
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.policy.batch_steps import BatchStepClock
from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.routing import Engine

# Requests granted beyond the slots: an ended request's place is known here only
# after its entry said so, some milliseconds later, and the engine takes new
# requests at the end of a pass. One more keeps that slot from standing empty.
EXTRA_SLOTS = 1
# Until ends were seen: a mean request holds its place for so long.
INITIAL_HOLD_MS = 1500.0
# Until ends were seen: an engine with all slots taken makes an event of each
# request in a pass of so long, reading included.
INITIAL_EVENT_INTERVAL_MS = 80.0
# A request may end so long after the engine is to change: the change waits for it.
MAX_OVERRUN_MS = 800.0
# Places that requests may fill which come late: below this the engine has room
# for the new ones that come meanwhile.
LATE_SLOT_FRACTION = 0.7
# Prompts of late requests that a pass may read, in milliseconds. A new request's
# first event waits for what its pass reads: of an objective of 400 ms this takes a
# quarter, and one mean prompt of 50 ms always fits.
LATE_PREFILL_MS = 100.0
# A request is granted on weights whose time ends only if its first event is expected
# so long before. Left for the way there, and for what the estimate of the first
# event misses; a request that still is late is dropped by its entry in time.
BEGIN_MARGIN_MS = 250.0
SMOOTHING = 0.1
# A place whose entry neither uses nor releases it is taken back: longer than any
# route's timeout.
MAX_HOLD_MS = 15_000.0
# Never tell a caller to come back sooner.
MIN_RETRY_MS = 50.0


class AdmissionState(Enum):
    """Whether places are granted now, soon, or not at all.

    `LIMITED` is open, but for the rate that the engine states.
    """

    OPEN = "open"
    LIMITED = "limited"
    OPENING = "opening"
    CLOSED = "closed"


class SlotRequest(NamedTuple):
    """One request's wish for a place.

    Attributes
    ----------
    request_id : str
        Names the request.
    owner : str
        The entry that asks.
    prompt_tokens, answer_tokens : int
        Tokens to be read before the first event, and expected to be written.
    priority : int
        0 goes first.
    wait_ms : float
        Time until the first event must come.
    late : bool
        Whether the request's objective has passed already.
    target : str
        The engine's start that the request is for.
    is_last : bool
        Whether it can't be sent again if the engine turns it away.
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
    """A granted place."""

    owner: str
    granted_ms: float
    events: float


class QueuedRequest(NamedTuple):
    """A request in the queue, ordered by priority, then by arrival."""

    priority: int
    sequence: int
    request: SlotRequest
    expires_ms: float


class AdmissionDecision(NamedTuple):
    """What becomes of a request now; neither granted nor denied means it waits.

    `limited` says that the engine itself holds requests back: it states a rate, or
    turned some away.
    """

    request_id: str
    granted: bool = False
    denied: bool = False
    retry_ms: float = 0.0
    limited: bool = False


class EngineSlots:
    """Places of one engine.

    Parameters
    ----------
    engine : Engine
        Its figures.
    extra_places : int
        Places granted beyond its slots.
    overrun_ms : float
        How long after a planned change a request may still run.
    """

    def __init__(
        self,
        engine: Engine,
        extra_slots: int = EXTRA_SLOTS,
        max_overrun_ms: float = MAX_OVERRUN_MS,
    ):
        self.engine = engine
        self.extra_slots = extra_slots
        self.max_overrun_ms = max_overrun_ms
        self.grants: dict[str, GrantedSlot] = {}
        self.queue: list[QueuedRequest] = []
        self.last_sequence = 0
        self.open = False
        self.step_clock = BatchStepClock()
        self.mean_hold_ms = INITIAL_HOLD_MS
        self.mean_event_interval_ms = INITIAL_EVENT_INTERVAL_MS
        # When the engine is to take nothing more for a while, if that is planned.
        self.closes_at_ms: float | None = None
        # When closed places are expected to open: the engine loads, and nothing
        # runs that the load has to wait for.
        self.opens_at_ms: float | None = None
        # When nothing may begin any more on the weights that the engine holds.
        self.weights_end_ms: float | None = None
        # What the engine says that it takes, and which start of it was asked for last.
        self.rate_limits = RateLimits()
        self.target = ""
        # What it did with the requests that were granted.
        self.breaker = CircuitBreaker()

    @property
    def state(self) -> AdmissionState:
        """Whether places are granted."""
        if self.open:
            return AdmissionState.OPEN
        opening = self.opens_at_ms is not None
        return AdmissionState.OPENING if opening else AdmissionState.CLOSED

    @property
    def max_grants(self) -> int:
        """Places granted at once at the most."""
        return self.engine.slots + self.extra_slots

    def batch_step_ms(self) -> float:
        """Return how long a pass without reading takes now."""
        engine = self.engine
        step_ms = engine.step_ms + engine.step_ms_per_request * len(self.grants)
        return step_ms * engine.stride

    def first_event_ms(self, prompt_tokens: int, now_ms: float) -> float:
        """Estimate when the first event comes of a request that is sent now."""
        self.step_clock.advance(now_ms, self.batch_step_ms(), len(self.grants))
        rate = self.engine.prefill_tokens_per_ms
        return self.step_clock.first_event_ms(
            prompt_tokens, rate, self.batch_step_ms(), now_ms
        )

    def slot_wait_ms(self, ahead: int) -> float:
        """Estimate when a place opens for a request with so many before it."""
        free = self.max_grants - len(self.grants)
        if ahead < free:
            return 0.0
        return (ahead - free + 1) * self.mean_hold_ms / self.engine.slots

    # -- inputs ----------------------------------------------------------

    def request_slot(self, request: SlotRequest, now_ms: float) -> AdmissionDecision:
        """Grant a place, let the request wait, or deny it at once."""
        if self.state is AdmissionState.CLOSED:
            return AdmissionDecision(request.request_id, denied=True)
        self.set_target(request.target)
        throttled_ms = self.throttle_wait_ms(request, now_ms)
        if throttled_ms > 0:
            retry_ms = max(MIN_RETRY_MS, throttled_ms)
            return AdmissionDecision(
                request.request_id, denied=True, retry_ms=retry_ms, limited=True
            )
        if request.late:
            return self.request_slot_late(request, now_ms)
        ahead = sum(w.priority <= request.priority for w in self.queue)
        slot_ms = self.slot_wait_ms(ahead)
        event_ms = self.first_event_ms(request.prompt_tokens, now_ms)
        if self.state is AdmissionState.OPENING:
            slot_ms = max(slot_ms, self.opens_at_ms - now_ms)
            event_ms += self.queued_prefill_ms()
        in_time = slot_ms + event_ms <= request.wait_ms
        if not in_time and not (self.open and self.is_late_by_own_length()):
            return AdmissionDecision(
                request.request_id,
                denied=True,
                retry_ms=max(MIN_RETRY_MS, slot_ms + event_ms - request.wait_ms),
            )
        if self.begins_too_late(request, slot_ms + event_ms, now_ms):
            return AdmissionDecision(
                request.request_id, denied=True, retry_ms=MIN_RETRY_MS
            )
        if slot_ms <= 0 and self.open:
            return self.grant(request, now_ms)
        return self.enqueue(request, now_ms + request.wait_ms - event_ms)

    def request_slot_late(
        self, request: SlotRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decide on a request whose objective has passed already.

        Load: the callers whose streams a loss of all has cut come back at the same
        moment, some eighty within 0.2 s at twelve engines. Harm prevented: their
        prompts together take longer to read than one request may wait, so they
        were refused for good while places stood empty. They wait for their turn to
        be read instead, a few in each pass, so that new requests still are in time.
        """
        open_in_ms = 0.0 if self.open else max(0.0, self.opens_at_ms - now_ms)
        event_ms = open_in_ms + self.first_event_ms(request.prompt_tokens, now_ms)
        if not self.has_spare_slots(len(self.queue)):
            return AdmissionDecision(
                request.request_id, denied=True, retry_ms=self.mean_hold_ms
            )
        prefill_ms = event_ms + self.queued_prefill_ms()
        if prefill_ms > request.wait_ms or self.begins_too_late(
            request, prefill_ms, now_ms
        ):
            return AdmissionDecision(
                request.request_id, denied=True, retry_ms=MIN_RETRY_MS
            )
        if self.open and not self.queue and self.can_prefill_late(now_ms):
            return self.grant(request, now_ms)
        return self.enqueue(request, now_ms + request.wait_ms - event_ms)

    def set_target(self, target: str) -> None:
        """Know which start of the engine requests are for; each is judged anew."""
        if target != self.target:
            self.target = target
            self.breaker = CircuitBreaker()

    def throttle_wait_ms(self, request: SlotRequest, now_ms: float) -> float:
        """Return how long until what the engine says and does lets a request begin."""
        rate_s = self.rate_limits.wait_s(request.target, now_ms / 1000, request.late)
        breaker_s = self.breaker.wait_s(now_ms / 1000, request.is_last)
        return max(rate_s, breaker_s) * 1000

    def throttled_for_s(self, now_s: float) -> float:
        """Return how long the engine takes no request in time."""
        rate_s = self.rate_limits.wait_s(self.target, now_s)
        return max(rate_s, self.breaker.wait_s(now_s))

    def can_prefill_late(self, now_ms: float) -> bool:
        """Tell whether the next pass may read one more late prompt."""
        self.step_clock.advance(now_ms, self.batch_step_ms(), len(self.grants))
        return self.has_spare_slots() and self.step_clock.prefill_ms < LATE_PREFILL_MS

    def enqueue(self, request: SlotRequest, expires_ms: float) -> AdmissionDecision:
        """Put a request into the queue, until it can't begin in time any more."""
        if self.weights_end_ms is not None:
            rate = self.engine.prefill_tokens_per_ms
            min_ms = (
                request.prompt_tokens / rate + self.batch_step_ms() + BEGIN_MARGIN_MS
            )
            expires_ms = min(expires_ms, self.weights_end_ms - min_ms)
        self.last_sequence += 1
        queued = QueuedRequest(
            request.priority, self.last_sequence, request, expires_ms
        )
        heapq.heappush(self.queue, queued)
        return AdmissionDecision(request.request_id)

    def queued_prefill_ms(self) -> float:
        """Return how long the prompts in the queue take to read.

        Load: engines that come back after a loss of all, and callers that ask
        before they have loaded. Harm prevented: those callers were refused, and
        then the engines stood empty; but all that wait are read at once when the
        places open, so only so many may wait as can be in time.
        """
        tokens = sum(waiting.request.prompt_tokens for waiting in self.queue)
        return tokens / self.engine.prefill_tokens_per_ms

    def has_spare_slots(self, ahead: int = 0) -> bool:
        """Tell whether a request may have a place though it comes late.

        Load: callers that were refused come back while more new ones come than
        there are places. Harm prevented: a late answer earns a quarter of one in
        time and takes the same place, so it gets what others leave.

        Parameters
        ----------
        ahead : int
            Late requests that wait for the same.
        """
        if self.queue and not self.queue[0].request.late:
            return False
        return len(self.grants) + ahead < self.max_grants * LATE_SLOT_FRACTION

    def is_late_by_own_length(self) -> bool:
        """Tell whether only a request's own length makes it late here.

        The longest prompts take most of an objective to read. They are not refused
        for that while places are free and nobody else's prompt waits to be read.
        """
        return self.has_spare_slots() and not self.step_clock.prefill_ms

    def begins_too_late(
        self, request: SlotRequest, event_ms: float, now_ms: float
    ) -> bool:
        """Tell whether the weights' time ends, or they change, too soon for it."""
        if self.weights_end_ms is not None:
            if now_ms + event_ms + BEGIN_MARGIN_MS > self.weights_end_ms:
                return True
        return self.overruns_change(request, event_ms, now_ms)

    def overruns_change(
        self, request: SlotRequest, event_ms: float, now_ms: float
    ) -> bool:
        """Tell whether a request would still run when the engine is to change.

        Load: an engine that is to load new weights takes nothing new until its
        longest request has ended. Harm prevented: for that time its other places
        stand empty. Before a planned change only requests that end by then are
        admitted, so that the engine is busy until then and soon after it again.
        """
        if self.closes_at_ms is None:
            return False
        run_ms = self.expected_events(request) * self.mean_event_interval_ms
        return now_ms + event_ms + run_ms > self.closes_at_ms + self.max_overrun_ms

    def expected_events(self, request: SlotRequest) -> float:
        """Return how many events a request's answer is expected to have."""
        return request.answer_tokens / max(1, self.engine.stride)

    def grant(self, request: SlotRequest, now_ms: float) -> AdmissionDecision:
        """Give a place."""
        self.rate_limits.take(request.target, now_ms / 1000)
        self.breaker.record_sent(now_ms / 1000)
        self.step_clock.advance(now_ms, self.batch_step_ms(), len(self.grants))
        self.step_clock.add(request.prompt_tokens / self.engine.prefill_tokens_per_ms)
        self.grants[request.request_id] = GrantedSlot(
            request.owner, now_ms, self.expected_events(request)
        )
        return AdmissionDecision(request.request_id, granted=True)

    def record_end(
        self,
        request_id: str,
        outcome: SendOutcome,
        now_ms: float,
        cooldown_requested: bool = False,
    ) -> None:
        """Take a place back, and learn what the engine did with its request.

        `rests` says that the engine asked the sender for rest.
        """
        grant = self.grants.get(request_id)
        if grant is not None:
            sent_s = grant.granted_ms / 1000
            self.breaker.record_outcome(
                outcome, sent_s, now_ms / 1000, cooldown_requested
            )
            if outcome is SendOutcome.REJECTED:
                # How long it was held says nothing of the time that requests take.
                del self.grants[request_id]
        self.release(request_id, now_ms)

    def release(self, request_id: str, now_ms: float) -> None:
        """Take a place back, or the request out of the queue."""
        grant = self.grants.pop(request_id, None)
        if grant is not None:
            held_ms = now_ms - grant.granted_ms
            self.mean_hold_ms += SMOOTHING * (held_ms - self.mean_hold_ms)
            if grant.events >= 1:
                interval_ms = held_ms / (grant.events + 1)
                self.mean_event_interval_ms += SMOOTHING * (
                    interval_ms - self.mean_event_interval_ms
                )
            return
        self.queue = [w for w in self.queue if w.request.request_id != request_id]
        heapq.heapify(self.queue)

    def release_owner(self, owner: str) -> None:
        """Take back all that an entry held or waited for: it is gone."""
        self.grants = {k: h for k, h in self.grants.items() if h.owner != owner}
        self.queue = [w for w in self.queue if w.request.owner != owner]
        heapq.heapify(self.queue)

    def revoke_all(self) -> None:
        """Take back all places at once: the engine runs none of it any more."""
        self.grants.clear()
        self.breaker = CircuitBreaker()
        self.step_clock = BatchStepClock()

    def close(self) -> None:
        """Grant nothing more; what waits is denied by the next `advance`."""
        self.open = False
        self.opens_at_ms = None

    def advance(self, now_ms: float) -> Iterator[AdmissionDecision]:
        """Yield verdicts on requests that waited.

        Those that can't be in time any more are denied as soon as that is so,
        not when their time has passed.
        """
        self.expire_grants(now_ms)
        while self.queue:
            first = self.queue[0]
            if self.state is AdmissionState.CLOSED or self.cannot_be_served(
                first, now_ms
            ):
                heapq.heappop(self.queue)
                yield self.deny_queued(first, now_ms)
            elif self.can_grant(first.request, now_ms):
                heapq.heappop(self.queue)
                yield self.grant(first.request, now_ms)
            else:
                break
        yield from self.deny_expired(now_ms)

    def cannot_be_served(self, waiting: QueuedRequest, now_ms: float) -> bool:
        """Tell whether a request waits in vain.

        Its time has passed, or it is late and new ones take all that there is. One
        that the engine itself holds back may have a place elsewhere at once.
        """
        if now_ms > waiting.expires_ms:
            return True
        if self.throttle_wait_ms(waiting.request, now_ms) > 0:
            return True
        return waiting.request.late and self.open and not self.has_spare_slots()

    def can_grant(self, request: SlotRequest, now_ms: float) -> bool:
        """Tell whether the first request of the queue may have a place now."""
        if not self.open:
            return False
        if request.late:
            return self.can_prefill_late(now_ms)
        return len(self.grants) < self.max_grants

    def deny_expired(self, now_ms: float) -> Iterator[AdmissionDecision]:
        """Deny what is behind others in the queue and past its time."""
        late = [w for w in self.queue if self.cannot_be_served(w, now_ms)]
        if not late:
            return
        self.queue = [w for w in self.queue if w not in late]
        heapq.heapify(self.queue)
        for waiting in late:
            yield self.deny_queued(waiting, now_ms)

    def deny_queued(self, waiting: QueuedRequest, now_ms: float) -> AdmissionDecision:
        """Deny a request that waited; tell when another may have a place."""
        slot_ms = self.slot_wait_ms(len(self.queue))
        throttled_ms = self.throttle_wait_ms(waiting.request, now_ms)
        return AdmissionDecision(
            waiting.request.request_id,
            denied=True,
            retry_ms=max(MIN_RETRY_MS, slot_ms, throttled_ms),
            limited=throttled_ms > 0,
        )

    def expire_grants(self, now_ms: float) -> None:
        """Take places back that were forgotten."""
        limit_ms = now_ms - MAX_HOLD_MS
        if any(h.granted_ms < limit_ms for h in self.grants.values()):
            self.grants = {
                k: h for k, h in self.grants.items() if h.granted_ms >= limit_ms
            }
