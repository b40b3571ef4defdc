"""Slopes of cost against size: ``make bench-slopes``.

Each slope is measured in this process at three or more sizes and fitted by least
squares. ``docs/CAPACITY.md`` multiplies the slopes by the required sizes.
Processor time is that of this thread, bytes are those that the codec writes, and
resident bytes are allocations traced by `tracemalloc`.
"""

import asyncio
import gc
import json
import os
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from functools import lru_cache
from pathlib import Path
from typing import NamedTuple

import msgspec
from tests.fleet import Fleet, Node

from wisteriapulley.catalogue.catalogue import Catalogue
from wisteriapulley.catalogue.changes import Change, Put
from wisteriapulley.catalogue.entry import Entry
from wisteriapulley.claims import Claim, ClaimKey, ClaimLedger
from wisteriapulley.control.members import MemberTable
from wisteriapulley.policy import LeastOutstanding, TargetView, Work
from wisteriapulley.weights.schedule import Peer, Schedule
from wisteriapulley.weights.seeders import Seeders
from wisteriapulley.wire import Frame, codec, messages
from wisteriapulley.wire.framing import FrameBuffer

REPEATS = 2
SETTLE_S = 2.0
MEMBERS = 820
NODES = (100, 330, 1000, 1330)
ENTRIES = (10, 30, 100)
CLAIMS = (2000, 5000, 20_000)
CHUNKS = (250, 1000, 4000)
TARGETS = (4, 16, 64)


class Point(NamedTuple):
    """Cost at one size."""

    size: int
    cpu_us: float
    wire_bytes: int
    resident_bytes: int


class Slope(NamedTuple):
    """Fitted cost of one additional item, and the points of the fit."""

    cpu_us: float
    wire_bytes: float
    resident_bytes: float
    points: tuple[Point, ...]


def fit(points: list[Point], field: str) -> float:
    """Return the least-squares slope of a cost against the size."""
    sizes = [point.size for point in points]
    costs = [getattr(point, field) for point in points]
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, costs, strict=True)
    return sum((size - mean_size) * (cost - mean_cost) for size, cost in pairs) / spread


def slope(sizes: tuple[int, ...], measure: Callable[[int], tuple]) -> Slope:
    """Measure at each size; the cost is the minimum of `REPEATS` runs."""
    points = []
    for size in sizes:
        runs = [run_once(size, measure) for _ in range(REPEATS)]
        points.append(Point(size, *(min(run[i] for run in runs) for i in range(1, 4))))
    fields = ("cpu_us", "wire_bytes", "resident_bytes")
    return Slope(*(round(fit(points, f), 3) for f in fields), tuple(points))


def run_once(size: int, measure: Callable[[int], tuple]) -> Point:
    """Measure memory with traced allocations, then time without tracing."""
    gc.collect()
    tracemalloc.start()
    result = measure(size)
    resident = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    wire_bytes = result[1]
    del result
    started = time.thread_time()
    measure(size)
    return Point(size, (time.thread_time() - started) * 1e6, wire_bytes, resident)


def make_entry(number: int) -> Entry:
    """Return a catalogue entry."""
    fields = {
        "name": f"entry-{number}",
        "owner": "owner",
        "class": "report",
        "service": f"service-{number}",
        "version": f"{number:064x}",
    }
    return msgspec.convert(fields, Entry)


def make_announcement(number: int) -> messages.Announce:
    """Return the announcement of a member."""
    return messages.Announce(
        f"sidecar-{number}", 1, "sidecar", f"s-{number % 12}", "d", "10.0.0.1:7000"
    )


# -- measurements ----------------------------------------------------------


def members(count: int) -> tuple[object, int]:
    """Build a table of `count` members and encode it once for a new watcher."""
    table = MemberTable("control-1", 1)
    for number in range(count):
        table.record_announcement(make_announcement(number))
    update = table.full_update()
    return (table, update), len(codec.encode(Frame(1, 0, update)))


def heartbeats(count: int) -> tuple[object, int]:
    """Encode and decode one heartbeat on each of `count` links."""
    total = 0
    for number in range(count):
        heartbeat = messages.Heartbeat(number, False, "open", f"{number:064x}", 3)
        data = codec.encode(Frame(number + 1, 0, heartbeat))
        codec.decode(data[codec.HEADER.size :], b"")
        total += len(data)
    return None, total


def load_updates(count: int) -> tuple[object, int]:
    """Encode and decode one load update on each of `count` links."""
    total = 0
    for number in range(count):
        data = codec.encode(Frame(number + 1, 0, messages.Load(number % 32, 3)))
        codec.decode(data[codec.HEADER.size :], b"")
        total += len(data)
    return None, total


def keep_alives(count: int) -> tuple[object, int]:
    """Receive one heartbeat without changes from each of `count` links."""
    buffer = FrameBuffer()
    for _ in range(count):
        buffer.feed(codec.KEEP_ALIVE)
        buffer.pop_frame()
    return None, count * len(codec.KEEP_ALIVE)


