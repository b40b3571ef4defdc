"""Faults to inject into a fleet; each one injects, waits and repairs."""

import asyncio
import shutil
import signal
import subprocess
import time
import uuid
from pathlib import Path

from tests.fleet import Process
from tests.matrix.promises import AcceptedChange, GracefulStop
from tests.matrix.relayed_fleet import (
    CONTROLS,
    ENGINES,
    ENTRIES,
    IGNORES_FENCING,
    KEYED_REQUEST,
    PLAIN_TARGETS,
    RelayedFleet,
)

FAULT_DURATION_S = 2.5
THROTTLED_BYTES_PER_S = 40_000
CHANGES_WHILE_DOWN = 150
MIN_DOWNTIME_S = 4.0
# A graceful stop waits for in-flight requests, at most for their deadline of 30 s.
# In sigterm+silence@propagate, a bid waits that long for an unresponsive target.
STOP_TIMEOUT_S = 45.0


class CellContext:
    """The fleet of a cell, and what its faults record for the checks."""

    def __init__(self, fleet: RelayedFleet, callers):
        self.fleet = fleet
        self.callers = callers
        self.accepted: list[AcceptedChange] = []
        self.stops: list[GracefulStop] = []
        self.fault_ended_at: dict[str, float] = {}
        self.restarted_nodes: set[str] = set()
        self.operator_errors: list[str] = []
        self.may_cut_requests = False

    def record_fault_end(self, *node_ids: str) -> None:
        """Record that a fault of these nodes has ended."""
        for node_id in node_ids:
            self.fault_ended_at[node_id] = time.time()

    @property
    def revision(self) -> int:
        """Return the newest revision accepted in this cell."""
        return max((change.revision for change in self.accepted), default=0)


async def kill(context: CellContext, victim: str, downtime_s: float = 0.5) -> None:
    """Kill a process and restart it."""
    process = context.fleet.nodes[victim].process
    context.may_cut_requests = True
    context.restarted_nodes.add(victim)
    await asyncio.to_thread(process.kill)
    await asyncio.sleep(downtime_s)
    process.start()
    context.record_fault_end(victim)


async def wait_ended(context: CellContext, process: Process, victim: str) -> int | None:
    """Wait for a process to exit; on timeout, record an error and kill it."""
    try:
        return await asyncio.to_thread(process.popen.wait, STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        context.operator_errors.append(
            f"{victim} did not end within {STOP_TIMEOUT_S:.0f} s"
        )
        process.kill()
        return None


async def kill_lose_disk(context: CellContext, victim: str) -> None:
    """Kill a control instance and empty its data folder; then rejoin it."""
    fleet = context.fleet
    process = fleet.nodes[victim].process
    folder = Path(fleet.nodes[victim].settings["data_folder"])
    context.may_cut_requests = True
    context.restarted_nodes.add(victim)
    await asyncio.to_thread(process.kill)
    shutil.rmtree(folder)
    folder.mkdir()
    process.start()
    status = await wait_ended(context, process, victim)
    if status == 0:
        context.operator_errors.append(
            f"{victim} took an empty folder without an error"
        )
    await rejoin_control(context, victim)
    context.record_fault_end(victim)


async def rejoin_control(context: CellContext, victim: str) -> None:
    """Rejoin an instance with an empty data folder, as operators are told to do."""
    fleet = context.fleet
    path = fleet.folder / "settings" / f"{victim}.json"
    await asyncio.to_thread(fleet.run_cli, "control", "join", str(path))
    fleet.nodes[victim].process.start()


async def freeze(context: CellContext, victim: str) -> None:
    """Suspend a process for longer than the link timeout, then resume it."""
    process = context.fleet.nodes[victim].process
    context.may_cut_requests = True
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_DURATION_S)
    process.signal(signal.SIGCONT)
    context.record_fault_end(victim)


async def fault_links(context: CellContext, victim: str, inject) -> None:
    """Apply a fault to every link of a node, then repair the links."""
    context.may_cut_requests = True
    relays = context.fleet.relays_of(victim)
    for relay in relays:
        inject(relay)
    await asyncio.sleep(FAULT_DURATION_S)
    for relay in relays:
        relay.heal()
    context.record_fault_end(victim)


async def cut(context: CellContext, victim: str) -> None:
    """Close every link of a node and refuse new ones."""
    await fault_links(context, victim, lambda relay: relay.cut())


async def cut_one_way(context: CellContext, victim: str) -> None:
    """Hold the forward direction of a node's links, from client to server."""
    await fault_links(context, victim, lambda relay: relay.hold(reverse=False))


async def silence(context: CellContext, victim: str) -> None:
    """Silence the open connections of a node permanently; new ones work."""
    await fault_links(context, victim, lambda relay: relay.silence())


async def throttle(context: CellContext, victim: str) -> None:
    """Throttle every link of a node."""
    await fault_links(
        context, victim, lambda relay: relay.throttle(THROTTLED_BYTES_PER_S)
    )


async def corrupt_chunk(context: CellContext, victim: str) -> None:
    """Corrupt the chunks that a sidecar downloads from the origin."""
    relay = context.fleet.relays[victim, "origin"]
    relay.corrupt()
    await asyncio.sleep(FAULT_DURATION_S)
    relay.heal()


async def version_change(context: CellContext, victim: str) -> None:
    """Submit a change to a new version of the weights."""
    fleet = context.fleet
    context.accepted.append(
        await fleet.submit_change("reports", version=fleet.publish_new_version())
    )


