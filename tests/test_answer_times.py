"""How long an entry waits for sidecars when some of them are slow."""

import random

import pytest

from wisteriapulley.policy.answer_times import (
    HALF_LIFE_S,
    MAX_WAIT_S,
    MIN_WAIT_S,
    AnswerTimes,
)


@pytest.fixture
def times():
    """Return response times after some seconds without slow sidecars."""
    answer_times, rng = AnswerTimes(), random.Random(1)
    for n in range(200):
        answer_times.record_answer(f"h{n % 20}", 0.002 + 0.004 * rng.random(), 0.01 * n)
    return answer_times


class TestAnswerTimes:
    def test_short_wait_if_answers_are_fast(self, times):
        assert times.max_wait_s() == MIN_WAIT_S

    def test_longer_wait_if_whole_fleet_is_slow(self, times):
        """An entry whose own processor is busy must not give up all sidecars."""
        for n in range(100):
            times.record_timeout(f"h{n % 20}", 2.0 + 0.01 * n)
        assert times.max_wait_s() > 2 * MIN_WAIT_S
        for n in range(100):
            times.record_answer(f"h{n % 20}", 10.0, 4.0)
        assert times.max_wait_s() == MAX_WAIT_S

    def test_slow_answer_counts_at_once_and_decays(self, times):
        times.record_timeout("h3", 2.0)
        assert times.expected_s("h3", 2.0) == MAX_WAIT_S
        assert times.expected_s("h3", 2.0 + 2 * HALF_LIFE_S) == pytest.approx(
            MAX_WAIT_S / 4
        )
        assert times.expected_s("h4", 2.0) < 0.01

    def test_fast_answers_after_a_slow_one_count_gradually(self, times):
        times.record_timeout("h3", 2.0)
        times.record_answer("h3", 0.003, 2.1)
        assert times.expected_s("h3", 2.1) > MAX_WAIT_S / 2

    def test_unknown_and_dropped_sidecars_are_not_slow(self, times):
        times.forget("h3")
        assert times.expected_s("h3", 2.0) == 0.0 == times.expected_s("new", 2.0)
