"""Which fault comes when: drawn from a seed, and told as a timeline. Pure."""

import random
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

# Before the first fault the fleet is whole and serves; after the last one it must
# serve again.
CALM_S = 3.0
# A control instance that lost its disk is repaired this long after it is back.
# Tolerance is one disk: another one is taken only then.
REPAIR_S = 10.0


class Kind(Enum):
    """What happens."""

    KILL = "kill"
    TERM = "term"
    FREEZE = "freeze"
    KILL_CONTROLS = "kill_controls"
    KILL_ALL = "kill_all"
    WIPE = "wipe"
    TORN = "torn"
    HUP = "hup"
    CUT = "cut"
    CUT_ONE_WAY = "cut_one_way"
    RESET = "reset"
    SILENCE = "silence"
    SLOW = "slow"
    ENGINE_CRASH = "engine_crash"
    ENGINE_DARK = "engine_dark"
    ENGINE_RELEASE = "engine_release"
    TARGET_GREY = "target_grey"
    TARGET_REST = "target_rest"
    ORIGIN_AWAY = "origin_away"
    ORIGIN_GARBLE = "origin_garble"
    STAGED_ROT = "staged_rot"
    CONFIG = "config"
    CONFIG_RACE = "config_race"
    CONFIG_BAD = "config_bad"
    WEIGHTS = "weights"


# Planned work: requests must survive it. All others are failures.
PLANNED = frozenset(
    {
        Kind.TERM,
        Kind.HUP,
        Kind.ENGINE_RELEASE,
        Kind.TARGET_REST,
        Kind.CONFIG,
        Kind.CONFIG_RACE,
        Kind.CONFIG_BAD,
        Kind.WEIGHTS,
    }
)
NODE_KINDS = (Kind.KILL, Kind.TERM, Kind.FREEZE, Kind.HUP)
LINK_KINDS = (Kind.CUT, Kind.CUT_ONE_WAY, Kind.RESET, Kind.SILENCE, Kind.SLOW)
CONTROL_KINDS = (Kind.WIPE, Kind.TORN)
ENGINE_KINDS = (
    Kind.ENGINE_CRASH,
    Kind.ENGINE_DARK,
    Kind.ENGINE_RELEASE,
    Kind.STAGED_ROT,
)
# How often each kind is drawn, against the others.
WEIGHTS = {
    Kind.KILL: 3,
    Kind.TERM: 3,
    Kind.FREEZE: 3,
    Kind.KILL_CONTROLS: 1,
    Kind.KILL_ALL: 1,
    Kind.WIPE: 1,
    Kind.TORN: 1,
    Kind.HUP: 1,
    Kind.CUT: 2,
    Kind.CUT_ONE_WAY: 2,
    Kind.RESET: 2,
    Kind.SILENCE: 2,
    Kind.SLOW: 1,
    Kind.ENGINE_CRASH: 2,
    Kind.ENGINE_DARK: 1,
    Kind.ENGINE_RELEASE: 2,
    Kind.TARGET_GREY: 1,
    Kind.ORIGIN_AWAY: 1,
    Kind.ORIGIN_GARBLE: 1,
    Kind.STAGED_ROT: 1,
    Kind.CONFIG: 4,
    Kind.CONFIG_RACE: 2,
    Kind.CONFIG_BAD: 1,
    Kind.WEIGHTS: 2,
}


# Mean time between two targets that ask for rest. These are drawn apart, so that the
# other faults of a seed stay what they are.
REST_PAUSE_S = 4.0


class Fault(NamedTuple):
    """One fault: `for_s` is how long it lasts, or until a process is started again."""

    at_s: float
    kind: Kind
    name: str
    for_s: float

    def __str__(self) -> str:
        return (
            f"{self.at_s:6.2f} s {self.kind.value} {self.name} for {self.for_s:.2f} s"
        )