async def isolate_leader(context: CellContext, victim: str) -> None:
    """Partition the leader from the other control instances in both directions.

    The connections stay open, so that neither side sees an error.
    """
    fleet = context.fleet
    context.may_cut_requests = True
    leader = fleet.leader
    control_relays = [r for ends, r in fleet.relays.items() if {*ends} <= {*CONTROLS}]
    leader_relays = [
        relay for relay in control_relays if relay in fleet.relays_of(leader)
    ]
    for relay in leader_relays:
        relay.hold()
    change = await fleet.build_change("titles", limits={"deadline_ms": 9000})
    posting = asyncio.create_task(
        fleet.call(leader, "POST", "/v1/catalogue/changes", change)
    )
    await asyncio.sleep(FAULT_DURATION_S)
    answer = posting.result() if posting.done() else None
    if answer is not None and answer.get("code") == 0:
        context.operator_errors.append("an isolated leader accepted a change")
    for relay in leader_relays:
        relay.heal()
    await posting
    context.record_fault_end(leader)


async def race_operators(context: CellContext, victim: str) -> None:
    """Submit two concurrent changes of one base revision, twice.

    The first pair has a change id each, the second pair shares one.
    """
    fleet = context.fleet
    change_id = uuid.uuid4().hex
    path = "/v1/catalogue/changes"
    for reused_id in ("", change_id):
        first = await fleet.build_change("bids", reused_id, priority=1)
        second = await fleet.build_change("bids", reused_id, priority=2)
        answers = await asyncio.gather(
            fleet.call_any("POST", path, first), fleet.call_any("POST", path, second)
        )
        await check_race(context, first, second, answers)


async def check_race(
    context: CellContext, first: dict, second: dict, answers: list
) -> None:
    """Check that exactly one of two concurrent changes was accepted."""
    accepted = [i for i, answer in enumerate(answers) if answer.get("code") == 0]
    if len(accepted) != 1:
        context.operator_errors.append(
            f"of two racing changes {len(accepted)} were accepted"
        )
        return
    change = (first, second)[accepted[0]]
    revision = answers[accepted[0]]["revision"]
    entry = change["puts"][0]["entry"]
    context.fleet.entries[entry["name"]] = entry
    context.accepted.append(AcceptedChange(change["change_id"], revision, time.time()))


async def resend(context: CellContext, victim: str) -> None:
    """Resend a change and keyed requests whose responses were lost."""
    fleet = context.fleet
    change = await fleet.build_change("bids", priority=3)
    path = "/v1/catalogue/changes"
    cancelled = asyncio.create_task(fleet.call_any("POST", path, change))
    await asyncio.sleep(0.002)
    cancelled.cancel()
    answers = [await fleet.call_any("POST", path, change) for _ in "12"]
    if answers[0] != answers[1] or answers[0].get("code") != 0:
        context.operator_errors.append(f"a resend got another result: {answers}")
        return
    fleet.entries["bids"] = change["puts"][0]["entry"]
    revision = answers[0]["revision"]
    context.accepted.append(AcceptedChange(change["change_id"], revision, time.time()))
    await context.callers.hang_up_and_resend(KEYED_REQUEST)


async def kill_two_peers(context: CellContext, victim: str) -> None:
    """Kill a process, and another of its role once the first is ready again."""
    fleet = context.fleet
    peers = next(
        role for role in (CONTROLS, ENTRIES, ENGINES, PLAIN_TARGETS) if victim in role
    )
    await kill(context, victim)
    await fleet.wait_ready([victim])
    await kill(context, next(name for name in peers if name != victim))


async def many_changes(context: CellContext, victim: str) -> None:
    """Restart a process after many changes were accepted while it was down."""
    fleet = context.fleet
    process = fleet.nodes[victim].process
    context.may_cut_requests = True
    context.restarted_nodes.add(victim)
    await asyncio.to_thread(process.kill)
    for number in range(CHANGES_WHILE_DOWN):
        change = await fleet.submit_change("bids", priority=number % 3)
    context.accepted.append(change)
    process.start()
    context.record_fault_end(victim)


async def stale_order(context: CellContext, victim: str) -> None:
    """Replay a stale load order at an engine that ignores fencing."""
    fleet = context.fleet
    name = IGNORES_FENCING
    url = f"http://127.0.0.1:{fleet.relays[name, 'target'].port}/control/load"
    sidecar = fleet.nodes[name].http
    old = min(fleet.versions - {"", fleet.entries["reports"]["version"]}, default="")
    order = {"version": old, "source_url": f"{sidecar}/weights", "fencing": 0}
    context.may_cut_requests = True
    async with fleet.session.post(url, json=order, timeout=None) as response:
        await response.read()
    context.record_fault_end(name)


async def sigterm(context: CellContext, victim: str) -> None:
    """Stop a process gracefully and restart it."""
    process = context.fleet.nodes[victim].process
    role = next(r for r in ("control", "entry", "sidecar") if r in process.command)
    sigterm_at = time.time()
    process.signal(signal.SIGTERM)
    context.restarted_nodes.add(victim)
    status = await wait_ended(context, process, victim)
    if status != 0:
        context.operator_errors.append(f"{victim} ended with {status} on SIGTERM")
    await asyncio.sleep(max(0.0, sigterm_at + MIN_DOWNTIME_S - time.time()))
    context.stops.append(GracefulStop(victim, role, sigterm_at, time.time()))
    process.start()
    context.record_fault_end(victim)


FAULTS = {
    "kill": kill,
    "kill_lose_disk": kill_lose_disk,
    "freeze": freeze,
    "cut": cut,
    "cut_one_way": cut_one_way,
    "silence": silence,
    "slow": throttle,
    "corrupt_chunk": corrupt_chunk,
    "version_change": version_change,
    "isolated_leader": isolate_leader,
    "operators_race": race_operators,
    "resend": resend,
    "second_loss": kill_two_peers,
    "many_changes": many_changes,
    "stale_order": stale_order,
    "sigterm": sigterm,
}
