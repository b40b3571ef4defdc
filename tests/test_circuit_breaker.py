"""Circuit breakers of targets that reject requests."""

import random

import pytest

from tests.test_direct_dispatch import FakeAnswer
from tests.test_engine_slots import ENGINE, slot_request
from tests.test_response_signals import registry_of
from wisteriapulley.direct.sending import outcome_of
from wisteriapulley.policy.circuit_breaker import (
    ACCEPTED_AFTER_S,
    MAX_OPEN_S,
    MAX_PROBES,
    MIN_OPEN_S,
    CircuitBreaker,
    SendOutcome,
)
from wisteriapulley.policy.engine_slots import EngineSlots
from wisteriapulley.policy.response_signals import RequestedCooldown, ResponseSignals

ACCEPTED, REJECTED = SendOutcome.ACCEPTED, SendOutcome.REJECTED
UNKNOWN = SendOutcome.UNKNOWN
HOP_S = 0.004


def slot_request_named(name, tokens=900):
    return slot_request(0, tokens, wait_ms=5000.0)._replace(request_id=name)


def open_breaker(now_s=1.0):
    """Return a breaker of a target that has just rejected two requests."""
    breaker = CircuitBreaker()
    for number in range(2):
        sent_s = now_s + number * HOP_S
        breaker.record_sent(sent_s)
        breaker.record_outcome(REJECTED, sent_s, sent_s + HOP_S)
    return breaker


def send_once(breaker, now_s, outcome):
    """Send once the breaker allows it; return when the outcome is known."""
    now_s += breaker.wait_s(now_s)
    assert not breaker.wait_s(now_s)
    breaker.record_sent(now_s)
    breaker.record_outcome(outcome, now_s, now_s + HOP_S)
    return now_s + HOP_S


class TestCircuitBreaker:
    def test_single_rejections_keep_it_closed(self):
        breaker = CircuitBreaker()
        for number in range(20):
            breaker.record_sent(number)
            breaker.record_outcome(
                REJECTED if number % 2 else ACCEPTED, number, number + HOP_S
            )
            assert not breaker.wait_s(number + HOP_S)

    def test_two_consecutive_rejections_open_it(self):
        breaker = open_breaker(1.0)
        assert breaker.wait_s(1.0 + 2 * HOP_S) == pytest.approx(MIN_OPEN_S)

    def test_rejection_with_requested_cooldown_opens_it(self):
        breaker = CircuitBreaker()
        breaker.record_sent(1.0)
        breaker.record_outcome(REJECTED, 1.0, 1.0 + HOP_S, cooldown_requested=True)
        assert breaker.wait_s(1.0 + HOP_S) > 0

    def test_open_periods_grow_while_target_rejects_all(self):
        breaker, now_s, open_periods = open_breaker(1.0), 1.1, []
        for _ in range(8):
            now_s = send_once(breaker, now_s, REJECTED)
            open_periods.append(breaker.wait_s(now_s))
        assert open_periods == sorted(open_periods)
        assert open_periods[-1] == pytest.approx(MAX_OPEN_S)

    def test_rejected_requests_in_flight_do_not_extend_open_period(self):
        """Ten requests are in flight when a target begins to reject."""
        breaker = CircuitBreaker()
        for number in range(10):
            breaker.record_sent(1.0 + number / 1000)
        for number in range(10):
            breaker.record_outcome(REJECTED, 1.0 + number / 1000, 1.02 + number / 1000)
        assert breaker.wait_s(1.03) <= MIN_OPEN_S

    def test_probes_double_while_accepted(self):
        breaker = open_breaker(1.0)
        now_s = 1.0 + 2 * HOP_S + MIN_OPEN_S
        passed = []
        for _ in range(4):
            sent = []
            while not breaker.wait_s(now_s) and len(sent) < 100:
                sent.append(now_s)
                breaker.record_sent(now_s)
            passed.append(len(sent))
            for sent_s in sent:
                breaker.record_outcome(ACCEPTED, sent_s, now_s + HOP_S)
            now_s += HOP_S
        assert passed[0] == 1
        assert passed[1] == 2
        assert passed[-1] == 100

    def test_running_request_counts_as_accepted(self):
        """Streams end only after seconds; the breaker can't wait for that."""
        breaker = open_breaker(1.0)
        now_s = 2.0
        breaker.record_sent(now_s)
        assert breaker.wait_s(now_s) == pytest.approx(ACCEPTED_AFTER_S)
        assert not breaker.wait_s(now_s + ACCEPTED_AFTER_S)

    def test_last_send_is_no_probe_before_others(self):
        breaker = open_breaker(1.0)
        open_s = 1.0 + 2 * HOP_S + MIN_OPEN_S
        assert not breaker.wait_s(open_s)
        assert breaker.wait_s(open_s, is_last=True) > 0
        assert not breaker.wait_s(open_s + MAX_OPEN_S, is_last=True)

    def test_probe_that_was_not_sent_is_released(self):
        breaker = open_breaker(1.0)
        breaker.record_sent(2.0)
        assert breaker.wait_s(2.0)
        breaker.record_outcome(UNKNOWN, 2.0, 2.0)
        assert not breaker.wait_s(2.0)

    def test_outcome_of_an_older_request_is_ignored(self):
        breaker = open_breaker(1.0)
        breaker.record_outcome(ACCEPTED, 0.5, 1.01)
        assert breaker.wait_s(1.01) > 0

    @pytest.mark.parametrize("seed", range(5))
    def test_few_sends_while_rejecting_and_fast_recovery(self, seed):
        """A target rejects all requests for 20 s, and then accepts all."""
        rng = random.Random(seed)
        breaker, now_s, sends, last_s = CircuitBreaker(), 0.0, 0, 0.0
        in_flight = []
        while now_s < 25.0:
            now_s += rng.expovariate(200.0)
            for sent_s, end_s in [f for f in in_flight if f[1] <= now_s]:
                in_flight.remove((sent_s, end_s))
                breaker.record_outcome(
                    REJECTED if sent_s < 20.0 else ACCEPTED, sent_s, end_s
                )
            if breaker.wait_s(now_s):
                last_s = now_s
                continue
            breaker.record_sent(now_s)
            sends += now_s < 20.0
            in_flight.append((now_s, now_s + rng.uniform(0.001, 0.02)))
        assert sends <= 20.0 / MAX_OPEN_S + 20
        assert last_s <= 20.0 + MAX_OPEN_S + MAX_PROBES * ACCEPTED_AFTER_S


