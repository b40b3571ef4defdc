"""When a peer that is away is tried again."""

from wisteriapulley.wire.reconnect import MAX_DELAY_S, reconnect_delay_s


def attempt_times(duration_s, jitter):
    """Return when a peer that stays away is tried."""
    at_s = [0.0]
    while at_s[-1] < duration_s:
        at_s.append(at_s[-1] + reconnect_delay_s(at_s[-1], jitter))
    return at_s


class TestPause:
    def test_peer_that_starts_is_met_soon(self):
        """After a loss of all, the peer begins to listen at any moment of 3 s."""
        for spread in (0.0, 0.5, 0.999):
            at_s = attempt_times(6.0, spread)
            for listens_s in (0.1 * n for n in range(1, 30)):
                met_s = min(t for t in at_s if t >= listens_s)
                assert met_s - listens_s < 0.1 + 0.25 * listens_s

    def test_peer_that_stays_away_is_left_in_peace(self):
        assert len(attempt_times(600.0, 0.5)) < 650
        assert reconnect_delay_s(1e6, 0.999) < 1.5 * MAX_DELAY_S
