"""Placement: which target gets a request.

`docs/design/load-decisions.md` compares this rule with others.
"""

import random
from collections.abc import Sequence

from wisteriapulley.policy.work import TargetView, Work


class LeastOutstanding:
    """Least outstanding requests, ties broken at random.

    Under steady and bursty load this avoids a queue at one target while another is
    idle. Random ties keep 330 entries from all choosing the same target.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Sequence[TargetView], work: Work) -> str:
        """Return one of the targets with free capacity."""
        least = min(target.outstanding for target in targets)
        best = [t.node_id for t in targets if t.outstanding == least]
        return self.rng.choice(best)
