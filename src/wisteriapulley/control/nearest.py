"""Which control instances an entry or a sidecar follows. Pure.

Load: every follower of every control instance hears each piece of news once from
each, and sends it heartbeats. Harm prevented: that cost grows with the product of
both. A follower keeps to the few nearest instances that know a leader, and takes
the next ones as soon as one of them is silent or cut off from its quorum.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from wisteriapulley.policy.subset import Member
from wisteriapulley.regions import Regions
from wisteriapulley.rendezvous import rendezvous

# Instances that a follower hears at the same time: one that dies, stalls or lags
# costs nothing while the other is heard.
FOLLOWED_INSTANCES = 2
# Of those that do not answer, so many are tried beside them at once: a loss of a
# whole region is passed over in one step, and a loss of all ends without a storm.
MAX_UNANSWERED = 5


def by_nearness(
    instances: Mapping[str, str],
    own: Member,
    regions: Regions,
    avoided: Iterable[str] = (),
) -> list[str]:
    """Order control instances, the one to follow first before the others.

    Parameters
    ----------
    instances : mapping of str to str
        Failure domain by host; empty text where it is not known.
    own : Member
        Who follows, and where it is.
    regions : Regions
        Region of each failure domain.
    avoided : iterable of str
        Hosts that did not answer lately: they come last.
    """
    shunned = frozenset(avoided)

    def distance(host: str) -> tuple[bool, bool, bool, bytes]:
        domain = instances[host]
        return (
            host in shunned,
            not regions.same(domain, own.failure_domain),
            domain != own.failure_domain,
            rendezvous(own.name, host),
        )

    return sorted(instances, key=distance)


def entries_in_fleet(followers: Sequence[int]) -> int:
    """Estimate the entries of a fleet, from those that follow each instance.

    Parameters
    ----------
    followers : sequence of int
        Entries that follow each instance.
    """
    each = min(FOLLOWED_INSTANCES, len(followers))
    return math.ceil(sum(followers) / each)


def instances_to_follow(
    order: Iterable[str], answers: Callable[[str], bool]
) -> list[str]:
    """Return the first instances of an order, until enough of them are heard.

    Parameters
    ----------
    order : iterable of str
        Hosts, best first.
    is_heard : callable
        Whether news come from a host, or its first connection is being made.
    """
    chosen: list[str] = []
    heard = 0
    for host in order:
        if (
            heard == FOLLOWED_INSTANCES
            or len(chosen) == FOLLOWED_INSTANCES + MAX_UNANSWERED
        ):
            break
        chosen.append(host)
        heard += answers(host)
    return chosen
