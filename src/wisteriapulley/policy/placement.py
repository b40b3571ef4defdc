"""Placement: which target gets a request.

`docs/design/load-decisions.md` has the measurement against other rules.
"""

import random
from collections.abc import Sequence

from wisteriapulley.policy.work import TargetView, Work


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
