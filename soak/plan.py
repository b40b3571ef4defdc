"""Draw the timeline of faults from a seed. Does no I/O."""

import random
from collections.abc import Iterable, Iterator
from enum import Enum
from itertools import cycle
from typing import NamedTuple

# Fault-free time before the first fault and after the last one. The fleet serves
# before the first fault and must serve again after the last one.
SETTLE_S = 3.0
# A control instance whose disk was wiped is repaired this long after its restart.
# The system tolerates one lost disk, so no other disk is wiped before that.
DISK_REPAIR_S = 10.0


class FaultKind(Enum):
    """Kind of a fault. The values appear in the output."""

    KILL = "kill"
    TERM = "term"
    FREEZE = "freeze"
    KILL_CONTROLS = "kill_controls"
    KILL_ALL = "kill_all"
    WIPE = "wipe"
    TORN_WRITE = "torn"
    HUP = "hup"
    CUT = "cut"
    CUT_ONE_WAY = "cut_one_way"
    RESET = "reset"
    SILENCE = "silence"
    SLOW = "slow"
    ENGINE_CRASH = "engine_crash"
    ENGINE_UNRESPONSIVE = "engine_dark"
    ENGINE_RELEASE = "engine_release"
    CRASHING_PART = "crashing_part"
    TARGET_GREY = "target_grey"
    TARGET_COOLDOWN = "target_rest"
    ORIGIN_UNREACHABLE = "origin_away"
    ORIGIN_CORRUPTION = "origin_garble"
    STAGED_CORRUPTION = "staged_rot"
    CONFIG = "config"
    CONFIG_RACE = "config_race"
    CONFIG_INVALID = "config_bad"
    WEIGHTS = "weights"
    EVACUATE = "evacuate"
    PAUSE = "pause"
    PAUSE_WITH_CONFIG = "pause_config"
    PAUSE_WITH_WEIGHTS = "pause_weights"
    LONG_PAUSE = "pause_long"
    WEIGHTS_ORIGIN_AWAY = "weights_away"
    SHORT_FREEZE = "freeze_short"
    RETURN_AFTER_TERM = "term_return"
    RETURN_AFTER_KILL = "kill_return"
    SILENCE_AT_END = "silence_end"
    SLOW_BEGIN = "begin_slow"
    UNNOTICED_CLOSE = "begin_deaf"
    LONG_SILENCE_AT_END = "silence_long"
    ENDLESS_BODY = "endless_body"
    ENDLESS_STREAM = "endless_stream"
    ENDLESS_REPORT = "endless_report"
    LEAVE_AND_KILL = "leave_kill"


