"""Which requests a stopping entry still serves."""

import asyncio

import pytest

from wisteriapulley.platform.ingress import Ingress
from wisteriapulley.policy.drain_window import DrainWindow


class TestDrainWindow:
    def test_without_a_drain_nothing_is_too_late(self):
        assert DrainWindow().latest_start_s(3600.0) == float("inf")

    def test_request_is_served_if_it_ends_before_the_drain(self):
        assert DrainWindow(10.0).latest_start_s(3.0) == 7.0

    def test_nothing_limits_what_ends_by_its_own_limit(self):
        assert DrainWindow().latest_send_s(1e9, 3.0, 1.6) == float("inf")
        assert DrainWindow(10.0).latest_send_s(10.0, 3.0, 1.6) == float("inf")

    def test_expected_time_and_a_silence_fit_in(self):
        assert DrainWindow(10.0).latest_send_s(11.0, 3.0, 1.5) == 5.5

    def test_nothing_is_sent_of_which_nothing_is_known(self):
        assert DrainWindow(10.0).latest_send_s(11.0, float("inf"), 0.0) < 0.0

    def test_log_tells_times_only_in_a_drain(self):
        assert DrainWindow().left_ms(3.0) is None
        assert DrainWindow().after_begin_ms(3.0) is None
        assert DrainWindow(10.0, 4.0).left_ms(9.5) == 500
        assert DrainWindow(10.0, 4.0).after_begin_ms(3.5) == -500


class TestIngress:
    # The clock of uvloop stands still for a millisecond.
    @pytest.mark.parametrize(
        ("now_s", "is_too_late"), [(6.9, False), (7.0, True), (7.1, True)]
    )
    def test_last_moment_is_too_late(self, now_s, is_too_late):
        ingress = Ingress(None, 0)
        ingress.closing, ingress.window = True, DrainWindow(10.0)
        ingress.latest_start_s = lambda head: ingress.window.latest_start_s(3.0)

        async def ask():
            asyncio.get_running_loop().time = lambda: now_s
            return ingress.is_too_late(None)

        assert asyncio.run(ask()) == is_too_late

    def test_without_a_drain_nothing_is_too_late(self):
        ingress = Ingress(None, 0)
        ingress.latest_start_s = lambda head: 0.0

        async def ask():
            return ingress.is_too_late(None)

        assert not asyncio.run(ask())
