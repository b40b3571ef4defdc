"""Schedule of one copy: which chunk from whom, when the origin may be asked.

Pure: no clock, no sockets, a seeded generator. Load: hundreds of instances
copy at once while the origin's link carries about four copies. Each chunk has
seeders in rendezvous order; only rank 0 asks the origin at once, rank k after
k patience periods without any neighbour that has the chunk.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from blake3 import blake3

ORIGIN = "<origin>"
# Enough to fill the link over the round trip, few enough to stay rarest first.
MAX_IN_FLIGHT = 8
# A slow neighbour must not hold more than this of our pipeline.
MAX_PER_PEER = 2


class Peer(NamedTuple):
    """Instance that takes part in the burst."""

    node_id: str
    failure_domain: str


class Fetch(NamedTuple):
    """One chunk to fetch from a peer, or from `ORIGIN`."""

    index: int
    source: str


def rendezvous(digest: str, node_id: str) -> bytes:
    """Weigh a member for a chunk; the highest ranks first."""
    return blake3(f"{digest}/{node_id}".encode()).digest()


class Schedule:
    """What one instance fetches next.

    Parameters
    ----------
    me : Peer
        This instance.
    digests : sequence of str
        Chunks of the version.
    distribution : {'time_to_replicas', 'origin_bytes'}
        One seeder for each failure domain, or one in all.
    patience_ms : float
        Wait before the next rank asks the origin, in milliseconds.
    rng : random.Random
        Breaks ties.
    now_ms : float
        Start.
    """

    def __init__(
        self,
        me: Peer,
        digests: Iterable[str],
        distribution: str,
        patience_ms: float,
        rng: random.Random,
        now_ms: float,
    ):
        self.me = me
        self.digests = tuple(digests)
        self.distribution = distribution
        self.patience_ms = patience_ms
        self.rng = rng
        self.start_ms = now_ms
        self.ranks = [0] * len(self.digests)
        self.missing = set(range(len(self.digests)))
        self.in_flight: dict[int, str] = {}
        self.held: dict[str, set[int]] = {}
        self.shunned: set[str] = set()

    @property
    def complete(self) -> bool:
        """Whether every chunk is here."""
        return not self.missing

    def set_members(self, members: Iterable[Peer]) -> None:
        """Recompute this instance's rank for each chunk."""
        rivals = [
            peer.node_id
            for peer in members
            if peer.node_id != self.me.node_id
            and (
                self.distribution == "origin_bytes"
                or peer.failure_domain == self.me.failure_domain
            )
        ]
        for index in self.missing:
            digest = self.digests[index]
            mine = rendezvous(digest, self.me.node_id)
            self.ranks[index] = sum(rendezvous(digest, r) > mine for r in rivals)

    def set_have(self, node_id: str, indexes: Iterable[int]) -> None:
        """Note which chunks a neighbour holds."""
        self.held[node_id] = set(indexes)

    def drop_peer(self, node_id: str) -> None:
        """Forget a neighbour that is gone; its fetches are open again."""
        self.held.pop(node_id, None)
        for index in [i for i, source in self.in_flight.items() if source == node_id]:
            del self.in_flight[index]

    def done(self, index: int) -> None:
        """Note a verified chunk."""
        self.in_flight.pop(index, None)
        self.missing.discard(index)

    def failed(self, fetch: Fetch, corrupted: bool = False) -> None:
        """Note a failed fetch; who sent bad bytes is not asked again."""
        if self.in_flight.get(fetch.index) == fetch.source:
            del self.in_flight[fetch.index]
        if corrupted and fetch.source != ORIGIN:
            self.shunned.add(fetch.source)
            self.drop_peer(fetch.source)

    def next_fetches(self, now_ms: float) -> list[Fetch]:
        """Return fetches to start now, rarest chunk first."""
        fetches: list[Fetch] = []
        wanted = [index for index in self.missing if index not in self.in_flight]
        self.rng.shuffle(wanted)
        copies = {index: self.copies(index) for index in wanted}
        for index in sorted(wanted, key=copies.__getitem__):
            if len(self.in_flight) >= MAX_IN_FLIGHT:
                break
            source = self.choose(index, now_ms)
            if source is not None:
                self.in_flight[index] = source
                fetches.append(Fetch(index, source))
        return fetches

    def copies(self, index: int) -> int:
        """Count neighbours that hold a chunk."""
        return sum(index in held for held in self.held.values())

    def choose(self, index: int, now_ms: float) -> str | None:
        """Choose where to get a chunk, or None to wait."""
        busy = list(self.in_flight.values())
        holders = [
            node_id
            for node_id, held in self.held.items()
            if index in held and node_id not in self.shunned
        ]
        free = [node_id for node_id in holders if busy.count(node_id) < MAX_PER_PEER]
        if free:
            return min(free, key=lambda n: (busy.count(n), self.rng.random()))
        if not holders and self.may_ask_origin(index, now_ms):
            return ORIGIN if busy.count(ORIGIN) < MAX_PER_PEER else None
        return None

    def may_ask_origin(self, index: int, now_ms: float) -> bool:
        """Tell whether this instance's turn at the origin has come."""
        return now_ms - self.start_ms >= self.ranks[index] * self.patience_ms
