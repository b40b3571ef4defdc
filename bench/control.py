"""Benchmark of the control quorum on real processes: ``make bench-control``.

Runs three control instances and 60 watching nodes. Every figure of the JSON line
comes from this run; times are in milliseconds, rates per second.
"""

import asyncio
import json
import os
import shutil
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
from tests.fakes.records import read_records
from tests.fleet import Fleet, Node, Process

from bench.control_load import TOKEN, AcknowledgedChange, Changer, Claimer
from wisteriapulley.settings import ControlSettings

DOMAINS = ["galway", "swords", "belfast"]
WATCHERS = 60
CHANGES = 120
CHANGE_PAUSE_S = 0.05
KILLS = 10
FREEZES = 5
RESTART_CHANGES = 1000
THROUGHPUT_S = 3.0
CHANGERS = 48
CLAIMS_IN_FLIGHT = 192
IDLE_PERIOD_S = 8.0
FREEZE_DURATION_S = 1.5
READY_TIMEOUT_S = 20.0
DAY_S = 86_400
CHANGES_PER_DAY = 640
# The defaults of the daemons; the tests use shorter ones.
HEARTBEAT_SETTINGS = {"heartbeat_ms": 1000, "silence_ms": 3000}


class Bench:
    """One fleet and the measurements on it."""

    def __init__(self, folder: Path, **control: object):
        self.fleet = Fleet(folder)
        self.fleet.start_control(DOMAINS, **HEARTBEAT_SETTINGS, **control)
        self.watchers: dict[str, Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.checked_change_ids: set[str] = set()
        self.lost_changes: set[tuple[str, str]] = set()

    # -- processes -------------------------------------------------------

    @property
    def control_nodes(self) -> list[Node]:
        """Control instances."""
        return [self.fleet.nodes[s["node_id"]] for s in self.fleet.controls]

    def start_watchers(self) -> None:
        """Start the watching nodes."""
        for number in range(WATCHERS):
            self.start_watcher(f"watcher-{number}", DOMAINS[number % len(DOMAINS)])

    def start_watcher(self, name: str, domain: str) -> None:
        """Start one watching node."""
        wires = self.fleet.control_wire_addresses
        settings = self.fleet.common_settings(
            name, domain, control=wires, **HEARTBEAT_SETTINGS
        )
        path = self.fleet.folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(settings))
        records = self.fleet.folder / "records" / f"{name}.jsonl"
        command = ["-m", "bench.control_watcher", str(path), str(records)]
        self.watchers[name] = self.fleet.start_process(name, command)
        self.fleet.fakes[name] = self.watchers[name]

    def records_by_watcher(self, kind: str) -> Iterator[tuple[str, list[dict]]]:
        """Yield each watcher's records of one kind."""
        for name in self.watchers:
            yield name, [r for r in self.records(name) if r["kind"] == kind]

    def records(self, name: str) -> list[dict]:
        """Return one watcher's records."""
        return read_records(str(self.fleet.folder / "records" / f"{name}.jsonl"))

    async def status(self, node: Node) -> dict | None:
        """Return an instance's status, or None if it does not respond."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"{node.http}/v1/status"
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def read(self, node: Node, path: str) -> object:
        """Read a path that a quorum confirms; retry until there is a response."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                async with self.session.get(f"{node.http}{path}") as response:
                    if response.status == 200:
                        return await response.json()
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{node.http}{path} did not respond")

    async def leader(self) -> Node:
        """Return the instance that a majority reports as leader."""
        while True:
            statuses = [await self.status(node) for node in self.control_nodes]
            names = [status["leader"] for status in statuses if status]
            for name in set(names):
                if name and names.count(name) > len(self.control_nodes) // 2:
                    return self.fleet.nodes[name]
            await asyncio.sleep(0.02)

    async def wait_watchers(self, revision: int) -> None:
        """Wait until all watchers have a revision in force."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            latest = [
                records[-1:] for _, records in self.records_by_watcher("revision")
            ]
            if all(r and r[0]["revision"] >= revision for r in latest):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"not all watchers have revision {revision}")

    # -- throughput ------------------------------------------------------

    async def throughput(self) -> dict:
        """Measure changes per second, then claims per second."""
        changers = [Changer(self.fleet, self.session, f"e{n}") for n in range(CHANGERS)]
        start = time.monotonic()
        await asyncio.gather(*(c.run(start + THROUGHPUT_S) for c in changers))
        commits = sum(len(c.acknowledged) for c in changers)
        commits_per_second = commits / (time.monotonic() - start)
        claimers = [Claimer.from_fleet(self.fleet, f"load-{n}") for n in range(3)]
        for claimer in claimers:
            claimer.control.start()
            while claimer.control.connection.open_link is None:
                await asyncio.sleep(0.02)
        start = time.monotonic()
        claims_per_claimer = CLAIMS_IN_FLIGHT // len(claimers)
        runs = [
            c.run(start + THROUGHPUT_S)
            for c in claimers
            for _ in range(claims_per_claimer)
        ]
        await asyncio.gather(*runs)
        claims = sum(len(c.acknowledged) for c in claimers)
        claims_per_second = claims / (time.monotonic() - start)
        for claimer in claimers:
            await claimer.control.stop()
        return {
            "commits_per_second": round(commits_per_second),
            "claims_per_second": round(claims_per_second),
        }

    # -- propagation -----------------------------------------------------

    async def propagation(self) -> dict:
        """Measure the time from the send of a change until all watchers apply it."""
        changer = Changer(self.fleet, self.session, "propagated")
        before = await self.read_costs()
        await asyncio.sleep(IDLE_PERIOD_S)
        idle = cost_rates(before, await self.read_costs())
        before = await self.read_costs()
        for _ in range(CHANGES):
            await changer.change()
            await asyncio.sleep(CHANGE_PAUSE_S)
        await self.wait_watchers(changer.revision)
        busy = cost_rates(before, await self.read_costs())
        times = sorted(self.propagation_times(changer.acknowledged))
        watching_nodes = self.count_watchers_with_stats()
        change_bytes = (busy["node_bytes"] - idle["node_bytes"]) * busy["seconds"]
        change_bytes /= CHANGES
        daily = idle["node_bytes"] + change_bytes * CHANGES_PER_DAY / DAY_S
        return {
            "apply_to_in_force_ms": {
                "p50": round(1000 * statistics.median(times), 1),
                "p99": round(1000 * times[int(0.99 * len(times))], 1),
                "max": round(1000 * times[-1], 1),
            },
            "changes_measured": len(times),
            "watching_nodes": watching_nodes,
            "node_bytes_per_second_idle": round(idle["node_bytes"]),
            "node_bytes_per_change": round(change_bytes),
            "node_bytes_per_second": round(daily),
            "node_core_percent": round(idle["node_core"], 2),
            "control_core_percent": round(idle["control_core"], 2),
        }

    def propagation_times(self, changes: list[AcknowledgedChange]) -> Iterator[float]:
        """Yield for each change the seconds from its send to the last watcher."""
        revisions = [records for _, records in self.records_by_watcher("revision")]
        for change in changes:
            yield max(
                next(r["at"] for r in records if r["revision"] >= change.revision)
                - change.sent_at
                for records in revisions
            )

    def count_watchers_with_stats(self) -> int:
        """Return the number of watchers that recorded link traffic."""
        return sum(bool(records) for _, records in self.records_by_watcher("stats"))

    async def read_costs(self) -> dict:
        """Return the bytes and processor time that nodes and control instances used."""
        latest_stats = [
            records[-1] for _, records in self.records_by_watcher("stats") if records
        ]
        return {
            "at": time.monotonic(),
            "bytes": statistics.mean(r["bytes"] for r in latest_stats),
            "bytes_at": statistics.mean(r["at"] for r in latest_stats),
            "node": cpu_s(self.watchers.values()) / len(self.watchers),
            "control": cpu_s(n.process for n in self.control_nodes)
            / len(self.control_nodes),
        }

    # -- failover --------------------------------------------------------

    async def failover(self) -> dict:
        """Kill and freeze leaders under load; check all acknowledged changes."""
        changer = Changer(self.fleet, self.session, "failover")
        claimer = Claimer.from_fleet(self.fleet, "failover")
        claimer.control.start()
        writing = [
            asyncio.create_task(changer.run(float("inf"))),
            asyncio.create_task(claimer.run(float("inf"))),
        ]
        times: dict[bool, list[float]] = {False: [], True: []}
        for freeze in [False] * KILLS + [True] * FREEZES:
            times[freeze].append(await self.fail_leader(changer, freeze))
            await self.read_back(changer)
        kills, freezes = times[False], times[True]
        for task in writing:
            task.cancel()
        await asyncio.gather(*writing, return_exceptions=True)
        await self.read_back(changer)
        lost = len(self.lost_changes) + await claimer.count_lost_claims()
        await claimer.control.stop()
        all_times = sorted([*kills, *freezes])
        return {
            "failover_ms": {
                "p50": round(1000 * statistics.median(all_times)),
                "max": round(1000 * all_times[-1]),
                "kills_max": round(1000 * max(kills)),
                "freezes_max": round(1000 * max(freezes)),
            },
            "leader_kills": len(kills),
            "leader_freezes": len(freezes),
            "acknowledged_changes": len(changer.acknowledged),
            "acknowledged_claims": len(claimer.acknowledged),
            "unanswered_claims": claimer.unanswered,
            "refused_changes": len(changer.refused_results),
            "lost_acknowledged": lost,
            "reverted": self.reverted(),
        }

    async def fail_leader(self, changer: Changer, freeze: bool) -> float:
        """Kill or freeze the leader; return the seconds to the next new commit."""
        node = await self.leader()
        failed_at = time.monotonic()
        node.process.signal(signal.SIGSTOP if freeze else signal.SIGKILL)
        while not any(a.answered_at > failed_at for a in changer.acknowledged[-1:]):
            await asyncio.sleep(0.005)
        # One response may belong to a change sent before the failure; the next change
        # is sent after it.
        count = len(changer.acknowledged)
        while len(changer.acknowledged) <= count:
            await asyncio.sleep(0.005)
        seconds = changer.acknowledged[count].answered_at - failed_at
        if freeze:
            await asyncio.sleep(FREEZE_DURATION_S)
            node.process.signal(signal.SIGCONT)
        else:
            node.process.popen.wait()
            node.process.start()
        await self.wait_caught_up(node, changer.revision)
        return seconds

    async def wait_caught_up(self, node: Node, revision: int) -> None:
        """Wait until an instance has applied a revision and has a leader."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            status = await self.status(node)
            if status and status["leader"] and status["revision"] >= revision:
                return
            await asyncio.sleep(0.005)
        raise RuntimeError(
            f"{node.process.name} did not catch up with revision {revision}"
        )

    async def read_back(self, changer: Changer) -> None:
        """Record the acknowledged changes that an instance does not return.

        The history is bounded, so each change is checked after the next leader
        failure, and again as long as the history still holds it.
        """
        acknowledged = tuple(changer.acknowledged)
        for node in self.control_nodes:
            history = await self.read(node, "/v1/catalogue/history")
            revisions_by_change = {row["change_id"]: row["revision"] for row in history}
            oldest = min(revisions_by_change.values())
            self.lost_changes |= {
                (node.process.name, change.change_id)
                for change in acknowledged
                if change.revision >= oldest
                or change.change_id not in self.checked_change_ids
                if revisions_by_change.get(change.change_id) != change.revision
            }
        self.checked_change_ids |= {change.change_id for change in acknowledged}

    def reverted(self) -> int:
        """Return how often a revision did not increase at a watcher."""
        count = 0
        for _, records in self.records_by_watcher("revision"):
            revisions = [record["revision"] for record in records]
            count += sum(b <= a for a, b in zip(revisions, revisions[1:], strict=False))
        return count

    # -- restart and memory ----------------------------------------------

    async def restart(self) -> dict:
        """Restart an instance that missed 1,000 changes, then a watching node."""
        leader = await self.leader()
        node = next(n for n in self.control_nodes if n is not leader)
        node.process.kill()
        changer = Changer(self.fleet, self.session, "restart")
        for _ in range(RESTART_CHANGES):
            await changer.change()
        started = time.monotonic()
        node.process.start()
        await self.wait_caught_up(node, changer.revision)
        control_s = time.monotonic() - started
        watcher = self.watchers["watcher-0"]
        watcher.kill()
        started = time.monotonic()
        watcher.start()
        await self.wait_watchers(changer.revision)
        records = self.records("watcher-0")
        after_restart = [
            r for r in records if r["kind"] == "revision" and r["at"] > started
        ]
        return {
            "restart_ms": round(1000 * control_s),
            "node_restart_ms": round(1000 * (after_restart[0]["at"] - started)),
            "node_restart_below": sum(
                r["revision"] < changer.revision for r in after_restart
            ),
        }

    async def memory(self) -> dict:
        """Measure the resident memory of each role, idle except for heartbeats."""
        self.fleet.start_entry("entry-1", DOMAINS[0], **HEARTBEAT_SETTINGS)
        self.fleet.start_target(
            "plain-1", DOMAINS[0], "print-proof", "plain", **HEARTBEAT_SETTINGS
        )
        await self.fleet.wait_ready(["entry-1"])
        await asyncio.sleep(1)
        controls = max(n.process.resident_bytes() for n in self.control_nodes)
        return {
            "control_resident_bytes": controls,
            "entry_resident_bytes": self.resident("entry-1"),
            "sidecar_resident_bytes": self.resident("plain-1"),
            "watcher_resident_bytes": max(
                p.resident_bytes() for p in self.watchers.values()
            ),
        }

    def resident(self, name: str) -> int:
        """Return a daemon's resident bytes."""
        return self.fleet.nodes[name].process.resident_bytes()


