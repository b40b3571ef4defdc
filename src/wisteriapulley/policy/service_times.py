"""Estimates of service times by kind and size class."""

from typing import NamedTuple

from wisteriapulley.policy.work import Work, size_class

# Weight of a new sample: the estimate follows a change within about twenty requests,
# and a single outlier has little effect.
SMOOTHING = 0.1
# Mean deviations added in the deadline test: an estimate that is too low admits work
# that misses its deadline after all, and wastes a target's time.
DEVIATIONS = 2.0
# Maximum size of the table; kinds come from the catalogue and size classes are powers
# of two.
MAX_CLASSES = 4096


class Estimate(NamedTuple):
    """Mean and mean deviation, in seconds."""

    mean: float
    deviation: float


class ServiceTimes:
    """Moving estimates of the seconds that requests take at a target."""

    def __init__(self):
        self.estimates: dict[tuple[str, int], Estimate] = {}

    def record(self, work: Work, seconds: float) -> None:
        """Record how long a request took at a healthy target."""
        key = (work.kind, size_class(work.units))
        current = self.estimates.get(key)
        if current is None:
            if len(self.estimates) < MAX_CLASSES:
                self.estimates[key] = Estimate(seconds, seconds / 4)
            return
        error = seconds - current.mean
        self.estimates[key] = Estimate(
            current.mean + SMOOTHING * error,
            current.deviation + SMOOTHING * (abs(error) - current.deviation),
        )

    def estimate(self, work: Work) -> Estimate:
        """Return the estimate for a request; 0 without samples of its kind.

        A class without samples is scaled from the nearest class that has some.
        """
        number = size_class(work.units)
        current = self.estimates.get((work.kind, number))
        if current is not None:
            return current
        for distance in range(1, 16):
            for other in (number - distance, number + distance):
                neighbor = self.estimates.get((work.kind, other))
                if neighbor is not None:
                    scale = 2.0 ** (number - other)
                    return Estimate(neighbor.mean * scale, neighbor.deviation * scale)
        return Estimate(0.0, 0.0)

    def upper_bound(self, work: Work) -> float:
        """Return the seconds that the deadline test uses."""
        return bound_of(self.estimate(work))

    def has_samples(self, work: Work) -> bool:
        """Return whether the time of a request of this size is known."""
        return (work.kind, size_class(work.units)) in self.estimates

    def largest_bound(self, kind: str) -> float:
        """Return the largest of these of any size; 0 without samples of the kind."""
        bounds = (
            bound_of(estimate)
            for (other, _), estimate in self.estimates.items()
            if other == kind
        )
        return max(bounds, default=0.0)


def bound_of(estimate: Estimate) -> float:
    """Return the seconds that a request takes at most, but for a few."""
    return estimate.mean + DEVIATIONS * estimate.deviation
