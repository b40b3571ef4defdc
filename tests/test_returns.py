"""Outages of all instances, and callers that come back after a refusal."""

import random

import pytest

from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.slot_allocation import urgency_of
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.engine_slots import (
    OVERDUE_OPENING_MS,
    EngineSlots,
    SlotRequest,
)
from wisteriapulley.policy.late_requests import LATE_SLOT_FRACTION
from wisteriapulley.policy.retry_after import MAX_WAIT_FRACTION, retry_after_s
from wisteriapulley.policy.return_queue import WAIT_FRACTION
from wisteriapulley.routing import (
    Engine,
    Route,
    RouteKind,
    Split,
)

ENGINE = Engine("m", 12, 7, 6.73, 0.02, 30.6)
ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6100, 404, public=True)
LIMIT_S = 6.0


def late_request(number, may_wait=True, wait_ms=3000.0, priority=51):
    return SlotRequest(
        f"r{number}", "e", 300, 70, priority, wait_ms, True, may_wait=may_wait
    )


def new_request(number, wait_ms=9000.0):
    return SlotRequest(f"n{number}", "e", 1, 70, 1, wait_ms)


def full_slots():
    """Return an open engine of which new requests hold all slots."""
    slots = EngineSlots(ENGINE)
    slots.open = True
    for number in range(slots.max_grants):
        assert slots.request_slot(new_request(number), 0.0).granted
    return slots


class TestWaitingReturns:
    def test_return_waits_at_a_full_engine(self):
        slots = full_slots()
        decision = slots.request_slot(late_request(1), 0.0)
        assert not decision.denied and not decision.granted
        assert list(slots.advance(100.0)) == []
        for number in range(6):
            slots.release(f"n{number}", 200.0)
        assert [v.granted for v in slots.advance(200.0)] == [True]

    def test_other_late_request_is_refused_at_once(self):
        assert full_slots().request_slot(late_request(1, may_wait=False), 0.0).denied

    def test_order_is_that_of_arrival(self):
        slots = full_slots()
        for number in range(3):
            slots.request_slot(late_request(number), float(number))
        slots.revoke_all()
        granted = [v.request_id for v in slots.advance(10.0) if v.granted]
        assert granted == ["r0", "r1", "r2"]

    def test_return_goes_before_a_held_request(self):
        slots = full_slots()
        slots.request_slot(late_request("held", priority=101), 0.0)
        slots.request_slot(late_request("return"), 1.0)
        slots.revoke_all()
        assert next(slots.advance(10.0)).request_id == "rreturn"

    def test_new_request_goes_before_returns(self):
        slots = full_slots()
        slots.request_slot(late_request(1), 0.0)
        slots.request_slot(new_request("new"), 1.0)
        slots.release("n0", 2.0)
        assert [v.request_id for v in slots.advance(2.0)] == ["nnew"]

    def test_number_of_waiting_returns_is_bounded(self):
        slots = full_slots()
        decisions = [slots.request_slot(late_request(n), 0.0) for n in range(40)]
        assert sum(not v.denied for v in decisions) == ENGINE.slots

    def test_return_is_denied_when_its_wait_is_over(self):
        slots = full_slots()
        slots.request_slot(late_request(1, wait_ms=500.0), 0.0)
        assert [v.denied for v in slots.advance(500.0)] == [True]

    def test_entry_that_is_lost_keeps_no_place(self):
        slots = full_slots()
        slots.request_slot(late_request(1), 0.0)
        slots.release_owner("e")
        assert not slots.queue

    def test_time_until_a_late_slot_grows_with_those_who_wait(self):
        slots = full_slots()
        late = late_request("x", may_wait=False)
        first = slots.request_slot(late, 0.0).retry_ms
        for number in range(4):
            slots.request_slot(late_request(number), 0.0)
        assert slots.request_slot(late, 0.0).retry_ms > first > 0


class TestUrgency:
    def urgency(self, waited_s, **kinds):
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", 0.0, 4.5, 900, 140
        )
        admitted = Admitted(request, ROUTE, None, 4.5, **kinds)
        return urgency_of(admitted, ENGINE, waited_s)

    def test_return_waits_for_a_part_of_its_slack(self):
        urgency = self.urgency(0.0, is_retry=True)
        assert urgency.may_wait and urgency.late
        assert urgency.wait_ms <= WAIT_FRACTION * 4500

    def test_wait_counts_over_all_sidecars(self):
        first = self.urgency(0.0, is_retry=True).wait_ms
        assert self.urgency(0.3, is_retry=True).wait_ms == pytest.approx(first - 300)
        assert self.urgency(4.0, is_retry=True).wait_ms == 0.0

    def test_held_request_in_time_is_as_urgent_as_any(self):
        assert self.urgency(0.1, was_held=True) == self.urgency(0.1)
        assert self.urgency(0.5, was_held=True).may_wait

    def test_late_request_that_was_not_held_does_not_wait(self):
        assert not self.urgency(0.5).may_wait


class TestOpening:
    def test_late_requests_claim_their_part_beside_new_ones(self):
        """Both arrive before the engine opens, and all of its slots are free."""
        slots = EngineSlots(ENGINE)
        slots.opens_at_ms = 100.0
        assert not slots.request_slot(new_request(1), 0.0).denied
        decisions = [slots.request_slot(late_request(n), 0.0) for n in range(20)]
        claimed = sum(not v.denied for v in decisions)
        limit = LATE_SLOT_FRACTION * slots.max_grants
        assert limit - 1 < claimed < limit

    def test_engine_that_does_not_open_is_closed(self):
        slots = EngineSlots(ENGINE)
        slots.opens_at_ms = 100.0
        slots.request_slot(late_request(1), 0.0)
        assert list(slots.advance(100.0 + OVERDUE_OPENING_MS)) == []
        overdue_ms = 101.0 + OVERDUE_OPENING_MS
        assert [v.denied for v in slots.advance(overdue_ms)] == [True]
        assert slots.request_slot(late_request(2), overdue_ms).denied


class TestRetryTimes:
    def test_are_not_before_a_slot_may_be_free(self):
        rng = random.Random(1)
        times = [retry_after_s(True, 1.0, 5.0, rng.random) for _ in range(200)]
        assert min(times) >= 1.0
        assert max(times) <= MAX_WAIT_FRACTION * 5.0

    def test_are_spread_although_all_are_told_the_same(self):
        """With all at the stated time, they came back in one wave."""
        rng = random.Random(1)
        times = [retry_after_s(True, 1.0, 5.0, rng.random) for _ in range(200)]
        assert sum(s < 1.05 for s in times) < 40
