"""What can be done to a fleet; each fault injects, waits, and heals."""

import asyncio
import shutil
import signal
import subprocess
import time
import uuid
from pathlib import Path

from tests.fleet import Process
from tests.matrix.promises import Accepted, Stop
from tests.matrix.rig import (
    CONTROLS,
    ENGINES,
    ENTRIES,
    IGNORES_FENCING,
    KEYED,
    PLAIN,
    Rig,
)

FAULT_S = 2.5
SLOW_BYTES_PER_S = 40_000
MANY_CHANGES = 150
LEFT_S = 4.0
# A stop waits for requests in progress, the longest for its deadline of 30 s: seen
# at sigterm+silence@propagate, where a bid's target had gone silent.
STOP_S = 45.0


class Context:
    """What a cell's faults note for the judgement."""

    def __init__(self, rig: Rig, callers):
        self.rig = rig
        self.callers = callers
        self.accepted: list[Accepted] = []
        self.stops: list[Stop] = []
        self.faulted: dict[str, float] = {}
        self.restarted: set[str] = set()
        self.operators: list[str] = []
        self.cut_elsewhere = False

    def ended(self, *node_ids: str) -> None:
        """Note that a fault of these nodes has ended."""
        for node_id in node_ids:
            self.faulted[node_id] = time.time()

    @property
    def revision(self) -> int:
        """Newest revision accepted in this cell."""
        return max((change.revision for change in self.accepted), default=0)


async def kill(context: Context, victim: str, pause_s: float = 0.5) -> None:
    """Kill a process, and start it again."""
    process = context.rig.nodes[victim].process
    context.cut_elsewhere = True
    context.restarted.add(victim)
    await asyncio.to_thread(process.kill)
    await asyncio.sleep(pause_s)
    process.start()
    context.ended(victim)


async def ended(context: Context, process: Process, victim: str) -> int | None:
    """Wait for a process to end; one that does not is noted and killed."""
    try:
        return await asyncio.to_thread(process.popen.wait, STOP_S)
    except subprocess.TimeoutExpired:
        context.operators.append(f"{victim} did not end within {STOP_S:.0f} s")
        process.kill()
        return None


async def kill_lose_disk(context: Context, victim: str) -> None:
    """Kill a control instance and empty its folder; bring it back by join."""
    rig = context.rig
    process = rig.nodes[victim].process
    folder = Path(rig.nodes[victim].settings["data_folder"])
    context.cut_elsewhere = True
    context.restarted.add(victim)
    await asyncio.to_thread(process.kill)
    shutil.rmtree(folder)
    folder.mkdir()
    process.start()
    status = await ended(context, process, victim)
    if status == 0:
        context.operators.append(f"{victim} took an empty folder without an error")
    await rejoin(context, victim)
    context.ended(victim)


async def rejoin(context: Context, victim: str) -> None:
    """Bring an instance with an empty folder back as the operators' page says."""
    rig = context.rig
    path = rig.folder / "settings" / f"{victim}.json"
    await asyncio.to_thread(rig.run_cli, "control", "join", str(path))
    rig.nodes[victim].process.start()


async def freeze(context: Context, victim: str) -> None:
    """Stop a process for longer than a link's silence, and thaw it."""
    process = context.rig.nodes[victim].process
    context.cut_elsewhere = True
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_S)
    process.signal(signal.SIGCONT)
    context.ended(victim)


async def links(context: Context, victim: str, act) -> None:
    """Do something to every link of a node for a while."""
    context.cut_elsewhere = True
    relays = context.rig.of(victim)
    for relay in relays:
        act(relay)
    await asyncio.sleep(FAULT_S)
    for relay in relays:
        relay.heal()
    context.ended(victim)


async def cut(context: Context, victim: str) -> None:
    """Close every link of a node and refuse new ones."""
    await links(context, victim, lambda relay: relay.cut())


async def cut_one_way(context: Context, victim: str) -> None:
    """Hold what a node's links carry towards the side that was connected to."""
    await links(context, victim, lambda relay: relay.hold(reverse=False))


async def silence(context: Context, victim: str) -> None:
    """Silence every open connection of a node for good; new ones work."""
    await links(context, victim, lambda relay: relay.silence())


async def slow(context: Context, victim: str) -> None:
    """Slow every link of a node."""
    await links(context, victim, lambda relay: relay.throttle(SLOW_BYTES_PER_S))


async def corrupt(context: Context, victim: str) -> None:
    """Corrupt what a sidecar gets from the origin."""
    relay = context.rig.relays[victim, "origin"]
    relay.corrupt()
    await asyncio.sleep(FAULT_S)
    relay.heal()


async def version_change(context: Context, victim: str) -> None:
    """Have another version accepted."""
    rig = context.rig
    context.accepted.append(await rig.accept("reports", version=rig.new_version()))


