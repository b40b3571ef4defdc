"""Cells of the matrix: list them, and run one."""

import asyncio
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from tests.matrix.callers import CellCallers
from tests.matrix.faults import FAULTS, CellContext
from tests.matrix.promises import PROMISES, CellLog, PromiseResult, check_promises
from tests.matrix.relayed_fleet import (
    ENTRIES,
    PLAIN_TARGETS,
    STEADY_WORKLOADS,
    RelayedFleet,
)
from tests.matrix.steps import STEPS

REQUESTS_PER_S = 20.0
WARM_UP_S = 0.3
AFTER_FAULT_S = 0.5
MATRIX = json.loads((Path(__file__).parent / "cells.json").read_text())


class Cell(NamedTuple):
    """Faults at a step: one fault, two at the same time, or one fault twice."""

    faults: tuple[str, ...]
    step: str

    @property
    def name(self) -> str:
        """Return ``fault+fault@step``."""
        return f"{'+'.join(self.faults)}@{self.step}"


class CellResult(NamedTuple):
    """Result of one cell: counts of requests, and the promises."""

    cell: str
    seed: int
    victim: str
    recovered: bool
    requests: int
    answered: int
    refused: int
    failed: int
    promises: dict[str, PromiseResult]


def all_cells() -> Iterator[Cell]:
    """Yield every cell of the matrix."""
    for fault in MATRIX["faults"]:
        for step in MATRIX["steps"]:
            yield Cell((fault,), step)
    for pair in MATRIX["pairs"]:
        for step in MATRIX["pair_steps"]:
            yield Cell(tuple(pair), step)


def not_applicable_reason(cell: Cell) -> str:
    """Return why a cell is not applicable; empty when it is applicable."""
    for rule in MATRIX["not_applicable"]:
        if set(rule["faults"]) & set(cell.faults) and cell.step in rule["steps"]:
            return rule["reason"]
    return ""


def same_result_for_all(state: str, reason: str) -> dict[str, PromiseResult]:
    """Return the same result for every promise."""
    return dict.fromkeys(PROMISES, PromiseResult(state, reason))


def skipped_result(cell: Cell, seed: int, state: str, reason: str) -> CellResult:
    """Return the result of a cell that was not run."""
    return CellResult(
        cell.name, seed, "", True, 0, 0, 0, 0, same_result_for_all(state, reason)
    )


async def run_cell(
    fleet: RelayedFleet, cell: Cell, number: int, seed: int
) -> CellResult:
    """Run one cell on a fleet that is ready."""
    urls = [fleet.nodes[name].http for name in ENTRIES]
    callers = CellCallers(urls, STEADY_WORKLOADS, REQUESTS_PER_S, seed, f"c{number}")
    context = CellContext(fleet, callers)
    first_sample = len(fleet.revision_samples)
    load = asyncio.create_task(callers.run())
    try:
        await asyncio.sleep(WARM_UP_S)
        victim = await STEPS[cell.step](context)
        if victim is None:
            return skipped_result(cell, seed, "not_run", "the step was not seen")
        await inject(context, cell, victim, random.Random(seed))
        await asyncio.sleep(AFTER_FAULT_S)
        recovered = await fleet.wait_settled(context.revision)
    finally:
        callers.stopping = True
        await load
    log = CellLog(
        callers.started,
        callers.sends,
        [r for r in fleet.records("target-") if r["event"] == "ran"],
        fleet.versions,
        context.stops,
        context.may_cut_requests,
        context.accepted,
        fleet.revision_samples[first_sample:],
        context.fault_ended_at,
        context.restarted_nodes,
        context.operator_errors,
    )
    prefix = f"c{number}-"
    log = log._replace(runs=[run for run in log.runs if prefix in run["prompt"]])
    promises = check_promises(log)
    if any(found.state == "broken" for found in promises.values()):
        evidence = msgspec.json.encode(log._replace(versions=sorted(log.versions)))
        (fleet.folder.parent / f"broken-{cell.name}-{seed}.json").write_bytes(evidence)
    return summarize(cell, seed, victim, recovered, callers, promises)


async def inject(context: CellContext, cell: Cell, victim: str, rng) -> None:
    """Inject a cell's faults at the same time, a repeated fault twice in turn."""
    allowed_victims = MATRIX["victims"]
    pending_change = getattr(context, "pending_change", None)
    if len(cell.faults) == 2 and cell.faults[0] == cell.faults[1]:
        for fault in cell.faults:
            await FAULTS[fault](context, victim)
    else:
        injections = []
        for number, fault in enumerate(cell.faults):
            node_id = (
                victim if number == 0 else pick_second_victim(context, victim, rng)
            )
            if node_id not in allowed_victims.get(fault, [node_id]):
                node_id = rng.choice(allowed_victims[fault])
            injections.append(FAULTS[fault](context, node_id))
        await asyncio.gather(*injections)
    if pending_change is not None:
        await pending_change


def pick_second_victim(context: CellContext, victim: str, rng) -> str:
    """Return a random second victim: not the first, and no control instance."""
    names = [*ENTRIES, *PLAIN_TARGETS, "engine-1", "engine-3"]
    return rng.choice([name for name in names if name != victim])


def summarize(cell, seed, victim, recovered, callers, promises) -> CellResult:
    """Return the result of a cell that was run."""
    outcomes = callers.outcomes
    return CellResult(
        cell.name,
        seed,
        victim,
        recovered,
        callers.started,
        sum(o.status == 200 for o in outcomes),
        sum(o.not_run and o.status != 200 for o in outcomes),
        sum(not o.not_run and o.status != 200 for o in outcomes),
        promises,
    )
