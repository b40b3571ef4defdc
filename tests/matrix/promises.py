"""The seven promises, judged from what callers and targets recorded; pure."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from tests.fakes.caller import prompt_of
from tests.matrix.callers import Send

LEAVING_S = 3.0
IN_FORCE_S = 12.0
# Wall clock stamps of two processes of one machine.
STAMP_S = 0.05

PROMISES = {
    "whole_weights": "no answer from partial or mixed weights",
    "own_whole_answer": "each caller gets the whole answer to its own request",
    "not_run": "a request refused as not run did not run",
    "at_most_once": "a non-idempotent request runs at most once",
    "leaving": "a leaving target gets no new work after three seconds",
    "graceful": "a graceful shutdown cuts no request in progress",
    "configuration": "accepted configuration in force within 12 s, never reverting",
}


class Stop(NamedTuple):
    """One graceful stop: when SIGTERM was sent and when it started again."""

    node_id: str
    role: str
    at: float
    started_again: float


class Sighting(NamedTuple):
    """Revision of a node that one control instance showed."""

    at: float
    shown_by: str
    node_id: str
    domain: str
    revision: int


class Accepted(NamedTuple):
    """A change that an operator was told is accepted."""

    change_id: str
    revision: int
    at: float


class CellLog(NamedTuple):
    """All that the checks look at.

    Attributes
    ----------
    started : int
        Requests of callers.
    sends : list of Send
        Every send of them.
    runs : list of dict
        The targets' ``ran`` records.
    versions : set of str
        Versions that were accepted at any time; with "" for plain services.
    stops : list of Stop
    cut_elsewhere : bool
        Whether a fault other than SIGTERM could cut a request.
    accepted : list of Accepted
    sightings : list of Sighting
    faulted : dict
        Node id to the time at which its last fault ended.
    restarted : set of str
        Nodes that started anew, whose revision starts from nothing.
    operators : list of str
        What operators were told wrongly.
    """

    started: int
    sends: list[Send]
    runs: list[dict]
    versions: set[str]
    stops: list[Stop]
    cut_elsewhere: bool
    accepted: list[Accepted]
    sightings: list[Sighting]
    faulted: dict[str, float]
    restarted: set[str]
    operators: list[str]


def whole_weights(log: CellLog) -> Iterator[str]:
    """Yield answers that were made from mixed or unaccepted weights."""
    delivered = {s.outcome.name for s in log.sends if answered(s)}
    for run in log.runs:
        name = prompt_of(run)
        if name not in delivered or not run["version"] + run["version_at_end"]:
            continue
        if run["version"] != run["version_at_end"] and not ran_elsewhere(log, run):
            yield f"{name} began with {run['version'][:8]!r}"
        if run["version"] not in log.versions:
            yield f"{name} of {run['version'][:8]!r}, which nobody accepted"


def ran_elsewhere(log: CellLog, run: dict) -> bool:
    """Tell whether another run of the same request was of one version."""
    same = [r for r in log.runs if prompt_of(r) == prompt_of(run)]
    return any(r["version"] and r["version"] == r["version_at_end"] for r in same)


def answered(send: Send) -> bool:
    """Tell whether a send got a whole answer."""
    return send.outcome.status == 200 and send.outcome.complete


def own_whole_answer(log: CellLog) -> Iterator[str]:
    """Yield crossed, short, invented and missing answers."""
    ran = {prompt_of(run) for run in log.runs}
    last = {}
    for send in log.sends:
        outcome = send.outcome
        last[outcome.name] = outcome
        if not outcome.own_answer:
            yield f"{outcome.name} got another caller's answer"
        elif outcome.status == 200 and not outcome.complete:
            yield f"{outcome.name} got a short answer as if whole"
        elif outcome.status == 200 and outcome.name not in ran:
            yield f"{outcome.name} was answered and no target ran it"
    for outcome in last.values():
        if outcome.status == 0:
            yield f"{outcome.name} got no answer in all its sends"
    if len(last) != log.started:
        yield f"{log.started - len(last)} requests never ended"


def not_run(log: CellLog) -> Iterator[str]:
    """Yield refusals as not run whose request ran before its next send."""
    runs = runs_by_name(log)
    sends = defaultdict(list)
    for send in log.sends:
        sends[send.outcome.name].append(send)
    for name, own in sends.items():
        for number, send in enumerate(own):
            if not send.outcome.not_run or send.outcome.status == 200:
                continue
            until = own[number + 1].started if number + 1 < len(own) else float("inf")
            if any(send.started <= at < until for at in runs[name]):
                yield f"{name} refused with {send.outcome.code}, and ran"


def runs_by_name(log: CellLog) -> dict[str, list[float]]:
    """Return the start times of each request's runs; none without weights."""
    runs = defaultdict(list)
    for run in log.runs:
        if run["version"] or run["engine"].startswith("plain"):
            runs[prompt_of(run)].append(run["started_at"])
    return runs


