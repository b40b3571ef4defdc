"""The schedule in virtual time: the same decision code, without sockets.

Each instance's link carries one chunk at a time, received ones first; the
origin's link likewise. It tests the schedule at sizes that one machine cannot
run as processes; links, failures and processes are not modelled.
"""

import argparse
import heapq
import itertools
import json
import random
import sys
import time
from collections import deque
from functools import lru_cache
from typing import NamedTuple

from wisteriapulley.weights import seeders as seeders_module
from wisteriapulley.weights.schedule import ORIGIN, Fetch, Schedule
from wisteriapulley.weights.seeders import Peer, Seeders, choose_neighbours

WINDOW_MS = 10_000.0
ONE_WAY_MS = 1.0
TELL_MS = 50.0
TICK_MS = 50.0
NEIGHBOURS = 8
PATIENCE_MS = 2_000.0
# One process plays all members here, so it weighs each of them once.
seeders_module.rendezvous_weights = lru_cache(maxsize=None)(
    seeders_module.rendezvous_weights
)
seeders_module.hash_seed = lru_cache(maxsize=None)(seeders_module.hash_seed)


class VirtualResult(NamedTuple):
    """Outcome of a run; seconds are windows, so 1.0 is one window."""

    nodes: int
    chunks: int
    distribution: str
    windows: float
    ratio_to_bound: float
    origin_copies: float
    decisions_s: float


class VirtualNode:
    """One instance: its schedule and its link."""

    def __init__(self, burst: "VirtualBurst", peer: Peer):
        self.burst = burst
        self.peer = peer
        self.neighbours: set[str] = set()
        self.inbound: deque = deque()
        self.outbound: deque = deque()
        self.sending = False
        self.news: list[int] = []
        self.woken = False
        self.dead = False

    def step(self) -> None:
        """Let the link carry the next chunk, received ones first."""
        if self.sending or not (self.inbound or self.outbound):
            return
        self.sending = True
        job = self.inbound.popleft() if self.inbound else self.outbound.popleft()
        self.burst.after(self.burst.chunk_ms, self.carried, job)

    def carried(self, job) -> None:
        """Note that the link has carried a chunk."""
        self.sending = False
        kind, node, fetch = job
        if kind == "receive":
            self.receive(fetch)
        elif not node.dead:
            node.inbound.append(("receive", node, fetch))
            node.step()
        self.step()

    def receive(self, fetch: Fetch) -> None:
        """Take a chunk in and tell the neighbours soon."""
        burst = self.burst
        self.schedule.record_success(fetch, burst.now_ms)
        if not self.news:
            burst.after(TELL_MS, self.tell)
        self.news.append(fetch.index)
        if self.schedule.complete:
            burst.finished_ms = burst.now_ms
            burst.waiting.discard(self.peer.node_id)
        self.wake()

    def tell(self) -> None:
        """Tell the neighbours of new chunks."""
        news, self.news = self.news, []
        for name in self.neighbours:
            node = self.burst.nodes[name]
            if not node.schedule.complete and not node.dead:
                self.burst.after(ONE_WAY_MS, node.hear, self.peer.node_id, news)

    def hear(self, node_id: str, news: list[int]) -> None:
        """Hear of a neighbour's new chunks."""
        self.schedule.add_have(node_id, news, self.burst.now_ms)
        self.wake()

    def wake(self) -> None:
        """Decide again, once for all that happened at this moment."""
        if not self.woken and not self.schedule.complete and not self.dead:
            self.woken = True
            self.burst.after(0.5, self.decide)

    def decide(self) -> None:
        """Start what the schedule says."""
        self.woken = False
        begun = time.perf_counter()
        fetches = self.schedule.next_fetches(self.burst.now_ms)
        self.burst.decisions_s += time.perf_counter() - begun
        for fetch in fetches:
            if fetch.source == ORIGIN:
                self.burst.ask_origin(self, fetch)
            else:
                node = self.burst.nodes[fetch.source]
                self.burst.after(ONE_WAY_MS, node.asked, self, fetch)

    def asked(self, node: "VirtualNode", fetch: Fetch) -> None:
        """Queue a chunk that a neighbour asked for."""
        self.outbound.append(("send", node, fetch))
        self.step()

    def tick(self) -> None:
        """Decide from time to time, because turns come with time."""
        if not self.schedule.complete and not self.dead:
            self.wake()
            self.burst.after(TICK_MS * 4, self.tick)


