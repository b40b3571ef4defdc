"""The control quorum on real processes: ``make bench-control``.

Three control instances and 60 watching nodes. Every figure of the JSON line
comes from this one run; times are milliseconds, rates a second.
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

from bench.control_load import TOKEN, Acknowledged, Changer, Claimer
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
IDLE_S = 8.0
FROZEN_S = 1.5
READY_S = 20.0
DAY_S = 86_400
CHANGES_A_DAY = 640
# The defaults of a daemon, not the shorter ones of the tests.
BEATS = {"heartbeat_ms": 1000, "silence_ms": 3000}


class Bench:
    """One fleet and what is measured on it."""

    def __init__(self, folder: Path, **control: object):
        self.fleet = Fleet(folder)
        self.fleet.start_control(DOMAINS, **BEATS, **control)
        self.watchers: dict[str, Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.checked: set[str] = set()
        self.lost: set[tuple[str, str]] = set()

    # -- processes -------------------------------------------------------

    @property
    def controls(self) -> list[Node]:
        """Control instances."""
        return [self.fleet.nodes[s["node_id"]] for s in self.fleet.controls]

    def start_watchers(self) -> None:
        """Start the watching nodes."""
        for number in range(WATCHERS):
            self.start_watcher(f"watcher-{number}", DOMAINS[number % len(DOMAINS)])

    def start_watcher(self, name: str, domain: str) -> None:
        """Start one watching node."""
        wires = self.fleet.control_wire_addresses
        settings = self.fleet.common_settings(name, domain, control=wires, **BEATS)
        path = self.fleet.folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(settings))
        records = self.fleet.folder / "records" / f"{name}.jsonl"
        command = ["-m", "bench.control_watcher", str(path), str(records)]
        self.watchers[name] = self.fleet.start_process(name, command)
        self.fleet.fakes[name] = self.watchers[name]

    def watched(self, kind: str) -> Iterator[tuple[str, list[dict]]]:
        """Yield each watcher's records of one kind."""
        for name in self.watchers:
            yield name, [r for r in self.records(name) if r["kind"] == kind]

    def records(self, name: str) -> list[dict]:
        """Return one watcher's records."""
        return read_records(str(self.fleet.folder / "records" / f"{name}.jsonl"))

    async def status(self, node: Node) -> dict | None:
        """Return an instance's status, or None when it does not answer."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"{node.http}/v1/status"
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def read(self, node: Node, page: str) -> object:
        """Read a page that a quorum confirms, trying until it answers."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            try:
                async with self.session.get(f"{node.http}{page}") as response:
                    if response.status == 200:
                        return await response.json()
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{node.http}{page} gave no answer")

    async def leader(self) -> Node:
        """Return the instance that a majority says leads."""
        while True:
            said = [await self.status(node) for node in self.controls]
            names = [status["leader"] for status in said if status]
            for name in set(names):
                if name and names.count(name) > len(self.controls) // 2:
                    return self.fleet.nodes[name]
            await asyncio.sleep(0.02)

    async def wait_watchers(self, revision: int) -> None:
        """Wait until all watchers have a revision in force."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            found = [records[-1:] for _, records in self.watched("revision")]
            if all(r and r[0]["revision"] >= revision for r in found):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"not every watcher has revision {revision}")

    # -- throughput ------------------------------------------------------

    async def throughput(self) -> dict:
        """Measure changes and claims a second, each alone."""
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
        share = CLAIMS_IN_FLIGHT // len(claimers)
        runs = [c.run(start + THROUGHPUT_S) for c in claimers for _ in range(share)]
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
        """Measure the time from an operator's send to force at every watcher."""
        changer = Changer(self.fleet, self.session, "propagated")
        before = await self.costs()
        await asyncio.sleep(IDLE_S)
        idle = cost_rates(before, await self.costs())
        before = await self.costs()
        for _ in range(CHANGES):
            await changer.change()
            await asyncio.sleep(CHANGE_PAUSE_S)
        await self.wait_watchers(changer.revision)
        busy = cost_rates(before, await self.costs())
        times = sorted(self.times_in_force(changer.acknowledged))
        traffic = self.traffic()
        change_bytes = (busy["node_bytes"] - idle["node_bytes"]) * busy["seconds"]
        change_bytes /= CHANGES
        daily = idle["node_bytes"] + change_bytes * CHANGES_A_DAY / DAY_S
        return {
            "apply_to_in_force_ms": {
                "p50": round(1000 * statistics.median(times), 1),
                "p99": round(1000 * times[int(0.99 * len(times))], 1),
                "max": round(1000 * times[-1], 1),
            },
            "changes_measured": len(times),
            "watching_nodes": traffic,
            "node_bytes_per_second_idle": round(idle["node_bytes"]),
            "node_bytes_per_change": round(change_bytes),
            "node_bytes_per_second": round(daily),
            "node_core_percent": round(idle["node_core"], 2),
            "control_core_percent": round(idle["control_core"], 2),
        }

    def times_in_force(self, changes: list[Acknowledged]) -> Iterator[float]:
        """Yield for each change when the last watcher had it, since its send."""
        revisions = [records for _, records in self.watched("revision")]
        for change in changes:
            yield max(
                next(r["at"] for r in records if r["revision"] >= change.revision)
                - change.sent_at
                for records in revisions
            )

    def traffic(self) -> int:
        """Count the watchers that recorded link traffic."""
        return sum(bool(records) for _, records in self.watched("stats"))

    async def costs(self) -> dict:
        """Read what nodes and control instances have spent so far."""
        carried = [records[-1] for _, records in self.watched("stats") if records]
        return {
            "at": time.monotonic(),
            "bytes": statistics.mean(r["bytes"] for r in carried),
            "bytes_at": statistics.mean(r["at"] for r in carried),
            "node": cpu_s(self.watchers.values()) / len(self.watchers),
            "control": cpu_s(n.process for n in self.controls) / len(self.controls),
        }

    # -- failover --------------------------------------------------------

    async def failover(self) -> dict:
        """Kill and freeze leaders under load; read back what was acknowledged."""
        changer = Changer(self.fleet, self.session, "failover")
        claimer = Claimer.from_fleet(self.fleet, "failover")
        claimer.control.start()
        writing = [
            asyncio.create_task(changer.run(float("inf"))),
            asyncio.create_task(claimer.run(float("inf"))),
        ]
        times: dict[bool, list[float]] = {False: [], True: []}
        for freeze in [False] * KILLS + [True] * FREEZES:
            times[freeze].append(await self.lose_leader(changer, freeze))
            await self.read_back(changer)
        kills, freezes = times[False], times[True]
        for task in writing:
            task.cancel()
        await asyncio.gather(*writing, return_exceptions=True)
        await self.read_back(changer)
        lost = len(self.lost) + await claimer.missing()
        await claimer.control.stop()
        both = sorted([*kills, *freezes])
        return {
            "failover_ms": {
                "p50": round(1000 * statistics.median(both)),
                "max": round(1000 * both[-1]),
                "kills_max": round(1000 * max(kills)),
                "freezes_max": round(1000 * max(freezes)),
            },
            "leader_kills": len(kills),
            "leader_freezes": len(freezes),
            "acknowledged_changes": len(changer.acknowledged),
            "acknowledged_claims": len(claimer.acknowledged),
            "unanswered_claims": claimer.unanswered,
            "refused_changes": len(changer.faults),
            "lost_acknowledged": lost,
            "reverted": self.reverted(),
        }

    async def lose_leader(self, changer: Changer, freeze: bool) -> float:
        """Take the leader away; return seconds to a commit sent after that."""
        node = await self.leader()
        lost_at = time.monotonic()
        node.process.signal(signal.SIGSTOP if freeze else signal.SIGKILL)
        while not any(a.answered_at > lost_at for a in changer.acknowledged[-1:]):
            await asyncio.sleep(0.005)
        # One answer may still come from before; the next change was sent after.
        count = len(changer.acknowledged)
        while len(changer.acknowledged) <= count:
            await asyncio.sleep(0.005)
        seconds = changer.acknowledged[count].answered_at - lost_at
        if freeze:
            await asyncio.sleep(FROZEN_S)
            node.process.signal(signal.SIGCONT)
        else:
            node.process.popen.wait()
            node.process.start()
        await self.wait_caught_up(node, changer.revision)
        return seconds

    async def wait_caught_up(self, node: Node, revision: int) -> None:
        """Wait until an instance has applied a revision and knows the leader."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            status = await self.status(node)
            if status and status["leader"] and status["revision"] >= revision:
                return
            await asyncio.sleep(0.005)
        raise RuntimeError(f"{node.process.name} does not catch up with {revision}")

    async def read_back(self, changer: Changer) -> None:
        """Note acknowledged changes that an instance does not show.

        The history is bounded, so each change is looked up after the leader
        loss that it met, and again as long as the history reaches back to it.
        """
        acknowledged = tuple(changer.acknowledged)
        for node in self.controls:
            history = await self.read(node, "/v1/catalogue/history")
            shown = {row["change_id"]: row["revision"] for row in history}
            oldest = min(shown.values())
            self.lost |= {
                (node.process.name, done.change_id)
                for done in acknowledged
                if done.revision >= oldest or done.change_id not in self.checked
                if shown.get(done.change_id) != done.revision
            }
        self.checked |= {done.change_id for done in acknowledged}

    def reverted(self) -> int:
        """Count the revisions that went down at any watcher."""
        count = 0
        for _, records in self.watched("revision"):
            revisions = [record["revision"] for record in records]
            count += sum(b <= a for a, b in zip(revisions, revisions[1:], strict=False))
        return count

    # -- restart and memory ----------------------------------------------

    async def restart(self) -> dict:
        """Restart an instance that missed 1,000 changes, and a node."""
        leader = await self.leader()
        node = next(n for n in self.controls if n is not leader)
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
        back = [r for r in records if r["kind"] == "revision" and r["at"] > started]
        return {
            "restart_ms": round(1000 * control_s),
            "node_restart_ms": round(1000 * (back[0]["at"] - started)),
            "node_restart_below": sum(r["revision"] < changer.revision for r in back),
        }

    async def memory(self) -> dict:
        """Measure each role's resident memory, idle but for heartbeats."""
        self.fleet.start_entry("entry-1", DOMAINS[0], **BEATS)
        self.fleet.start_target("plain-1", DOMAINS[0], "print-proof", "plain", **BEATS)
        await self.fleet.wait_ready(["entry-1"])
        await asyncio.sleep(1)
        controls = max(n.process.resident_bytes() for n in self.controls)
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
    """Turn two readings into rates; cores in percent."""
    seconds = after["at"] - before["at"]
    link_s = max(0.001, after["bytes_at"] - before["bytes_at"])
    return {
        "seconds": link_s,
        "node_bytes": (after["bytes"] - before["bytes"]) / link_s,
        "node_core": 100 * (after["node"] - before["node"]) / seconds,
        "control_core": 100 * (after["control"] - before["control"]) / seconds,
    }


