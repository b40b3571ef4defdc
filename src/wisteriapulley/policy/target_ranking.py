"""Order in which targets are asked for a request.

Targets of one service are in several failure domains, each with its own load. Requests
that cross a region's border while their own region has free slots cost bytes on a
narrow link, which slows every other crossing; requests that stay in a full region wait
while another region has free slots.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypeVar

from wisteriapulley.regions import Regions

# Cost of crossing a border, as a fraction of a target's slots: a request leaves its
# region when the other one has less load by this much.
CROSS_REGION_COST = 0.35
CROSS_DOMAIN_COST = 0.1
# A target that has just started is slow for a while.
COLD_START_COST = 0.5


# Cost of the request's own work at a target where it takes twice its usual time, in
# units of load, and its limit: a slow target without requests is asked before one
# without a free slot, so that its room counts when there is no better one.
SLOW_COST = 0.6
MAX_SLOW_COST = 0.9


class Load(NamedTuple):
    """Load of a target.

    Attributes
    ----------
    outstanding : float
        Requests running or waiting there.
    slots : int
        Requests that it runs at once.
    factor : float
        Time of work there as a multiple of its usual time.
    """

    outstanding: float
    slots: int
    factor: float = 1.0

    @property
    def cost(self) -> float:
        """Expected time to the first event, in units of load.

        The work of others there takes as much longer as the request's own.
        """
        own = min(MAX_SLOW_COST, SLOW_COST * (self.factor - 1.0))
        return self.outstanding / self.slots * self.factor + own


class RankedTarget(Protocol):
    """Properties of a target that the order depends on.

    Attributes
    ----------
    failure_domain : str
        The target's failure domain.
    cold_until_s : float
        Until when it is slow after its start, on the loop's clock.
    """

    failure_domain: str
    cold_until_s: float


AnyTarget = TypeVar("AnyTarget", bound=RankedTarget)


class EntryLocation(NamedTuple):
    """Failure domain of an entry, and the failure domains of each region."""

    failure_domain: str
    regions: Regions

    def distance_cost(self, failure_domain: str) -> float:
        """Return the cost of sending to a failure domain, in units of load."""
        if failure_domain == self.failure_domain:
            return 0.0
        if self.regions.same(failure_domain, self.failure_domain):
            return CROSS_DOMAIN_COST
        return CROSS_REGION_COST


def rank_targets(
    targets: Iterable[AnyTarget],
    load_of: Callable[[AnyTarget], Load],
    location: EntryLocation,
    tiebreak: Callable[[], float],
    now_s: float,
) -> list[AnyTarget]:
    """Return targets in the order in which to ask them.

    Parameters
    ----------
    targets : iterable
        Targets that accept requests.
    load_of : callable
        Load of a target.
    location : EntryLocation
        Location of the entry.
    tiebreak : callable
        Random numbers below 1, so that not all entries choose the same target.
    now_s : float
        Current time of the loop.
    """

    def cost(target: AnyTarget) -> float:
        load = load_of(target)
        cold = COLD_START_COST if now_s < target.cold_until_s else 0.0
        return (
            load.cost
            + location.distance_cost(target.failure_domain)
            + cold
            + 0.05 * tiebreak()
        )

    return sorted(targets, key=cost)