def at_most_once(log: CellLog) -> Iterator[str]:
    """Yield keyed requests that ran more than once."""
    runs = defaultdict(list)
    for run in log.runs:
        if run["key"]:
            runs[run["account"], run["key"]].append(run["engine"])
    for (_, key), engines in runs.items():
        if len(engines) > 1:
            yield f"{key} ran at {engines}"


def leaving(log: CellLog) -> Iterator[str] | None:
    """Yield work that a leaving target began too late; None when none left."""
    stops = [stop for stop in log.stops if stop.role == "sidecar"]
    if not stops:
        return None
    return (
        f"{prompt_of(run)} began at {run['engine']}"
        f" {run['started_at'] - stop.at:.1f} s after its SIGTERM"
        for stop in stops
        for run in log.runs
        if run["engine"] == stop.node_id
        and stop.at + LEAVING_S < run["started_at"] < stop.started_again
    )


def graceful(log: CellLog) -> Iterator[str] | None:
    """Yield requests in progress at a SIGTERM that were not answered whole."""
    if not log.stops or log.cut_elsewhere:
        return None
    return (
        f"{send.outcome.name} in progress at SIGTERM of {stop.node_id} got"
        f" {send.outcome.status}/{send.outcome.code}"
        for stop in log.stops
        for send in log.sends
        if send.started + STAMP_S < stop.at < send.ended
        and not answered(send)
        and not send.outcome.not_run
    )


def configuration(log: CellLog) -> Iterator[str]:
    """Yield reverts, late nodes, lost changes and operators told wrongly."""
    yield from log.operators
    newest: dict[tuple[str, str], int] = {}
    reached: dict[str, list[Sighting]] = defaultdict(list)
    for seen in log.sightings:
        pair = (seen.shown_by, seen.node_id)
        fresh = {seen.node_id, seen.shown_by} & log.restarted
        if seen.revision < newest.get(pair, 0) and not fresh:
            yield f"{seen.node_id} went back to revision {seen.revision}"
        newest[pair] = max(seen.revision, newest.get(pair, 0))
        reached[seen.node_id].append(seen)
    for change in log.accepted:
        for node_id, sightings in reached.items():
            begin = max(change.at, log.faulted.get(node_id, 0.0))
            times = [s.at for s in sightings if s.revision >= change.revision]
            late = min(times, default=float("inf")) - begin
            if late > IN_FORCE_S:
                yield f"revision {change.revision} at {node_id} after {late:.0f} s"


CHECKS = {
    "whole_weights": whole_weights,
    "own_whole_answer": own_whole_answer,
    "not_run": not_run,
    "at_most_once": at_most_once,
    "leaving": leaving,
    "graceful": graceful,
    "configuration": configuration,
}


class Judgement(NamedTuple):
    """What became of one promise in one cell."""

    state: str
    reason: str


def judge(log: CellLog) -> dict[str, Judgement]:
    """Check every promise."""
    verdicts = {}
    for name, check in CHECKS.items():
        found = check(log)
        if found is None:
            reason = "no target left" if name == "leaving" else why_not_graceful(log)
            verdicts[name] = Judgement("not_applicable", reason)
            continue
        faults = list(found)
        state = "broken" if faults else "held"
        verdicts[name] = Judgement(state, "; ".join(faults[:3]))
    return verdicts


def why_not_graceful(log: CellLog) -> str:
    """Say why no graceful stop is judged."""
    if log.stops:
        return "another fault cuts requests in the same cell"
    return "nothing was stopped gracefully"
