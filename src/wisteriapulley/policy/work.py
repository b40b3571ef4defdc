"""Views of requests and targets that the policies use."""

import math
from typing import NamedTuple


class Work(NamedTuple):
    """One request, as the policies see it.

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
        Size of the request, in the kind's own unit: tokens, or 1.
    deadline_s : float
        Time by which its answer must be complete.
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
    """An entry's view of a target when it places a request.

    Attributes
    ----------
    node_id : str
        The target's sidecar.
    in_flight : int
        Requests of this entry at the target.
    reported : int
        Requests of all entries in the target's last report; lags.
    in_flight_at_report : int
        Requests of this entry at the target when that report arrived.
    """

    node_id: str
    in_flight: int
    reported: int = 0
    in_flight_at_report: int = 0

    @property
    def outstanding(self) -> int:
        """Best estimate of the requests at the target.

        The report lags by a heartbeat, during which a burst of this entry would all go
        to the target that looked idle. So the entry's own part of the report is
        replaced by its current count; only the part of other entries is taken from it.
        """
        return self.in_flight + max(0, self.reported - self.in_flight_at_report)


def size_class(units: float) -> int:
    """Return the power of two that `units` falls in."""
    return max(0, math.frexp(max(1.0, units))[1] - 1)
