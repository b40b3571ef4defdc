"""What the policy knows of a request and of a target."""

import math
from typing import NamedTuple


class Work(NamedTuple):
    """One request, as the policy sees it.

    Attributes
    ----------
    id : int
        Unique in one entry.
    account : str
        Client account.
    kind : str
        Name of the catalogue entry: requests of one kind are alike.
    priority : int
        Lower runs first.
    units : float
        What it asks for, in the kind's own unit: tokens, or 1.
    deadline_s : float
        Time by which its answer must be there.
    prefix : tuple of int
        Hashes of the prompt's leading blocks, longest last.
    """

    id: int
    account: str
    kind: str
    priority: int
    units: float
    deadline_s: float
    prefix: tuple[int, ...] = ()


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
    in_flight_at_report : int
        Requests of this entry that it held when that report came.
    """

    node_id: str
    in_flight: int
    reported: int = 0
    in_flight_at_report: int = 0

    @property
    def outstanding(self) -> int:
        """Requests that it holds, as far as can be known.

        The report lags by a heartbeat, in which a burst of our own would all
        go to the target that looked idle: our own part is replaced by what we
        know ourselves, and only that of other entries is taken from it.
        """
        return self.in_flight + max(0, self.reported - self.in_flight_at_report)


def size_class(units: float) -> int:
    """Return the power of two that `units` falls in."""
    return max(0, math.frexp(max(1.0, units))[1] - 1)