class Shape(NamedTuple):
    """Names of the processes and targets of a fleet."""

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    sidecars: tuple[str, ...]
    plain: tuple[str, ...]

    @property
    def nodes(self) -> tuple[str, ...]:
        """Return every process of the system."""
        return self.controls + self.entries + self.sidecars

    @classmethod
    def of_size(cls, entries: int, engines: int) -> "Shape":
        """Name three control instances, and so many entries and engines."""
        return cls(
            names("control", 3),
            names("entry", entries),
            names("sidecar", engines),
            names("plain", 2),
        )


def names(role: str, count: int) -> tuple[str, ...]:
    """Return numbered names."""
    return tuple(f"{role}-{number}" for number in range(1, count + 1))


def draw(seed: int, seconds: float, shape: Shape, pause_s: float = 1.2) -> list[Fault]:
    """Draw the faults of a run: single ones, series and overlaps.

    Parameters
    ----------
    seed : int
        The same seed gives the same faults.
    seconds : float
        From the first fault to the last.
    shape : Shape
        Whom they may meet.
    pause_s : float
        Mean time between two of them.
    """
    faults = [
        *drawn(random.Random(seed), seconds, shape, pause_s),
        *rests(random.Random(f"rests/{seed}"), seconds, shape),
    ]
    return list(admissible(sorted(faults, key=lambda fault: fault.at_s)))


def rests(rng: random.Random, seconds: float, shape: Shape) -> Iterator[Fault]:
    """Yield targets that turn all requests away and ask for rest."""
    at_s = CALM_S + rng.expovariate(1 / REST_PAUSE_S)
    while at_s < CALM_S + seconds:
        name = rng.choice(candidates(Kind.TARGET_REST, shape))
        yield Fault(at_s, Kind.TARGET_REST, name, rng.uniform(1.0, 3.0))
        at_s += rng.expovariate(1 / REST_PAUSE_S)


def drawn(
    rng: random.Random, seconds: float, shape: Shape, pause_s: float
) -> Iterator[Fault]:
    """Yield faults in their order; one in five is a series of its kind."""
    at_s = CALM_S
    kinds, weights = tuple(WEIGHTS), tuple(WEIGHTS.values())
    while at_s < CALM_S + seconds:
        kind = rng.choices(kinds, weights)[0]
        for repeat in range(rng.choice((1, 1, 1, 1, 3))):
            name = rng.choice(candidates(kind, shape))
            # Repeats are closer to each other than they last: they overlap.
            again_s = repeat * rng.uniform(0.05, 0.8)
            yield Fault(at_s + again_s, kind, name, rng.uniform(0.1, 3.0))
        at_s += rng.expovariate(1 / pause_s)


def candidates(kind: Kind, shape: Shape) -> tuple[str, ...]:
    """Return whom a kind of fault may meet."""
    if kind in CONTROL_KINDS:
        return shape.controls
    if kind in ENGINE_KINDS:
        return shape.sidecars
    if kind in NODE_KINDS or kind in LINK_KINDS:
        return shape.nodes
    if kind is Kind.TARGET_REST:
        return shape.plain + shape.sidecars
    return shape.plain if kind is Kind.TARGET_GREY else ("",)


def admissible(faults: list[Fault]) -> Iterator[Fault]:
    """Leave out disks that are lost before the last loss was repaired.

    A repair takes a majority, so whatever takes control instances away meanwhile
    puts its end off; no disk is taken until all of that is over.
    """
    whole_s = 0.0
    for fault in faults:
        if fault.kind is Kind.WIPE and fault.at_s < whole_s:
            continue
        if fault.kind is Kind.WIPE:
            whole_s = fault.at_s + fault.for_s + REPAIR_S
        elif "control" in fault.name or fault.kind in (
            Kind.KILL_CONTROLS,
            Kind.KILL_ALL,
        ):
            whole_s = max(whole_s, fault.at_s + fault.for_s + REPAIR_S)
        yield fault
