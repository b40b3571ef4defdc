"""Placement rules that are compared with the rule in use."""

import itertools
import random
from collections import Counter
from collections.abc import Sequence

from wisteriapulley.policy import TargetView, Work
from wisteriapulley.policy.work import size_class


class TwoChoices:
    """Choose the less loaded of two random targets."""

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets with free slots."""
        candidates = self.rng.sample(targets, min(2, len(targets)))
        return min(candidates, key=lambda target: target.outstanding).node_id


class RoundRobin:
    """Choose each target in turn."""

    def __init__(self, rng: random.Random):
        self.counter = itertools.count()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose the next of the targets with free slots."""
        return targets[next(self.counter) % len(targets)].node_id


class VolumeBySizeClass:
    """Choose the target with the least volume assigned in the request's size class.

    This is the immediate-dispatch rule of Avrahami and Azar. It needs the sizes of
    requests to be known.
    """

    def __init__(self, rng: random.Random):
        self.volumes: Counter[tuple[str, int]] = Counter()

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Choose one of the targets with free slots."""
        class_number = size_class(work.units)
        chosen = min(targets, key=lambda t: self.volumes[t.node_id, class_number])
        self.volumes[chosen.node_id, class_number] += work.units
        return chosen.node_id
