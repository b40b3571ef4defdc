"""Placement: which target gets a request.

`docs/design/load-decisions.md` has the measurement of the rules.
"""

import itertools
import random
from collections import Counter
from collections.abc import Sequence

from wisteriapulley.policy.work import TargetView, Work, size_class


class LeastOutstanding:
    """Least outstanding requests; ties fall at random.

    Load: steady and bursty. Harm prevented: a queue at one target while
    another is idle. Ties at random keep 330 entries from choosing alike.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets that have room."""
        least = min(target.outstanding for target in targets)
        best = [t.node_id for t in targets if t.outstanding == least]
        return self.rng.choice(best)


class TwoChoices:
    """The less loaded of two random targets; measured against the others."""

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets that have room."""
        pair = self.rng.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda target: target.outstanding).node_id


class RoundRobin:
    """Each target in turn; measured against the others."""

    def __init__(self, rng: random.Random):
        self.turns = itertools.count()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose the next of the targets that have room."""
        return targets[next(self.turns) % len(targets)].node_id


class VolumeBySizeClass:
    """Least volume assigned so far in the request's size class.

    The immediate-dispatch rule of Avrahami and Azar, as analysed in "Minimizing
    flow time on multiple machines" (see the design note); needs sizes known.
    """

    def __init__(self, rng: random.Random):
        self.volumes: Counter[tuple[str, int]] = Counter()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets that have room."""
        number = size_class(work.units)
        best = min(targets, key=lambda t: self.volumes[t.node_id, number])
        self.volumes[best.node_id, number] += work.units
        return best.node_id