class VirtualBurst:
    """A burst of one version over many instances."""

    def __init__(
        self, nodes: int, chunks: int, distribution: str, domains: int, seed: int = 1
    ):
        self.distribution = distribution
        self.chunks = chunks
        self.chunk_ms = WINDOW_MS / 2 / chunks
        self.now_ms = 0.0
        self.finished_ms = 0.0
        self.decisions_s = 0.0
        self.origin_free_ms = 0.0
        self.origin_chunks = 0
        self.events: list = []
        self.order = itertools.count()
        rng = random.Random(seed)
        peers = [Peer(f"n{i}", f"d{i % domains}") for i in range(nodes)]
        digests = [f"{rng.getrandbits(256):064x}" for _ in range(chunks)]
        self.nodes = {peer.node_id: VirtualNode(self, peer) for peer in peers}
        self.waiting = set(self.nodes)
        for node in self.nodes.values():
            for name in choose_neighbours(node.peer, peers, NEIGHBOURS):
                node.neighbours.add(name)
                self.nodes[name].neighbours.add(node.peer.node_id)
            seeders = Seeders(node.peer)
            seeders.set_members(peers)
            node.schedule = Schedule(
                seeders,
                digests,
                distribution,
                PATIENCE_MS,
                random.Random(node.peer.node_id),
                0.0,
            )

    def after(self, delay_ms: float, call, *arguments) -> None:
        """Call something later."""
        event = (self.now_ms + delay_ms, next(self.order), call, arguments)
        heapq.heappush(self.events, event)

    def ask_origin(self, node: VirtualNode, fetch: Fetch) -> None:
        """Let the origin's link carry a chunk."""
        self.origin_chunks += 1
        start_ms = max(self.origin_free_ms, self.now_ms + ONE_WAY_MS)
        self.origin_free_ms = start_ms + self.chunk_ms / 2
        node_call = self.from_origin
        self.after(self.origin_free_ms - self.now_ms, node_call, node, fetch)

    def from_origin(self, node: VirtualNode, fetch: Fetch) -> None:
        """Hand a chunk from the origin to the instance's link."""
        node.inbound.append(("receive", node, fetch))
        node.step()

    def kill(self, node_id: str) -> None:
        """Kill an instance: its links close at once."""
        node = self.nodes[node_id]
        node.dead = True
        self.waiting.discard(node_id)
        for name in node.neighbours:
            neighbour = self.nodes[name]
            neighbour.schedule.drop_peer(node_id, self.now_ms)
            neighbour.neighbours.discard(node_id)

    def run(self) -> VirtualResult:
        """Run until every instance that lives holds the version."""
        for node in self.nodes.values():
            self.after(0.0, node.decide)
            self.after(TICK_MS, node.tick)
        while self.waiting and self.events:
            self.now_ms, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        windows = self.finished_ms / WINDOW_MS
        return VirtualResult(
            len(self.nodes),
            self.chunks,
            self.distribution,
            round(windows, 4),
            round(windows / bound(len(self.nodes), self.distribution), 4),
            round(self.origin_chunks / self.chunks, 4),
            round(self.decisions_s, 2),
        )


def bound(nodes: int, distribution: str) -> float:
    """Return the least time of a burst, in windows.

    Instance link 2 copies a window, up and down together; origin link 4.
    """
    if distribution == "origin_bytes":
        return max(0.5, (2 * nodes - 1.1) / (2 * nodes))
    return max(0.5, 2 * nodes / (2 * nodes + 4))


def main() -> int:
    """Run the sizes of the plan."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="*", default=[64, 820])
    parser.add_argument("--chunks", type=int, default=128)
    parser.add_argument("--domains", type=int, default=8)
    args = parser.parse_args()
    results = [
        VirtualBurst(nodes, args.chunks, distribution, args.domains).run()
        for nodes in args.nodes
        for distribution in ("origin_bytes", "time_to_replicas")
    ]
    print(json.dumps({"virtual_burst": [result._asdict() for result in results]}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
