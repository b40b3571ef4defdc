"""Retries of refused callers, detected by the time that they state."""

import random

import pytest

from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector

LIMIT_S = 6.0


@pytest.fixture
def detector():
    """Return the detector of a route on which callers are refused."""
    detector = RetryDetector()
    detector.is_retry(LIMIT_S, 0.0)
    detector.record_refusal(0.0)
    return detector


class TestRetryDetector:
    def test_new_callers_with_different_max_waits(self, detector):
        """Under overload, callers wait for 0.85 to 1 of the limit."""
        rng = random.Random(1)
        stated = [LIMIT_S * (1 - 0.15 * rng.random()) for _ in range(500)]
        assert not any(detector.is_retry(s, 0.01 * n) for n, s in enumerate(stated))

    def test_retry_of_refused_caller_is_detected(self, detector):
        rng = random.Random(2)
        for _ in range(500):
            max_wait_s = LIMIT_S * (1 - 0.15 * rng.random())
            delay_s = retry_after_s(True, 0.25, max_wait_s, rng.random)
            assert detector.is_retry(max_wait_s - delay_s - 0.01, 1.0)

    def test_no_retries_without_refusals(self):
        detector = RetryDetector()
        detector.is_retry(LIMIT_S, 0.0)
        assert not detector.is_retry(0.3 * LIMIT_S, 1.0)

    def test_refusals_expire_after_longest_wait(self, detector):
        assert detector.is_retry(0.5 * LIMIT_S, 5.0)
        assert not detector.is_retry(0.5 * LIMIT_S, 7.0)

    def test_adapts_to_shorter_waits(self, detector):
        """An operator halves a route's limit, and its callers follow."""
        now_s = 0.0
        for _ in range(2000):
            now_s += 0.2
            detector.record_refusal(now_s)
            detector.is_retry(LIMIT_S / 2, now_s)
        assert not detector.is_retry(LIMIT_S / 2, now_s)
