"""Run seeds in sequence or in parallel; print one JSON line per seed."""

import argparse
import json
import multiprocessing
import secrets
import sys
from concurrent.futures import ProcessPoolExecutor

from soak.callers import CALLERS_PER_ENTRY
from soak.plan import draw_faults
from soak.regressions import REGRESSIONS
from soak.run import Outcome
from soak.seeds import SeedOptions, run_seed
from soak.stops import add_stops


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of new seeds")
    parser.add_argument("--seed", type=int, nargs="*", default=[], help="seeds to run")
    parser.add_argument(
        "--seconds", type=float, default=30.0, help="fault time per seed"
    )
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=1, help="seeds in parallel")
    parser.add_argument("--untimed", action="store_true", help="skip time bounds")
    parser.add_argument("--timeline", action="store_true", help="only print the faults")
    parser.add_argument(
        "--regressions", action="store_true", help="run all seeds that failed before"
    )
    parser.add_argument(
        "--keep", action="store_true", help="keep logs of passing seeds"
    )
    parser.add_argument(
        "--calm", action="store_true", help="only planned operations and pauses"
    )
    parser.add_argument(
        "--callers",
        type=int,
        default=CALLERS_PER_ENTRY,
        help="callers of each entry; 60 are more than three engines serve",
    )
    parser.add_argument(
        "--endless",
        action=argparse.BooleanOptionalAction,
        default=False,
        help="also draw targets and engines whose answers come without end",
    )
    parser.add_argument(
        "--leaves",
        action="store_true",
        help="also draw targets whose leave is acknowledged by an instance that dies",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="also draw stops in series, and callers that send in parts",
    )
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
        arguments.seconds,
        arguments.entries,
        arguments.engines,
        not arguments.untimed,
        arguments.keep,
        arguments.calm,
        arguments.callers,
        arguments.endless,
        arguments.leaves,
        arguments.stops,
    )
    runs = runs_of(arguments, options)
    if arguments.timeline:
        for seed, each in runs:
            faults = draw_faults(
                seed,
                each.seconds,
                each.shape,
                calm=each.calm,
                endless=each.endless,
                leaves=each.leaves,
            )
            if each.stops:
                faults = add_stops(faults, seed, each.seconds, each.shape)
            print(*faults, sep="\n")
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
