"""Response times of sidecars, and how long an entry waits for one. Pure.

Some instances may have a tenth of their usual bandwidth, or busy processors, while
their heartbeats still arrive, late. Their reported load is old and low, so without
this they would be asked like all others, and each request that waits for one would
have spent its objective before the next sidecar is asked.
"""

from typing import NamedTuple

# Gains of the mean and of the deviation, and the number of deviations to wait, as in
# TCP's retransmission timer (RFC 6298).
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
# Shortest wait: a busy process answers within one iteration of its event loop, and a
# shorter wait would hit healthy sidecars.
MIN_WAIT_S = 0.025
# Longest wait: far above any response time of a healthy sidecar, and far below an
# objective, so that another sidecar can still be asked.
MAX_WAIT_S = 0.12
# Half-life of a recorded slow response: the sidecar is asked again by then, since
# nothing else shows that it has recovered.
HALF_LIFE_S = 3.0


class SlowAnswer(NamedTuple):
    """Slowest recent response of one sidecar, decaying over time.

    Attributes
    ----------
    took_s : float
        Response time.
    observed_s : float
        When it was recorded.
    """

    took_s: float
    observed_s: float

    def decayed_s(self, now_s: float) -> float:
        """Return the decayed response time."""
        return self.took_s * 0.5 ** ((now_s - self.observed_s) / HALF_LIFE_S)


class AnswerTimes:
    """Response times of all sidecars that an entry asks."""

    def __init__(self):
        self.mean_s = MIN_WAIT_S / DEVIATIONS
        self.deviation_s = MIN_WAIT_S / DEVIATIONS
        self.slowest: dict[str, SlowAnswer] = {}

    def max_wait_s(self) -> float:
        """Return how long to wait for a sidecar's first response."""
        usual_s = self.mean_s + DEVIATIONS * self.deviation_s
        return min(MAX_WAIT_S, max(MIN_WAIT_S, usual_s))

    def expected_s(self, host: str, now_s: float) -> float:
        """Return the expected response time of one sidecar."""
        slow = self.slowest.get(host)
        return slow.decayed_s(now_s) if slow is not None else 0.0

    def record_answer(self, host: str, took_s: float, now_s: float) -> None:
        """Record a response: a slower one counts at once, a faster one gradually."""
        self.update_estimate(took_s)
        expected_s = self.expected_s(host, now_s)
        if took_s < expected_s:
            took_s = expected_s + MEAN_GAIN * (took_s - expected_s)
        self.slowest[host] = SlowAnswer(took_s, now_s)

    def record_timeout(self, host: str, now_s: float) -> None:
        """Record that a sidecar did not respond in time."""
        self.update_estimate(self.max_wait_s())
        self.slowest[host] = SlowAnswer(MAX_WAIT_S, now_s)

    def update_estimate(self, took_s: float) -> None:
        """Update the mean and the deviation."""
        error_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)

    def forget(self, host: str) -> None:
        """Drop a sidecar that is not asked any more."""
        self.slowest.pop(host, None)
