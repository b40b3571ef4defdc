"""Draw stops in series, with signals and changes before and during them."""

import random
from collections.abc import Iterator

from soak.plan import (
    SETTLE_S,
    Fault,
    FaultKind,
    FleetShape,
    drop_stops_near_wipes,
)

STOP_INTERVAL_S = 1.5
# Time from one stop of a series to the next, and until a process starts again.
SERIES_INTERVAL_S = 1.5
RESTART_S = (0.1, 1.0)
# What comes with a stop: before it, and while an entry accepts connections. A second
# stop signal is one of these.
BESIDE_KINDS = (FaultKind.HUP, FaultKind.CONFIG, FaultKind.TERM)
MAX_BESIDE = 3
BEFORE_S, DURING_S = 0.3, 2.3


def add_stops(
    faults: list[Fault], seed: int, seconds: float, shape: FleetShape
) -> list[Fault]:
    """Return the faults of a seed with stops in series besides."""
    drawn = draw_stops(random.Random(f"stops/{seed}"), seconds, shape)
    stops = drop_stops_near_wipes(drawn, faults)
    return sorted((*faults, *stops), key=lambda fault: fault.at_s)


def draw_stops(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield stops of one entry, of all entries in series, or of any process."""
    at_s = SETTLE_S + rng.expovariate(1 / STOP_INTERVAL_S)
    while at_s < SETTLE_S + seconds:
        names = rng.choice(
            (
                [rng.choice(shape.entries)],
                rng.sample(shape.entries, len(shape.entries)),
                [rng.choice(shape.nodes)],
            )
        )
        for name in names:
            yield Fault(at_s, FaultKind.TERM, name, rng.uniform(*RESTART_S))
            if name in shape.entries:
                yield from draw_beside(rng, at_s, name)
            at_s += rng.uniform(0.0, SERIES_INTERVAL_S)
        at_s += rng.expovariate(1 / STOP_INTERVAL_S)


def draw_beside(rng: random.Random, at_s: float, name: str) -> Iterator[Fault]:
    """Yield what comes with the stop of an entry."""
    for _ in range(rng.randint(0, MAX_BESIDE)):
        kind = rng.choice(BESIDE_KINDS)
        earliest_s = 0.0 if kind is FaultKind.TERM else -BEFORE_S
        beside_s = at_s + rng.uniform(earliest_s, DURING_S)
        name_of_kind = "" if kind is FaultKind.CONFIG else name
        yield Fault(beside_s, kind, name_of_kind, rng.uniform(*RESTART_S))
