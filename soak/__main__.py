"""Plays seeds one after the other, or some at once, and writes a JSON line each."""

import argparse
import json
import multiprocessing
import secrets
import sys
from concurrent.futures import ProcessPoolExecutor

from soak.plan import draw
from soak.regressions import REGRESSIONS
from soak.run import Outcome
from soak.seeds import SeedOptions, play


def arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many fresh seeds")
    parser.add_argument("--seed", type=int, nargs="*", default=[], help="these seeds")
    parser.add_argument("--seconds", type=float, default=30.0, help="of faults, each")
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at once")
    parser.add_argument("--untimed", action="store_true", help="the machine is busy")
    parser.add_argument("--timeline", action="store_true", help="print the faults only")
    parser.add_argument(
        "--regressions", action="store_true", help="all seeds that once failed"
    )
    parser.add_argument("--keep", action="store_true", help="keep logs of good seeds")
    return parser.parse_args()


def show(outcome: Outcome) -> None:
    """Print what a seed showed."""
    line = outcome._asdict() | {"findings": [tuple(f) for f in outcome.findings]}
    print(json.dumps(line), flush=True)


def main() -> int:
    """Play; return 1 if anything was found."""
    given = arguments()
    options = SeedOptions(
        given.seconds,
        given.entries,
        given.engines,
        not given.untimed,
        given.keep,
    )
    if given.regressions:
        given.seed = [regression.seed for regression in REGRESSIONS]
    seeds = given.seed or [secrets.randbelow(1 << 31) for _ in range(given.seeds)]
    if given.timeline:
        for seed in seeds:
            print(*draw(seed, options.seconds, options.shape), sep="\n")
        return 0
    found = 0
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(given.jobs, context, max_tasks_per_child=1) as pool:
        for outcome in pool.map(play, seeds, [options] * len(seeds)):
            show(outcome)
            found += bool(outcome.findings)
    print(json.dumps({"seeds": len(seeds), "with findings": found}))
    return int(found > 0)


if __name__ == "__main__":
    sys.exit(main())
