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
MOST_IN_FLIGHT = 24
# A slow neighbour must not hold more than this of our pipeline.
MAX_PER_PEER = 2
# Two keep the origin's link busy over the round trip; 820 seeders with more
# would only queue there.
MAX_AT_ORIGIN = 2
TRIES = 24  # Random chunks tried for a free holder in one call.
# The last chunks are asked twice so that one slow sender does not delay the
# replica; more copies would waste the links of the others.
END_GAME_SOURCES = 2
# A chunk must come within this many times the usual latency, and never must
# within less than the floor: senders queue, and a queue is no stall.
DEADLINE_FACTOR = 8.0
LEAST_DEADLINE_MS = 2_000.0
# A peer that let a deadline pass is left alone for this long.
SLOW_PEER_MS = 5_000.0
# Chunks that trickle in must not put the next rank off without end.
MOST_PATIENCE = 20
LATENCY_WEIGHT = 0.125
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
        patience_ms: float,
        rng: random.Random,
        now_ms: float,
    ):
        self.seeders = seeders
        self.me = seeders.me
        self.digests = tuple(digests)
        self.distribution = distribution
        self.patience_ms = patience_ms
        self.rng = rng
        self.news_ms = now_ms
        self.missing = set(range(len(self.digests)))
        self.held: dict[str, set[int]] = {}
        self.domains: dict[str, str] = {}
        self.copies = [0] * len(self.digests)
        self.alone_ms = [now_ms] * len(self.digests)
        self.buckets = [RandomSet()]
        for index in self.missing:
            self.buckets[0].add(index)
        self.in_flight: dict[int, dict[str, float]] = {}
        self.busy: dict[str, int] = {}
        self.slow_until: dict[str, float] = {}
        self.shunned: set[str] = set()
        self.origin_wait_ms = 0.0
        self.latency_ms = 0.0
        self.turns: list[tuple[int, int]] = []
        self.extras: list[int] = []
        self.set_members(seeders.members.values())

    @property
    def complete(self) -> bool:
        """Whether every chunk is here."""
        return not self.missing

    def set_members(self, members: Iterable[Peer]) -> None:
        """Recompute this instance's rank for each missing chunk."""
        self.seeders.set_members(members)
        self.domains = {
            peer.node_id: peer.failure_domain for peer in self.seeders.members.values()
        }
        self.turns = [(self.rank(index), index) for index in self.missing]
        self.rng.shuffle(self.turns)
        heapq.heapify(self.turns)
        self.extras = []
        if self.distribution == "time_to_replicas":
            self.extras = [
                index
                for index in self.missing
                if self.seeders.is_domain_seeder(self.digests[index])
            ]
            self.rng.shuffle(self.extras)

    def rank(self, index: int) -> int:
        """Return this instance's rank for a chunk."""
        return self.seeders.rank(self.digests[index])

    # -- what neighbours hold ----------------------------------------------

    def set_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Replace what a neighbour holds."""
        self.forget_held(node_id, now_ms)
        self.held[node_id] = set()
        self.add_have(node_id, indexes, now_ms)

    def add_have(self, node_id: str, indexes: Iterable[int], now_ms: float) -> None:
        """Note chunks that a neighbour holds besides."""
        held = self.held.setdefault(node_id, set())
        for index in indexes:
            if index < len(self.digests) and index not in held:
                held.add(index)
                if not self.copies[index]:
                    self.news_ms = now_ms
                self.set_copies(index, self.copies[index] + 1)

    def forget_held(self, node_id: str, now_ms: float) -> None:
        """Forget what a neighbour holds."""
        for index in self.held.pop(node_id, ()):
            self.lose_holder(index, now_ms)

    def lose_holder(self, index: int, now_ms: float) -> None:
        """Count a holder out; after the last one the origin's turns begin."""
        self.set_copies(index, self.copies[index] - 1)
        if not self.copies[index]:
            self.alone_ms[index] = now_ms
            if index in self.missing:
                heapq.heappush(self.turns, (self.rank(index), index))

    def drop_peer(self, node_id: str, now_ms: float) -> None:
        """Forget a neighbour that is gone; its fetches are open again."""
        self.forget_held(node_id, now_ms)
        flights = [i for i, sources in self.in_flight.items() if node_id in sources]
        for index in flights:
            self.land(Fetch(index, node_id))

    def set_copies(self, index: int, count: int) -> None:
        """Count the neighbours that hold a chunk, and move it to its bucket."""
        waiting = index in self.missing and index not in self.in_flight
        if waiting:
            self.bucket(self.copies[index]).discard(index)
        self.copies[index] = count
        if waiting:
            self.bucket(count).add(index)

    def bucket(self, count: int) -> RandomSet:
        """Return the waiting chunks that `count` neighbours hold."""
        while len(self.buckets) <= count:
            self.buckets.append(RandomSet())
        return self.buckets[count]

    # -- what became of fetches --------------------------------------------

    def launch(self, fetch: Fetch, now_ms: float) -> Fetch:
        """Note a fetch as in flight."""
        if fetch.index not in self.in_flight:
            self.bucket(self.copies[fetch.index]).discard(fetch.index)
        self.in_flight.setdefault(fetch.index, {})[fetch.source] = now_ms
        self.busy[fetch.source] = self.busy.get(fetch.source, 0) + 1
        return fetch

    def land(self, fetch: Fetch) -> float | None:
        """Take a fetch out of flight; return when it began."""
        sources = self.in_flight.get(fetch.index, {})
        if fetch.source not in sources:
            return None
        begun_ms = sources.pop(fetch.source)
        self.busy[fetch.source] -= 1
        if not sources:
            del self.in_flight[fetch.index]
            if fetch.index in self.missing:
                self.bucket(self.copies[fetch.index]).add(fetch.index)
                if not self.copies[fetch.index]:
                    heapq.heappush(self.turns, (self.rank(fetch.index), fetch.index))
        return begun_ms

    def done(self, index: int, now_ms: float) -> list[Fetch]:
        """Note a chunk that is here, from wherever.

        Returns
        -------
        list of Fetch
            Other fetches of the same chunk, to cancel.
        """
        if index not in self.missing:
            return []
        others = [Fetch(index, source) for source in self.in_flight.get(index, ())]
        self.bucket(self.copies[index]).discard(index)
        self.missing.discard(index)
        for fetch in others:
            self.land(fetch)
        if not self.copies[index]:
            self.news_ms = now_ms
        return others

    def arrived(self, fetch: Fetch, now_ms: float) -> list[Fetch]:
        """Note a chunk that a fetch brought; return fetches to cancel."""
        begun_ms = self.land(fetch)
        if begun_ms is not None:
            latency_ms = now_ms - begun_ms
            self.latency_ms = self.latency_ms or latency_ms
            self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        return self.done(fetch.index, now_ms)

    def failed(
        self,
        fetch: Fetch,
        now_ms: float,
        corrupted: bool = False,
        retry_after_ms: float = 0.0,
    ) -> None:
        """Note a failed fetch; who sent bad bytes is not asked again."""
        self.land(fetch)
        if fetch.source == ORIGIN:
            self.origin_wait_ms = max(self.origin_wait_ms, now_ms + retry_after_ms)
            return
        self.slow_until[fetch.source] = now_ms + (retry_after_ms or SLOW_PEER_MS)
        if corrupted:
            self.shunned.add(fetch.source)
        if corrupted or not retry_after_ms:
            # What it holds no longer counts, or its chunks would never be asked
            # of the origin; it is asked again what it holds after a while.
            self.drop_peer(fetch.source, now_ms)

    def refused(self, fetch: Fetch, now_ms: float) -> None:
        """Note that a peer does not hold a chunk after all."""
        self.land(fetch)
        held = self.held.get(fetch.source, set())
        if fetch.index in held:
            held.discard(fetch.index)
            self.lose_holder(fetch.index, now_ms)

    def expired(self, now_ms: float) -> list[Fetch]:
        """Return fetches whose deadline has passed."""
        limit_ms = max(LEAST_DEADLINE_MS, DEADLINE_FACTOR * self.latency_ms)
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
        while origin and (index := self.next_turn(now_ms)) is not None:
            fetches.append(self.launch(Fetch(index, ORIGIN), now_ms))
        self.fill_window(fetches, now_ms)
        while origin and (index := self.next_extra(now_ms)) is not None:
            fetches.append(self.launch(Fetch(index, ORIGIN), now_ms))
        if not any(map(len, self.buckets)):
            self.end_game(fetches, now_ms)
        return fetches

    def fill_window(self, fetches: list[Fetch], now_ms: float) -> None:
        """Launch fetches from neighbours up to the window."""
        tries = TRIES
        flying = sum(self.busy.values()) - self.busy.get(ORIGIN, 0)
        for bucket in self.buckets[1:]:
            refused = 0
            while len(bucket) > refused and flying < MOST_IN_FLIGHT and tries:
                tries -= 1
                # Refused ones are moved to the front, out of the draw.
                index = bucket.items[self.rng.randrange(refused, len(bucket))]
                source = self.holder(index, now_ms)
                if source is None:
                    bucket.move(index, refused)
                    refused += 1
                    continue
                fetches.append(self.launch(Fetch(index, source), now_ms))
                flying += 1

    def holder(self, index: int, now_ms: float) -> str | None:
        """Choose the neighbour to get a chunk from, or None to wait.

        Least asked first, for its queue is shortest; then our own failure
        domain, which keeps bytes off the links between domains.
        """
        mine = self.me.failure_domain
        asked = self.in_flight.get(index, ())
        free = [
            (self.busy.get(n, 0), self.domains.get(n) != mine, self.rng.random(), n)
            for n, held in self.held.items()
            if index in held
            and n not in asked
            and n not in self.shunned
            and self.busy.get(n, 0) < MAX_PER_PEER
            and self.slow_until.get(n, 0.0) <= now_ms
        ]
        return min(free)[3] if free else None

    def origin_free(self, now_ms: float) -> bool:
        """Tell whether this instance may send the origin another request."""
        return self.busy.get(ORIGIN, 0) < MAX_AT_ORIGIN and (
            now_ms >= self.origin_wait_ms
        )

    def next_turn(self, now_ms: float) -> int | None:
        """Return a chunk that no neighbour holds and whose turn is ours.

        Rank 0 asks at once, rank k after k patience periods in which no
        neighbour had the chunk and no chunk came to light: while new ones do,
        the earlier ranks are at work, and asking too would draw the same bytes
        from the origin again.
        """
        while self.turns and self.origin_free(now_ms):
            rank, index = self.turns[0]
            stale = index not in self.missing or index in self.in_flight
            if stale or self.copies[index] or rank != self.rank(index):
                heapq.heappop(self.turns)
            elif self.may_ask_origin(index, now_ms):
                heapq.heappop(self.turns)
                return index
            else:
                return None
        return None

    def may_ask_origin(self, index: int, now_ms: float) -> bool:
        """Tell whether this instance's turn at the origin has come."""
        wait_ms = self.rank(index) * self.patience_ms
        alone_ms = self.alone_ms[index]
        if now_ms - max(alone_ms, self.news_ms) >= wait_ms:
            return True
        return now_ms - alone_ms >= wait_ms * MOST_PATIENCE

    def next_extra(self, now_ms: float) -> int | None:
        """Return a chunk to bring into our failure domain from the origin."""
        while self.extras and self.origin_free(now_ms):
            index = self.extras.pop()
            if index in self.missing and index not in self.in_flight:
                if not self.held_near(index):
                    return index
        return None

    def held_near(self, index: int) -> bool:
        """Tell whether a neighbour of our failure domain holds a chunk."""
        mine = self.me.failure_domain
        near = (held for n, held in self.held.items() if self.domains.get(n) == mine)
        return any(index in held for held in near)

    def end_game(self, fetches: list[Fetch], now_ms: float) -> None:
        """Ask a second source for chunks that are late, when nothing waits."""
        late_ms = 2 * self.latency_ms
        room = MOST_IN_FLIGHT - len(fetches)
        for index, sources in tuple(self.in_flight.items()):
            if room <= 0:
                return
            oldest_ms = min(sources.values())
            if len(sources) < END_GAME_SOURCES and now_ms - oldest_ms > late_ms:
                source = self.holder(index, now_ms)
                if source is not None:
                    fetches.append(self.launch(Fetch(index, source), now_ms))
                    room -= 1
