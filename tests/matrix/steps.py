"""Steps of the path: how each is brought about, and how it is seen.

A step's function starts it, waits until it is seen, and returns the node that
a fault hits there, or None when the step was not seen.
"""

import asyncio
import time
from pathlib import Path

from tests.matrix.faults import Context
from tests.matrix.rig import (
    CHUNK_BYTES,
    CONTROLS,
    ENGINES,
    KEYED,
    LONG_STREAM,
    MODEL_BYTES,
    PLAIN,
    STREAM,
    UNARY,
)

SEEN_S = 10.0
FAST_POLL_S = 0.01
BURST = 16
CHUNKS = MODEL_BYTES // CHUNK_BYTES


async def seen(condition) -> bool:
    """Wait until `condition()`; False when it never comes."""
    until = time.monotonic() + SEEN_S
    while time.monotonic() < until:
        if condition():
            return True
        await asyncio.sleep(FAST_POLL_S)
    return False


def follower(context: Context) -> str:
    """Return a control instance that does not lead."""
    return next(name for name in CONTROLS if name != context.rig.leader)


async def restart_sidecar(context: Context) -> str | None:
    """Announce: a sidecar starts anew."""
    process = context.rig.nodes[ENGINES[0]].process
    context.restarted.add(ENGINES[0])
    context.cut_elsewhere = True
    await asyncio.to_thread(process.kill)
    process.start()
    context.ended(ENGINES[0])
    listens = await context.rig.listens(ENGINES[0])
    return context.rig.leader if listens else None


async def keyed_burst(context: Context, pause_s: float) -> None:
    """Send a burst of keyed requests and let them come so far."""
    context.callers.burst([KEYED] * BURST)
    await asyncio.sleep(pause_s)


async def claim(context: Context) -> str | None:
    """Claim: the leader commits claims."""
    await keyed_burst(context, 0.004)
    return context.rig.leader


async def dispatch(context: Context) -> str | None:
    """Dispatch: claimed requests are on their way to a sidecar."""
    await keyed_burst(context, 0.02)
    return PLAIN[0]


async def run(context: Context) -> str | None:
    """Run: a target runs keyed requests."""
    before = len(context.rig.records("target-plain-1"))
    await keyed_burst(context, 0)
    ran = await seen(lambda: len(context.rig.records("target-plain-1")) > before)
    return PLAIN[0] if ran else None


async def answer(context: Context) -> str | None:
    """Answer: answers are on their way back through an entry."""
    context.callers.burst([UNARY] * BURST)
    await keyed_burst(context, 0.12)
    return "entry-1"


async def stream(context: Context) -> str | None:
    """Stream: answers are half way out of an engine."""
    context.callers.burst([STREAM] * 4 + [LONG_STREAM] * 8)
    await asyncio.sleep(0.15)
    return ENGINES[0]


async def new_version(context: Context) -> str:
    """Have a new version accepted."""
    rig = context.rig
    context.accepted.append(await rig.accept("reports", version=rig.new_version()))
    return rig.entries["reports"]["version"]


async def row_where(context: Context, condition) -> str | None:
    """Wait for an engine's row that meets a condition; return its node."""
    rows = context.rig.rows

    def found() -> list[str]:
        return [n for n in ENGINES if n in rows and condition(rows[n])]

    return found()[0] if await seen(found) else None


def chunks_sent(context: Context, version: str) -> int:
    """Return how many chunks of a version the origin has sent."""
    files = f"/{version}/files/"
    records = context.rig.records("origin")
    return sum(r["event"] == "sent" and files in r["path"] for r in records)


async def copy_until(context: Context, chunks: int) -> str | None:
    """Start a copy and wait until the origin has sent so many chunks of it."""
    version = await new_version(context)
    sent = await seen(lambda: chunks_sent(context, version) >= chunks)
    return ENGINES[0] if sent else None


async def copy(context: Context) -> str | None:
    """Copy: the first chunks are under way."""
    return await copy_until(context, 2)


async def verify(context: Context) -> str | None:
    """Verify: chunks of a whole copy are checked one by one."""
    return await copy_until(context, CHUNKS // 2)


async def permit(context: Context) -> str | None:
    """Permit: a copy is whole and asks the leader to switch."""
    return context.rig.leader if await copy_until(context, CHUNKS) else None


async def in_state(context: Context, *states: str) -> str | None:
    """Wait until an engine's target is in a state of the chart."""
    return await row_where(context, lambda r: r["state"] in states)


async def drain(context: Context) -> str | None:
    """Drain: requests end at a target that is to switch."""
    context.callers.burst([LONG_STREAM] * 6)
    await new_version(context)
    return await in_state(context, "draining", "loading")


async def load(context: Context) -> str | None:
    """Load: an engine reads its weights."""
    await new_version(context)
    return await in_state(context, "loading")


async def open_target(context: Context) -> str | None:
    """Open: the first target serves the new version."""
    version = await new_version(context)
    return await row_where(
        context, lambda r: r["state"] == "open" and r["version"] == version
    )


async def post_change(context: Context) -> None:
    """Accept a change while the cell goes on."""
    revision = await context.rig.accept("titles", limits={"deadline_ms": 6000})
    context.accepted.append(revision)


async def accept(context: Context) -> str | None:
    """Accept: a change is on its way to the leader."""
    context.running = asyncio.create_task(post_change(context))
    await asyncio.sleep(0.003)
    return context.rig.leader


async def commit(context: Context) -> str | None:
    """Commit: the leader replicates a change to a follower."""
    context.running = asyncio.create_task(post_change(context))
    await asyncio.sleep(0.008)
    return follower(context)


async def propagate(context: Context) -> str | None:
    """Propagate: an accepted change goes out to the nodes."""
    await post_change(context)
    return "entry-2"


def snapshots(context: Context) -> dict[Path, float]:
    """Return the snapshot files of the control instances."""
    data = context.rig.folder / "data"
    return {path: path.stat().st_mtime for path in data.rglob("*snapshot*")}


async def snapshot(context: Context) -> str | None:
    """Snapshot: the replicated log is folded."""
    before = snapshots(context)
    for number in range(300):
        change = await context.rig.accept("titles", limits={"deadline_ms": 4000})
        if number % 10 == 0 and snapshots(context) != before:
            context.accepted.append(change)
            return context.rig.leader
    return None


async def rejoin(context: Context) -> str | None:
    """Rejoin: a control instance comes back and takes in what it missed."""
    name = follower(context)
    process = context.rig.nodes[name].process
    context.restarted.add(name)
    context.cut_elsewhere = True
    await asyncio.to_thread(process.kill)
    await post_change(context)
    process.start()
    listens = await context.rig.listens(name)
    context.ended(name)
    return name if listens else None


STEPS = {
    "announce": restart_sidecar,
    "claim": claim,
    "dispatch": dispatch,
    "run": run,
    "answer": answer,
    "stream": stream,
    "copy": copy,
    "verify": verify,
    "permit": permit,
    "drain": drain,
    "load": load,
    "open": open_target,
    "accept": accept,
    "commit": commit,
    "propagate": propagate,
    "snapshot": snapshot,
    "rejoin": rejoin,
}
