"""Choice of the seeders of each chunk and of the neighbours of each instance.

The module is pure. Each chunk maps to a hash slot, and rendezvous hashing of (slot,
member) ranks the members for each slot. Ranking slots instead of chunks bounds the
cost for 820 members and 35,000 chunks to 820 x 512 weights, and a member that joins
or leaves changes only its own weights.
"""

import zlib
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

HASH_SLOTS = 512
# The origin's link carries about four copies in one distribution window.
MAX_ORIGIN_COPIES = 4
UINT64_MASK = (1 << 64) - 1


class Peer(NamedTuple):
    """Instance that takes part in the distribution of weights."""

    node_id: str
    failure_domain: str


def hash_seed(text: str) -> int:
    """Return a stable 64-bit hash of a name."""
    data = text.encode()
    return zlib.crc32(data) << 32 | zlib.crc32(data, 0x9E3779B9)


def splitmix64(value: int) -> int:
    """Mix the bits of a 64-bit number (splitmix64)."""
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ value >> 31


def hash_slot(digest: str) -> int:
    """Return the hash slot of a chunk."""
    return int(digest[:8], 16) % HASH_SLOTS


def rendezvous_weight(slot: int, seed: int) -> int:
    """Return the weight of a member for a slot; the highest weight ranks first."""
    return splitmix64(seed ^ splitmix64(slot))


def rendezvous_weights(node_id: str) -> tuple[int, ...]:
    """Return the weights of a member for all slots."""
    seed = hash_seed(node_id)
    return tuple(rendezvous_weight(slot, seed) for slot in range(HASH_SLOTS))


class Seeders:
    """Rank one member among all members and within its failure domain.

    Parameters
    ----------
    me : Peer
        This instance.
    """

    def __init__(self, me: Peer):
        self.me = me
        self.own_weights = rendezvous_weights(me.node_id)
        self.ranks = [0] * HASH_SLOTS
        self.domain_ranks = [0] * HASH_SLOTS
        self.members: dict[str, Peer] = {}
        self.draws_own_copy: list[bool] = [True] * HASH_SLOTS

    def set_members(self, members: Iterable[Peer]) -> None:
        """Replace the other members and update the ranks."""
        others = {peer.node_id: peer for peer in members if peer != self.me}
        for node_id in [n for n in self.members if others.get(n) != self.members[n]]:
            self.update_ranks(self.members.pop(node_id), -1)
        for node_id in others.keys() - self.members.keys():
            self.members[node_id] = others[node_id]
            self.update_ranks(others[node_id], 1)
        domains = {peer.failure_domain for peer in self.members.values()}
        domains.add(self.me.failure_domain)
        self.draws_own_copy = slots_with_own_copy(
            self.me.failure_domain, tuple(sorted(domains))
        )

    def update_ranks(self, peer: Peer, step: int) -> None:
        """Add (`step` 1) or remove (`step` -1) a member in the ranks."""
        same_domain = peer.failure_domain == self.me.failure_domain
        their_weights = rendezvous_weights(peer.node_id)
        for slot, own_weight in enumerate(self.own_weights):
            if their_weights[slot] > own_weight:
                self.ranks[slot] += step
                if same_domain:
                    self.domain_ranks[slot] += step

    def rank(self, digest: str) -> int:
        """Return how many members ask the origin for a chunk before this one."""
        return self.ranks[hash_slot(digest)]

    def is_domain_seeder(self, digest: str) -> bool:
        """Return whether this instance fetches a chunk for its failure domain.

        Together with the first seeder of all members, at most `MAX_ORIGIN_COPIES`
        copies are drawn from the origin.
        """
        slot = hash_slot(digest)
        first_in_domain = not self.domain_ranks[slot] and self.ranks[slot] > 0
        return first_in_domain and self.draws_own_copy[slot]


@lru_cache(maxsize=8)
def slots_with_own_copy(domain: str, domains: tuple[str, ...]) -> list[bool]:
    """Return for each slot whether a failure domain draws its own copy."""
    seeds = {name: hash_seed("/" + name) for name in domains}
    return [
        sorted(domains, key=lambda d, s=slot: rendezvous_weight(s, seeds[d])).index(
            domain
        )
        < MAX_ORIGIN_COPIES - 1
        for slot in range(HASH_SLOTS)
    ]


def choose_neighbours(me: Peer, peers: Iterable[Peer], count: int) -> list[str]:
    """Choose the neighbours that this instance opens links to.

    Each of `count` hash rings orders the members by its own hash and links each
    member to its successor. Half of the rings contain only the failure domain's
    members, which keeps traffic off the links between domains; the other half contain
    all members. One ring of all members is enough to connect the graph. Including the
    links that others open, an instance has at most ``2 * count`` neighbours, and links
    are used in both directions. A member that joins or leaves changes only the links
    next to it.
    """
    members = {peer.node_id: peer for peer in peers}
    members[me.node_id] = me
    domain_members = [
        p for p in members.values() if p.failure_domain == me.failure_domain
    ]
    chosen: dict[str, None] = {}
    for ring in range(count):
        ring_members = (
            domain_members
            if ring % 2 and len(domain_members) > 1
            else list(members.values())
        )
        chosen.setdefault(successor(me, ring_members, ring))
    chosen.pop(me.node_id, None)
    return list(chosen)


def successor(me: Peer, ring_members: list[Peer], ring: int) -> str:
    """Return the member that follows `me` on a ring."""

    def ring_position(peer: Peer) -> tuple[int, str]:
        return rendezvous_weight(ring, hash_seed(peer.node_id)), peer.node_id

    later_members = [
        peer for peer in ring_members if ring_position(peer) > ring_position(me)
    ]
    return min(later_members or ring_members, key=ring_position).node_id
