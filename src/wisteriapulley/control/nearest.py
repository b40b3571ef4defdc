"""Which control instances an entry or a sidecar follows. Pure.

A follower receives each update from every instance that it follows, and sends each of
them heartbeats. If all followed all, that cost would grow with the product of both.
So a follower uses only the few nearest instances that know a leader, and moves on to
the next as soon as one of them is unresponsive or cut off from its quorum.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from wisteriapulley.policy.subset import Member
from wisteriapulley.regions import Regions
from wisteriapulley.rendezvous import rendezvous_weight

# Usable instances that a follower uses at the same time: the failure, stall or lag of
# one has no effect while the other responds.
FOLLOWED_INSTANCES = 2
# Instances that do not respond are tried beside them, at most this many at once: the
# outage of a whole region is skipped in one step, and after an outage of all
# instances there is no connection storm.
MAX_UNRESPONSIVE = 5


def by_nearness(
    instances: Mapping[str, str],
    own: Member,
    regions: Regions,
    avoided: Iterable[str] = (),
) -> list[str]:
    """Return control instances in the order of preference for following.

    Parameters
    ----------
    instances : mapping of str to str
        Failure domain by host; empty if unknown.
    own : Member
        Name and failure domain of the follower.
    regions : Regions
        Region of each failure domain.
    avoided : iterable of str
        Hosts that did not respond lately: they come last.
    """
    last = frozenset(avoided)

    def distance(host: str) -> tuple[bool, bool, bool, bytes]:
        domain = instances[host]
        return (
            host in last,
            not regions.same(domain, own.failure_domain),
            domain != own.failure_domain,
            rendezvous_weight(own.name, host),
        )

    return sorted(instances, key=distance)


def entries_in_fleet(followers: Sequence[int]) -> int:
    """Estimate the number of entries from the followers of each instance.

    Parameters
    ----------
    followers : sequence of int
        Entries that follow each instance.
    """
    each = min(FOLLOWED_INSTANCES, len(followers))
    return math.ceil(sum(followers) / each)


def instances_to_follow(
    order: Iterable[str], is_usable: Callable[[str], bool]
) -> list[str]:
    """Return the first instances of an order that include enough usable ones.

    Parameters
    ----------
    order : iterable of str
        Hosts, best first.
    is_usable : callable
        Returns whether a host sends updates, or its first connection is being made.
    """
    chosen: list[str] = []
    usable = 0
    for host in order:
        if (
            usable == FOLLOWED_INSTANCES
            or len(chosen) == FOLLOWED_INSTANCES + MAX_UNRESPONSIVE
        ):
            break
        chosen.append(host)
        usable += is_usable(host)
    return chosen
