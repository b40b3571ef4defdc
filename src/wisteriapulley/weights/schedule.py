"""Fetch schedule of one version: which chunk to request from which source.

Also decides when this instance may request chunks from the origin. The module is
pure: it reads no clock, opens no sockets and draws from a seeded generator. It is
designed for hundreds of instances that download at once while the origin's link
carries about four copies and each instance's link about two, upload and download
together.
"""

import heapq
import random
from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.weights.random_set import RandomSet
from wisteriapulley.weights.seeders import Peer, Seeders

ORIGIN = "<origin>"
# The bandwidth-delay product is less than one chunk, so a fetch mostly waits in the
# sender's queue. With fewer fetches in flight, senders go idle in the middle of a
# burst (figures: docs/design/burst.md); with more, rarest first decides on stale
# holder counts.
MAX_PEER_FETCHES = 24
# Fetches in flight from one neighbour, so that a slow one can't occupy the window.
MAX_FETCHES_PER_PEER = 2
# Two requests keep the origin's link busy over a round trip; with more, the
# requests of 820 seeders would only queue at the origin.
MAX_ORIGIN_FETCHES = 2
MAX_DRAWS = 24  # Random chunks for which one call looks for a holder.
# The last chunks are requested from a second source, so that one slow sender does
# not delay the replica; more duplicates would waste other instances' bandwidth.
END_GAME_SOURCES = 2
# A fetch expires after this many times the smoothed latency, but not before the
# minimum: a chunk that waits in the sender's queue is not stalled.
LATENCY_DEADLINE_FACTOR = 8.0
MIN_DEADLINE_MS = 2_000.0
# No requests go to a peer for this long after it missed a deadline.
SLOW_PEER_BACKOFF_MS = 5_000.0
# A slow trickle of new chunks extends a rank's delay at most by this factor;
# otherwise it could postpone the next rank forever.
MAX_RANK_DELAY_FACTOR = 20
# Weight of a new sample in the moving average of fetch latencies.
LATENCY_EWMA_WEIGHT = 0.125
# The reader of the origin's responses has its own time-outs; this deadline frees
# fetches that they miss.
ORIGIN_DEADLINE_MS = 120_000.0


class Fetch(NamedTuple):
    """Fetch of one chunk from a peer, or from `ORIGIN`."""

    index: int
    source: str


