"""Targets that turn requests away are left alone for a while."""

import random

import pytest

from tests.test_direct_dispatch import FakeAnswer
from tests.test_engine_slots import ENGINE, slot_request
from tests.test_statements import registry_of
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

TAKEN, AWAY = SendOutcome.ACCEPTED, SendOutcome.REJECTED
UNKNOWN = SendOutcome.UNKNOWN
HOP_S = 0.004


def asked(name, tokens=900):
    return slot_request(0, tokens, wait_ms=5000.0)._replace(request_id=name)


def tripped(now_s=1.0):
    """Return a breaker of a target that has just turned two requests away."""
    breaker = CircuitBreaker()
    for number in range(2):
        sent_s = now_s + number * HOP_S
        breaker.record_sent(sent_s)
        breaker.record_outcome(AWAY, sent_s, sent_s + HOP_S)
    return breaker


def try_once(breaker, now_s, outcome):
    """Send when the breaker lets one pass; return when its end is known."""
    now_s += breaker.wait_s(now_s)
    assert not breaker.wait_s(now_s)
    breaker.record_sent(now_s)
    breaker.record_outcome(outcome, now_s, now_s + HOP_S)
    return now_s + HOP_S


class TestCircuitBreaker:
    def test_single_request_may_be_turned_away_for_its_own_sake(self):
        breaker = CircuitBreaker()
        for number in range(20):
            breaker.record_sent(number)
            breaker.record_outcome(
                AWAY if number % 2 else TAKEN, number, number + HOP_S
            )
            assert not breaker.wait_s(number + HOP_S)

    def test_two_in_a_row_leave_it_alone(self):
        breaker = tripped(1.0)
        assert breaker.wait_s(1.0 + 2 * HOP_S) == pytest.approx(MIN_OPEN_S)

    def test_one_that_asks_for_rest_is_believed_at_once(self):
        breaker = CircuitBreaker()
        breaker.record_sent(1.0)
        breaker.record_outcome(AWAY, 1.0, 1.0 + HOP_S, cooldown_requested=True)
        assert breaker.wait_s(1.0 + HOP_S) > 0

    def test_pauses_grow_while_it_turns_all_away(self):
        breaker, now_s, pauses = tripped(1.0), 1.1, []
        for _ in range(8):
            now_s = try_once(breaker, now_s, AWAY)
            pauses.append(breaker.wait_s(now_s))
        assert pauses == sorted(pauses)
        assert pauses[-1] == pytest.approx(MAX_OPEN_S)

    def test_what_was_on_its_way_makes_no_pause_longer(self):
        """Load: ten requests are in flight when a target begins to turn away."""
        breaker = CircuitBreaker()
        for number in range(10):
            breaker.record_sent(1.0 + number / 1000)
        for number in range(10):
            breaker.record_outcome(AWAY, 1.0 + number / 1000, 1.02 + number / 1000)
        assert breaker.wait_s(1.03) <= MIN_OPEN_S

    def test_one_goes_first_and_more_as_they_are_taken(self):
        breaker = tripped(1.0)
        now_s = 1.0 + 2 * HOP_S + MIN_OPEN_S
        passed = []
        for _ in range(4):
            sent = []
            while not breaker.wait_s(now_s) and len(sent) < 100:
                sent.append(now_s)
                breaker.record_sent(now_s)
            passed.append(len(sent))
            for sent_s in sent:
                breaker.record_outcome(TAKEN, sent_s, now_s + HOP_S)
            now_s += HOP_S
        assert passed[0] == 1
        assert passed[1] == 2
        assert passed[-1] == 100

    def test_request_that_runs_counts_as_taken(self):
        """Load: streams of seconds, whose ends would be waited for in vain."""
        breaker = tripped(1.0)
        now_s = 2.0
        breaker.record_sent(now_s)
        assert breaker.wait_s(now_s) == pytest.approx(ACCEPTED_AFTER_S)
        assert not breaker.wait_s(now_s + ACCEPTED_AFTER_S)

    def test_one_that_can_not_be_sent_again_is_no_trial_before_others(self):
        breaker = tripped(1.0)
        open_s = 1.0 + 2 * HOP_S + MIN_OPEN_S
        assert not breaker.wait_s(open_s)
        assert breaker.wait_s(open_s, is_last=True) > 0
        assert not breaker.wait_s(open_s + MAX_OPEN_S, is_last=True)

    def test_trial_that_was_not_sent_blocks_no_other(self):
        breaker = tripped(1.0)
        breaker.record_sent(2.0)
        assert breaker.wait_s(2.0)
        breaker.record_outcome(UNKNOWN, 2.0, 2.0)
        assert not breaker.wait_s(2.0)

    def test_end_of_an_older_request_tells_nothing(self):
        breaker = tripped(1.0)
        breaker.record_outcome(TAKEN, 0.5, 1.01)
        assert breaker.wait_s(1.01) > 0

    @pytest.mark.parametrize("seed", range(5))
    def test_costs_few_sends_and_ends_soon_whatever_comes(self, seed):
        """A target turns all away for 20 s, and then takes all."""
        rng = random.Random(seed)
        breaker, now_s, sends, last_s = CircuitBreaker(), 0.0, 0, 0.0
        in_flight = []
        while now_s < 25.0:
            now_s += rng.expovariate(200.0)
            for sent_s, end_s in [f for f in in_flight if f[1] <= now_s]:
                in_flight.remove((sent_s, end_s))
                breaker.record_outcome(AWAY if sent_s < 20.0 else TAKEN, sent_s, end_s)
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
            (200, {}, TAKEN),
            (500, {}, TAKEN),
            (503, {}, TAKEN),
            (503, {"not_run": True}, AWAY),
            (429, {"not_run": True}, AWAY),
            (503, {"says": ResponseSignals(cooldown=RequestedCooldown(1.0))}, AWAY),
            # Refused for what the request is.
            (400, {"not_run": True}, UNKNOWN),
        ],
    )
    def test_is_known_by_status_and_what_the_target_says(self, status, said, outcome):
        assert outcome_of(FakeAnswer(status=status, **said)) is outcome