async def isolate_leader(context: Context, victim: str) -> None:
    """Cut the leader from the other control instances, silently, both ways."""
    rig = context.rig
    context.cut_elsewhere = True
    leader = rig.leader
    among = [r for ends, r in rig.relays.items() if {*ends} <= {*CONTROLS}]
    mine = [relay for relay in among if relay in rig.of(leader)]
    for relay in mine:
        relay.hold()
    change = await rig.change("titles", limits={"deadline_ms": 9000})
    alone = asyncio.create_task(
        rig.ask(leader, "POST", "/v1/catalogue/changes", change)
    )
    await asyncio.sleep(FAULT_S)
    answer = alone.result() if alone.done() else None
    if answer is not None and answer.get("code") == 0:
        context.operators.append("an isolated leader accepted a change")
    for relay in mine:
        relay.heal()
    await alone
    context.ended(leader)


async def race(context: Context, victim: str) -> None:
    """Let two operators race on one base, and under one change id."""
    rig = context.rig
    change_id = uuid.uuid4().hex
    path = "/v1/catalogue/changes"
    for number in ("", change_id):
        one = await rig.change("bids", number, priority=1)
        other = await rig.change("bids", number, priority=2)
        answers = await asyncio.gather(
            rig.ask_any("POST", path, one), rig.ask_any("POST", path, other)
        )
        await note_race(context, one, other, answers)


async def note_race(context: Context, one: dict, other: dict, answers: list) -> None:
    """Check that of two racing changes exactly one was accepted."""
    won = [i for i, answer in enumerate(answers) if answer.get("code") == 0]
    if len(won) != 1:
        context.operators.append(f"of two racing changes {len(won)} were accepted")
        return
    change = (one, other)[won[0]]
    revision = answers[won[0]]["revision"]
    entry = change["puts"][0]["entry"]
    context.rig.entries[entry["name"]] = entry
    context.accepted.append(Accepted(change["change_id"], revision, time.time()))


async def resend(context: Context, victim: str) -> None:
    """Resend a change and requests whose answers are lost."""
    rig = context.rig
    change = await rig.change("bids", priority=3)
    path = "/v1/catalogue/changes"
    lost = asyncio.create_task(rig.ask_any("POST", path, change))
    await asyncio.sleep(0.002)
    lost.cancel()
    answers = [await rig.ask_any("POST", path, change) for _ in "12"]
    if answers[0] != answers[1] or answers[0].get("code") != 0:
        context.operators.append(f"a resend got another result: {answers}")
        return
    rig.entries["bids"] = change["puts"][0]["entry"]
    revision = answers[0]["revision"]
    context.accepted.append(Accepted(change["change_id"], revision, time.time()))
    await context.callers.resend_lost(KEYED)


async def second_loss(context: Context, victim: str) -> None:
    """Kill a process, and another of its role once the first is repaired."""
    rig = context.rig
    peers = next(role for role in (CONTROLS, ENTRIES, ENGINES, PLAIN) if victim in role)
    await kill(context, victim)
    await rig.wait_ready([victim])
    await kill(context, next(name for name in peers if name != victim))


async def many_changes(context: Context, victim: str) -> None:
    """Restart a process after hundreds of changes have gone by."""
    rig = context.rig
    process = rig.nodes[victim].process
    context.cut_elsewhere = True
    context.restarted.add(victim)
    await asyncio.to_thread(process.kill)
    for number in range(MANY_CHANGES):
        change = await rig.accept("bids", priority=number % 3)
    context.accepted.append(change)
    process.start()
    context.ended(victim)


async def stale_order(context: Context, victim: str) -> None:
    """Replay an old order at an engine that ignores fencing."""
    rig = context.rig
    name = IGNORES_FENCING
    url = f"http://127.0.0.1:{rig.relays[name, 'target'].port}/control/load"
    sidecar = rig.nodes[name].http
    old = min(rig.versions - {"", rig.entries["reports"]["version"]}, default="")
    order = {"version": old, "source_url": f"{sidecar}/weights", "fencing": 0}
    context.cut_elsewhere = True
    async with rig.session.post(url, json=order, timeout=None) as response:
        await response.read()
    context.ended(name)


async def sigterm(context: Context, victim: str) -> None:
    """End a process gracefully, and start it again."""
    process = context.rig.nodes[victim].process
    role = next(r for r in ("control", "entry", "sidecar") if r in process.command)
    at = time.time()
    process.signal(signal.SIGTERM)
    context.restarted.add(victim)
    status = await ended(context, process, victim)
    if status != 0:
        context.operators.append(f"{victim} ended with {status} on SIGTERM")
    await asyncio.sleep(max(0.0, at + LEFT_S - time.time()))
    context.stops.append(Stop(victim, role, at, time.time()))
    process.start()
    context.ended(victim)


FAULTS = {
    "kill": kill,
    "kill_lose_disk": kill_lose_disk,
    "freeze": freeze,
    "cut": cut,
    "cut_one_way": cut_one_way,
    "silence": silence,
    "slow": slow,
    "corrupt_chunk": corrupt,
    "version_change": version_change,
    "isolated_leader": isolate_leader,
    "operators_race": race,
    "resend": resend,
    "second_loss": second_loss,
    "many_changes": many_changes,
    "stale_order": stale_order,
    "sigterm": sigterm,
}
