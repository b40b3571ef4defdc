"""Slots of one engine: which request is admitted, queued or denied. Pure.

Many entries send to one engine, which batches `slots` requests and prefills new prompts
between the decode steps of the running ones. No entry sees the requests of others.
Without one queue in front of the engine, the entries together overload one target
while another has free slots, and a burst of long prompts delays the first event of
every request.

The engine's sidecar keeps this queue; entries request a slot before they send. A slot
is granted only if the first event can still be in time. Any other request is refused at
once and does not delay the rest.
"""

from collections.abc import Iterator

from wisteriapulley.policy.admission_level import AdmissionLevel
from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.policy.batch_steps import BatchStepClock
from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.policy.class_reserve import ClassReserve
from wisteriapulley.policy.large_share import LargeShares, is_large
from wisteriapulley.policy.late_requests import (
    can_prefill_late,
    has_late_slots,
    has_spare_slots,
    is_late_by_own_length,
    late_slot_limit,
)
from wisteriapulley.policy.return_queue import has_waiting_place
from wisteriapulley.policy.slot_estimates import (
    EXTRA_SLOTS,
    MAX_HOLD_MS,
    SlotEstimates,
)
from wisteriapulley.policy.slot_queue import SlotQueue
from wisteriapulley.policy.slot_requests import (
    NOTHING_OBSERVED,
    AdmissionDecision,
    AdmissionState,
    DenialReason,
    ObservedWork,
    QueuedRequest,
    SlotRequest,
)
from wisteriapulley.policy.target_speed import TargetSpeed
from wisteriapulley.policy.version_end import BEGIN_MARGIN_MS
from wisteriapulley.routing import Engine

__all__ = [
    "MAX_HOLD_MS",
    "AdmissionDecision",
    "AdmissionState",
    "EngineSlots",
    "ObservedWork",
    "SlotRequest",
]

# A planned change of weights waits up to this long for running requests.
MAX_OVERRUN_MS = 800.0
# An engine that is not open this long after its announced time counts as closed. Those
# who wait for it are denied, while they can still be offered elsewhere.
OVERDUE_OPENING_MS = 500.0
# Callers are never told to retry sooner.
MIN_RETRY_MS = 50.0