def catalogue(count: int) -> tuple[object, int]:
    """Apply `count` entries one by one and encode the catalogue for a watcher."""
    store = Catalogue()
    for number in range(count):
        change = Change(f"c-{number}", "owner", (Put(make_entry(number), 0),))
        store.apply(change)
    return store, len(msgspec.msgpack.encode(store.image()))


def claims(count: int) -> tuple[object, int]:
    """Build a ledger of `count` claims, none of them expired (ten minutes)."""
    ledger = ClaimLedger()
    wire_bytes = 0
    for number in range(count):
        key = ClaimKey("account", f"key-{number:012}")
        claim = Claim(number.to_bytes(32, "big"), "plain-1", 1, 1, 600_000)
        ledger.put(key, claim, 0, 1)
        if number < 100:
            wire_bytes += len(msgspec.msgpack.encode((key, claim)))
    return ledger, wire_bytes * count // 100


@lru_cache
def burst_view(count: int) -> tuple[list[Peer], Seeders]:
    """Return all peers of a burst of `count` instances and the seeders of one."""
    peers = [Peer(f"peer-{i}", f"d-{i % 8}") for i in range(count)]
    seeders = Seeders(peers[0])
    seeders.set_members(peers)
    return peers, seeders


def schedule(count: int) -> tuple[object, int]:
    """Schedule a download of `count` chunks from 15 neighbours, of 820 members."""
    peers, seeders = burst_view(MEMBERS)
    digests = [f"{number:064x}" for number in range(count)]
    rng = random.Random(1)
    plan = Schedule(seeders, digests, "time_to_replicas", 2000, rng, 0)
    for peer in peers[1:16]:
        plan.set_have(peer.node_id, range(count), 0.0)
    now_ms = 0.0
    while not plan.complete:
        now_ms += 20
        for fetch in plan.next_fetches(now_ms):
            plan.record_chunk(fetch.index, now_ms)
    return plan, (count + 7) // 8


def placements(count: int) -> tuple[object, int]:
    """Place 100 requests on `count` linked targets."""
    views = [TargetView(f"t-{i}", i % 5, i % 7) for i in range(count)]
    placement = LeastOutstanding(random.Random(1))
    for number in range(100):
        placement.pick(views, Work(number, "account", "reports", 0, 20.0, 30.0))
    return placement, 0


# -- whole daemons ---------------------------------------------------------


class RoleCost(NamedTuple):
    """Idle cost of one daemon: resident bytes, and percent of a core."""

    resident_bytes: int
    anonymous_bytes: int
    core_percent: float


def role_cost(node: Node, seconds: float) -> RoleCost:
    """Measure one daemon that only keeps its links alive."""
    pid = node.process.popen.pid
    before = cpu_seconds(pid)
    time.sleep(seconds)
    used = cpu_seconds(pid) - before
    status = Path(f"/proc/{pid}/status").read_text()
    rows = dict(line.split(":", 1) for line in status.splitlines())
    resident, anonymous = (
        int(rows[name].split()[0]) * 1024 for name in ("VmRSS", "RssAnon")
    )
    return RoleCost(resident, anonymous, round(100 * used / seconds, 2))


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    rest = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(rest[11]) + int(rest[12])) / os.sysconf("SC_CLK_TCK")


def role_costs(seconds: float = 5.0) -> dict[str, RoleCost]:
    """Measure one idle daemon of each role in a fleet of three."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            timing = {"heartbeat_ms": 1000, "silence_ms": 3000}
            fleet.start_control(["d1"], **timing)
            fleet.start_target("sidecar-1", "d1", "service", "plain", **timing)
            fleet.start_entry("entry-1", "d1", **timing)
            asyncio.run(fleet.wait_ready(["control-1"]))
            time.sleep(SETTLE_S)
            names = ("control-1", "entry-1", "sidecar-1")
            return {name: role_cost(fleet.nodes[name], seconds) for name in names}
        finally:
            fleet.stop()


MEASURES = {
    "members": (NODES, members),
    "heartbeats": (NODES, heartbeats),
    "load_beats": (NODES, load_updates),
    "keep_alives": (NODES, keep_alives),
    "catalogue_entries": (ENTRIES, catalogue),
    "claims": (CLAIMS, claims),
    "chunks": (CHUNKS, schedule),
    "targets_per_100_requests": (TARGETS, placements),
}


def main() -> None:
    """Print each slope, then all figures as one JSON object."""
    figures = {}
    burst_view(MEMBERS)
    for name, (sizes, measure) in MEASURES.items():
        fitted = slope(sizes, measure)
        figures[name] = fitted._asdict() | {"points": [p._asdict() for p in fitted[3]]}
        print(
            f"{name:<26}{fitted.cpu_us:>10.2f} us {fitted.wire_bytes:>9.1f} bytes"
            f" {fitted.resident_bytes:>9.1f} resident, each"
        )
        for point in fitted.points:
            print(f"    {point}")
    for name, cost in role_costs().items():
        figures[name] = cost._asdict()
        print(f"{name:<26}{cost}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
