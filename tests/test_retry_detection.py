"""Callers that come back, told from new ones by what they state."""

import random

import pytest

from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector

LIMIT_S = 6.0


@pytest.fixture
def returning():
    """Return what is known of a route on which callers are refused."""
    known = RetryDetector()
    known.is_retry(LIMIT_S, 0.0)
    known.record_refusal(0.0)
    return known


class TestReturning:
    def test_new_callers_of_different_patience_are_new(self, returning):
        """Load: overload, from callers that wait for 0.85 to 1 of the limit."""
        rng = random.Random(1)
        stated = [LIMIT_S * (1 - 0.15 * rng.random()) for _ in range(500)]
        assert not any(returning.is_retry(s, 0.01 * n) for n, s in enumerate(stated))

    def test_refused_caller_that_comes_back_is_known(self, returning):
        rng = random.Random(2)
        for _ in range(500):
            patience_s = LIMIT_S * (1 - 0.15 * rng.random())
            pause_s = retry_after_s(True, 0.25, patience_s, rng.random)
            assert returning.is_retry(patience_s - pause_s - 0.01, 1.0)

    def test_nobody_comes_back_where_nobody_was_refused(self):
        calm = RetryDetector()
        calm.is_retry(LIMIT_S, 0.0)
        assert not calm.is_retry(0.3 * LIMIT_S, 1.0)

    def test_refusals_are_forgotten_with_those_who_were_refused(self, returning):
        assert returning.is_retry(0.5 * LIMIT_S, 5.0)
        assert not returning.is_retry(0.5 * LIMIT_S, 7.0)

    def test_callers_who_wait_for_less_from_now_on(self, returning):
        """An operator halves a route's limit; its callers follow."""
        now_s = 0.0
        for _ in range(2000):
            now_s += 0.2
            returning.record_refusal(now_s)
            returning.is_retry(LIMIT_S / 2, now_s)
        assert not returning.is_retry(LIMIT_S / 2, now_s)
