"""How long work takes at a target, compared with its usual time. Pure.

Targets share their machines with others, so their speed changes many times a second,
and some are slow for their whole life. Reckoned with the configured times alone, a
slow target looks like the others: it gets an equal share of the requests, and most of
what it gets misses its objective, while others have free slots.
"""

import math
from typing import NamedTuple

# A statement is about the present. This half-life is of the order of the time for
# which a speed stays the same; after that the mean of the statements says more.
STATEMENT_HALF_LIFE_S = 0.3
# Half-life of the statements in their mean, and of the mean once they stop.
MEAN_HALF_LIFE_S = 3.0
SILENCE_HALF_LIFE_S = 10.0
# Half-life of what is observed. A request tells the mean speed of the second or two
# for which it ran, so samples don't follow a speed that switches within a second; over
# some tens of requests they tell what stays.
OBSERVED_HALF_LIFE_S = 3.0
# Weight of the assumption that a target takes its usual time, in samples: a few slow
# answers may be due to their callers, and one that got no requests for some seconds is
# taken to have recovered, so that it is tried again.
PRIOR_SAMPLES = 2.0
# Observed times up to this ratio are explained by the error of the estimate that they
# are compared with, and change nothing; from the second ratio on they count in full.
EXPLAINED_RATIO = 1.25
UNEXPLAINED_RATIO = 1.6
# Limits of a single sample and of the estimate: a target that stands still is for the
# circuit breaker and for ejection, and one faster than usual is not worth a detour.
MAX_RATIO = 6.0
MIN_RATIO = 0.5
# Published paces differ by steps of this many percent, so that noise sends no message.
PACE_STEP = 10
USUAL_PACE = 100


class FadingMean:
    """Mean of samples that lose weight with age, and of the prior value 0.

    Parameters
    ----------
    half_life_s : float
        Half-life of a sample's weight.
    """

    def __init__(self, half_life_s: float):
        self.half_life_s = half_life_s
        self.weight = 0.0
        self.total = 0.0
        self.updated_s = 0.0

    def value(self, now_s: float) -> float:
        """Return the mean."""
        if not self.weight:
            return 0.0
        kept = decay(now_s - self.updated_s, self.half_life_s)
        return self.total * kept / (self.weight * kept + PRIOR_SAMPLES)

    def add(self, sample: float, now_s: float) -> None:
        """Add a sample."""
        kept = decay(now_s - self.updated_s, self.half_life_s)
        self.weight = self.weight * kept + 1.0
        self.total = self.total * kept + sample
        self.updated_s = max(now_s, self.updated_s)


class StatedPace:
    """Pace that a target states: the latest statement, fading towards their mean.

    Paces are kept as logarithms of the factor to the usual time.
    """

    def __init__(self):
        self.count = 0
        self.latest = 0.0
        self.mean = 0.0
        self.updated_s = 0.0

    def observe(self, log_pace: float, now_s: float) -> None:
        """Record a statement."""
        forgotten = 1.0 - decay(now_s - self.updated_s, MEAN_HALF_LIFE_S)
        self.count += 1
        gain = max(forgotten, 1.0 / self.count)
        self.mean += gain * (log_pace - self.mean)
        self.latest, self.updated_s = log_pace, now_s

    def value(self, now_s: float) -> float:
        """Return the expected pace now."""
        if not self.count:
            return 0.0
        age_s = now_s - self.updated_s
        mean = self.mean * decay(age_s - STATEMENT_HALF_LIFE_S, SILENCE_HALF_LIFE_S)
        return mean + (self.latest - mean) * decay(age_s, STATEMENT_HALF_LIFE_S)


class WorkMark(NamedTuple):
    """Begin of some work.

    Attributes
    ----------
    at_s : float
        When it began.
    done_s : float
        Seconds at the usual speed that the target had worked until then, as stated.
    """

    at_s: float
    done_s: float