# Targets stand still and go on: alone, while the configuration changes, or while the
# grace period of a superseded version of the weights ends.
PAUSE_KINDS = (
    FaultKind.PAUSE,
    FaultKind.PAUSE_WITH_CONFIG,
    FaultKind.PAUSE_WITH_WEIGHTS,
)
# Versions whose grace period ends while no engine has the next one, and what happens
# to processes around their naming.
VERSION_END_KINDS = (
    FaultKind.WEIGHTS_ORIGIN_AWAY,
    FaultKind.SHORT_FREEZE,
    FaultKind.RETURN_AFTER_TERM,
    FaultKind.RETURN_AFTER_KILL,
)
# What engines do shortly before and across the end of a version: they stand still,
# begin requests later than usual, or do so without noticing closed connections.
AT_END_KINDS = (
    FaultKind.SILENCE_AT_END,
    FaultKind.SLOW_BEGIN,
    FaultKind.UNNOTICED_CLOSE,
)
# Targets and engines whose answers come without end: the body of a plain target, the
# comments of a stream, the report of an engine to its sidecar.
ENDLESS_KINDS = (
    FaultKind.ENDLESS_BODY,
    FaultKind.ENDLESS_STREAM,
    FaultKind.ENDLESS_REPORT,
)
# Planned operations and pauses, which must not make requests fail. All other kinds are
# failures.
PLANNED_KINDS = frozenset(
    {
        *PAUSE_KINDS,
        FaultKind.LONG_PAUSE,
        FaultKind.WEIGHTS_ORIGIN_AWAY,
        FaultKind.SHORT_FREEZE,
        FaultKind.RETURN_AFTER_TERM,
        *AT_END_KINDS,
        FaultKind.LONG_SILENCE_AT_END,
        FaultKind.TERM,
        FaultKind.HUP,
        FaultKind.ENGINE_RELEASE,
        FaultKind.TARGET_COOLDOWN,
        FaultKind.CONFIG,
        FaultKind.CONFIG_RACE,
        FaultKind.CONFIG_INVALID,
        FaultKind.WEIGHTS,
        FaultKind.EVACUATE,
    }
)
NODE_KINDS = (FaultKind.KILL, FaultKind.TERM, FaultKind.FREEZE, FaultKind.HUP)
LINK_KINDS = (
    FaultKind.CUT,
    FaultKind.CUT_ONE_WAY,
    FaultKind.RESET,
    FaultKind.SILENCE,
    FaultKind.SLOW,
)
CONTROL_KINDS = (FaultKind.WIPE, FaultKind.TORN_WRITE)
ENGINE_KINDS = (
    FaultKind.ENGINE_CRASH,
    FaultKind.ENGINE_UNRESPONSIVE,
    FaultKind.ENGINE_RELEASE,
    FaultKind.STAGED_CORRUPTION,
)
# Length of an endless answer's fault, longer than callers wait for one answer, and the
# mean time between the end of one and the start of the next.
ENDLESS_S = (5.5, 8.0)
ENDLESS_INTERVAL_S = 3.0
# How long a control instance is away that is killed when it has acknowledged a leave,
# and the mean time from one leave to the next, in which several may overlap.
LEAVE_AWAY_S = (0.3, 3.0)
LEAVE_INTERVAL_S = 4.0
# Relative frequency of each kind. The draws of a seed depend on the order.
DRAW_WEIGHTS = {
    FaultKind.KILL: 3,
    FaultKind.TERM: 3,
    FaultKind.FREEZE: 3,
    FaultKind.KILL_CONTROLS: 1,
    FaultKind.KILL_ALL: 1,
    FaultKind.WIPE: 1,
    FaultKind.TORN_WRITE: 1,
    FaultKind.HUP: 1,
    FaultKind.CUT: 2,
    FaultKind.CUT_ONE_WAY: 2,
    FaultKind.RESET: 2,
    FaultKind.SILENCE: 2,
    FaultKind.SLOW: 1,
    FaultKind.ENGINE_CRASH: 2,
    FaultKind.ENGINE_UNRESPONSIVE: 1,
    FaultKind.ENGINE_RELEASE: 2,
    FaultKind.TARGET_GREY: 1,
    FaultKind.ORIGIN_UNREACHABLE: 1,
    FaultKind.ORIGIN_CORRUPTION: 1,
    FaultKind.STAGED_CORRUPTION: 1,
    FaultKind.CONFIG: 4,
    FaultKind.CONFIG_RACE: 2,
    FaultKind.CONFIG_INVALID: 1,
    FaultKind.WEIGHTS: 2,
}


# Mean time between two cool-downs that targets request. These are drawn with a
# separate generator, so that the other faults of a seed do not change.
COOLDOWN_INTERVAL_S = 4.0
# Parts of prompts that crash engines have a generator of their own, and come in this
# fraction of the runs, since the engines that they crash excuse what fails elsewhere.
CRASHING_PART_FRACTION = 0.4
CRASHING_PART_S = (12.0, 20.0)
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
# Evacuations, too, have a generator of their own. One lasts longer than the time in
# which it must take effect. They follow one another with a mean pause of this length.
EVACUATION_S = (8.0, 14.0)
EVACUATION_PAUSE_S = 3.0
# Pauses of targets have a generator of their own. Most are about as long as an ordinary
# pause of a process; some are longer than entries wait before they try another target,
# but end well within the time limits of the routes.
PAUSE_S = ((0.3, 1.5), (0.3, 1.5), (0.3, 1.5), (1.5, 2.5))
PAUSE_DRAW_WEIGHTS = {
    FaultKind.PAUSE: 4,
    FaultKind.PAUSE_WITH_CONFIG: 3,
    FaultKind.PAUSE_WITH_WEIGHTS: 1,
}
# Requests run for at least this long between two pauses, so that none meets several
# long ones. The mean is longer by `PAUSE_INTERVAL_S`.
MIN_PAUSE_INTERVAL_S = 0.8
PAUSE_INTERVAL_S = 1.2
# A pause that the end of a grace period falls into. It begins early enough that
# requests were sent before, and ends later than any of them may start.
PAUSE_AT_VERSION_END_S = (1.4, 2.5)