class TestTarget:
    def test_is_no_candidate_while_it_is_left_alone(self):
        registry = registry_of("a", "b")
        target = registry.targets["a"]
        for number in range(2):
            target.sent(1.0 + number)
            target.ended(1.0 + number, 1.5 + number, AWAY)
        assert [t.target_id for t in registry.candidates("s", 2.5)] == ["b"]
        assert registry.holds_back_s("s", 2.5) == 0.0
        assert len(registry.candidates("s", 2.6)) == 2
        assert target.outstanding == 0


class TestPlaces:
    """The sidecar hears from entries that its engine turned away what it granted."""

    def places(self):
        places = EngineSlots(ENGINE)
        places.open = True
        return places

    def turn_away(self, places, now_ms, count=2):
        for number in range(count):
            name = f"away-{now_ms}-{number}"
            assert places.request_slot(asked(name), now_ms).granted
            places.record_end(name, AWAY, now_ms + 4)

    def test_grants_nothing_for_a_while(self):
        places = self.places()
        self.turn_away(places, 1000.0)
        denied = places.request_slot(asked("next"), 1005.0)
        assert denied.denied and denied.limited
        assert 0 < denied.retry_ms <= 1000 * MIN_OPEN_S
        assert places.grants == {}

    def test_learns_nothing_of_the_time_that_requests_take(self):
        places = self.places()
        hold_ms = places.mean_hold_ms
        self.turn_away(places, 1000.0)
        assert places.mean_hold_ms == hold_ms

    def test_those_that_wait_are_sent_on_at_once(self):
        places = self.places()
        names = [f"r{number}" for number in range(places.max_grants)]
        assert all(
            places.request_slot(asked(name, 1), 1000.0).granted for name in names
        )
        assert not places.request_slot(asked("waits", 1), 1000.0).denied
        for name in names[:2]:
            places.record_end(name, AWAY, 1004.0)
        (verdict,) = places.advance(1004.0)
        assert verdict.denied and verdict.limited

    def test_later_start_of_the_engine_is_judged_anew(self):
        places = self.places()
        self.turn_away(places, 1000.0)
        later = asked("later")._replace(target="i-1/2")
        assert places.request_slot(later, 1005.0).granted
