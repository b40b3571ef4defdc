"""Cells of the matrix: what to run, and one run."""

import asyncio
import json
import random
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from tests.matrix.callers import CellCallers
from tests.matrix.faults import FAULTS, Context
from tests.matrix.promises import PROMISES, CellLog, Judgement, judge
from tests.matrix.rig import ENTRIES, PLAIN, STEADY, Rig
from tests.matrix.steps import STEPS

RATE = 20.0
LEAD_S = 0.3
AFTER_S = 0.5
MATRIX = json.loads((Path(__file__).parent / "cells.json").read_text())


class Cell(NamedTuple):
    """Faults at a step: one, or two together, or one twice."""

    faults: tuple[str, ...]
    step: str

    @property
    def name(self) -> str:
        """Return ``fault+fault@step``."""
        return f"{'+'.join(self.faults)}@{self.step}"


class Result(NamedTuple):
    """What became of a cell."""

    cell: str
    seed: int
    victim: str
    recovered: bool
    requests: int
    answered: int
    refused: int
    failed: int
    promises: dict[str, Judgement]


def all_cells() -> Iterator[Cell]:
    """Yield every cell of the matrix."""
    for fault in MATRIX["faults"]:
        for step in MATRIX["steps"]:
            yield Cell((fault,), step)
    for pair in MATRIX["pairs"]:
        for step in MATRIX["pair_steps"]:
            yield Cell(tuple(pair), step)


def why_not_applicable(cell: Cell) -> str:
    """Return why a cell makes no sense; empty when it does."""
    for rule in MATRIX["not_applicable"]:
        if set(rule["faults"]) & set(cell.faults) and cell.step in rule["steps"]:
            return rule["reason"]
    return ""


def every_promise(state: str, reason: str) -> dict[str, Judgement]:
    """Give every promise the same judgement."""
    return dict.fromkeys(PROMISES, Judgement(state, reason))


def skipped(cell: Cell, seed: int, state: str, reason: str) -> Result:
    """Make the result of a cell that was not run."""
    return Result(cell.name, seed, "", True, 0, 0, 0, 0, every_promise(state, reason))


async def run_cell(rig: Rig, cell: Cell, number: int, seed: int) -> Result:
    """Run one cell on a fleet that serves."""
    urls = [rig.nodes[name].http for name in ENTRIES]
    callers = CellCallers(urls, STEADY, RATE, seed, f"c{number}")
    context = Context(rig, callers)
    first_sighting = len(rig.sightings)
    load = asyncio.create_task(callers.run())
    try:
        await asyncio.sleep(LEAD_S)
        victim = await STEPS[cell.step](context)
        if victim is None:
            return skipped(cell, seed, "not_run", "the step was not seen")
        await inject(context, cell, victim, random.Random(seed))
        await asyncio.sleep(AFTER_S)
        recovered = await rig.settle(context.revision)
    finally:
        callers.stopping = True
        await load
    log = CellLog(
        callers.started,
        callers.sends,
        [r for r in rig.records("target-") if r["event"] == "ran"],
        rig.versions,
        context.stops,
        context.cut_elsewhere,
        context.accepted,
        rig.sightings[first_sighting:],
        context.faulted,
        context.restarted,
        context.operators,
    )
    prefix = f"c{number}-"
    log = log._replace(runs=[run for run in log.runs if prefix in run["prompt"]])
    promises = judge(log)
    if any(found.state == "broken" for found in promises.values()):
        evidence = msgspec.json.encode(log._replace(versions=sorted(log.versions)))
        (rig.folder.parent / f"broken-{cell.name}-{seed}.json").write_bytes(evidence)
    return summed(cell, seed, victim, recovered, callers, promises)


async def inject(context: Context, cell: Cell, victim: str, rng) -> None:
    """Inject a cell's faults: two together, or the same one again."""
    choices = MATRIX["victims"]
    running = getattr(context, "running", None)
    if len(cell.faults) == 2 and cell.faults[0] == cell.faults[1]:
        for fault in cell.faults:
            await FAULTS[fault](context, victim)
    else:
        acts = []
        for number, fault in enumerate(cell.faults):
            hit = victim if number == 0 else other_victim(context, victim, rng)
            if hit not in choices.get(fault, [hit]):
                hit = rng.choice(choices[fault])
            acts.append(FAULTS[fault](context, hit))
        await asyncio.gather(*acts)
    if running is not None:
        await running


def other_victim(context: Context, victim: str, rng) -> str:
    """Choose a second victim: not the same, and no second control instance."""
    names = [*ENTRIES, *PLAIN, "engine-1", "engine-3"]
    return rng.choice([name for name in names if name != victim])


def summed(cell, seed, victim, recovered, callers, promises) -> Result:
    """Sum a cell up."""
    outcomes = callers.outcomes
    return Result(
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
