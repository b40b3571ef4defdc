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
LEAST_S = 0.025
# Far above any answer of a sound sidecar, and far below an objective, so that another
# one can still be asked.
MOST_S = 0.12
# A slow answer of one sidecar counts for half as much after so long: it is asked again
# by then, since nothing else tells that it is quick again.
HALF_S = 3.0


class Slow(NamedTuple):
    """The slowest answer of one sidecar, as it fades.

    Attributes
    ----------
    took_s : float
        How long it took.
    noted_s : float
        When it was noted.
    """

    took_s: float
    noted_s: float

    def now(self, now_s: float) -> float:
        """Return what is left of it."""
        return self.took_s * 0.5 ** ((now_s - self.noted_s) / HALF_S)


class AnswerTimes:
    """Times to an answer of all sidecars that an entry asks."""

    def __init__(self):
        self.mean_s = LEAST_S / DEVIATIONS
        self.deviation_s = LEAST_S / DEVIATIONS
        self.slow: dict[str, Slow] = {}

    def patience_s(self) -> float:
        """Return how long to wait for the first word of a sidecar."""
        usual_s = self.mean_s + DEVIATIONS * self.deviation_s
        return min(MOST_S, max(LEAST_S, usual_s))

    def expected_s(self, host: str, now_s: float) -> float:
        """Return how long one sidecar is likely to take."""
        slow = self.slow.get(host)
        return slow.now(now_s) if slow is not None else 0.0

    def answered(self, host: str, took_s: float, now_s: float) -> None:
        """Note an answer: a slower one counts at once, quicker ones slowly."""
        self.learn(took_s)
        expected_s = self.expected_s(host, now_s)
        if took_s < expected_s:
            took_s = expected_s + MEAN_GAIN * (took_s - expected_s)
        self.slow[host] = Slow(took_s, now_s)

    def silent(self, host: str, now_s: float) -> None:
        """Note that no word came in time."""
        self.learn(self.patience_s())
        self.slow[host] = Slow(MOST_S, now_s)

    def learn(self, took_s: float) -> None:
        """Bring mean and deviation up to date."""
        error_s = took_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)

    def forget(self, host: str) -> None:
        """Drop a sidecar that is not asked any more."""
        self.slow.pop(host, None)
