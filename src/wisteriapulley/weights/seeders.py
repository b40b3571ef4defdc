"""Who asks the origin for which chunk, and who links to whom; pure.

Each chunk falls into a slot; rendezvous weights over (slot, member) rank the
members. Ranking slots rather than chunks keeps the cost of 820 members and
35,000 chunks at 820 x 512 weights, and a member that comes or goes changes
only its own column.
"""

import zlib
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

HASH_SLOTS = 512
# The origin's link carries about four copies in a window.
MAX_ORIGIN_COPIES = 4
UINT64_MASK = (1 << 64) - 1


class Peer(NamedTuple):
    """Instance that takes part in the burst."""

    node_id: str
    failure_domain: str


def hash_seed(text: str) -> int:
    """Return a stable number of a name."""
    data = text.encode()
    return zlib.crc32(data) << 32 | zlib.crc32(data, 0x9E3779B9)


def splitmix64(value: int) -> int:
    """Scramble a 64-bit number (splitmix64)."""
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ value >> 31


def hash_slot(digest: str) -> int:
    """Return the slot of a chunk."""
    return int(digest[:8], 16) % HASH_SLOTS


def rendezvous_weight(slot: int, seed: int) -> int:
    """Weigh a member for a slot; the highest ranks first."""
    return splitmix64(seed ^ splitmix64(slot))


def rendezvous_weights(node_id: str) -> tuple[int, ...]:
    """Weigh a member for every slot."""
    seed = hash_seed(node_id)
    return tuple(rendezvous_weight(slot, seed) for slot in range(HASH_SLOTS))


class Seeders:
    """Ranks of one member among all, and among its failure domain.

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
        """Rank this instance among `members`."""
        wanted = {peer.node_id: peer for peer in members if peer != self.me}
        for node_id in [n for n in self.members if wanted.get(n) != self.members[n]]:
            self.update_ranks(self.members.pop(node_id), -1)
        for node_id in wanted.keys() - self.members.keys():
            self.members[node_id] = wanted[node_id]
            self.update_ranks(wanted[node_id], 1)
        domains = {peer.failure_domain for peer in self.members.values()}
        domains.add(self.me.failure_domain)
        self.draws_own_copy = slots_with_own_copy(
            self.me.failure_domain, tuple(sorted(domains))
        )

    def update_ranks(self, peer: Peer, step: int) -> None:
        """Count a member in or out."""
        near = peer.failure_domain == self.me.failure_domain
        theirs = rendezvous_weights(peer.node_id)
        for slot, mine in enumerate(self.own_weights):
            if theirs[slot] > mine:
                self.ranks[slot] += step
                if near:
                    self.domain_ranks[slot] += step

    def rank(self, digest: str) -> int:
        """Return how many members ask the origin before this one."""
        return self.ranks[hash_slot(digest)]

    def is_domain_seeder(self, digest: str) -> bool:
        """Tell whether this instance brings a chunk into its failure domain.

        With the first seeder of all, at most `MOST_COPIES` are drawn.
        """
        slot = hash_slot(digest)
        mine = not self.domain_ranks[slot] and self.ranks[slot] > 0
        return mine and self.draws_own_copy[slot]


@lru_cache(maxsize=8)
def slots_with_own_copy(domain: str, domains: tuple[str, ...]) -> list[bool]:
    """Tell for each slot whether a failure domain draws copies of its own."""
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

    Each of `count` rings orders the members by its own hash and links each to
    its successor: half of the rings run inside the failure domain, which keeps
    bytes off the links between domains, half through all members. One ring
    alone connects all, so the graph is connected; with the links that others
    open there are at most ``2 * count`` neighbours, used both ways. A member
    that comes or goes moves only the links next to it.
    """
    members = {peer.node_id: peer for peer in peers}
    members[me.node_id] = me
    near = [p for p in members.values() if p.failure_domain == me.failure_domain]
    chosen: dict[str, None] = {}
    for ring in range(count):
        pool = near if ring % 2 and len(near) > 1 else list(members.values())
        chosen.setdefault(successor(me, pool, ring))
    chosen.pop(me.node_id, None)
    return list(chosen)


def successor(me: Peer, pool: list[Peer], ring: int) -> str:
    """Return the member after `me` on a ring."""

    def ring_position(peer: Peer) -> tuple[int, str]:
        return rendezvous_weight(ring, hash_seed(peer.node_id)), peer.node_id

    after = [peer for peer in pool if ring_position(peer) > ring_position(me)]
    return min(after or pool, key=ring_position).node_id
