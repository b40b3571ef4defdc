"""Steps of a request, a download or a change at which faults are injected.

The function of a step starts it, waits until it is observed and returns the node
to inject the fault into, or None when the step was not observed in time.
"""

import asyncio
import time
from pathlib import Path

from tests.matrix.faults import CellContext
from tests.matrix.relayed_fleet import (
    CHUNK_BYTES,
    CONTROLS,
    ENGINES,
    KEYED_REQUEST,
    LONG_STREAM,
    MODEL_BYTES,
    PLAIN_TARGETS,
    STREAM,
    UNARY,
)

STEP_TIMEOUT_S = 10.0
FAST_POLL_S = 0.01
BURST_REQUESTS = 16
CHUNKS = MODEL_BYTES // CHUNK_BYTES


async def wait_until(condition) -> bool:
    """Wait until `condition()` is true; return False on timeout."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        await asyncio.sleep(FAST_POLL_S)
    return False


def pick_follower(context: CellContext) -> str:
    """Return a control instance that is not the leader."""
    return next(name for name in CONTROLS if name != context.fleet.leader)


async def restart_sidecar(context: CellContext) -> str | None:
    """Announce: a restarted sidecar announces its target."""
    process = context.fleet.nodes[ENGINES[0]].process
    context.restarted_nodes.add(ENGINES[0])
    context.may_cut_requests = True
    await asyncio.to_thread(process.kill)
    process.start()
    context.record_fault_end(ENGINES[0])
    live = await context.fleet.wait_live(ENGINES[0])
    return context.fleet.leader if live else None


async def keyed_burst(context: CellContext, pause_s: float) -> None:
    """Send a burst of keyed requests and wait for them to reach a step."""
    context.callers.burst([KEYED_REQUEST] * BURST_REQUESTS)
    await asyncio.sleep(pause_s)


async def claim(context: CellContext) -> str | None:
    """Claim: the leader commits claims."""
    await keyed_burst(context, 0.004)
    return context.fleet.leader


async def dispatch(context: CellContext) -> str | None:
    """Dispatch: claimed requests are being sent to a sidecar."""
    await keyed_burst(context, 0.02)
    return PLAIN_TARGETS[0]


async def run(context: CellContext) -> str | None:
    """Run: a target runs keyed requests."""
    before = len(context.fleet.records("target-plain-1"))
    await keyed_burst(context, 0)
    ran = await wait_until(
        lambda: len(context.fleet.records("target-plain-1")) > before
    )
    return PLAIN_TARGETS[0] if ran else None


async def answer(context: CellContext) -> str | None:
    """Answer: responses are returning through an entry."""
    context.callers.burst([UNARY] * BURST_REQUESTS)
    await keyed_burst(context, 0.12)
    return "entry-1"


async def stream(context: CellContext) -> str | None:
    """Stream: an engine has streamed a part of its responses."""
    context.callers.burst([STREAM] * 4 + [LONG_STREAM] * 8)
    await asyncio.sleep(0.15)
    return ENGINES[0]


async def submit_new_version(context: CellContext) -> str:
    """Submit a change to a new version and return the version."""
    fleet = context.fleet
    context.accepted.append(
        await fleet.submit_change("reports", version=fleet.publish_new_version())
    )
    return fleet.entries["reports"]["version"]


async def wait_engine_row(context: CellContext, condition) -> str | None:
    """Wait until an engine's status row meets a condition; return its node id."""
    rows = context.fleet.status_rows

    def matching_nodes() -> list[str]:
        return [n for n in ENGINES if n in rows and condition(rows[n])]

    return matching_nodes()[0] if await wait_until(matching_nodes) else None


def chunks_sent(context: CellContext, version: str) -> int:
    """Return the number of chunks of a version that the origin has sent."""
    files = f"/{version}/files/"
    records = context.fleet.records("origin")
    return sum(r["event"] == "sent" and files in r["path"] for r in records)


async def start_download(context: CellContext, chunks: int) -> str | None:
    """Start a download and wait until the origin has sent `chunks` chunks of it."""
    version = await submit_new_version(context)
    sent = await wait_until(lambda: chunks_sent(context, version) >= chunks)
    return ENGINES[0] if sent else None


async def download(context: CellContext) -> str | None:
    """Copy: the first chunks are being downloaded."""
    return await start_download(context, 2)


async def verify(context: CellContext) -> str | None:
    """Verify: downloaded chunks are being verified."""
    return await start_download(context, CHUNKS // 2)


async def permit(context: CellContext) -> str | None:
    """Permit: a local copy is complete; its sidecar asks the leader for a permit."""
    return context.fleet.leader if await start_download(context, CHUNKS) else None


async def wait_engine_state(context: CellContext, *states: str) -> str | None:
    """Wait until an engine's target is in one of `states`; return its node id."""
    return await wait_engine_row(context, lambda r: r["state"] in states)


async def drain(context: CellContext) -> str | None:
    """Drain: a target completes its requests before it switches versions."""
    context.callers.burst([LONG_STREAM] * 6)
    await submit_new_version(context)
    return await wait_engine_state(context, "draining", "loading")


async def load(context: CellContext) -> str | None:
    """Load: an engine loads its weights."""
    await submit_new_version(context)
    return await wait_engine_state(context, "loading")


async def open_target(context: CellContext) -> str | None:
    """Open: the first target serves the new version."""
    version = await submit_new_version(context)
    return await wait_engine_row(
        context, lambda r: r["state"] == "open" and r["version"] == version
    )


async def submit_title_change(context: CellContext) -> None:
    """Submit a change of an entry's deadline."""
    change = await context.fleet.submit_change("titles", limits={"deadline_ms": 6000})
    context.accepted.append(change)


async def accept(context: CellContext) -> str | None:
    """Accept: a change is being sent to the leader."""
    context.pending_change = asyncio.create_task(submit_title_change(context))
    await asyncio.sleep(0.003)
    return context.fleet.leader


async def commit(context: CellContext) -> str | None:
    """Commit: the leader replicates a change to a follower."""
    context.pending_change = asyncio.create_task(submit_title_change(context))
    await asyncio.sleep(0.008)
    return pick_follower(context)


async def propagate(context: CellContext) -> str | None:
    """Propagate: an accepted change is being sent to the nodes."""
    await submit_title_change(context)
    return "entry-2"


def snapshot_mtimes(context: CellContext) -> dict[Path, float]:
    """Return the control instances' snapshot files and their modification times."""
    data = context.fleet.folder / "data"
    return {path: path.stat().st_mtime for path in data.rglob("*snapshot*")}


async def snapshot(context: CellContext) -> str | None:
    """Snapshot: the replicated log is compacted into a snapshot."""
    before = snapshot_mtimes(context)
    for number in range(300):
        change = await context.fleet.submit_change(
            "titles", limits={"deadline_ms": 4000}
        )
        if number % 10 == 0 and snapshot_mtimes(context) != before:
            context.accepted.append(change)
            return context.fleet.leader
    return None


async def rejoin(context: CellContext) -> str | None:
    """Rejoin: a restarted control instance catches up on the log."""
    name = pick_follower(context)
    process = context.fleet.nodes[name].process
    context.restarted_nodes.add(name)
    context.may_cut_requests = True
    await asyncio.to_thread(process.kill)
    await submit_title_change(context)
    process.start()
    live = await context.fleet.wait_live(name)
    context.record_fault_end(name)
    return name if live else None


STEPS = {
    "announce": restart_sidecar,
    "claim": claim,
    "dispatch": dispatch,
    "run": run,
    "answer": answer,
    "stream": stream,
    "copy": download,
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
