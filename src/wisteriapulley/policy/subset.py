"""Which members of a service one process keeps links to. Pure.

With hundreds of entries and hundreds of targets, a full mesh costs a heartbeat each way
on every link several times a second, whether requests use it or not: 3,876 links at 38
entries and 102 targets. A bounded subset costs each process the same however large the
fleet is.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.regions import Regions
from wisteriapulley.rendezvous import rendezvous_weight


class Member(NamedTuple):
    """A member of a service and its failure domain."""

    name: str
    failure_domain: str


class SubsetLimits(NamedTuple):
    """Sizes of a subset.

    Attributes
    ----------
    total : int
        Maximum number of members. A smaller service is linked completely.
    same_region : int
        Maximum number of members in the own region. The others are in other regions,
        for when the own region is full or unreachable.
    home_region : int
        Minimum number of members in each home region, in addition to `total`.
    """

    total: int
    same_region: int
    home_region: int = 0


def choose_subset(
    members: Iterable[Member],
    own: Member,
    regions: Regions,
    limits: SubsetLimits,
    homes: tuple[str, ...] = (),
) -> list[str]:
    """Return the names of the members to keep links to.

    Parameters
    ----------
    members : iterable of Member
        All members of one service.
    own : Member
        The process that chooses, and its failure domain.
    regions : Regions
        Region of each failure domain.
    limits : SubsetLimits
        Sizes of the subset.
    homes : tuple of str
        Regions that some requests are bound to.

    Returns
    -------
    list of str
        Members of the own failure domain first, then of the own region, then
        others; within each in the order of their rendezvous weights. Further members
        in the home regions come last.
    """
    ranked = sorted(
        members,
        key=lambda member: (
            member.failure_domain != own.failure_domain,
            rendezvous_weight(own.name, member.name),
        ),
    )
    same_region = [
        m for m in ranked if regions.same(m.failure_domain, own.failure_domain)
    ]
    other_regions = [
        m for m in ranked if not regions.same(m.failure_domain, own.failure_domain)
    ]
    same_region_count = max(limits.same_region, limits.total - len(other_regions))
    chosen = same_region[:same_region_count]
    chosen += other_regions[: limits.total - len(chosen)]
    for home in homes:
        at_home = [m for m in ranked if regions.of(m.failure_domain) == home]
        chosen += [m for m in at_home[: limits.home_region] if m not in chosen]
    return [member.name for member in chosen]
