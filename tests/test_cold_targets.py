"""The bound on requests to cold targets, over all entries."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wisteriapulley.policy.advertised_rate import RateLimits
from wisteriapulley.policy.cold_start import SETTLE_S, ColdBound, ColdTarget

START_S = 3.0
# What a service states, and the settings' overshoot and slack.
LIMITS = [
    (26.0, 1.5, 5.0),
    (26.0, 1.0, 0.0),
    (4.0, 2.0, 1.0),
    (1.0, 1.0, 0.0),
    (400.0, 1.2, 0.0),
]


def most_in_a_second(times_s):
    """Return the largest number of times within any one second."""
    return max(
        (sum(at_s <= other < at_s + 1.0 for other in times_s) for at_s in times_s),
        default=0,
    )


def cold_target(per_s=26.0, overshoot=1.5, slack=5.0, owners=1, now_s=0.0):
    bound = ColdBound.from_limits(START_S, per_s, overshoot, slack, owners)
    return ColdTarget(bound, now_s)


def flood(target, from_s, to_s, senders=1, step_s=0.01):
    """Ask for far more than a target may get; return when requests passed."""
    passed = []
    for step in range(round((to_s - from_s) / step_s)):
        now_s = from_s + step * step_s
        for _ in range(senders):
            if not target.wait_s(now_s):
                target.record_sent(now_s)
                passed.append(now_s)
    return passed


class TestWhenATargetIsCold:
    def test_first_sign_of_life_counts_as_cold(self):
        target = cold_target()
        target.record_alive(1000, 5.0)
        assert target.is_cold(7.9)
        assert not target.is_cold(8.0)

    def test_later_signs_of_life_change_nothing(self):
        target = cold_target()
        target.record_alive(1000, 5.0)
        target.record_alive(1000, 7.0)
        assert not target.is_cold(8.0)

    def test_statement_ends_the_assumption(self):
        """A fleet that starts long before its traffic states that it is warm."""
        target = cold_target()
        target.record_alive(1000, 5.0)
        target.observe(1000, 0.0, 4.9)
        assert not target.is_cold(5.0)

    def test_statement_before_the_first_sign_of_life(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_alive(1000, 5.0)
        assert not target.is_cold(5.0)

    def test_next_incarnation_is_cold_whatever_the_earlier_one_stated(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_alive(2000, 5.0)
        assert target.is_cold(5.0)
        target.observe(1000, 0.0, 6.0)
        assert target.is_cold(6.0)

    def test_turns_cold_again_at_any_moment(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.observe(1000, 2.0, 100.0)
        assert target.is_cold(101.9) and not target.is_cold(102.0)

    def test_latest_statement_counts_in_any_order(self):
        target = cold_target()
        target.observe(1000, 2.0, 100.0)
        target.observe(1000, 0.0, 99.0)
        assert target.is_cold(101.0)

    def test_silence_counts_as_cold_until_a_later_statement(self):
        target = cold_target()
        target.observe(1000, 0.0, 4.0)
        target.record_return(5.0, 9.0)
        assert target.is_cold(11.9)
        target.observe(1000, 0.0, 4.5)
        assert target.is_cold(10.0)
        target.observe(1000, 0.0, 5.5)
        assert not target.is_cold(10.0)

    def test_statement_during_the_silence_is_kept(self):
        target = cold_target()
        target.observe(1000, 0.0, 6.0)
        target.record_return(5.0, 9.0)
        assert not target.is_cold(9.0)


class TestBound:
    @pytest.mark.parametrize("limits", LIMITS)
    def test_flood_of_all_entries(self, limits):
        """Thirty entries send all they have to one cold target."""
        target = cold_target(*limits)
        target.observe(1, 30.0, 0.0)
        passed = flood(target, 0.0, 30.0, senders=30)
        per_s, overshoot, slack = limits
        assert most_in_a_second(passed) <= per_s * overshoot + slack
        assert len(passed) >= 0.5 * per_s * (30.0 - SETTLE_S) - 1

    @pytest.mark.parametrize("limits", LIMITS)
    def test_two_owners_of_a_partition(self, limits):
        per_s, overshoot, slack = limits
        passed = []
        for _ in range(2):
            target = cold_target(*limits, owners=2)
            target.observe(1, 10.0, 0.0)
            passed += flood(target, 0.0, 10.0, senders=15)
        assert most_in_a_second(passed) <= per_s * overshoot + slack

    def test_bound_below_one_request_permits_none(self):
        target = cold_target(1.0, 1.0, 0.0, owners=2)
        target.observe(1, 10.0, 0.0)
        assert flood(target, 0.0, 9.9) == []
        assert target.wait_s(4.0) == pytest.approx(6.0)

    def test_without_a_stated_rate_there_is_no_bound(self):
        assert ColdBound.from_limits(3.0, 0.0, 1.5, 5.0) is None

    def test_new_owner_counts_the_second_that_it_does_not_know(self):
        first = cold_target()
        first.observe(1, 30.0, 0.0)
        passed = flood(first, 0.0, 10.0, senders=20)
        second = cold_target(now_s=10.0)
        second.observe(1, 20.0, 10.0)
        passed += flood(second, 10.0, 20.0, senders=20)
        assert most_in_a_second(passed) <= 44

    def test_warm_target_is_not_limited(self):
        target = cold_target()
        target.observe(1, 0.0, 0.0)
        assert len(flood(target, 0.0, 1.0, senders=5)) == 500

    def test_wait_ends_when_the_target_is_warm(self):
        target = cold_target(now_s=0.0)
        target.observe(1, 0.2, 0.0)
        assert target.wait_s(0.0) == pytest.approx(0.2)
        assert target.wait_s(0.2) == 0.0

    def test_bound_that_changes_gives_no_new_burst(self):
        target = cold_target()
        target.observe(1, 30.0, 0.0)
        passed = []
        for step in range(1000):
            now_s = step * 0.01
            per_s = 26.0 - step % 2
            bound = ColdBound.from_limits(START_S, per_s, 1.5, 5.0)
            target.set_bound(bound, now_s)
            if not target.wait_s(now_s):
                target.record_sent(now_s)
                passed.append(now_s)
        assert most_in_a_second(passed) <= 44

    @given(
        seed=st.integers(0, 1 << 32),
        limits=st.sampled_from(LIMITS),
        load_per_s=st.sampled_from([5, 50, 400]),
        changes=st.lists(st.tuples(st.floats(0.0, 8.0), st.floats(0.0, 3.0))),
    )
    def test_any_second_in_which_it_turned_cold(
        self, seed, limits, load_per_s, changes
    ):
        """Requests were sent while it was warm, and it turns cold at any moment.

        A second with more requests before the target turned cold gets none after.
        """
        rng = random.Random(seed)
        per_s, overshoot, slack = limits
        limit = per_s * overshoot + slack
        target = cold_target(*limits)
        target.observe(1, 0.0, -10.0)
        pending = sorted(changes)
        now_s, sent = 0.0, []
        while now_s < 8.0:
            now_s += rng.expovariate(load_per_s)
            while pending and pending[0][0] <= now_s:
                at_s, remaining_s = pending.pop(0)
                target.observe(1, remaining_s, at_s)
            if target.wait_s(now_s):
                continue
            if target.is_cold(now_s):
                recent = sum(now_s - 1.0 < at_s for at_s in sent) + 1
                assert recent <= limit
            target.record_sent(now_s)
            sent.append(now_s)

    @given(st.integers(0, 1 << 32), st.sampled_from([6, 20, 60]))
    def test_grants_that_are_used_late(self, seed, entries):
        """Each grant travels to its entry and waits for its processor."""
        rng = random.Random(seed)
        target = cold_target()
        target.observe(1, 10.0, 0.0)
        granted = flood(target, 0.0, 10.0, senders=entries, step_s=0.05)
        sent = [at_s + rng.uniform(0.0, 0.25) for at_s in granted]
        assert most_in_a_second(sent) <= 44


class TestRateLimitsOfAColdTarget:
    def limits(self, target):
        limits = RateLimits()
        limits.cold_of = lambda incarnation: target
        return limits

    def test_the_lower_of_both_limits_counts(self):
        for advertised_per_s, most in ((100.0, 26 * 5), (2.0, 2 * 5)):
            target = cold_target(now_s=-10.0)
            target.observe(1, 100.0, 0.0)
            limits = self.limits(target)
            limits.update("a", advertised_per_s, 0.0)
            passed = sum(limits.take("a", step * 0.01) for step in range(500))
            assert most - 2 <= passed <= most + 12

    def test_requests_to_a_warm_target_count_when_it_turns_cold(self):
        target = cold_target(now_s=-10.0)
        target.observe(1, 0.0, 0.0)
        limits = self.limits(target)
        assert all(limits.take("a", 1.0) for _ in range(60))
        target.observe(1, 3.0, 1.1)
        assert not limits.take("a", 1.1)
        assert limits.wait_s("a", 1.1) == pytest.approx(SETTLE_S + 1 / 26 - 0.1)
