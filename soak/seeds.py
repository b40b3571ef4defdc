"""Run one seed in its own folder."""

import asyncio
import logging
import shutil
from pathlib import Path

from soak.run import Outcome, SeedOptions, SoakRun

RUNS_FOLDER = Path(__file__).resolve().parent.parent / ".soak"


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
    outcome = asyncio.run(SoakRun(folder, seed, options).run())
    if not outcome.findings and not options.keep_folder:
        shutil.rmtree(folder)
    return outcome