# An engine stands still for longer than callers wait for an event, in this fraction of
# the runs. A generator of its own leaves the other faults of a seed unchanged.
LONG_PAUSE_FRACTION = 0.6
LONG_PAUSE_S = (3.4, 4.4)

# Ends of versions, and what comes with them, have a generator of their own. The origin
# is away for this long after the acknowledgement, so that the old version ends; then
# engines have some time to load the new one.
ORIGIN_AWAY_S = (9.2, 10.5)
VERSION_END_INTERVAL_S = (1.0, 4.0)
# What comes with the naming: processes that stand still, further versions, processes
# that stop and return. Each comes alone more often than with others.
VERSION_END_PARTS = (
    *2 * (("freeze",), ("row",), ("return",)),
    ("freeze", "row"),
    ("freeze", "return"),
    ("row", "return"),
    ("freeze", "row", "return"),
)
# A sound process stands still for no longer than this. Of such a freeze this fraction
# passes before the version is named, and the rest makes its age wrong.
SHORT_FREEZE_S = (0.3, 1.0)
FREEZE_BEFORE_NAMING = (0.05, 0.3)
# Engines stand still across the end in this fraction of the draws, for this long.
PAUSE_AT_END_FRACTION = 0.5
PAUSE_AT_END_S = (0.7, 1.0)
# Where no engine stands still across the end, one does so in this fraction of the ends:
# twice within a second, together for this long, or once with slow begins on top. The
# end falls into the last of the silences, after this fraction of it.
SILENCES_FRACTION = 0.7
SILENCES_TOTAL_S = (1.0, 1.5)
FIRST_SILENCE_FRACTION = (0.3, 0.7)
SILENCE_GAP_S = (0.1, 0.4)
SILENCE_BEFORE_END = (0.3, 0.9)
# Slow begins take this much longer than usual, from this long before the silence on.
SLOW_BEGIN_S = (0.2, 0.5)
SLOW_BEFORE_SILENCE_S = 0.5
# At this fraction of the ends without a pause one engine stands still for longer, alone
# or with later begins on top, mostly without noticing closed connections. The end falls
# anywhere into the silence.
LONG_SILENCES_FRACTION = 0.6
LONG_SILENCE_S = (1.5, 2.5)
LONG_SILENCE_BEFORE_END = (0.5, 0.9)
LONG_SILENCE_BEGINS = (
    None,
    FaultKind.SLOW_BEGIN,
    FaultKind.UNNOTICED_CLOSE,
    FaultKind.UNNOTICED_CLOSE,
)
LONG_SLOW_BEGIN_S = (0.4, 1.0)
LONG_SLOW_BEFORE_SILENCE_S = 1.0
# The part of the targets that read a request only when they go on after a silence. For
# the others its time limit passes meanwhile.
LATE_READERS_FRACTION = 0.5
ROW_VERSIONS = (10, 20)
ROW_INTERVAL_S = (0.2, 0.6)
# How long before the naming a control instance stops, how long it is away at most (all
# of a series together), and the time from its start until the next process stops.
STOP_BEFORE_NAMING_S = (0.1, 0.5)
MIN_AWAY_S, MAX_AWAY_S = 0.5, 4.0
RETURN_S = 0.6
RESTART_S = (0.1, 0.3)
RESTART_INTERVAL_S = 0.3


