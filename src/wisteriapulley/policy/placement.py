"""Placement: which target gets a request."""

import random
from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode


class TargetView(NamedTuple):
    """What an entry knows of a target when it places a request.

    Attributes
    ----------
    node_id : str
        The target's sidecar.
    in_flight : int
        Requests of this entry that it holds.
    reported : int
        Requests that it last reported, of all entries; lags.
    """

    node_id: str
    in_flight: int
    reported: int


class Placement:
    """Least outstanding requests; ties fall at random.

    Parameters
    ----------
    rng : random.Random
        Seeded in tests.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng

    def pick(self, targets: Iterable[TargetView], in_flight_limit: int) -> str:
        """Choose a target.

        Raises
        ------
        RequestError
            NO_TARGET when none is open, OVERLOADED when all are full.
        """
        targets = list(targets)
        if not targets:
            raise RequestError(ResultCode.NO_TARGET, "no target is open", 1000)
        room = [t for t in targets if max(t.in_flight, t.reported) < in_flight_limit]
        if not room:
            raise RequestError(ResultCode.OVERLOADED, "every target is full", 1000)
        least = min(max(t.in_flight, t.reported) for t in room)
        best = [t for t in room if max(t.in_flight, t.reported) == least]
        return self.rng.choice(best).node_id
