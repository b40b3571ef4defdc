"""A process that stood still takes nothing that it may be killed amid."""

import asyncio

import pytest

from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.settings import Address
from wisteriapulley.stalls import HANDLED_WITHIN_S, TICK_S, StallWatch


@pytest.fixture
def watch():
    watch = StallWatch()
    for number in range(1, 11):
        watch.record_run(number * TICK_S)
    return watch


class TestStallWatch:
    def test_signal_of_a_loop_that_runs_is_new(self, watch):
        assert watch.signal_age_s(11 * TICK_S) == 0.0

    def test_signal_may_be_as_old_as_the_stall(self, watch):
        began_s = watch.ran_s
        assert watch.signal_age_s(began_s + 3.0) == pytest.approx(3.0)

    def test_signal_that_is_handled_after_the_next_tick(self, watch):
        began_s = watch.ran_s
        watch.record_run(began_s + 3.0)
        assert watch.signal_age_s(began_s + 3.1) == pytest.approx(3.1)

    def test_signal_long_after_a_stall_is_new(self, watch):
        ended_s = watch.ran_s + 3.0
        watch.record_run(ended_s)
        for number in range(1, 6):
            watch.record_run(ended_s + number * TICK_S)
        assert watch.ran_s - ended_s > HANDLED_WITHIN_S
        assert watch.signal_age_s(watch.ran_s) == 0.0

    def test_signal_before_the_watch_has_begun_is_new(self):
        assert StallWatch().signal_age_s(1000.0) == 0.0

    def test_watches_the_running_loop(self):
        async def scenario():
            watch = StallWatch()
            watch.start()
            try:
                assert watch.timer is not None
                return watch.signal_age_s(watch.ran_s + 5.0)
            finally:
                watch.stop()

        assert asyncio.run(scenario()) == pytest.approx(5.0)


class TestDrainThatBeginsLate:
    def test_takes_only_what_ends_before_the_earliest_kill(self):
        """What is in progress goes on as long as the process may live."""

        async def scenario():
            ingress = Ingress(None, 0)
            await ingress.start(Address("127.0.0.1", 0))
            ends_s = []
            ingress.on_drain = lambda: ends_s.append(ingress.window.ends_s)
            begins_s = asyncio.get_running_loop().time()
            await ingress.drain(0.0, 1000.0, signal_age_s=3.0)
            await ingress.stop()
            return ends_s[0] - begins_s

        assert asyncio.run(scenario()) == pytest.approx(997.0, abs=1.0)
