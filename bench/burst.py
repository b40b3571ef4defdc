"""Bursts of new versions over real processes on loopback: ``make bench-burst``.

Within one window, the origin's link can carry four copies of a version, and the
link of each instance two, both directions together. The link budget of the sidecars
enforces both limits; the baselines use the same link budget.
"""

import argparse
import asyncio
import json
import math
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
from tests import fleet as fleet_module
from tests.fleet import Fleet

from bench.virtual_burst import min_windows

SIZE_BYTES = 8 << 20
CHUNKS = 128
WINDOW_S = 10.0
LINK_BYTES_PER_S = 2 * SIZE_BYTES / WINDOW_S
ORIGIN_BYTES_PER_S = 4 * SIZE_BYTES / WINDOW_S
DOMAINS = ("palermo", "catania", "agrigento")
POLICIES = ("origin_bytes", "time_to_replicas")
OWNER = "aste-riunite-trinacria"
SERVICE = "report-writing"
DOWNLOAD_TIMEOUT_S = 8 * WINDOW_S
KILLED_FRACTION = 0.05
CORRUPT_EVERY = 100
LIVE_WORKERS = 8
LIVE_BEFORE_S = 8.0
# Pause of a worker between requests. A third of the slots is busy, as in normal
# operation, so that queueing does not hide the cost of the burst itself.
LIVE_PAUSE_S = 0.05