class TargetSpeed:
    """Speed of one incarnation of a target.

    The estimate is the product of what the target states and of how much longer its
    work takes than that explains. The first one is quick and the second one stays, so
    a target that is always slow is known as such, whether or not it says so.

    Attributes
    ----------
    stood_still_until_s : float
        End of its last standstill, as far as is known.
    """

    def __init__(self):
        self.stated = StatedPace()
        self.observed = FadingMean(OBSERVED_HALF_LIFE_S)
        self.marked = WorkMark(0.0, 0.0)
        self.stood_still_until_s = -math.inf

    def observe_stated(self, pace: float, now_s: float) -> None:
        """Record a statement, in percent of the usual time; 0 states nothing."""
        if pace > 0:
            self.mark(now_s)
            self.stated.observe(log_ratio(pace / USUAL_PACE), now_s)

    def mark(self, now_s: float) -> WorkMark:
        """Return the mark of work that begins now."""
        at_s, done_s = self.marked
        elapsed_s = max(0.0, now_s - at_s)
        done_s += elapsed_s / math.exp(self.stated.value(now_s))
        self.marked = WorkMark(at_s + elapsed_s, done_s)
        return self.marked

    def record_standstill(self, now_s: float) -> None:
        """Record that it has just stood still.

        One pause lengthens all that runs meanwhile, and tells nothing about the speed.
        """
        self.stood_still_until_s = now_s

    def stood_still_since(self, begun: WorkMark) -> bool:
        """Return whether it stood still after the begin of some work."""
        return begun.at_s < self.stood_still_until_s

    def observe_work(
        self, begun: WorkMark, usual_ms: float, took_ms: float, now_s: float
    ) -> None:
        """Record how long some work took.

        Parameters
        ----------
        begun : WorkMark
            Mark of its begin.
        usual_ms, took_ms : float
            How long it takes at the usual speed, and how long it took.
        now_s : float
            When it ended.
        """
        if usual_ms <= 0 or took_ms <= 0 or self.stood_still_since(begun):
            return
        ended = self.mark(now_s)
        stated_ratio = 1.0
        if ended.done_s > begun.done_s:
            stated_ratio = (ended.at_s - begun.at_s) / (ended.done_s - begun.done_s)
        self.observed.add(log_ratio(took_ms / usual_ms / stated_ratio), now_s)

    def factor(self, now_s: float) -> float:
        """Return the expected time of work now, as a multiple of its usual time."""
        ratio = self.observed_ratio(now_s) * math.exp(self.stated.value(now_s))
        return min(MAX_RATIO, max(MIN_RATIO, ratio))

    def observed_ratio(self, now_s: float) -> float:
        """Return how much longer work takes than the stated pace explains."""
        return unexplained_ratio(math.exp(self.observed.value(now_s)))

    def lasting_factor(self, now_s: float) -> float:
        """Return the factor without what changes from one statement to the next."""
        return self.observed_ratio(now_s) * math.exp(self.stated.mean)

    def pace(self, now_s: float) -> int:
        """Return the factor in percent, in steps; 0 if it is the usual one."""
        pace = PACE_STEP * round(self.factor(now_s) * USUAL_PACE / PACE_STEP)
        return 0 if pace == USUAL_PACE else pace


def factor_of(pace: int) -> float:
    """Return the factor of a pace in percent; 0 is the usual one."""
    return pace / USUAL_PACE if pace else 1.0


def unexplained_ratio(ratio: float) -> float:
    """Return the part of an observed ratio that the target's speed accounts for."""
    if ratio <= EXPLAINED_RATIO:
        return 1.0
    if ratio >= UNEXPLAINED_RATIO:
        return ratio
    slope = (UNEXPLAINED_RATIO - 1.0) / (UNEXPLAINED_RATIO - EXPLAINED_RATIO)
    return 1.0 + slope * (ratio - EXPLAINED_RATIO)


def log_ratio(ratio: float) -> float:
    """Return the logarithm of a ratio within the limits."""
    return math.log(min(MAX_RATIO, max(MIN_RATIO, ratio)))


def decay(age_s: float, half_life_s: float) -> float:
    """Return the weight that is left at an age."""
    return 0.5 ** (max(0.0, age_s) / half_life_s)
