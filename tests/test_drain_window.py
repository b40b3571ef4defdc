"""Which requests a stopping entry still serves."""

from wisteriapulley.policy.drain_window import DrainWindow


class TestDrainWindow:
    def test_without_a_drain_nothing_is_too_late(self):
        assert not DrainWindow().is_too_late(3600.0, 1e9)

    def test_request_is_served_if_it_ends_before_the_drain(self):
        window = DrainWindow(10.0)
        assert window.latest_start_s(3.0) == 7.0
        assert not window.is_too_late(3.0, 6.9)
        assert window.is_too_late(3.0, 7.1)

    def test_last_moment_is_too_late(self):
        """The clock of uvloop stands still for a millisecond."""
        assert DrainWindow(10.0).is_too_late(0.0, 10.0)

    def test_log_tells_times_only_in_a_drain(self):
        assert DrainWindow().left_ms(3.0) is None
        assert DrainWindow().after_begin_ms(3.0) is None
        assert DrainWindow(10.0, 4.0).left_ms(9.5) == 500
        assert DrainWindow(10.0, 4.0).after_begin_ms(3.5) == -500
