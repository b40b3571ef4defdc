"""Simulation of a burst in virtual time: the real schedule, without sockets.

Each instance's link carries one chunk at a time, received chunks first; the origin's
link carries one chunk at a time as well. This tests the schedule at sizes that one
machine can't run as processes. Links, failures and processes are not modelled.
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
ANNOUNCE_DELAY_MS = 50.0
DECISION_TICK_MS = 50.0
NEIGHBOURS = 8
RANK_DELAY_MS = 2_000.0
# All members run in this process, so each weight is computed only once.
seeders_module.rendezvous_weights = lru_cache(maxsize=None)(
    seeders_module.rendezvous_weights
)
seeders_module.hash_seed = lru_cache(maxsize=None)(seeders_module.hash_seed)


class VirtualResult(NamedTuple):
    """Result of a run; its duration is in windows."""

    nodes: int
    chunks: int
    distribution: str
    windows: float
    ratio_to_bound: float
    origin_copies: float
    decisions_s: float


class VirtualNode:
    """One instance with its schedule and its link."""

    def __init__(self, burst: "VirtualBurst", peer: Peer):
        self.burst = burst
        self.peer = peer
        self.neighbours: set[str] = set()
        self.inbound: deque = deque()
        self.outbound: deque = deque()
        self.busy = False
        self.new_chunks: list[int] = []
        self.decision_pending = False
        self.is_dead = False

    def start_transfer(self) -> None:
        """Start to carry the next chunk on the link, received chunks first."""
        if self.busy or not (self.inbound or self.outbound):
            return
        self.busy = True
        transfer = self.inbound.popleft() if self.inbound else self.outbound.popleft()
        self.burst.call_later(self.burst.chunk_ms, self.finish_transfer, transfer)

    def finish_transfer(self, transfer) -> None:
        """Deliver a chunk that the link has carried and start the next one."""
        self.busy = False
        kind, node, fetch = transfer
        if kind == "receive":
            self.receive_chunk(fetch)
        elif not node.is_dead:
            node.inbound.append(("receive", node, fetch))
            node.start_transfer()
        self.start_transfer()

    def receive_chunk(self, fetch: Fetch) -> None:
        """Record a received chunk and announce it to the neighbours soon."""
        burst = self.burst
        self.schedule.record_success(fetch, burst.now_ms)
        if not self.new_chunks:
            burst.call_later(ANNOUNCE_DELAY_MS, self.announce_chunks)
        self.new_chunks.append(fetch.index)
        if self.schedule.complete:
            burst.finished_ms = burst.now_ms
            burst.unfinished.discard(self.peer.node_id)
        self.schedule_decision()

    def announce_chunks(self) -> None:
        """Announce new chunks to the neighbours."""
        new_chunks, self.new_chunks = self.new_chunks, []
        for name in self.neighbours:
            node = self.burst.nodes[name]
            if not node.schedule.complete and not node.is_dead:
                self.burst.call_later(
                    ONE_WAY_MS, node.record_announcement, self.peer.node_id, new_chunks
                )

    def record_announcement(self, node_id: str, new_chunks: list[int]) -> None:
        """Record a neighbour's new chunks."""
        self.schedule.add_have(node_id, new_chunks, self.burst.now_ms)
        self.schedule_decision()

    def schedule_decision(self) -> None:
        """Schedule one decision for all events of this moment."""
        if (
            not self.decision_pending
            and not self.schedule.complete
            and not self.is_dead
        ):
            self.decision_pending = True
            self.burst.call_later(0.5, self.decide)

    def decide(self) -> None:
        """Start the fetches that the schedule returns."""
        self.decision_pending = False
        started = time.perf_counter()
        fetches = self.schedule.next_fetches(self.burst.now_ms)
        self.burst.decisions_s += time.perf_counter() - started
        for fetch in fetches:
            if fetch.source == ORIGIN:
                self.burst.request_from_origin(self, fetch)
            else:
                node = self.burst.nodes[fetch.source]
                self.burst.call_later(ONE_WAY_MS, node.queue_request, self, fetch)

    def queue_request(self, node: "VirtualNode", fetch: Fetch) -> None:
        """Queue a chunk that a neighbour requested."""
        self.outbound.append(("send", node, fetch))
        self.start_transfer()

    def tick(self) -> None:
        """Decide periodically, because ranks become due as time passes."""
        if not self.schedule.complete and not self.is_dead:
            self.schedule_decision()
            self.burst.call_later(DECISION_TICK_MS * 4, self.tick)


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
        self.sequence = itertools.count()
        rng = random.Random(seed)
        peers = [Peer(f"n{i}", f"d{i % domains}") for i in range(nodes)]
        digests = [f"{rng.getrandbits(256):064x}" for _ in range(chunks)]
        self.nodes = {peer.node_id: VirtualNode(self, peer) for peer in peers}
        self.unfinished = set(self.nodes)
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
                RANK_DELAY_MS,
                random.Random(node.peer.node_id),
                0.0,
            )

    def call_later(self, delay_ms: float, function, *arguments) -> None:
        """Schedule a function call after a delay."""
        event = (self.now_ms + delay_ms, next(self.sequence), function, arguments)
        heapq.heappush(self.events, event)

    def request_from_origin(self, node: VirtualNode, fetch: Fetch) -> None:
        """Queue a chunk on the origin's link."""
        self.origin_chunks += 1
        start_ms = max(self.origin_free_ms, self.now_ms + ONE_WAY_MS)
        self.origin_free_ms = start_ms + self.chunk_ms / 2
        callback = self.deliver_from_origin
        self.call_later(self.origin_free_ms - self.now_ms, callback, node, fetch)

    def deliver_from_origin(self, node: VirtualNode, fetch: Fetch) -> None:
        """Queue a chunk from the origin on the instance's link."""
        node.inbound.append(("receive", node, fetch))
        node.start_transfer()

    def kill(self, node_id: str) -> None:
        """Kill an instance; its links close immediately."""
        node = self.nodes[node_id]
        node.is_dead = True
        self.unfinished.discard(node_id)
        for name in node.neighbours:
            neighbour = self.nodes[name]
            neighbour.schedule.drop_peer(node_id, self.now_ms)
            neighbour.neighbours.discard(node_id)

    def run(self) -> VirtualResult:
        """Run until every live instance holds the version."""
        for node in self.nodes.values():
            self.call_later(0.0, node.decide)
            self.call_later(DECISION_TICK_MS, node.tick)
        while self.unfinished and self.events:
            self.now_ms, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        windows = self.finished_ms / WINDOW_MS
        return VirtualResult(
            len(self.nodes),
            self.chunks,
            self.distribution,
            round(windows, 4),
            round(windows / min_windows(len(self.nodes), self.distribution), 4),
            round(self.origin_chunks / self.chunks, 4),
            round(self.decisions_s, 2),
        )


def min_windows(nodes: int, distribution: str) -> float:
    """Return the lower bound of the duration of a burst, in windows.

    Per window, the link of an instance carries 2 copies, both directions together,
    and the link of the origin carries 4.
    """
    if distribution == "origin_bytes":
        return max(0.5, (2 * nodes - 1.1) / (2 * nodes))
    return max(0.5, 2 * nodes / (2 * nodes + 4))


def main() -> int:
    """Run bursts of the given sizes and print the results."""
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
