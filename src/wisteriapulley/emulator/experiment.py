"""Runs policy variants on the same arrivals, and formats the results as a table."""

from collections.abc import Iterator
from typing import NamedTuple

from wisteriapulley.emulator.fleet import Fleet, Outcome, Scenario

# Each variant changes one setting of the base scenario.
VARIANTS = {
    "as built": {},
    "no change of weights": {"change_s": 0.0},
    "change: long requests refused early (overrun 100 ms)": {"max_overrun_ms": 100.0},
    "change: all requests admitted until it": {"max_overrun_ms": 9000.0},
    "no extra slot": {"extra_slots": 0},
    "three extra slots": {"extra_slots": 3},
    "two sidecars asked": {"max_asked": 2},
    "late requests compete with new ones": {"deprioritize_late": False},
    "refused callers retry after 250 ms": {"spread_retries": False},
    "no margin for the network": {"margin_ms": 0.0},
}


class Row(NamedTuple):
    """Mean outcome of one variant over several seeds."""

    name: str
    in_time: float
    late: float
    refused: float
    worth: float
    worst_window: float


def run_variants(base: Scenario, seeds: int) -> Iterator[Row]:
    """Run every variant with the same seeds."""
    for name, changes in VARIANTS.items():
        outcomes = [
            Fleet(base._replace(seed=seed, **changes)).run()
            for seed in range(1, seeds + 1)
        ]
        yield average(name, outcomes)


def average(name: str, outcomes: list[Outcome]) -> Row:
    """Average outcomes; the first three columns are fractions of the requests."""
    request_count = sum(o.requests for o in outcomes)
    return Row(
        name,
        sum(o.in_time for o in outcomes) / request_count,
        sum(o.late for o in outcomes) / request_count,
        sum(o.refused for o in outcomes) / request_count,
        sum(o.worth for o in outcomes) / len(outcomes),
        sum(o.worst_window for o in outcomes) / len(outcomes),
    )


def format_table(rows: Iterator[Row]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield "| decision | in time | late | refused | worth | worst two seconds |"
    yield "| --- | --- | --- | --- | --- | --- |"
    for row in rows:
        figures = " | ".join(f"{value:.3f}" for value in row[1:])
        yield f"| {row.name} | {figures} |"