class EngineSlots(SlotEstimates):
    """Slots of one engine, and the queue for them.

    Parameters
    ----------
    engine : Engine
        Parameters of the engine.
    extra_slots : int
        Slots granted beyond the engine's own.
    max_overrun_ms : float
        How long after a planned change a request may still run.
    """

    def __init__(
        self,
        engine: Engine,
        extra_slots: int = EXTRA_SLOTS,
        max_overrun_ms: float = MAX_OVERRUN_MS,
    ):
        super().__init__(engine, extra_slots)
        self.max_overrun_ms = max_overrun_ms
        self.queue = SlotQueue()
        self.open = False
        # Start of a planned change, from which on the engine takes no requests.
        self.closes_at_ms: float | None = None
        # When admission is expected to open: the engine is loading, and no running
        # request delays the load.
        self.opens_at_ms: float | None = None
        # Until when requests may start on the engine's current weights, if these are
        # superseded; see `policy.version_end`.
        self.weights_end_ms: float | None = None
        # Advertised rates, and the incarnation that the last slot request was for.
        self.rate_limits = RateLimits()
        self.target = ""
        # Tracks what the engine did with granted requests.
        self.breaker = CircuitBreaker()
        self.reserve = ClassReserve(self)
        self.large_shares = LargeShares()
        self.admission_level = AdmissionLevel(self.reserve, self.queue)

    @property
    def state(self) -> AdmissionState:
        """Whether slots are granted."""
        if self.open:
            return AdmissionState.OPEN
        opening = self.opens_at_ms is not None
        return AdmissionState.OPENING if opening else AdmissionState.CLOSED

    # -- inputs ----------------------------------------------------------

    def request_slot(self, request: SlotRequest, now_ms: float) -> AdmissionDecision:
        """Grant a slot, queue the request, or deny it at once."""
        self.expire_opening(now_ms)
        if self.state is AdmissionState.CLOSED:
            return deny(request, DenialReason.CLOSED)._replace(retry_ms=0.0)
        self.set_target(request.target)
        throttled_ms = self.throttle_wait_ms(request, now_ms)
        if throttled_ms > 0:
            return deny(request, DenialReason.THROTTLED, throttled_ms)
        if request.late:
            return self.request_slot_late(request, now_ms)
        decision = self.request_slot_in_time(request, now_ms)
        self.reserve.record_decision(request, decision, now_ms)
        if self.open:
            # Callers who wait for an engine to open come at once, and only once.
            share = self.large_shares.of(request)
            share.record_decision(request, decision, now_ms)
        return decision

    def request_slot_in_time(
        self, request: SlotRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decide on a request that can still meet its objective."""
        rank = self.reserve.rank_of(request, self.queue, now_ms)
        slot_ms = self.reserve.wait_ms(rank, self.queue.ahead_of(rank), now_ms)
        event_ms = self.first_event_ms(request.prompt_tokens, now_ms)
        if self.state is AdmissionState.OPENING:
            slot_ms = max(slot_ms, self.opens_at_ms - now_ms)
            event_ms += self.queued_prefill_ms()
        if not self.is_admissible(request, slot_ms, event_ms, now_ms):
            unreserved_ms = self.slot_wait_ms(self.queue.ahead_of(rank))
            reason = denial_reason(request, unreserved_ms, slot_ms, event_ms)
            return deny(request, reason, slot_ms + event_ms - request.wait_ms)
        if self.begins_too_late(request, slot_ms + event_ms, now_ms):
            return deny(request, DenialReason.WEIGHTS_END)
        if slot_ms <= 0 and self.open:
            return self.grant(request, now_ms)
        return self.enqueue(request, rank, now_ms + request.wait_ms - event_ms)

    def is_admissible(
        self, request: SlotRequest, slot_ms: float, event_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request may get a slot, or wait for one.

        Parameters
        ----------
        request : SlotRequest
            The request.
        slot_ms, event_ms : float
            Its wait for a slot, and the time to its first event after that.
        now_ms : float
            Current time.
        """
        in_time = slot_ms + event_ms <= request.wait_ms
        if not self.open:
            return in_time
        if in_time:
            return self.has_idle_step(slot_ms) or self.leaves_time(
                request, slot_ms, now_ms
            )
        # A request that is late only at a slow engine may be in time at another one.
        late_anywhere = slot_ms + event_ms / self.factor > request.wait_ms
        if late_anywhere and is_late_by_own_length(self, self.queue):
            return True
        is_hopeless = is_large(request) and event_ms > request.wait_ms
        starves = self.large_shares.of(request).is_below_floor(now_ms)
        return is_hopeless and starves and self.has_idle_step(slot_ms)

    def leaves_time(self, request: SlotRequest, slot_ms: float, now_ms: float) -> bool:
        """Return whether large prompts that starve could wait for as long as this one.

        Otherwise more waits for slots and prefill than they can bear.
        """
        ahead_ms = slot_ms + self.first_event_ms(0, now_ms)
        return ahead_ms <= self.large_shares.bearable_ms(
            request.priority, self.prefill_ms, now_ms
        )

    def has_idle_step(self, slot_ms: float) -> bool:
        """Return whether a slot is free, and no other prompt waits for prefill."""
        return slot_ms <= 0 and not self.queue and not self.step_clock.prefill_ms

    def request_slot_late(
        self, request: SlotRequest, now_ms: float
    ) -> AdmissionDecision:
        """Decide on a request whose objective has passed already.

        After an outage of all instances, callers whose streams were cut retry at the
        same moment: about eighty within 0.2 s at twelve engines. Their prompts together
        take longer to prefill than one request may wait, so without this rule they
        would be refused for good while slots are free. Instead they are queued for
        prefill, a few in each batch step, so that new requests still are in time.
        """
        open_in_ms = 0.0 if self.open else max(0.0, self.opens_at_ms - now_ms)
        event_ms = open_in_ms + self.first_event_ms(request.prompt_tokens, now_ms)
        if not self.has_late_place(request):
            return deny(request, DenialReason.NO_LATE_PLACE, self.late_slot_wait_ms())
        prefill_ms = event_ms + self.queued_prefill_ms()
        if prefill_ms > request.wait_ms:
            return deny(request, DenialReason.PREFILL)
        if self.begins_too_late(request, prefill_ms, now_ms):
            return deny(request, DenialReason.WEIGHTS_END)
        if self.open and not self.queue and can_prefill_late(self, self.queue, now_ms):
            return self.grant(request, now_ms)
        expires_ms = now_ms + request.wait_ms - event_ms
        return self.enqueue(request, request.priority, expires_ms)

    def has_late_place(self, request: SlotRequest) -> bool:
        """Return whether a late request gets a slot, or a place in the queue.

        All slots of an engine that is about to open are free, so late requests may
        claim their part of them beside the new ones that already wait.
        """
        waiting = len(self.queue)
        if not self.open:
            return has_late_slots(self, waiting)
        if request.may_wait and has_waiting_place(self.queue, self.engine.slots):
            return True
        return has_spare_slots(self, self.queue, waiting)

    def late_slot_wait_ms(self) -> float:
        """Estimate the wait for the next slot that late requests may have."""
        taken = len(self.grants) + len(self.queue)
        return max(MIN_RETRY_MS, self.slots_freed_ms(taken - late_slot_limit(self) + 1))

    def set_target(self, target: str) -> None:
        """Set the engine's incarnation; each one gets its own circuit breaker."""
        if target != self.target:
            self.target = target
            self.breaker = CircuitBreaker()

    def throttle_wait_ms(self, request: SlotRequest, now_ms: float) -> float:
        """Return the delay that the advertised rate and the circuit breaker impose."""
        rate_s = self.rate_limits.wait_s(request.target, now_ms / 1000, request.late)
        breaker_s = self.breaker.wait_s(now_ms / 1000, request.is_last)
        return max(rate_s, breaker_s) * 1000

    def throttled_for_s(self, now_s: float) -> float:
        """Return how long the engine accepts no request that is in time."""
        rate_s = self.rate_limits.wait_s(self.target, now_s)
        return max(rate_s, self.breaker.wait_s(now_s))

    def enqueue(
        self, request: SlotRequest, rank: int, expires_ms: float
    ) -> AdmissionDecision:
        """Queue a request until it can't be in time any more."""
        self.queue.push(request, rank, expires_ms)
        return AdmissionDecision(request.request_id)

    def queued_prefill_ms(self) -> float:
        """Return the time to prefill all queued prompts.

        When engines restart after an outage of all instances, callers ask before the
        weights are loaded. If these were refused, the engines would then be idle; but
        all queued prompts are prefilled at once when admission opens, so only as many
        are queued as can be in time.
        """
        return self.prefill_ms(self.queue.prompt_tokens())

    def begins_too_late(
        self, request: SlotRequest, event_ms: float, now_ms: float
    ) -> bool:
        """Return whether the grace period ends, or weights change, too early for it."""
        return self.starts_too_late(event_ms, now_ms) or self.overruns_change(
            request, event_ms, now_ms
        )

    def starts_too_late(self, event_ms: float, now_ms: float) -> bool:
        """Return whether a first event would come too late for superseded weights."""
        ends_ms = self.weights_end_ms
        return ends_ms is not None and now_ms + event_ms + BEGIN_MARGIN_MS > ends_ms

    def overruns_change(
        self, request: SlotRequest, event_ms: float, now_ms: float
    ) -> bool:
        """Return whether a request would still run when the weights are to change.

        An engine that is to load new weights takes no requests until its longest one
        has ended, and its other slots are idle meanwhile. So before a planned change
        only requests that end in time are admitted, which keeps the engine busy until
        shortly before the change and soon after it.
        """
        if self.closes_at_ms is None:
            return False
        ends_ms = now_ms + event_ms + self.run_ms(request)
        return ends_ms > self.closes_at_ms + self.max_overrun_ms

    def grant(self, request: SlotRequest, now_ms: float) -> AdmissionDecision:
        """Grant a slot."""
        self.rate_limits.take(request.target, now_ms / 1000)
        self.breaker.record_sent(now_ms / 1000)
        self.add_grant(request, now_ms)
        return AdmissionDecision(request.request_id, granted=True)

    def record_end(
        self,
        request_id: str,
        outcome: SendOutcome,
        now_ms: float,
        cooldown_requested: bool = False,
        work: ObservedWork = NOTHING_OBSERVED,
    ) -> None:
        """Release a slot, and record what the engine did with its request.

        Parameters
        ----------
        request_id : str
            The request.
        outcome : SendOutcome
            What the engine did with it.
        now_ms : float
            Current time.
        cooldown_requested : bool
            Whether the engine requested a cool-down.
        work : ObservedWork
            What its entry observed.
        """
        self.observe_work(request_id, work, now_ms)
        grant = self.grants.get(request_id)
        if grant is not None:
            sent_s = grant.granted_ms / 1000
            self.breaker.record_outcome(
                outcome, sent_s, now_ms / 1000, cooldown_requested
            )
            if outcome is SendOutcome.REJECTED:
                # The hold time of a rejected request is no sample of service times.
                self.remove_grant(request_id, now_ms)
        self.release(request_id, now_ms)

    def release(self, request_id: str, now_ms: float) -> None:
        """Release a request's slot, or remove it from the queue."""
        grant = self.release_grant(request_id, now_ms)
        if grant is not None:
            self.reserve.record_hold(grant.priority, now_ms - grant.granted_ms)
        else:
            self.queue.remove(lambda queued: queued.request.request_id == request_id)

    def postpone(
        self, request_id: str, by_ms: float, now_ms: float
    ) -> DenialReason | None:
        """Let a granted request start later; return why it may not start any more."""
        grant = self.grants[request_id]
        event_ms = grant.first_event_ms + by_ms
        self.grants[request_id] = grant._replace(first_event_ms=event_ms)
        if not self.open:
            return DenialReason.CLOSED
        if self.starts_too_late(event_ms - now_ms, now_ms):
            return DenialReason.WEIGHTS_END
        return None

    def withdraw(self, request_id: str, now_ms: float) -> None:
        """Take back a slot of which its entry has not heard.

        Its hold time is no sample of service times, and nothing was sent.
        """
        grant = self.remove_grant(request_id, now_ms)
        if grant is not None:
            sent_s = grant.granted_ms / 1000
            self.breaker.record_outcome(SendOutcome.UNKNOWN, sent_s, now_ms / 1000)

    def release_owner(self, owner: str, now_ms: float) -> None:
        """Drop all slots and queued requests of an entry that is gone."""
        owned = [k for k, grant in self.grants.items() if grant.owner == owner]
        for request_id in owned:
            self.remove_grant(request_id, now_ms)
        self.queue.remove(lambda queued: queued.request.owner == owner)

    def revoke_all(self) -> None:
        """Revoke all slots at once: the engine does not run their requests any more."""
        self.grants.clear()
        self.breaker = CircuitBreaker()
        self.step_clock = BatchStepClock()
        self.speed = TargetSpeed()

    def close(self) -> None:
        """Stop granting; the next `advance` denies queued requests."""
        self.open = False
        self.opens_at_ms = None

    def expire_opening(self, now_ms: float) -> None:
        """Count the engine as closed if it did not open when it was expected to."""
        if self.opens_at_ms is None or self.open:
            return
        if now_ms > self.opens_at_ms + OVERDUE_OPENING_MS:
            self.opens_at_ms = None

    def advance(self, now_ms: float) -> Iterator[AdmissionDecision]:
        """Yield decisions on queued requests.

        Requests that can't be in time any more are denied as soon as that is known, not
        when their time has passed.
        """
        self.expire_grants(now_ms)
        self.expire_opening(now_ms)
        while self.queue:
            first = self.queue.first
            reason = self.hopeless_reason(first, now_ms)
            if self.state is AdmissionState.CLOSED:
                reason = DenialReason.CLOSED
            if reason is not None:
                self.queue.pop()
                yield self.deny_queued(first, reason, now_ms)
            elif self.can_grant(first, now_ms):
                self.queue.pop()
                self.reserve.record_grant(first.request.priority, now_ms)
                if not first.request.late:
                    share = self.large_shares.of(first.request)
                    share.record_grant(first.request, now_ms)
                yield self.grant(first.request, now_ms)
            else:
                break
        yield from self.deny_expired(now_ms)

    def deny_overtaken(
        self, request: SlotRequest, now_ms: float
    ) -> Iterator[AdmissionDecision]:
        """Yield denials of queued requests that a more urgent one made hopeless.

        At their limit it would be too late to offer them to another engine.
        """
        kept = 0
        overtaken: list[QueuedRequest] = []
        for queued in sorted(self.queue):
            wait_ms = self.reserve.wait_ms(queued.priority, kept, now_ms)
            less_urgent = queued.priority > request.priority and not queued.request.late
            if less_urgent and now_ms + wait_ms > queued.expires_ms:
                overtaken.append(queued)
            else:
                kept += 1
        for queued in self.queue.remove(overtaken.__contains__):
            yield self.deny_queued(queued, DenialReason.OVERTAKEN, now_ms)

    def hopeless_reason(
        self, queued: QueuedRequest, now_ms: float
    ) -> DenialReason | None:
        """Return why a queued request has no chance of a slot; None if it has one.

        Its time has passed, or it is late and new requests take all free slots. A
        request for a throttled engine may get a slot elsewhere at once. One that
        may wait does so until a slot falls free. The weights may have been superseded
        since it was queued, and other prompts go before its own.
        """
        if now_ms > queued.expires_ms:
            return DenialReason.EXPIRED
        if self.weights_end_ms is not None:
            event_ms = self.first_event_ms(queued.request.prompt_tokens, now_ms)
            if self.starts_too_late(event_ms, now_ms):
                return DenialReason.WEIGHTS_END
        if self.throttle_wait_ms(queued.request, now_ms) > 0:
            return DenialReason.THROTTLED
        if not queued.request.late or queued.request.may_wait:
            return None
        if self.open and not has_spare_slots(self, self.queue):
            return DenialReason.NO_LATE_PLACE
        return None

    def can_grant(self, queued: QueuedRequest, now_ms: float) -> bool:
        """Return whether the first queued request may get a slot now."""
        if not self.open:
            return False
        if queued.request.late:
            return can_prefill_late(self, self.queue, now_ms)
        reserved = self.reserve.reserved_slots(queued.priority, now_ms)
        return len(self.grants) + reserved < self.max_grants

    def deny_expired(self, now_ms: float) -> Iterator[AdmissionDecision]:
        """Deny requests further back in the queue that have no chance of a slot."""
        reasons = {q.sequence: self.hopeless_reason(q, now_ms) for q in self.queue}
        for queued in self.queue.remove(lambda q: reasons[q.sequence] is not None):
            yield self.deny_queued(queued, reasons[queued.sequence], now_ms)

    def deny_queued(
        self, queued: QueuedRequest, reason: DenialReason, now_ms: float
    ) -> AdmissionDecision:
        """Deny a queued request, with the time after which a slot may be free."""
        slot_ms = self.slot_wait_ms(len(self.queue))
        throttled_ms = self.throttle_wait_ms(queued.request, now_ms)
        decision = deny(queued.request, reason, max(slot_ms, throttled_ms))
        return decision._replace(limited=throttled_ms > 0)


def deny(
    request: SlotRequest, reason: DenialReason, retry_ms: float = MIN_RETRY_MS
) -> AdmissionDecision:
    """Return the denial of a request, with the time until a slot is likely."""
    return AdmissionDecision(
        request.request_id,
        denied=True,
        retry_ms=max(MIN_RETRY_MS, retry_ms),
        limited=reason is DenialReason.THROTTLED,
        reason=reason,
    )


def denial_reason(
    request: SlotRequest, unreserved_ms: float, slot_ms: float, event_ms: float
) -> DenialReason:
    """Return why a request that is not admissible is denied.

    `unreserved_ms` is the wait for a slot if none were kept for more urgent requests.
    """
    if slot_ms + event_ms <= request.wait_ms:
        return DenialReason.LARGE_PROMPTS
    if unreserved_ms < slot_ms:
        return DenialReason.RESERVED
    if event_ms > request.wait_ms:
        return DenialReason.FIRST_EVENT
    return DenialReason.SLOT_WAIT
