"""``make matrix``: run cells on several fleets and write the page.

``--only fault=kill,step=copy`` selects cells, ``--fleets`` sets the number of
fleets that run in parallel, ``--seconds`` the time limit; cells that were not
reached are reported as not run.
"""

import argparse
import asyncio
import dataclasses
import json
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from tests.matrix.cell import (
    Cell,
    CellResult,
    all_cells,
    not_applicable_reason,
    run_cell,
    skipped_result,
)
from tests.matrix.page import write_page
from tests.matrix.relayed_fleet import DEFAULT_FOLDER, RelayedFleet

STATES = ("held", "broken", "not_run", "not_applicable")
CELL_TIMEOUT_S = 90.0
RESULTS_FILE = "results.json"


@dataclasses.dataclass
class Shard:
    """Cells that run one after another on one fleet."""

    number: int
    cells: list[Cell]
    seed: int
    build: str
    deadline: float
    folder: Path

    async def run(self) -> list[CellResult]:
        """Run the cells; replace a fleet that did not recover."""
        results: list[CellResult] = []
        fleet: RelayedFleet | None = None
        for number, cell in enumerate(self.cells):
            if time.monotonic() > self.deadline:
                results.append(
                    skipped_result(cell, self.seed, "not_run", "out of time")
                )
                continue
            try:
                if fleet is None:
                    fleet = await self.start_fleet()
                async with asyncio.timeout(CELL_TIMEOUT_S):
                    result = await run_cell(fleet, cell, number, self.seed)
            except (RuntimeError, TimeoutError, OSError) as error:
                reason = f"the cell could not run: {str(error)[:200] or repr(error)}"
                result = skipped_result(cell, self.seed, "not_run", reason)
                result = result._replace(recovered=False)
            print_result(result)
            results.append(result)
            if not result.recovered and fleet is not None:
                await fleet.close()
                fleet = None
        if fleet is not None:
            await fleet.close()
        return results

    async def start_fleet(self) -> RelayedFleet:
        """Start a fleet; retry when another process took one of its ports."""
        for is_last in (False, False, True):
            fleet = RelayedFleet(self.folder / f"fleet-{self.number}", self.build)
            try:
                await fleet.start()
                return fleet
            except RuntimeError:
                await fleet.close()
                if is_last:
                    raise
        raise AssertionError("unreachable")


def print_result(result: CellResult) -> None:
    """Print the result of one cell, to show the progress of a long run."""
    broken = [
        f"{name}: {found.reason}"
        for name, found in result.promises.items()
        if found.state == "broken"
    ]
    states = {found.state for found in result.promises.values()}
    state = "BROKEN" if broken else "not run" if states == {"not_run"} else "held"
    suffix = "" if result.recovered else " (did not recover)"
    counts = f"{result.requests}/{result.answered}/{result.refused}/{result.failed}"
    print(f"{state:<8}{result.cell:<34}{result.victim:<11}{counts}{suffix}", flush=True)
    if state == "not run":
        print(f"    {next(iter(result.promises.values())).reason}", flush=True)
    for line in broken:
        print(f"    {line}", flush=True)


def select_cells(only: str) -> list[Cell]:
    """Return the cells that ``--only`` selects, such as ``fault=a|b,step=c``."""
    filters = dict(part.split("=") for part in only.split(",") if part)
    faults = set(filters.get("fault", "").split("|")) - {""}
    steps = set(filters.get("step", "").split("|")) - {""}
    return [
        cell
        for cell in all_cells()
        if (not faults or "+".join(cell.faults) in faults)
        and (not steps or cell.step in steps)
    ]


def run_shards(args: argparse.Namespace, cells: list[Cell]) -> list[CellResult]:
    """Run the cells in ``args.fleets`` subprocesses, with one fleet each."""
    processes = []
    args.folder.mkdir(exist_ok=True)
    for number in range(args.fleets):
        shard_cells = [c.name for c in cells[number :: args.fleets]]
        path = args.folder / f"cells-{number}.json"
        path.write_text(json.dumps(shard_cells))
        (args.folder / f"results-{number}.json").unlink(missing_ok=True)
        command = ["--shard", str(number), "--seed", str(args.seed)]
        command += ["--seconds", str(args.seconds), "--build", args.build]
        command += ["--folder", str(args.folder)]
        processes.append(
            subprocess.Popen([sys.executable, "-m", "tests.matrix", *command])
        )
    results: list[CellResult] = []
    for number, process in enumerate(processes):
        process.wait()
        path = args.folder / f"results-{number}.json"
        if path.exists():
            results += msgspec.json.decode(path.read_bytes(), type=list[CellResult])
            continue
        reason = f"fleet {number} ended with {process.returncode}"
        shard_cells = cells[number :: args.fleets]
        results += [
            skipped_result(cell, args.seed, "not_run", reason) for cell in shard_cells
        ]
    return results


