"""Schedule of one copy: which chunk from whom, when the origin may be asked.

Pure: no clock, no sockets, a seeded generator. Load: hundreds of instances
copy at once while the origin's link carries about four copies and each
instance's link about two, up and down together.
"""

import heapq
import random
from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.weights.random_set import RandomSet
from wisteriapulley.weights.seeders import Peer, Seeders

ORIGIN = "<origin>"
# Rate x round trip is less than one chunk here; what a fetch waits for is the
# sender's queue. With fewer in flight senders run dry in mid-burst (docs/design/
# burst.md has the figures); more only makes rarest first choose on old news.
MAX_PEER_FETCHES = 24
# A slow neighbour must not hold more than this of our pipeline.
MAX_FETCHES_PER_PEER = 2
# Two keep the origin's link busy over the round trip; 820 seeders with more
# would only queue there.
MAX_ORIGIN_FETCHES = 2
MAX_DRAWS = 24  # Random chunks tried for a free holder in one call.
# The last chunks are asked twice so that one slow sender does not delay the
# replica; more copies would waste the links of the others.
END_GAME_SOURCES = 2
# A chunk must come within this many times the usual latency, and never must
# within less than the floor: senders queue, and a queue is no stall.
LATENCY_DEADLINE_FACTOR = 8.0
MIN_DEADLINE_MS = 2_000.0
# A peer that let a deadline pass is left alone for this long.
SLOW_PEER_BACKOFF_MS = 5_000.0
# Chunks that trickle in must not put the next rank off without end.
MAX_RANK_DELAY_FACTOR = 20
LATENCY_EWMA_WEIGHT = 0.125
# The origin's answers are watched by their reader; this frees what that misses.
ORIGIN_DEADLINE_MS = 120_000.0


class Fetch(NamedTuple):
    """One chunk to fetch from a peer, or from `ORIGIN`."""

    index: int
    source: str


