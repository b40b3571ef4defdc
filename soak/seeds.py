"""Plays one seed in a folder of its own."""

import asyncio
import logging
import shutil
from pathlib import Path
from typing import NamedTuple

from soak.plan import Shape
from soak.run import Outcome, SoakRun

FOLDER = Path(__file__).resolve().parent.parent / ".soak"


class SeedOptions(NamedTuple):
    """How a seed is played: seconds of faults, size of the fleet, what is kept."""

    seconds: float = 30.0
    entries: int = 2
    engines: int = 3
    timed: bool = True
    keep: bool = False

    @property
    def shape(self) -> Shape:
        """Names of the fleet's processes."""
        return Shape.of_size(self.entries, self.engines)


def play(seed: int, options: SeedOptions, parent: Path = FOLDER) -> Outcome:
    """Play one seed; its folder stays if something was found, or if told so."""
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
    run = SoakRun(folder, seed, options.seconds, options.shape, options.timed)
    outcome = asyncio.run(run.play())
    if not outcome.findings and not options.keep:
        shutil.rmtree(folder)
    return outcome