def run_shard(args: argparse.Namespace) -> None:
    """Run the cells of one shard and write the results to a file."""
    names = json.loads((args.folder / f"cells-{args.shard}.json").read_text())
    cells_by_name = {cell.name: cell for cell in all_cells()}
    deadline = time.monotonic() + args.seconds
    shard = Shard(
        args.shard,
        [cells_by_name[n] for n in names],
        args.seed,
        args.build,
        deadline,
        args.folder,
    )
    results = asyncio.run(shard.run())
    (args.folder / f"results-{args.shard}.json").write_bytes(
        msgspec.json.encode(results)
    )


def main() -> int:
    """Run the selected cells, print the totals and write the page."""
    parser = argparse.ArgumentParser(prog="make matrix")
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fleets", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=3600)
    parser.add_argument(
        "--build", default="", help="broken build, to show that a check fails"
    )
    parser.add_argument("--folder", type=Path, default=DEFAULT_FOLDER)
    parser.add_argument("--shard", type=int, default=-1)
    parser.add_argument(
        "--keep-page", action="store_true", help="do not write the page"
    )
    parser.add_argument(
        "--again", action="store_true", help="run only cells that have not held yet"
    )
    parser.add_argument(
        "--merge", action="store_true", help="merge with the results of earlier runs"
    )
    args = parser.parse_args()
    if args.shard >= 0:
        run_shard(args)
        return 0
    selected = select_cells(args.only)
    if args.again:
        held = held_cells(args.folder / RESULTS_FILE)
        selected = [cell for cell in selected if cell.name not in held]
    reasons = {cell: not_applicable_reason(cell) for cell in selected}
    results = [
        skipped_result(cell, args.seed, "not_applicable", reason)
        for cell, reason in reasons.items()
        if reason
    ]
    results += run_shards(args, [cell for cell in selected if not reasons[cell]])
    figures = count_states(results)
    if not args.build and not args.keep_page:
        all_results = (
            merge_results(results, args.folder / RESULTS_FILE)
            if args.merge
            else results
        )
        (args.folder / RESULTS_FILE).write_bytes(msgspec.json.encode(all_results))
        write_page(all_results, count_states(all_results))
    print(json.dumps(figures))
    return 1 if figures["broken"] else 0


def count_states(results: list[CellResult]) -> dict:
    """Return the number of cells, and of promises by state."""
    states = [p.state for r in results for p in r.promises.values()]
    figures: dict = {"cells": len({result.cell for result in results})}
    figures |= {state: states.count(state) for state in STATES}
    return figures | {"seeds": sorted({result.seed for result in results})}


def held_cells(path: Path) -> set[str]:
    """Return the cells of earlier runs that recovered and held all promises."""
    results = msgspec.json.decode(path.read_bytes(), type=list[CellResult])
    done = {"held", "not_applicable"}
    return {
        result.cell
        for result in results
        if result.recovered and {p.state for p in result.promises.values()} <= done
    }


def merge_results(results: list[CellResult], path: Path) -> list[CellResult]:
    """Merge `results` into those of earlier runs, by cell and seed.

    A cell that was not run this time keeps its earlier result.
    """
    merged: dict[tuple[str, int], CellResult] = {}
    if path.exists():
        for result in msgspec.json.decode(path.read_bytes(), type=list[CellResult]):
            merged[result.cell, result.seed] = result
    for result in results:
        ran = any(p.state != "not_run" for p in result.promises.values())
        if ran or (result.cell, result.seed) not in merged:
            merged[result.cell, result.seed] = result
    return list(merged.values())


if __name__ == "__main__":
    sys.exit(main())
