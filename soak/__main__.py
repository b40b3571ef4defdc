"""Run seeds in sequence or in parallel; print one JSON line per seed."""

import argparse
import json
import multiprocessing
import secrets
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from soak.callers import CALLERS_PER_ENTRY
from soak.regressions import REGRESSIONS
from soak.run import Outcome, SeedOptions
from soak.seeds import run_seed


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    add = parser.add_argument
    switch = partial(add, action="store_true")
    add("--seeds", type=int, default=1, help="number of new seeds")
    add("--seed", type=int, nargs="*", default=[], help="seeds to run")
    add("--seconds", type=float, default=30.0, help="fault time per seed")
    add("--entries", type=int, default=2)
    add("--engines", type=int, default=3)
    add("--jobs", type=int, default=1, help="seeds in parallel")
    add("--untimed", dest="timed", action="store_false", help="skip time bounds")
    switch("--timeline", help="only print the faults")
    switch("--regressions", help="run all seeds that failed before")
    switch("--keep", dest="keep_folder", help="keep logs of passing seeds")
    switch("--calm", help="only planned operations and pauses")
    callers_help = "callers of each entry; 60 are more than three engines serve"
    add("--callers", type=int, default=CALLERS_PER_ENTRY, help=callers_help)
    endless = argparse.BooleanOptionalAction
    add("--endless", action=endless, default=False, help="also answers without end")
    switch("--leaves", help="also leaves acknowledged by an instance that dies")
    switch("--stops", help="also stops in series, and callers that send in parts")
    switch("--long-streams", help="also streams that may meet the end of a drain")
    return parser.parse_args()


def print_outcome(outcome: Outcome) -> None:
    """Print the outcome of a seed as a JSON line."""
    line = outcome._asdict() | {"findings": [tuple(f) for f in outcome.findings]}
    print(json.dumps(line), flush=True)


def runs_of(
    arguments: argparse.Namespace, options: SeedOptions
) -> list[tuple[int, SeedOptions]]:
    """Return the seeds to run, each with its options; regressions have their own."""
    if arguments.regressions:
        return [
            (
                each.seed,
                options._replace(
                    seconds=each.seconds, calm=each.calm, callers=each.callers
                ),
            )
            for each in REGRESSIONS
        ]
    seeds = arguments.seed or [
        secrets.randbelow(1 << 31) for _ in range(arguments.seeds)
    ]
    return [(seed, options) for seed in seeds]


def main() -> int:
    """Run the seeds; return 1 if any of them has findings."""
    arguments = parse_arguments()
    options = SeedOptions(
        **{name: getattr(arguments, name) for name in SeedOptions._fields}
    )
    runs = runs_of(arguments, options)
    if arguments.timeline:
        for seed, each in runs:
            print(*each.draw_plan(seed), sep="\n")
        return 0
    found = 0
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(arguments.jobs, context, max_tasks_per_child=1) as pool:
        for outcome in pool.map(run_seed, *zip(*runs, strict=True)):
            print_outcome(outcome)
            found += bool(outcome.findings)
    print(json.dumps({"seeds": len(runs), "with findings": found}))
    return int(found > 0)


if __name__ == "__main__":
    sys.exit(main())
