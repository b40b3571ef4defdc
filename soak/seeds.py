"""Run one seed in its own folder."""

import asyncio
import logging
import shutil
from pathlib import Path
from typing import NamedTuple

from soak.callers import CALLERS_PER_ENTRY
from soak.plan import FleetShape
from soak.run import Outcome, SoakRun

RUNS_FOLDER = Path(__file__).resolve().parent.parent / ".soak"


class SeedOptions(NamedTuple):
    """Options of a run: seconds of faults, sizes, and what is drawn and kept."""

    seconds: float = 30.0
    entries: int = 2
    engines: int = 3
    timed: bool = True
    keep_folder: bool = False
    calm: bool = False
    callers: int = CALLERS_PER_ENTRY
    endless: bool = False
    leaves: bool = False
    stops: bool = False

    @property
    def shape(self) -> FleetShape:
        """Names of the fleet's processes and targets."""
        return FleetShape.of_size(self.entries, self.engines)


def run_seed(seed: int, options: SeedOptions, parent: Path = RUNS_FOLDER) -> Outcome:
    """Run one seed; keep its folder if there are findings or `keep_folder` is set."""
    folder = parent / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    logging.basicConfig(
        filename=folder / "soak.log",
        level=logging.DEBUG,
        format="%(asctime)s %(message)s",
        force=True,
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    run = SoakRun(
        folder,
        seed,
        options.seconds,
        options.shape,
        options.timed,
        options.calm,
        options.callers,
        options.endless,
        options.leaves,
        options.stops,
    )
    outcome = asyncio.run(run.run())
    if not outcome.findings and not options.keep_folder:
        shutil.rmtree(folder)
    return outcome