def cpu_s(processes) -> float:
    """Return the processor time that processes have used, in seconds."""
    ticks = 0
    for process in processes:
        text = Path(f"/proc/{process.popen.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def cost_rates(before: dict, after: dict) -> dict:
    """Return the rates between two readings; processor use in percent of a core."""
    seconds = after["at"] - before["at"]
    link_s = max(0.001, after["bytes_at"] - before["bytes_at"])
    return {
        "seconds": link_s,
        "node_bytes": (after["bytes"] - before["bytes"]) / link_s,
        "node_core": 100 * (after["node"] - before["node"]) / seconds,
        "control_core": 100 * (after["control"] - before["control"]) / seconds,
    }


async def measure(bench: Bench, phases: tuple[str, ...]) -> dict:
    """Run some phases of a bench; print each with its time to standard error."""
    figures: dict = {}
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        bench.session = session
        await bench.fleet.wait_ready([n.process.name for n in bench.control_nodes])
        for phase in phases:
            started = time.monotonic()
            figures |= await getattr(bench, phase)()
            elapsed_s = time.monotonic() - started
            print(f"{phase}: {elapsed_s:.1f} s: {figures}", file=sys.stderr)
    return figures


async def measure_with_watchers(bench: Bench) -> dict:
    """Run all phases on the full fleet."""
    figures = await measure(bench, ("throughput",))
    bench.start_watchers()
    first_revision = 1
    await bench.wait_watchers(first_revision)
    await asyncio.sleep(3)
    return figures | await measure(
        bench, ("propagation", "failover", "restart", "memory")
    )


def run_bench(folder: Path, measure_bench, **control: object) -> dict:
    """Run `measure_bench` on a new fleet and stop the fleet."""
    folder.mkdir()
    bench = Bench(folder, **control)
    try:
        return asyncio.run(measure_bench(bench))
    finally:
        bench.fleet.stop()


def without_group_commit(folder: Path) -> dict | None:
    """Measure the throughput with one sync per record; None if not configurable."""
    if "group_commit" not in ControlSettings.__struct_fields__:
        return None
    return run_bench(folder, lambda b: measure(b, ("throughput",)), group_commit=False)


def main() -> int:
    """Print the figures; return 1 if changes were lost or reverted."""
    folder = Path(tempfile.mkdtemp(prefix="bench-control-"))
    started = time.monotonic()
    try:
        ungrouped = without_group_commit(folder / "one")
        figures = run_bench(folder / "all", measure_with_watchers)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    figures["without_group_commit"] = ungrouped
    figures["group_commit_ratio"] = None
    if ungrouped is not None:
        ratio = figures["claims_per_second"] / ungrouped["claims_per_second"]
        figures["group_commit_ratio"] = round(ratio, 2)
    figures["seconds"] = round(time.monotonic() - started)
    print(json.dumps(figures))
    return 1 if figures["lost_acknowledged"] or figures["reverted"] else 0


if __name__ == "__main__":
    sys.exit(main())
