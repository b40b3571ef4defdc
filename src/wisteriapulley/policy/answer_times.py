"""How long sidecars take to answer an entry, and how long to wait for one. Pure.

Load pattern: the links of some instances are a tenth of what they were, or their
processors are busy, while their heartbeats still come, late. Harm prevented: they are
asked like all others, since the load they tell of is old and low, and each request
that waits for them has spent its objective when the next one is asked.
"""

from typing import NamedTuple

# Gains of the mean and of the deviation, and deviations to wait: as TCP's
# retransmission timer has them (RFC 6298).
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
# A busy process answers within one turn of its loop; less would hit sound ones.
MIN_WAIT_S = 0.025
# Far above any answer of a sound sidecar, and far below an objective, so that another
# one can still be asked.
MAX_WAIT_S = 0.12
# A slow answer of one sidecar counts for half as much after so long: it is asked again
# by then, since nothing else tells that it is quick again.
HALF_LIFE_S = 3.0


class SlowAnswer(NamedTuple):
    """The slowest answer of one sidecar, as it fades.

    Attributes
    ----------
    took_s : float
        How long it took.
    noted_s : float
        When it was noted.
    """

    took_s: float
    observed_s: float

    def decayed_s(self, now_s: float) -> float:
        """Return what is left of it."""
        return self.took_s * 0.5 ** ((now_s - self.observed_s) / HALF_LIFE_S)


class AnswerTimes:
    """Times to an answer of all sidecars that an entry asks."""

    def __init__(self):
        self.mean_s = MIN_WAIT_S / DEVIATIONS
        self.deviation_s = MIN_WAIT_S / DEVIATIONS
        self.slowest: dict[str, SlowAnswer] = {}

    def max_wait_s(self) -> float:
        """Return how long to wait for the first word of a sidecar."""
        usual_s = self.mean_s + DEVIATIONS * self.deviation_s
        return min(MAX_WAIT_S, max(MIN_WAIT_S, usual_s))

    def expected_s(self, host: str, now_s: float) -> float:
        """Return how long one sidecar is likely to take."""
        slow = self.slowest.get(host)
        return slow.decayed_s(now_s) if slow is not None else 0.0

    def record_answer(self, host: str, took_s: float, now_s: float) -> None:
        """Note an answer: a slower one counts at once, quicker ones slowly."""
        self.update_estimate(took_s)
        expected_s = self.expected_s(host, now_s)
        if took_s < expected_s:
            took_s = expected_s + MEAN_GAIN * (took_s - expected_s)
        self.slowest[host] = SlowAnswer(took_s, now_s)

    def record_timeout(self, host: str, now_s: float) -> None:
        """Note that no word came in time."""
        self.update_estimate(self.max_wait_s())
        self.slowest[host] = SlowAnswer(MAX_WAIT_S, now_s)

    def update_estimate(self, took_s: float) -> None:
        """Bring mean and deviation up to date."""
        error_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)

    def forget(self, host: str) -> None:
        """Drop a sidecar that is not asked any more."""
        self.slowest.pop(host, None)