def low_free_ports() -> Iterator[int]:
    """Yield free ports below the range that the system assigns to outgoing connections.

    Otherwise, with some hundred processes, a connection can take a port that was
    free a moment ago before its listener starts.
    """
    for port in range(10_000 + os.getpid() % 8_000, 32_000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


fleet_module.free_port = low_free_ports().__next__


class Burst:
    """One fleet on which bursts of new versions are measured."""

    def __init__(self, nodes: int, folder: Path, corrupt_every: int = 0):
        self.nodes = nodes
        self.fleet = Fleet(folder)
        self.corrupt_every = corrupt_every
        self.seed = 0
        self.names = [f"node-{number}" for number in range(nodes)]

    async def start(self, entry: bool = False) -> None:
        """Start the origin, the control instances and every target."""
        fleet = self.fleet
        fleet.start_origin(ORIGIN_BYTES_PER_S, self.corrupt_every)
        fleet.start_control(list(DOMAINS))
        for number, name in enumerate(self.names):
            fleet.start_target(
                name,
                DOMAINS[number % 3],
                SERVICE,
                link_bytes_per_s=int(LINK_BYTES_PER_S),
                drain_ms=30_000,
            )
        if entry:
            fleet.start_entry("entry-0", DOMAINS[0])
        await fleet.wait_ready(["control-1", "control-2", "control-3"])
        # Let the links between neighbours open before the measurement starts.
        await asyncio.sleep(2 + self.nodes / 10)

    def apply(self, distribution: str) -> tuple[str, float]:
        """Publish a version and apply it; return it with the time of the apply."""
        self.seed += 1
        chunk = SIZE_BYTES // CHUNKS
        version = self.fleet.publish(self.seed, SIZE_BYTES, chunk)
        folder = self.fleet.folder / "catalogue"
        folder.mkdir(exist_ok=True)
        entry = {
            "name": "condition-reports",
            "owner": OWNER,
            "class": "c",
            "service": SERVICE,
            "version": version,
            "distribution": distribution,
            "max_unavailable": max(1, self.nodes // 12),
        }
        (folder / "reports.json").write_text(json.dumps(entry))
        started_s = time.time()
        self.fleet.apply(folder, OWNER)
        return version, started_s

    def completion_times(self, version: str) -> dict[str, float]:
        """Return when each instance had downloaded the complete version."""
        times = {}
        for name in self.names:
            text = self.fleet.nodes[name].process.log.read_text()
            for line in text.splitlines():
                if "copy complete" in line and version in line:
                    times[name] = json.loads(line)["finished_at"]
        return times

    async def wait_downloaded(
        self, version: str, names: set[str], started_s: float
    ) -> float:
        """Wait until all `names` hold the version; return the seconds it took."""
        while True:
            times = self.completion_times(version)
            if names <= times.keys():
                return max(times[name] for name in names) - started_s
            if time.time() - started_s > DOWNLOAD_TIMEOUT_S:
                missing = sorted(names - times.keys())
                log = self.fleet.nodes[missing[0]].process.log.read_text()[-3000:]
                raise RuntimeError(
                    f"{len(missing)} instances lack the version; {missing[0]}: {log}"
                )
            await asyncio.sleep(0.2)

    async def wait_loaded(self, version: str, names: set[str]) -> None:
        """Wait until the engines of `names` have loaded the version."""
        deadline = time.time() + DOWNLOAD_TIMEOUT_S
        while time.time() < deadline:
            loaded = {
                record["engine"]
                for record in self.fleet.records("target-")
                if record["event"] == "loaded" and record["version"] == version
            }
            if names <= loaded:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{len(names - loaded)} engines have not loaded {version}")

    def origin_copies(self, version: str) -> float:
        """Return the bytes of a version that the origin sent, in complete copies."""
        sent = sum(
            record["bytes"]
            for record in self.fleet.records("origin")
            if record["event"] == "sent" and version in record["path"]
        )
        return sent / SIZE_BYTES

    async def measure(self, distribution: str, killed: int = 0) -> dict[str, object]:
        """Run one burst and return its figures."""
        version, started_s = self.apply(distribution)
        names = set(self.names)
        if killed:
            await asyncio.sleep(WINDOW_S / 3)
            for name in random.Random(1).sample(self.names, killed):
                self.fleet.nodes[name].process.kill()
                names.discard(name)
                self.names.remove(name)
        seconds = await self.wait_downloaded(version, names, started_s)
        await self.wait_loaded(version, names)
        bound_s = min_windows(self.nodes, distribution) * WINDOW_S
        return {
            "nodes": self.nodes,
            "policy": distribution,
            "killed": killed,
            "corrupt_every": self.corrupt_every,
            "seconds": round(seconds, 2),
            "bound_seconds": round(bound_s, 2),
            "ratio_to_bound": round(seconds / bound_s, 3),
            "origin_copies": round(self.origin_copies(version), 3),
            "all_serving_seconds": round(time.time() - started_s, 1),
        }


def start_baselines(nodes: int) -> subprocess.Popen:
    """Start the baselines in a process of their own."""
    options = {
        "nodes": nodes,
        "size": SIZE_BYTES,
        "chunk": SIZE_BYTES // CHUNKS,
        "link": LINK_BYTES_PER_S,
        "origin": ORIGIN_BYTES_PER_S,
    }
    command = [sys.executable, "-m", "bench.baselines"]
    command += [
        text for key, value in options.items() for text in (f"--{key}", f"{value}")
    ]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


async def run_size(nodes: int, baselines: bool) -> list[dict[str, object]]:
    """Measure both policies, with the baselines in the same run."""
    folder = Path(tempfile.mkdtemp(prefix="burst-"))
    burst = Burst(nodes, folder)
    process = None
    try:
        process = start_baselines(nodes) if baselines else None
        await burst.start()
        results = [await burst.measure(policy) for policy in POLICIES]
    finally:
        burst.fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)
    if process is not None:
        baseline_times = json.loads(process.communicate()[0])
        for result in results:
            result |= baseline_times
            for name in ("naive", "tree"):
                speedup = baseline_times[f"{name}_seconds"] / result["seconds"]
                result[f"speedup_over_{name}"] = round(speedup, 2)
    return results


async def run_faults(nodes: int) -> list[dict[str, object]]:
    """Measure both policies with instances killed and chunks corrupted."""
    results = []
    for policy in POLICIES:
        folder = Path(tempfile.mkdtemp(prefix="burst-"))
        burst = Burst(nodes, folder, CORRUPT_EVERY)
        try:
            await burst.start()
            killed = math.ceil(nodes * KILLED_FRACTION)
            results.append(await burst.measure(policy, killed))
        finally:
            burst.fleet.stop()
            shutil.rmtree(folder, ignore_errors=True)
    return results


class LiveLoad:
    """Callers that send requests during a burst."""

    def __init__(self, url: str):
        self.url = url
        self.latencies: list[tuple[float, float]] = []
        self.failures = 0

    async def send_requests(self, session: aiohttp.ClientSession, number: int) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            started_s = time.time()
            body = {"model": "condition-reports", "prompt": f"p{number}"}
            headers = {"X-Client-Account": f"dealer-{number}"}
            async with session.post(self.url, json=body, headers=headers) as response:
                await response.read()
                self.failures += response.status != 200
            if response.status == 200:
                self.latencies.append((started_s, time.time() - started_s))
            await asyncio.sleep(LIVE_PAUSE_S)

    def p95(self, start_s: float, end_s: float) -> float:
        """Return the 95th percentile of complete responses in a time span, in seconds.

        Return NaN if there was none. Refusals are fast and are not counted.
        """
        durations = sorted(t for at, t in self.latencies if start_s <= at < end_s)
        return durations[int(len(durations) * 0.95)] if durations else math.nan


async def run_live(nodes: int) -> list[dict[str, object]]:
    """Measure live requests before a burst, during the download and the switch."""
    folder = Path(tempfile.mkdtemp(prefix="burst-"))
    burst = Burst(nodes, folder)
    try:
        await burst.start(entry=True)
        names = set(burst.names)
        version, started_s = burst.apply(POLICIES[1])
        await burst.wait_downloaded(version, names, started_s)
        await burst.wait_loaded(version, names)
        await asyncio.sleep(2)
        return [await live_burst(burst, policy) for policy in POLICIES]
    finally:
        burst.fleet.stop()
        shutil.rmtree(folder, ignore_errors=True)


async def live_burst(burst: Burst, policy: str) -> dict[str, object]:
    """Run one burst under live requests."""
    load = LiveLoad(burst.fleet.nodes["entry-0"].http + "/v1/completions")
    async with aiohttp.ClientSession() as session:
        tasks = [
            asyncio.create_task(load.send_requests(session, number))
            for number in range(LIVE_WORKERS)
        ]
        start_s = time.time()
        await asyncio.sleep(LIVE_BEFORE_S)
        # Applying blocks this event loop while the command runs; not measured.
        applying_s = time.time()
        version, started_s = await asyncio.to_thread(burst.apply, policy)
        names = set(burst.names)
        seconds = await burst.wait_downloaded(version, names, started_s)
        downloaded_s = started_s + seconds
        await burst.wait_loaded(version, names)
        end_s = time.time()
        for task in tasks:
            task.cancel()
        results = [t for t in await asyncio.gather(*tasks, return_exceptions=True)]
    first = min(burst.completion_times(version).values())
    before = load.p95(start_s, applying_s)
    during = load.p95(started_s, first)
    return {
        "live": policy,
        "nodes": burst.nodes,
        "whole_answers": len(load.latencies),
        "failures": load.failures
        + sum(isinstance(f, aiohttp.ClientError) for f in results),
        "p95_before_ms": round(before * 1000, 2),
        "p95_copy_ms": None if math.isnan(during) else round(during * 1000, 2),
        "p95_ratio": None if math.isnan(during) else round(during / before, 3),
        "p95_switch_ms": round(load.p95(first, end_s) * 1000, 2),
        "copy_seconds": round(downloaded_s - started_s, 2),
    }


async def run(args: argparse.Namespace) -> dict[str, object]:
    """Run the requested parts."""
    output: dict[str, object] = {
        "window_seconds": WINDOW_S,
        "size_bytes": SIZE_BYTES,
        "chunks": CHUNKS,
        "bursts": [],
    }
    for nodes in args.nodes:
        output["bursts"] += await run_size(nodes, not args.no_baselines)
    if args.faults:
        output["faults"] = await run_faults(args.faults)
    if args.live:
        output["live"] = await run_live(args.live)
    return output


def main() -> int:
    """Run the parts selected by the options; without options, run all."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="*")
    parser.add_argument("--faults", type=int, default=0)
    parser.add_argument("--live", type=int, default=0)
    parser.add_argument("--no-baselines", action="store_true")
    args = parser.parse_args()
    if args.nodes is None and not (args.faults or args.live):
        args.nodes, args.faults, args.live = [8, 16, 32, 64], 64, 16
    args.nodes = args.nodes or []
    print(json.dumps(asyncio.run(run(args))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