class Schedule:
    """What one instance fetches next.

    Parameters
    ----------
    seeders : Seeders
        Ranks of this instance.
    digests : iterable of str
        Chunks of the version.
    distribution : {'time_to_replicas', 'origin_bytes'}
        One seeder for each failure domain (at most four in all), or one in all.
    patience_ms : float
        Wait before the next rank asks the origin, in milliseconds.
    rng : random.Random
        Breaks ties.
    now_ms : float
        Start.
    """

    def __init__(
        self,
        seeders: Seeders,
        digests: Iterable[str],
        distribution: str,
        rank_delay_ms: float,
        rng: random.Random,
        now_ms: float,
    ):
        self.seeders = seeders
        self.me = seeders.me
        self.digests = tuple(digests)
        self.distribution = distribution
        self.rank_delay_ms = rank_delay_ms
        self.rng = rng
        self.last_new_chunk_ms = now_ms
        self.missing = set(range(len(self.digests)))
        self.held_by_peer: dict[str, set[int]] = {}
        self.peer_domains: dict[str, str] = {}
        self.holder_counts = [0] * len(self.digests)
        self.unheld_since_ms = [now_ms] * len(self.digests)
        self.rarity_buckets = [RandomSet()]
        for index in self.missing:
            self.rarity_buckets[0].add(index)
        self.in_flight: dict[int, dict[str, float]] = {}
        self.fetch_counts: dict[str, int] = {}
        self.backoff_until_ms: dict[str, float] = {}
        self.banned_peers: set[str] = set()
        self.origin_backoff_until_ms = 0.0
        self.latency_ms = 0.0
        self.origin_queue: list[tuple[int, int]] = []
        self.domain_queue: list[int] = []
        self.set_members(seeders.members.values())

    @property
    def complete(self) -> bool:
        """Whether every chunk is here."""
        return not self.missing

    def set_members(self, members: Iterable[Peer]) -> None:
        """Recompute this instance's rank for each missing chunk."""
        self.seeders.set_members(members)
        self.peer_domains = {
            peer.node_id: peer.failure_domain for peer in self.seeders.members.values()
        }
        self.origin_queue = [(self.rank(index), index) for index in self.missing]
        self.rng.shuffle(self.origin_queue)
        heapq.heapify(self.origin_queue)
        self.domain_queue = []
        if self.distribution == "time_to_replicas":
            self.domain_queue = [
                index
                for index in self.missing
                if self.seeders.is_domain_seeder(self.digests[index])
            ]
            self.rng.shuffle(self.domain_queue)

    def rank(self, index: int) -> int:
        """Return this instance's rank for a chunk."""
        return self.seeders.rank(self.digests[index])

    # -- what neighbours hold ----------------------------------------------

    def set_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Replace what a neighbour holds."""
        self.remove_peer_chunks(node_id, now_ms)
        self.held_by_peer[node_id] = set()
        self.add_have(node_id, indexes, now_ms)

    def add_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Note chunks that a neighbour holds besides."""
        held = self.held_by_peer.setdefault(node_id, set())
        for index in indexes:
            if index < len(self.digests) and index not in held:
                held.add(index)
                if not self.holder_counts[index]:
                    self.last_new_chunk_ms = now_ms
                self.set_holder_count(index, self.holder_counts[index] + 1)

    def remove_peer_chunks(self, node_id: str, now_ms: float) -> None:
        """Forget what a neighbour holds."""
        for index in self.held_by_peer.pop(node_id, ()):
            self.remove_holder(index, now_ms)

    def remove_holder(self, index: int, now_ms: float) -> None:
        """Count a holder out; after the last one the origin's turns begin."""
        self.set_holder_count(index, self.holder_counts[index] - 1)
        if not self.holder_counts[index]:
            self.unheld_since_ms[index] = now_ms
            if index in self.missing:
                heapq.heappush(self.origin_queue, (self.rank(index), index))

    def drop_peer(self, node_id: str, now_ms: float) -> None:
        """Forget a neighbour that is gone; its fetches are open again."""
        self.remove_peer_chunks(node_id, now_ms)
        flights = [i for i, sources in self.in_flight.items() if node_id in sources]
        for index in flights:
            self.record_end(Fetch(index, node_id))

    def set_holder_count(self, index: int, count: int) -> None:
        """Count the neighbours that hold a chunk, and move it to its bucket."""
        waiting = index in self.missing and index not in self.in_flight
        if waiting:
            self.rarity_bucket(self.holder_counts[index]).discard(index)
        self.holder_counts[index] = count
        if waiting:
            self.rarity_bucket(count).add(index)

    def rarity_bucket(self, count: int) -> RandomSet:
        """Return the waiting chunks that `count` neighbours hold."""
        while len(self.rarity_buckets) <= count:
            self.rarity_buckets.append(RandomSet())
        return self.rarity_buckets[count]

    # -- what became of fetches --------------------------------------------

    def record_start(self, fetch: Fetch, now_ms: float) -> Fetch:
        """Note a fetch as in flight."""
        if fetch.index not in self.in_flight:
            self.rarity_bucket(self.holder_counts[fetch.index]).discard(fetch.index)
        self.in_flight.setdefault(fetch.index, {})[fetch.source] = now_ms
        self.fetch_counts[fetch.source] = self.fetch_counts.get(fetch.source, 0) + 1
        return fetch

    def record_end(self, fetch: Fetch) -> float | None:
        """Take a fetch out of flight; return when it began."""
        sources = self.in_flight.get(fetch.index, {})
        if fetch.source not in sources:
            return None
        begun_ms = sources.pop(fetch.source)
        self.fetch_counts[fetch.source] -= 1
        if not sources:
            del self.in_flight[fetch.index]
            if fetch.index in self.missing:
                self.rarity_bucket(self.holder_counts[fetch.index]).add(fetch.index)
                if not self.holder_counts[fetch.index]:
                    heapq.heappush(
                        self.origin_queue, (self.rank(fetch.index), fetch.index)
                    )
        return begun_ms

    def record_chunk(self, index: int, now_ms: float) -> list[Fetch]:
        """Note a chunk that is here, from wherever.

        Returns
        -------
        list of Fetch
            Other fetches of the same chunk, to cancel.
        """
        if index not in self.missing:
            return []
        others = [Fetch(index, source) for source in self.in_flight.get(index, ())]
        self.rarity_bucket(self.holder_counts[index]).discard(index)
        self.missing.discard(index)
        for fetch in others:
            self.record_end(fetch)
        if not self.holder_counts[index]:
            self.last_new_chunk_ms = now_ms
        return others

    def record_success(self, fetch: Fetch, now_ms: float) -> list[Fetch]:
        """Note a chunk that a fetch brought; return fetches to cancel."""
        begun_ms = self.record_end(fetch)
        if begun_ms is not None:
            latency_ms = now_ms - begun_ms
            self.latency_ms = self.latency_ms or latency_ms
            self.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - self.latency_ms)
        return self.record_chunk(fetch.index, now_ms)

    def record_failure(
        self,
        fetch: Fetch,
        now_ms: float,
        corrupted: bool = False,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Note a failed fetch; who sent bad bytes is not asked again."""
        self.record_end(fetch)
        if fetch.source == ORIGIN:
            self.origin_backoff_until_ms = max(
                self.origin_backoff_until_ms, now_ms + retry_after_ms
            )
            return
        self.backoff_until_ms[fetch.source] = now_ms + (
            retry_after_ms or SLOW_PEER_BACKOFF_MS
        )
        if corrupted:
            self.banned_peers.add(fetch.source)
        if corrupted or not retry_after_ms:
            # What it holds no longer counts, or its chunks would never be asked
            # of the origin; it is asked again what it holds after a while.
            self.drop_peer(fetch.source, now_ms)

    def record_not_held(self, fetch: Fetch, now_ms: float) -> None:
        """Note that a peer does not hold a chunk after all."""
        self.record_end(fetch)
        held = self.held_by_peer.get(fetch.source, set())
        if fetch.index in held:
            held.discard(fetch.index)
            self.remove_holder(fetch.index, now_ms)

    def expired_fetches(self, now_ms: float) -> list[Fetch]:
        """Return fetches whose deadline has passed."""
        limit_ms = max(MIN_DEADLINE_MS, LATENCY_DEADLINE_FACTOR * self.latency_ms)
        return [
            Fetch(index, source)
            for index, sources in self.in_flight.items()
            for source, begun_ms in sources.items()
            if now_ms - begun_ms
            > (ORIGIN_DEADLINE_MS if source == ORIGIN else limit_ms)
        ]

    # -- what to fetch next ------------------------------------------------

    def next_fetches(self, now_ms: float, origin: bool = True) -> list[Fetch]:
        """Return fetches to start now.

        The origin's turns come first: while it still has chunks that nobody
        holds, an idle origin link is time that all replicas lose. Then the
        rarest chunk that a neighbour holds, so that no chunk becomes scarce.
        """
        fetches: list[Fetch] = []
        while origin and (index := self.next_origin_chunk(now_ms)) is not None:
            fetches.append(self.record_start(Fetch(index, ORIGIN), now_ms))
        self.fill_window(fetches, now_ms)
        while origin and (index := self.next_domain_chunk(now_ms)) is not None:
            fetches.append(self.record_start(Fetch(index, ORIGIN), now_ms))
        if not any(map(len, self.rarity_buckets)):
            self.end_game(fetches, now_ms)
        return fetches

    def fill_window(self, fetches: list[Fetch], now_ms: float) -> None:
        """Launch fetches from neighbours up to the window."""
        tries = MAX_DRAWS
        flying = sum(self.fetch_counts.values()) - self.fetch_counts.get(ORIGIN, 0)
        for bucket in self.rarity_buckets[1:]:
            refused = 0
            while len(bucket) > refused and flying < MAX_PEER_FETCHES and tries:
                tries -= 1
                # Refused ones are moved to the front, out of the draw.
                index = bucket.items[self.rng.randrange(refused, len(bucket))]
                source = self.choose_holder(index, now_ms)
                if source is None:
                    bucket.move(index, refused)
                    refused += 1
                    continue
                fetches.append(self.record_start(Fetch(index, source), now_ms))
                flying += 1

    def choose_holder(self, index: int, now_ms: float) -> str | None:
        """Choose the neighbour to get a chunk from, or None to wait.

        Least asked first, for its queue is shortest; then our own failure
        domain, which keeps bytes off the links between domains.
        """
        mine = self.me.failure_domain
        asked = self.in_flight.get(index, ())
        free = [
            (
                self.fetch_counts.get(n, 0),
                self.peer_domains.get(n) != mine,
                self.rng.random(),
                n,
            )
            for n, held in self.held_by_peer.items()
            if index in held
            and n not in asked
            and n not in self.banned_peers
            and self.fetch_counts.get(n, 0) < MAX_FETCHES_PER_PEER
            and self.backoff_until_ms.get(n, 0.0) <= now_ms
        ]
        return min(free)[3] if free else None

    def can_ask_origin(self, now_ms: float) -> bool:
        """Tell whether this instance may send the origin another request."""
        return self.fetch_counts.get(ORIGIN, 0) < MAX_ORIGIN_FETCHES and (
            now_ms >= self.origin_backoff_until_ms
        )

    def next_origin_chunk(self, now_ms: float) -> int | None:
        """Return a chunk that no neighbour holds and whose turn is ours.

        Rank 0 asks at once, rank k after k patience periods in which no
        neighbour had the chunk and no chunk came to light: while new ones do,
        the earlier ranks are at work, and asking too would draw the same bytes
        from the origin again.
        """
        while self.origin_queue and self.can_ask_origin(now_ms):
            rank, index = self.origin_queue[0]
            stale = index not in self.missing or index in self.in_flight
            if stale or self.holder_counts[index] or rank != self.rank(index):
                heapq.heappop(self.origin_queue)
            elif self.is_turn_at_origin(index, now_ms):
                heapq.heappop(self.origin_queue)
                return index
            else:
                return None
        return None

    def is_turn_at_origin(self, index: int, now_ms: float) -> bool:
        """Tell whether this instance's turn at the origin has come."""
        wait_ms = self.rank(index) * self.rank_delay_ms
        alone_ms = self.unheld_since_ms[index]
        if now_ms - max(alone_ms, self.last_new_chunk_ms) >= wait_ms:
            return True
        return now_ms - alone_ms >= wait_ms * MAX_RANK_DELAY_FACTOR

    def next_domain_chunk(self, now_ms: float) -> int | None:
        """Return a chunk to bring into our failure domain from the origin."""
        while self.domain_queue and self.can_ask_origin(now_ms):
            index = self.domain_queue.pop()
            if index in self.missing and index not in self.in_flight:
                if not self.is_held_in_domain(index):
                    return index
        return None

    def is_held_in_domain(self, index: int) -> bool:
        """Tell whether a neighbour of our failure domain holds a chunk."""
        mine = self.me.failure_domain
        near = (
            held
            for n, held in self.held_by_peer.items()
            if self.peer_domains.get(n) == mine
        )
        return any(index in held for held in near)

    def end_game(self, fetches: list[Fetch], now_ms: float) -> None:
        """Ask a second source for chunks that are late, when nothing waits."""
        late_ms = 2 * self.latency_ms
        room = MAX_PEER_FETCHES - len(fetches)
        for index, sources in tuple(self.in_flight.items()):
            if room <= 0:
                return
            oldest_ms = min(sources.values())
            if len(sources) < END_GAME_SOURCES and now_ms - oldest_ms > late_ms:
                source = self.choose_holder(index, now_ms)
                if source is not None:
                    fetches.append(self.record_start(Fetch(index, source), now_ms))
                    room -= 1
