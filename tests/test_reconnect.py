"""Delays between attempts to connect to an unreachable peer."""

from wisteriapulley.wire.reconnect import MAX_DELAY_S, reconnect_delay_s


def attempt_times(duration_s, jitter):
    """Return the times of the attempts to connect to an unreachable peer."""
    at_s = [0.0]
    while at_s[-1] < duration_s:
        at_s.append(at_s[-1] + reconnect_delay_s(at_s[-1], jitter))
    return at_s


class TestPause:
    def test_peer_that_starts_is_reached_soon(self):
        """After an outage of all instances, a peer starts to listen within 3 s."""
        for spread in (0.0, 0.5, 0.999):
            at_s = attempt_times(6.0, spread)
            for start_s in (0.1 * n for n in range(1, 30)):
                reached_s = min(t for t in at_s if t >= start_s)
                assert reached_s - start_s < 0.1 + 0.25 * start_s

    def test_attempts_to_reach_an_unreachable_peer_are_rare(self):
        assert len(attempt_times(600.0, 0.5)) < 650
        assert reconnect_delay_s(1e6, 0.999) < 1.5 * MAX_DELAY_S