class Fault(NamedTuple):
    """One fault; `duration_s` is its length, or the time until a process restarts.

    Targets stand still for `pause_s` when the grace period of a version ends. A fault
    at the end of a version starts at its naming, and takes effect `lead_s` before the
    end; `duration_s` of slow begins is how much later than usual they are. `target`
    leaves at the control instance `name`.
    """

    at_s: float
    kind: FaultKind
    name: str
    duration_s: float
    pause_s: float = 0.0
    lead_s: float = 0.0
    target: str = ""

    def __str__(self) -> str:
        pause = f", pause of {self.pause_s:.2f} s" if self.pause_s else ""
        lead = f", {self.lead_s:.2f} s before the end" if self.lead_s else ""
        leave = f", leave of {self.target}" if self.target else ""
        return (
            f"{self.at_s:6.2f} s {self.kind.value} {self.name}"
            f" for {self.duration_s:.2f} s{pause}{lead}{leave}"
        )


class FleetShape(NamedTuple):
    """Names of the processes and targets of a fleet."""

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    sidecars: tuple[str, ...]
    plain_targets: tuple[str, ...]

    @property
    def nodes(self) -> tuple[str, ...]:
        """Names of all processes of the system."""
        return self.controls + self.entries + self.sidecars

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of all targets; an engine has the name of its sidecar."""
        return self.plain_targets + self.sidecars

    @classmethod
    def of_size(cls, entries: int, engines: int) -> "FleetShape":
        """Return names of three control instances and the given entries and engines."""
        return cls(
            numbered_names("control", 3),
            numbered_names("entry", entries),
            numbered_names("sidecar", engines),
            numbered_names("plain", 2),
        )


def numbered_names(role: str, count: int) -> tuple[str, ...]:
    """Return `count` names of the form ``role-1``."""
    return tuple(f"{role}-{number}" for number in range(1, count + 1))


def draw_faults(
    seed: int,
    seconds: float,
    shape: FleetShape,
    mean_interval_s: float = 1.2,
    calm: bool = False,
    endless: bool = False,
    leaves: bool = False,
) -> list[Fault]:
    """Return the faults of a run: single faults, series and overlapping faults.

    Parameters
    ----------
    seed : int
        Determines the faults.
    seconds : float
        Time in which faults start.
    shape : FleetShape
        Processes and targets that faults can affect.
    mean_interval_s : float
        Mean time between two faults or series.
    calm : bool
        Whether only planned operations and pauses are kept, so that no failure
        excuses a request that fails.
    endless : bool
        Whether targets and engines also give answers that come without end.
    leaves : bool
        Whether targets also leave at control instances that are killed at once.
    """
    faults = [
        *draw_series(random.Random(seed), seconds, shape, mean_interval_s),
        *draw_cooldowns(random.Random(f"rests/{seed}"), seconds, shape),
        *draw_evacuations(random.Random(f"evacuations/{seed}"), seconds),
        *draw_pauses(random.Random(f"pauses/{seed}"), seconds, shape),
        *draw_long_pauses(random.Random(f"long pauses/{seed}"), seconds, shape),
        *draw_crashing_parts(random.Random(f"parts/{seed}"), seconds),
    ]
    faults = list(drop_early_wipes(sorted(faults, key=lambda fault: fault.at_s)))
    rng = random.Random(f"ends/{seed}")
    version_ends = list(draw_version_ends(rng, seconds, shape))
    faults += drop_stops_near_wipes(version_ends, faults)
    at_ends = draw_at_ends(random.Random(f"at ends/{seed}"), version_ends, shape)
    rng = random.Random(f"long silences/{seed}")
    faults += lengthen_silences(rng, at_ends, version_ends, shape)
    if calm:
        faults = [fault for fault in faults if fault.kind in PLANNED_KINDS]
    if endless:
        faults += draw_endless(random.Random(f"endless/{seed}"), seconds, shape)
    if leaves:
        drawn = draw_leaves(random.Random(f"leaves/{seed}"), seconds, shape)
        faults += drop_stops_near_wipes(drawn, faults)
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_cooldowns(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield faults in which a target rejects all requests and requests a cool-down."""
    at_s = SETTLE_S + rng.expovariate(1 / COOLDOWN_INTERVAL_S)
    while at_s < SETTLE_S + seconds:
        name = rng.choice(candidates(FaultKind.TARGET_COOLDOWN, shape))
        yield Fault(at_s, FaultKind.TARGET_COOLDOWN, name, rng.uniform(1.0, 3.0))
        at_s += rng.expovariate(1 / COOLDOWN_INTERVAL_S)