class Schedule:
    """Decide which chunks one instance fetches next, and from which source.

    Parameters
    ----------
    seeders : Seeders
        Ranks of this instance as a seeder.
    digests : iterable of str
        Digests of the version's chunks.
    distribution : {'time_to_replicas', 'origin_bytes'}
        ``time_to_replicas`` uses one seeder per failure domain, at most four in
        total; ``origin_bytes`` uses a single seeder.
    rank_delay_ms : float
        Delay per rank before an instance requests a chunk from the origin, in
        milliseconds.
    rng : random.Random
        Breaks ties.
    now_ms : float
        Start time, in milliseconds.
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
        self.smoothed_latency_ms = 0.0
        self.origin_queue: list[tuple[int, int]] = []
        self.domain_queue: list[int] = []
        self.set_members(seeders.members.values())

    @property
    def complete(self) -> bool:
        """Whether every chunk is held locally."""
        return not self.missing

    def set_members(self, members: Iterable[Peer]) -> None:
        """Replace the members, and recompute the rank for each missing chunk."""
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
        """Return this instance's rank as a seeder of a chunk."""
        return self.seeders.rank(self.digests[index])

    # -- chunks held by neighbours ----------------------------------------

    def set_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Replace the set of chunks that a neighbour holds."""
        self.remove_peer_chunks(node_id, now_ms)
        self.held_by_peer[node_id] = set()
        self.add_have(node_id, indexes, now_ms)

    def add_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Add chunks to those that a neighbour holds."""
        held = self.held_by_peer.setdefault(node_id, set())
        for index in indexes:
            if index < len(self.digests) and index not in held:
                held.add(index)
                if not self.holder_counts[index]:
                    self.last_new_chunk_ms = now_ms
                self.set_holder_count(index, self.holder_counts[index] + 1)

    def remove_peer_chunks(self, node_id: str, now_ms: float) -> None:
        """Remove all chunks of a neighbour from the holder counts."""
        for index in self.held_by_peer.pop(node_id, ()):
            self.remove_holder(index, now_ms)

    def remove_holder(self, index: int, now_ms: float) -> None:
        """Remove one holder of a chunk.

        When the last holder is gone, the chunk is queued for the origin again.
        """
        self.set_holder_count(index, self.holder_counts[index] - 1)
        if not self.holder_counts[index]:
            self.unheld_since_ms[index] = now_ms
            if index in self.missing:
                heapq.heappush(self.origin_queue, (self.rank(index), index))

    def drop_peer(self, node_id: str, now_ms: float) -> None:
        """Remove a disconnected neighbour and reopen its fetches."""
        self.remove_peer_chunks(node_id, now_ms)
        indexes = [i for i, sources in self.in_flight.items() if node_id in sources]
        for index in indexes:
            self.record_end(Fetch(index, node_id))

    def set_holder_count(self, index: int, count: int) -> None:
        """Set a chunk's holder count and move the chunk to the matching bucket."""
        is_unrequested = index in self.missing and index not in self.in_flight
        if is_unrequested:
            self.rarity_bucket(self.holder_counts[index]).discard(index)
        self.holder_counts[index] = count
        if is_unrequested:
            self.rarity_bucket(count).add(index)

    def rarity_bucket(self, count: int) -> RandomSet:
        """Return the unrequested chunks that `count` neighbours hold."""
        while len(self.rarity_buckets) <= count:
            self.rarity_buckets.append(RandomSet())
        return self.rarity_buckets[count]

    # -- progress of fetches ----------------------------------------------

    def record_start(self, fetch: Fetch, now_ms: float) -> Fetch:
        """Record a fetch as in flight, and return it."""
        if fetch.index not in self.in_flight:
            self.rarity_bucket(self.holder_counts[fetch.index]).discard(fetch.index)
        self.in_flight.setdefault(fetch.index, {})[fetch.source] = now_ms
        self.fetch_counts[fetch.source] = self.fetch_counts.get(fetch.source, 0) + 1
        return fetch

    def record_end(self, fetch: Fetch) -> float | None:
        """Remove a fetch from those in flight.

        Returns
        -------
        float or None
            Start time of the fetch in milliseconds; None if it was not in flight.
        """
        sources = self.in_flight.get(fetch.index, {})
        if fetch.source not in sources:
            return None
        started_ms = sources.pop(fetch.source)
        self.fetch_counts[fetch.source] -= 1
        if not sources:
            del self.in_flight[fetch.index]
            if fetch.index in self.missing:
                self.rarity_bucket(self.holder_counts[fetch.index]).add(fetch.index)
                if not self.holder_counts[fetch.index]:
                    heapq.heappush(
                        self.origin_queue, (self.rank(fetch.index), fetch.index)
                    )
        return started_ms

    def record_chunk(self, index: int, now_ms: float) -> list[Fetch]:
        """Record a chunk as held locally, whichever source it came from.

        Returns
        -------
        list of Fetch
            Remaining fetches of the same chunk, to be cancelled.
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
        """Record a completed fetch; return the fetches to cancel."""
        started_ms = self.record_end(fetch)
        if started_ms is not None:
            latency_ms = now_ms - started_ms
            self.smoothed_latency_ms = self.smoothed_latency_ms or latency_ms
            self.smoothed_latency_ms += LATENCY_EWMA_WEIGHT * (
                latency_ms - self.smoothed_latency_ms
            )
        return self.record_chunk(fetch.index, now_ms)

    def record_failure(
        self,
        fetch: Fetch,
        now_ms: float,
        corrupted: bool = False,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Record a failed fetch.

        A peer that sent corrupted bytes is not asked again.
        """
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
            # The peer's chunks no longer count as held; otherwise they would never
            # be requested from the origin. The peer's holdings are queried again
            # later.
            self.drop_peer(fetch.source, now_ms)

    def record_not_held(self, fetch: Fetch, now_ms: float) -> None:
        """Record that a peer does not hold a chunk that it had announced."""
        self.record_end(fetch)
        held = self.held_by_peer.get(fetch.source, set())
        if fetch.index in held:
            held.discard(fetch.index)
            self.remove_holder(fetch.index, now_ms)

    def expired_fetches(self, now_ms: float) -> list[Fetch]:
        """Return fetches whose deadline has passed."""
        peer_deadline_ms = max(
            MIN_DEADLINE_MS, LATENCY_DEADLINE_FACTOR * self.smoothed_latency_ms
        )
        return [
            Fetch(index, source)
            for index, sources in self.in_flight.items()
            for source, started_ms in sources.items()
            if now_ms - started_ms
            > (ORIGIN_DEADLINE_MS if source == ORIGIN else peer_deadline_ms)
        ]

    # -- choice of the next fetches ---------------------------------------

    def next_fetches(self, now_ms: float, origin: bool = True) -> list[Fetch]:
        """Return the fetches to start now.

        Chunks due from the origin come first: while the origin has chunks that no
        instance holds, idle time on its link delays all replicas. Next come the
        rarest chunks that neighbours hold, so that no chunk becomes scarce.
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
        """Start fetches from neighbours until the window is full."""
        draws_left = MAX_DRAWS
        peer_fetches = sum(self.fetch_counts.values()) - self.fetch_counts.get(
            ORIGIN, 0
        )
        for bucket in self.rarity_buckets[1:]:
            skipped = 0
            while (
                len(bucket) > skipped and peer_fetches < MAX_PEER_FETCHES and draws_left
            ):
                draws_left -= 1
                # Chunks without a free holder move to the front of the bucket,
                # which excludes them from further draws.
                index = bucket.items[self.rng.randrange(skipped, len(bucket))]
                source = self.choose_holder(index, now_ms)
                if source is None:
                    bucket.move(index, skipped)
                    skipped += 1
                    continue
                fetches.append(self.record_start(Fetch(index, source), now_ms))
                peer_fetches += 1

    def choose_holder(self, index: int, now_ms: float) -> str | None:
        """Choose the neighbour to fetch a chunk from, or None to wait.

        Prefers the neighbour with the fewest of our requests, whose queue is
        shortest, and then one in our own failure domain, which keeps traffic off the
        links between domains.
        """
        own_domain = self.me.failure_domain
        current_sources = self.in_flight.get(index, ())
        candidates = [
            (
                self.fetch_counts.get(n, 0),
                self.peer_domains.get(n) != own_domain,
                self.rng.random(),
                n,
            )
            for n, held in self.held_by_peer.items()
            if index in held
            and n not in current_sources
            and n not in self.banned_peers
            and self.fetch_counts.get(n, 0) < MAX_FETCHES_PER_PEER
            and self.backoff_until_ms.get(n, 0.0) <= now_ms
        ]
        return min(candidates)[3] if candidates else None

    def can_ask_origin(self, now_ms: float) -> bool:
        """Return whether this instance may send the origin another request."""
        return self.fetch_counts.get(ORIGIN, 0) < MAX_ORIGIN_FETCHES and (
            now_ms >= self.origin_backoff_until_ms
        )

    def next_origin_chunk(self, now_ms: float) -> int | None:
        """Return a chunk that no neighbour holds and that is due from the origin.

        Rank 0 asks at once. Rank k asks after k rank delays in which no neighbour
        held the chunk and no new chunk appeared. New chunks show that the earlier
        ranks are making progress, and a further request would draw the same bytes
        from the origin again.
        """
        while self.origin_queue and self.can_ask_origin(now_ms):
            rank, index = self.origin_queue[0]
            stale = index not in self.missing or index in self.in_flight
            if stale or self.holder_counts[index] or rank != self.rank(index):
                heapq.heappop(self.origin_queue)
            elif self.is_due_from_origin(index, now_ms):
                heapq.heappop(self.origin_queue)
                return index
            else:
                return None
        return None

    def is_due_from_origin(self, index: int, now_ms: float) -> bool:
        """Return whether the rank delay for a chunk has passed."""
        wait_ms = self.rank(index) * self.rank_delay_ms
        unheld_ms = self.unheld_since_ms[index]
        if now_ms - max(unheld_ms, self.last_new_chunk_ms) >= wait_ms:
            return True
        return now_ms - unheld_ms >= wait_ms * MAX_RANK_DELAY_FACTOR

    def next_domain_chunk(self, now_ms: float) -> int | None:
        """Return a chunk to fetch from the origin on behalf of our failure domain."""
        while self.domain_queue and self.can_ask_origin(now_ms):
            index = self.domain_queue.pop()
            if index in self.missing and index not in self.in_flight:
                if not self.is_held_in_domain(index):
                    return index
        return None

    def is_held_in_domain(self, index: int) -> bool:
        """Return whether a neighbour in our failure domain holds a chunk."""
        own_domain = self.me.failure_domain
        domain_holdings = (
            held
            for n, held in self.held_by_peer.items()
            if self.peer_domains.get(n) == own_domain
        )
        return any(index in held for held in domain_holdings)

    def end_game(self, fetches: list[Fetch], now_ms: float) -> None:
        """Request late chunks from a second source when no others are left to start."""
        late_after_ms = 2 * self.smoothed_latency_ms
        free_fetches = MAX_PEER_FETCHES - len(fetches)
        for index, sources in tuple(self.in_flight.items()):
            if free_fetches <= 0:
                return
            oldest_ms = min(sources.values())
            if len(sources) < END_GAME_SOURCES and now_ms - oldest_ms > late_after_ms:
                source = self.choose_holder(index, now_ms)
                if source is not None:
                    fetches.append(self.record_start(Fetch(index, source), now_ms))
                    free_fetches -= 1
