"""Placement rules that are measured against the one in use."""

import itertools
import random
from collections import Counter
from collections.abc import Sequence

from wisteriapulley.policy import TargetView, Work
from wisteriapulley.policy.work import size_class


class TwoChoices:
    """The less loaded of two random targets."""

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets that have room."""
        pair = self.rng.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda target: target.outstanding).node_id


class RoundRobin:
    """Each target in turn."""

    def __init__(self, rng: random.Random):
        self.turns = itertools.count()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose the next of the targets that have room."""
        return targets[next(self.turns) % len(targets)].node_id


class VolumeBySizeClass:
    """Least volume assigned so far in the request's size class.

    The immediate-dispatch rule of Avrahami and Azar; it needs sizes known.
    """

    def __init__(self, rng: random.Random):
        self.volumes: Counter[tuple[str, int]] = Counter()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets that have room."""
        number = size_class(work.units)
        best = min(targets, key=lambda t: self.volumes[t.node_id, number])
        self.volumes[best.node_id, number] += work.units
        return best.node_id