def draw_endless(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield targets and engines whose answers come without end, one after the other."""
    at_s = SETTLE_S + rng.expovariate(1 / ENDLESS_INTERVAL_S)
    while at_s < SETTLE_S + seconds:
        kind = rng.choice(ENDLESS_KINDS)
        name = rng.choice(candidates(kind, shape))
        duration_s = rng.uniform(*ENDLESS_S)
        yield Fault(at_s, kind, name, duration_s)
        at_s += duration_s + rng.expovariate(1 / ENDLESS_INTERVAL_S)


def draw_leaves(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield targets that deregister at a control instance, which is killed at once."""
    at_s = SETTLE_S + rng.expovariate(1 / LEAVE_INTERVAL_S)
    while at_s < SETTLE_S + seconds:
        name, target = rng.choice(shape.controls), rng.choice(shape.targets)
        duration_s = rng.uniform(*LEAVE_AWAY_S)
        yield Fault(at_s, FaultKind.LEAVE_AND_KILL, name, duration_s, target=target)
        at_s += rng.expovariate(1 / LEAVE_INTERVAL_S)


def draw_evacuations(rng: random.Random, seconds: float) -> Iterator[Fault]:
    """Yield evacuations of the failure domains in turn, one at a time.

    A domain comes again only after all others. By then no copy of the order that
    withdrew its last evacuation is still under way.
    """
    domains = cycle(rng.sample(FAILURE_DOMAINS, len(FAILURE_DOMAINS)))
    at_s = SETTLE_S + rng.expovariate(1 / EVACUATION_PAUSE_S)
    while at_s < SETTLE_S + seconds:
        duration_s = rng.uniform(*EVACUATION_S)
        yield Fault(at_s, FaultKind.EVACUATE, next(domains), duration_s)
        at_s += duration_s + rng.expovariate(1 / EVACUATION_PAUSE_S)


def draw_pauses(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield pauses of one target, of a failure domain, or of all targets at once."""
    at_s = SETTLE_S + rng.expovariate(1 / PAUSE_INTERVAL_S)
    kinds, weights = tuple(PAUSE_DRAW_WEIGHTS), tuple(PAUSE_DRAW_WEIGHTS.values())
    while at_s < SETTLE_S + seconds:
        kind = rng.choices(kinds, weights)[0]
        name = rng.choice((rng.choice(shape.targets), rng.choice(FAILURE_DOMAINS), ""))
        duration_s = rng.uniform(*rng.choice(PAUSE_S))
        if kind is FaultKind.PAUSE_WITH_WEIGHTS:
            yield Fault(at_s, kind, name, rng.uniform(*PAUSE_AT_VERSION_END_S))
        else:
            yield Fault(at_s, kind, name, duration_s)
        at_s += duration_s + MIN_PAUSE_INTERVAL_S
        at_s += rng.expovariate(1 / PAUSE_INTERVAL_S)


def draw_long_pauses(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield a pause of one engine that callers of streams do not wait for."""
    if rng.random() < LONG_PAUSE_FRACTION:
        at_s = SETTLE_S + rng.uniform(0.0, seconds)
        name = rng.choice(shape.sidecars)
        yield Fault(at_s, FaultKind.LONG_PAUSE, name, rng.uniform(*LONG_PAUSE_S))


def draw_version_ends(
    rng: random.Random, seconds: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield versions of the weights that no engine has when the old one ends.

    Processes stand still while the first version is named, many versions follow each
    other, or control instances stop before and return with an own view of its age.
    """
    at_s = SETTLE_S + rng.uniform(*VERSION_END_INTERVAL_S)
    while at_s < SETTLE_S + seconds:
        parts = rng.choice(VERSION_END_PARTS)
        count = rng.randint(*ROW_VERSIONS) if "row" in parts else 1
        interval_s = rng.uniform(*ROW_INTERVAL_S)
        away_s = max(rng.uniform(*ORIGIN_AWAY_S), count * interval_s)
        if "freeze" in parts:
            yield from draw_short_freezes(rng, at_s, shape)
        if "return" in parts:
            yield from draw_returns(rng, at_s, shape)
        yield draw_naming(rng, at_s, away_s, shape)
        for number in range(1, count):
            passed_s = number * interval_s
            kind, left_s = FaultKind.WEIGHTS_ORIGIN_AWAY, away_s - passed_s
            yield Fault(at_s + passed_s, kind, "", left_s)
        at_s += away_s + rng.uniform(*VERSION_END_INTERVAL_S)


def draw_late_readers(seed: int, shape: FleetShape) -> frozenset[str]:
    """Return the targets that read a request only when they go on after a silence."""
    rng = random.Random(f"late readers/{seed}")
    return frozenset(
        name for name in shape.targets if rng.random() < LATE_READERS_FRACTION
    )


def first_namings(version_ends: Iterable[Fault]) -> Iterator[Fault]:
    """Yield the namings that replace a version, without the others of a row."""
    ended_s = 0.0
    for naming in version_ends:
        if naming.kind is FaultKind.WEIGHTS_ORIGIN_AWAY and naming.at_s >= ended_s:
            ended_s = naming.at_s + naming.duration_s
            yield naming


def draw_at_ends(
    rng: random.Random, version_ends: Iterable[Fault], shape: FleetShape
) -> Iterator[Fault]:
    """Yield what single engines do at the ends of versions that no pause falls into."""
    for naming in first_namings(version_ends):
        name, draws = rng.choice(shape.sidecars), rng.choice(AT_END_KINDS)
        if rng.random() >= SILENCES_FRACTION or naming.pause_s:
            continue
        if draws is FaultKind.SILENCE_AT_END:
            yield from draw_two_silences(rng, naming.at_s, name)
        else:
            yield from draw_slow_begins(rng, naming.at_s, draws, name)


def draw_two_silences(rng: random.Random, named_s: float, name: str) -> Iterator[Fault]:
    """Yield two silences of an engine that add up; the end falls into the second."""
    total_s = rng.uniform(*SILENCES_TOTAL_S)
    first_s = total_s * rng.uniform(*FIRST_SILENCE_FRACTION)
    second_s = total_s - first_s
    lead_s = second_s * rng.uniform(*SILENCE_BEFORE_END)
    first_lead_s = first_s + rng.uniform(*SILENCE_GAP_S) + lead_s
    kind = FaultKind.SILENCE_AT_END
    yield Fault(named_s, kind, name, first_s, lead_s=first_lead_s)
    yield Fault(named_s, kind, name, second_s, lead_s=lead_s)


def draw_slow_begins(
    rng: random.Random, named_s: float, kind: FaultKind, name: str
) -> Iterator[Fault]:
    """Yield slow begins of an engine, and one silence across the end on top."""
    silence_s = rng.uniform(*PAUSE_AT_END_S)
    lead_s = silence_s * rng.uniform(*SILENCE_BEFORE_END)
    slow_lead_s = lead_s + SLOW_BEFORE_SILENCE_S
    yield Fault(named_s, kind, name, rng.uniform(*SLOW_BEGIN_S), lead_s=slow_lead_s)
    yield Fault(named_s, FaultKind.SILENCE_AT_END, name, silence_s, lead_s=lead_s)


def lengthen_silences(
    rng: random.Random,
    at_ends: Iterable[Fault],
    version_ends: Iterable[Fault],
    shape: FleetShape,
) -> Iterator[Fault]:
    """Yield what engines do at ends; at some, a longer silence takes its place."""
    replaced = set()
    for naming in first_namings(version_ends):
        faults = tuple(draw_long_silence(rng, naming.at_s, shape))
        if rng.random() < LONG_SILENCES_FRACTION and not naming.pause_s:
            replaced.add(naming.at_s)
            yield from faults
    yield from (fault for fault in at_ends if fault.at_s not in replaced)


def draw_long_silence(
    rng: random.Random, named_s: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield a longer silence of one engine across an end, perhaps with slow begins."""
    name, begins = rng.choice(shape.sidecars), rng.choice(LONG_SILENCE_BEGINS)
    silence_s = rng.uniform(*LONG_SILENCE_S)
    lead_s = silence_s * rng.uniform(*LONG_SILENCE_BEFORE_END)
    if begins is not None:
        slow_lead_s = lead_s + LONG_SLOW_BEFORE_SILENCE_S
        slow_s = rng.uniform(*LONG_SLOW_BEGIN_S)
        yield Fault(named_s, begins, name, slow_s, lead_s=slow_lead_s)
    kind = FaultKind.LONG_SILENCE_AT_END
    yield Fault(named_s, kind, name, silence_s, lead_s=lead_s)


def draw_naming(
    rng: random.Random, at_s: float, away_s: float, shape: FleetShape
) -> Fault:
    """Return the naming of a version; in half of the draws targets pause at the end."""
    paused = rng.choice(("", "", rng.choice((*shape.sidecars, *FAILURE_DOMAINS))))
    has_pause = rng.random() < PAUSE_AT_END_FRACTION
    pause_s = rng.uniform(*PAUSE_AT_END_S) if has_pause else 0.0
    return Fault(at_s, FaultKind.WEIGHTS_ORIGIN_AWAY, paused, away_s, pause_s)


def draw_short_freezes(
    rng: random.Random, named_s: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield freezes of all or some entries and sidecars while a version is named.

    Half of them last for more than three quarters of the range, as short ones alone
    are borne.
    """
    names = (*shape.entries, *shape.sidecars)
    if rng.random() < 0.5:
        names = rng.sample(names, rng.randint(1, len(names)))
    shortest_s, longest_s = SHORT_FREEZE_S
    duration_s = longest_s - (longest_s - shortest_s) * rng.random() ** 2
    at_s = named_s - duration_s * rng.uniform(*FREEZE_BEFORE_NAMING)
    for name in names:
        yield Fault(at_s, FaultKind.SHORT_FREEZE, name, duration_s)


def draw_returns(
    rng: random.Random, named_s: float, shape: FleetShape
) -> Iterator[Fault]:
    """Yield control instances that stop before a version is named, and return.

    In two of three draws entries and sidecars are restarted after that, together or one
    after the other.
    """
    terminate = rng.random() < 2 / 3
    kind = FaultKind.RETURN_AFTER_TERM if terminate else FaultKind.RETURN_AFTER_KILL
    at_s = named_s - rng.uniform(*STOP_BEFORE_NAMING_S)
    names = rng.sample(shape.controls, rng.choice((1, 1, 2)))
    for name in names:
        duration_s = rng.uniform(MIN_AWAY_S, MAX_AWAY_S / len(names))
        yield Fault(at_s, kind, name, duration_s)
        at_s += duration_s + RETURN_S
    interval_s = rng.choice((None, 0.0, RESTART_INTERVAL_S))
    nodes = (*shape.entries, *shape.sidecars)
    for name in () if interval_s is None else rng.sample(nodes, len(nodes)):
        yield Fault(at_s, kind, name, rng.uniform(*RESTART_S))
        at_s += interval_s


def drop_stops_near_wipes(
    faults: Iterable[Fault], others: list[Fault]
) -> Iterator[Fault]:
    """Drop stops of control instances that would delay the repair of a wiped disk."""
    wipes = [fault for fault in others if fault.kind is FaultKind.WIPE]
    for fault in faults:
        if "control" not in fault.name or not any(
            fault.at_s <= wipe.at_s + wipe.duration_s + DISK_REPAIR_S
            and wipe.at_s <= fault.at_s + fault.duration_s + DISK_REPAIR_S
            for wipe in wipes
        ):
            yield fault


def draw_crashing_parts(rng: random.Random, seconds: float) -> Iterator[Fault]:
    """Yield a time in which callers send prompts with a part that crashes engines."""
    if rng.random() < CRASHING_PART_FRACTION:
        at_s = SETTLE_S + rng.uniform(0.0, seconds / 2)
        part = f"bad{rng.randrange(1 << 16):x}"
        duration_s = rng.uniform(*CRASHING_PART_S)
        yield Fault(at_s, FaultKind.CRASHING_PART, part, duration_s)


def draw_series(
    rng: random.Random, seconds: float, shape: FleetShape, mean_interval_s: float
) -> Iterator[Fault]:
    """Yield all other faults in order of time; one in five starts a series."""
    at_s = SETTLE_S
    kinds, weights = tuple(DRAW_WEIGHTS), tuple(DRAW_WEIGHTS.values())
    while at_s < SETTLE_S + seconds:
        kind = rng.choices(kinds, weights)[0]
        for repeat in range(rng.choice((1, 1, 1, 1, 3))):
            name = rng.choice(candidates(kind, shape))
            # The offsets are short compared to the durations, so repeats overlap.
            offset_s = repeat * rng.uniform(0.05, 0.8)
            yield Fault(at_s + offset_s, kind, name, rng.uniform(0.1, 3.0))
        at_s += rng.expovariate(1 / mean_interval_s)


def candidates(kind: FaultKind, shape: FleetShape) -> tuple[str, ...]:
    """Return the names that a kind of fault can affect, or one empty name."""
    if kind in (*CONTROL_KINDS, FaultKind.LEAVE_AND_KILL):
        return shape.controls
    if kind is FaultKind.ENDLESS_BODY:
        return shape.plain_targets
    at_end = (*AT_END_KINDS, FaultKind.LONG_SILENCE_AT_END)
    if kind in (*ENGINE_KINDS, *at_end, *ENDLESS_KINDS):
        return shape.sidecars
    if kind in NODE_KINDS or kind in LINK_KINDS:
        return shape.nodes
    if kind is FaultKind.TARGET_COOLDOWN:
        return shape.targets
    if kind is FaultKind.EVACUATE:
        return FAILURE_DOMAINS
    if kind is FaultKind.SHORT_FREEZE:
        return (*shape.entries, *shape.sidecars)
    if kind in (FaultKind.RETURN_AFTER_TERM, FaultKind.RETURN_AFTER_KILL):
        return shape.nodes
    if kind in PAUSE_KINDS or kind is FaultKind.WEIGHTS_ORIGIN_AWAY:
        return (*shape.targets, *FAILURE_DOMAINS, "")
    return shape.plain_targets if kind is FaultKind.TARGET_GREY else ("",)


def drop_early_wipes(faults: list[Fault]) -> Iterator[Fault]:
    """Drop each disk wipe that comes before the previous one is repaired.

    A repair needs a quorum, so a fault that affects control instances meanwhile
    delays it; no disk is wiped until these faults are over too.
    """
    repaired_s = 0.0
    for fault in faults:
        if fault.kind is FaultKind.WIPE and fault.at_s < repaired_s:
            continue
        if fault.kind is FaultKind.WIPE:
            repaired_s = fault.at_s + fault.duration_s + DISK_REPAIR_S
        elif "control" in fault.name or fault.kind in (
            FaultKind.KILL_CONTROLS,
            FaultKind.KILL_ALL,
        ):
            repaired_s = max(repaired_s, fault.at_s + fault.duration_s + DISK_REPAIR_S)
        yield fault
