"""Which target a request is offered to first.

Load pattern: targets of one service in several failure domains, each with its own
load. Harm prevented: requests that cross a region's border while their own region
has room cost bytes on a narrow link, which slows every other crossing; requests
that stay in a full region wait while another one has places empty.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol, TypeVar

from wisteriapulley.regions import Regions

# Load, as a share of a target's slots, that crossing a border is worth: a request
# leaves its region when the other one is emptier by this much.
CROSS_REGION_COST = 0.35
CROSS_DOMAIN_COST = 0.1
# A target that has just started is slow for a while.
COLD_START_COST = 0.5


class Load(NamedTuple):
    """What is known of a target's load: requests there, and its slots."""

    outstanding: float
    slots: int


class RankedTarget(Protocol):
    """What the order needs to know of a target itself.

    Attributes
    ----------
    failure_domain : str
        Where it is.
    cold_until_s : float
        Until when it is slow after its start, on the loop's clock.
    """

    failure_domain: str
    cold_until_s: float


AnyTarget = TypeVar("AnyTarget", bound=RankedTarget)


class EntryLocation(NamedTuple):
    """Where an entry is, and which failure domains make up each region."""

    failure_domain: str
    regions: Regions

    def distance_cost(self, failure_domain: str) -> float:
        """Return what it costs to send to a failure domain, as a load."""
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
    """Order targets, the one to ask first before the others.

    Parameters
    ----------
    targets : iterable
        Those that take requests.
    load_of : callable
        Load of a target.
    around : Surroundings
        Where the entry is.
    tiebreak : callable
        Random numbers below 1, so that entries do not all choose alike.
    now_s : float
        The loop's clock.
    """

    def cost(target: AnyTarget) -> float:
        load = load_of(target)
        cold = COLD_START_COST if now_s < target.cold_until_s else 0.0
        return (
            load.outstanding / load.slots
            + location.distance_cost(target.failure_domain)
            + cold
            + 0.05 * tiebreak()
        )

    return sorted(targets, key=cost)
