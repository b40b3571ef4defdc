"""Granted slots of one engine, and estimates of the time its work takes. Pure."""

from wisteriapulley.policy.batch_steps import BatchStepClock
from wisteriapulley.policy.slot_requests import (
    GrantedSlot,
    ObservedWork,
    SlotRequest,
)
from wisteriapulley.policy.target_speed import TargetSpeed
from wisteriapulley.routing import Engine

# Slots granted beyond the engine's own: the end of a request is known here only after
# its entry reported it, some milliseconds later, and the engine takes new requests at
# the end of a batch step. One extra grant keeps that slot from being idle.
EXTRA_SLOTS = 1
# Initial estimate of how long a request holds its slot.
INITIAL_HOLD_MS = 1500.0
# Initial estimate of the time between two events of a request, with all slots in use
# and prefill included.
INITIAL_EVENT_INTERVAL_MS = 80.0
# Weight of a new sample in the moving averages of hold times and event intervals.
SMOOTHING = 0.1
# A slot whose entry neither uses nor releases it is revoked after this time, which is
# longer than any route's timeout.
MAX_HOLD_MS = 15_000.0


class SlotEstimates:
    """Slots in use at one engine, and how long its work takes.

    Parameters
    ----------
    engine : Engine
        Parameters of the engine.
    extra_slots : int
        Slots granted beyond the engine's own.

    Attributes
    ----------
    grants : dict of str to GrantedSlot
        Granted slots by request id.
    step_clock : BatchStepClock
        The batch step in progress.
    mean_hold_ms, mean_event_interval_ms : float
        Moving averages of how long a request holds its slot, and of the time between
        two of its events, at the engine's usual speed.
    speed : TargetSpeed
        Estimate of the engine's speed.
    factor : float
        Time of work as a multiple of its usual time, when it was last asked for.
    prefilled_ms : float
        Time, at the usual speed, of all prompts that were granted.
    """

    def __init__(self, engine: Engine, extra_slots: int = EXTRA_SLOTS):
        self.engine = engine
        self.extra_slots = extra_slots
        self.grants: dict[str, GrantedSlot] = {}
        self.step_clock = BatchStepClock()
        self.mean_hold_ms = INITIAL_HOLD_MS
        self.mean_event_interval_ms = INITIAL_EVENT_INTERVAL_MS
        self.speed = TargetSpeed()
        self.factor = 1.0
        self.prefilled_ms = 0.0

    @property
    def max_grants(self) -> int:
        """Maximum number of slots granted at once."""
        return self.engine.slots + self.extra_slots

    def batch_step_ms(self) -> float:
        """Return the current length of a batch step without prefill."""
        return self.usual_step_ms(len(self.grants)) * self.factor

    def usual_step_ms(self, running: float) -> float:
        """Return the length of a batch step without prefill at the usual speed."""
        engine = self.engine
        step_ms = engine.step_ms + engine.step_ms_per_request * running
        return step_ms * engine.stride

    def prefill_ms(self, prompt_tokens: int) -> float:
        """Return the time to prefill a prompt."""
        return prompt_tokens / self.engine.prefill_tokens_per_ms * self.factor

    def advance_step_clock(self, now_ms: float) -> None:
        """Advance the engine's batch steps to the current time."""
        self.factor = self.speed.factor(now_ms / 1000)
        self.step_clock.advance(now_ms, self.batch_step_ms(), len(self.grants))

    def first_event_ms(self, prompt_tokens: int, now_ms: float) -> float:
        """Estimate the time to the first event of a request that is sent now."""
        self.advance_step_clock(now_ms)
        rate = self.engine.prefill_tokens_per_ms / self.factor
        return self.step_clock.first_event_ms(
            prompt_tokens, rate, self.batch_step_ms(), now_ms
        )

    def slot_wait_ms(self, ahead: int) -> float:
        """Estimate the wait for a slot with `ahead` requests before it."""
        free = self.max_grants - len(self.grants)
        if ahead < free:
            return 0.0
        return self.slots_freed_ms(ahead - free + 1)

    def slots_freed_ms(self, count: float) -> float:
        """Estimate the time until `count` of the slots in use are released."""
        return count * self.hold_ms() / self.engine.slots

    def hold_ms(self) -> float:
        """Return how long a request holds its slot at the current speed."""
        return self.mean_hold_ms * self.factor

    def expected_events(self, request: SlotRequest) -> float:
        """Return how many events are expected in a request's answer."""
        return request.answer_tokens / max(1, self.engine.stride)

    def run_ms(self, request: SlotRequest) -> float:
        """Estimate how long a request's events take."""
        interval_ms = self.mean_event_interval_ms * self.factor
        return self.expected_events(request) * interval_ms

    def add_grant(self, request: SlotRequest, now_ms: float) -> None:
        """Record that a request has a slot and that its prompt is prefilled next."""
        event_ms = now_ms + self.first_event_ms(request.prompt_tokens, now_ms)
        prompt_ms = self.prefill_ms(request.prompt_tokens)
        self.step_clock.add(prompt_ms)
        self.grants[request.request_id] = GrantedSlot(
            request.owner,
            now_ms,
            self.expected_events(request),
            request.priority,
            begun=self.speed.mark(now_ms / 1000),
            prefilled_ms=self.prefilled_ms,
            running=len(self.grants) + 1,
            prompt_ms=prompt_ms,
            first_event_ms=event_ms,
        )
        rate = self.engine.prefill_tokens_per_ms
        self.prefilled_ms += request.prompt_tokens / rate

    def observe_work(self, request_id: str, work: ObservedWork, now_ms: float) -> None:
        """Learn the engine's speed from a request that it ran.

        The request took the batch steps of its events, half of one before the first of
        these, and the prefill of all prompts that were granted meanwhile, its own
        included.
        """
        grant = self.grants.get(request_id)
        if grant is None or not work.events:
            return
        step_ms = self.usual_step_ms((grant.running + len(self.grants)) / 2)
        prefill_ms = self.prefilled_ms - grant.prefilled_ms
        usual_ms = (work.events + 0.5) * step_ms + prefill_ms
        self.speed.observe_work(grant.begun, usual_ms, work.took_ms, now_ms / 1000)

    def release_grant(self, request_id: str, now_ms: float) -> GrantedSlot | None:
        """Release a slot, learn from its times and return it, if there was one."""
        grant = self.remove_grant(request_id, now_ms)
        if grant is None:
            return None
        if self.speed.stood_still_since(grant.begun):
            return grant
        held_ms = (now_ms - grant.granted_ms) / self.factor
        self.mean_hold_ms += SMOOTHING * (held_ms - self.mean_hold_ms)
        if grant.events >= 1:
            interval_ms = held_ms / (grant.events + 1)
            self.mean_event_interval_ms += SMOOTHING * (
                interval_ms - self.mean_event_interval_ms
            )
        return grant

    def remove_grant(self, request_id: str, now_ms: float) -> GrantedSlot | None:
        """Remove a slot, and what is left of its prefill, and return it.

        A request that ended before its first event is not prefilled any more. Callers
        may state any size, and the engine rejects what exceeds its memory.
        """
        grant = self.grants.pop(request_id, None)
        if grant is not None and grant.first_event_ms > now_ms:
            self.advance_step_clock(now_ms)
            left_ms = grant.first_event_ms - now_ms - self.batch_step_ms()
            left_ms = max(0.0, min(left_ms, grant.prompt_ms))
            self.step_clock.remove(left_ms, now_ms)
        return grant

    def expire_grants(self, now_ms: float) -> None:
        """Revoke slots that were never released."""
        limit_ms = now_ms - MAX_HOLD_MS
        overdue = [k for k, grant in self.grants.items() if grant.granted_ms < limit_ms]
        for request_id in overdue:
            self.remove_grant(request_id, now_ms)