class TestOutcome:
    @pytest.mark.parametrize(
        ("status", "said", "outcome"),
        [
            (200, {}, ACCEPTED),
            (500, {}, ACCEPTED),
            (503, {}, ACCEPTED),
            (503, {"not_run": True}, REJECTED),
            (429, {"not_run": True}, REJECTED),
            (
                503,
                {"signals": ResponseSignals(cooldown=RequestedCooldown(1.0))},
                REJECTED,
            ),
            # Refused for a property of the request itself.
            (400, {"not_run": True}, UNKNOWN),
        ],
    )
    def test_outcome_from_status_and_signals(self, status, said, outcome):
        assert outcome_of(FakeAnswer(status=status, **said)) is outcome


class TestTarget:
    def test_no_candidate_while_circuit_is_open(self):
        registry = registry_of("a", "b")
        target = registry.targets["a"]
        for number in range(2):
            target.record_sent(1.0 + number)
            target.record_ended(1.0 + number, 1.5 + number, REJECTED)
        assert [t.target_id for t in registry.candidates("s", 2.5)] == ["b"]
        assert registry.throttled_s("s", 2.5) == 0.0
        assert len(registry.candidates("s", 2.6)) == 2
        assert target.outstanding == 0


class TestEngineSlots:
    """Entries report to the sidecar that its engine rejected granted requests."""

    def slots(self):
        slots = EngineSlots(ENGINE)
        slots.open = True
        return slots

    def reject(self, slots, now_ms, count=2):
        for number in range(count):
            name = f"away-{now_ms}-{number}"
            assert slots.request_slot(slot_request_named(name), now_ms).granted
            slots.record_end(name, REJECTED, now_ms + 4)

    def test_grants_nothing_while_open(self):
        slots = self.slots()
        self.reject(slots, 1000.0)
        denied = slots.request_slot(slot_request_named("next"), 1005.0)
        assert denied.denied and denied.limited
        assert 0 < denied.retry_ms <= 1000 * MIN_OPEN_S
        assert slots.grants == {}

    def test_rejected_requests_are_no_samples_of_hold_time(self):
        slots = self.slots()
        hold_ms = slots.mean_hold_ms
        self.reject(slots, 1000.0)
        assert slots.mean_hold_ms == hold_ms

    def test_queued_requests_are_denied_at_once(self):
        slots = self.slots()
        names = [f"r{number}" for number in range(slots.max_grants)]
        assert all(
            slots.request_slot(slot_request_named(name, 1), 1000.0).granted
            for name in names
        )
        assert not slots.request_slot(slot_request_named("waits", 1), 1000.0).denied
        for name in names[:2]:
            slots.record_end(name, REJECTED, 1004.0)
        (decision,) = slots.advance(1004.0)
        assert decision.denied and decision.limited

    def test_new_incarnation_gets_its_own_breaker(self):
        slots = self.slots()
        self.reject(slots, 1000.0)
        later = slot_request_named("later")._replace(target="i-1/2")
        assert slots.request_slot(later, 1005.0).granted
