"""Draw stops in series, with signals and changes before and during them."""

import random
from collections.abc import Iterator
from math import inf

from soak.plan import (
    AT_END_KINDS,
    FAILURE_DOMAINS,
    SETTLE_S,
    VERSION_END_KINDS,
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
# Engines stand still when streams that were taken after the signal are near their end,
# which is near the end of the drain.
END_PAUSE_AFTER_S = (4.5, 6.5)
END_PAUSE_S = (0.8, 1.6)
# How long a stop takes while callers send on.
STOP_S = 7.2
LEFT_OUT = {
    *VERSION_END_KINDS,
    *AT_END_KINDS,
    FaultKind.LONG_SILENCE_AT_END,
    FaultKind.PAUSE_WITH_WEIGHTS,
}


def add_stops(
    faults: list[Fault], seed: int, seconds: float, shape: FleetShape
) -> list[Fault]:
    """Return the faults of a seed with stops in series besides."""
    drawn = draw_stops(random.Random(f"stops/{seed}"), seconds, shape)
    stops = drop_stops_near_wipes(drawn, faults)
    return sorted((*faults, *stops), key=lambda fault: fault.at_s)


def add_end_pauses(faults: list[Fault], seed: int, shape: FleetShape) -> list[Fault]:
    """Return the faults of a seed with a pause of engines late in each entry's stop.

    Ends of versions are left out: engines cut a stream in progress at the end of its
    version, whether or not its entry stops.
    """
    faults = [fault for fault in faults if fault.kind not in LEFT_OUT]
    rng = random.Random(f"end pauses/{seed}")
    ends_s = dict.fromkeys(shape.entries, 0.0)
    pauses = []
    for fault in faults:
        # A stop signal before the end of a stop begins no other one.
        if fault.kind is FaultKind.TERM and fault.at_s >= ends_s.get(fault.name, inf):
            ends_s[fault.name] = fault.at_s + STOP_S
            at_s = fault.at_s + rng.uniform(*END_PAUSE_AFTER_S)
            name = rng.choice(("", *FAILURE_DOMAINS, *shape.sidecars))
            pause_s = rng.uniform(*END_PAUSE_S)
            pauses.append(Fault(at_s, FaultKind.PAUSE, name, pause_s))
    return sorted((*faults, *pauses), key=lambda fault: fault.at_s)


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