async def measure(bench: Bench, phases: tuple[str, ...]) -> dict:
    """Run some phases of a bench, each with its time on standard error."""
    figures: dict = {}
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        bench.session = session
        await bench.fleet.wait_ready([n.process.name for n in bench.controls])
        for phase in phases:
            started = time.monotonic()
            figures |= await getattr(bench, phase)()
            taken = time.monotonic() - started
            print(f"{phase}: {taken:.1f} s: {figures}", file=sys.stderr)
    return figures


async def with_watchers(bench: Bench) -> dict:
    """Run everything on the full fleet."""
    figures = await measure(bench, ("throughput",))
    bench.start_watchers()
    changer_revision = 1
    await bench.wait_watchers(changer_revision)
    await asyncio.sleep(3)
    return figures | await measure(
        bench, ("propagation", "failover", "restart", "memory")
    )


def run_bench(folder: Path, work, **control: object) -> dict:
    """Run `work` on a fresh fleet, and end the fleet."""
    folder.mkdir()
    bench = Bench(folder, **control)
    try:
        return asyncio.run(work(bench))
    finally:
        bench.fleet.stop()


def without_group_commit(folder: Path) -> dict | None:
    """Measure the throughput with one sync a record; None when not settable."""
    if "group_commit" not in ControlSettings.__struct_fields__:
        return None
    return run_bench(folder, lambda b: measure(b, ("throughput",)), group_commit=False)


def main() -> int:
    """Run, print the figures, and fail when a promise broke."""
    folder = Path(tempfile.mkdtemp(prefix="bench-control-"))
    started = time.monotonic()
    try:
        alone = without_group_commit(folder / "one")
        figures = run_bench(folder / "all", with_watchers)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    figures["without_group_commit"] = alone
    figures["group_commit_ratio"] = None
    if alone is not None:
        ratio = figures["claims_per_second"] / alone["claims_per_second"]
        figures["group_commit_ratio"] = round(ratio, 2)
    figures["seconds"] = round(time.monotonic() - started)
    print(json.dumps(figures))
    return 1 if figures["lost_acknowledged"] or figures["reverted"] else 0


if __name__ == "__main__":
    sys.exit(main())
