"""Checks of the seven promises on the records of callers and targets; no I/O."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from tests.fakes.caller import prompt_of
from tests.matrix.callers import SendRecord

LEAVING_GRACE_S = 3.0
PROPAGATION_LIMIT_S = 12.0
# Tolerance between wall-clock timestamps of two processes on one machine.
TIMESTAMP_TOLERANCE_S = 0.05

PROMISES = {
    "whole_weights": "no answer from partial or mixed weights",
    "own_whole_answer": "each caller gets the whole answer to its own request",
    "not_run": "a request refused as not run did not run",
    "at_most_once": "a non-idempotent request runs at most once",
    "leaving": "a leaving target gets no new work after three seconds",
    "graceful": "a graceful shutdown cuts no request in progress",
    "configuration": "accepted configuration in force within 12 s, never reverting",
}


class GracefulStop(NamedTuple):
    """One graceful stop, from its SIGTERM to the restart; wall-clock seconds."""

    node_id: str
    role: str
    sigterm_at: float
    restarted_at: float


class RevisionSample(NamedTuple):
    """Revision of a node as one control instance reported it."""

    observed_at: float
    control: str
    node_id: str
    domain: str
    revision: int


class AcceptedChange(NamedTuple):
    """A change that a control instance confirmed as accepted."""

    change_id: str
    revision: int
    accepted_at: float


class CellLog(NamedTuple):
    """Input of the checks.

    Attributes
    ----------
    request_count : int
        Number of requests of the callers.
    sends : list of SendRecord
        All sends of these requests.
    runs : list of dict
        The targets' ``ran`` records.
    versions : set of str
        All versions that were ever accepted, and "" for plain services.
    stops : list of GracefulStop
    may_cut_requests : bool
        Whether a fault other than SIGTERM may have cut requests.
    accepted : list of AcceptedChange
    revision_samples : list of RevisionSample
    fault_ended_at : dict
        Node id to the wall-clock time at which its last fault ended.
    restarted_nodes : set of str
        Restarted nodes; their revision starts again from 0.
    operator_errors : list of str
        Wrong results of operators' changes, joins and stops.
    """

    request_count: int
    sends: list[SendRecord]
    runs: list[dict]
    versions: set[str]
    stops: list[GracefulStop]
    may_cut_requests: bool
    accepted: list[AcceptedChange]
    revision_samples: list[RevisionSample]
    fault_ended_at: dict[str, float]
    restarted_nodes: set[str]
    operator_errors: list[str]


def whole_weights(log: CellLog) -> Iterator[str]:
    """Yield responses that come from mixed or unaccepted weights."""
    delivered = {s.outcome.name for s in log.sends if is_answered(s)}
    for run in log.runs:
        name = prompt_of(run)
        if name not in delivered or not run["version"] + run["version_at_end"]:
            continue
        if run["version"] != run["version_at_end"] and not has_single_version_run(
            log, run
        ):
            yield f"{name} began with {run['version'][:8]!r}"
        if run["version"] not in log.versions:
            yield f"{name} of {run['version'][:8]!r}, which nobody accepted"


def has_single_version_run(log: CellLog, run: dict) -> bool:
    """Return whether some run of the same request used one version throughout."""
    same = [r for r in log.runs if prompt_of(r) == prompt_of(run)]
    return any(r["version"] and r["version"] == r["version_at_end"] for r in same)


def is_answered(send: SendRecord) -> bool:
    """Return whether a send got a complete response."""
    return send.outcome.status == 200 and send.outcome.complete


def own_whole_answer(log: CellLog) -> Iterator[str]:
    """Yield responses that are another caller's, truncated, made up or missing."""
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
    if len(last) != log.request_count:
        yield f"{log.request_count - len(last)} requests never ended"


def not_run(log: CellLog) -> Iterator[str]:
    """Yield refusals marked as not run whose request ran before its next send."""
    runs = runs_by_name(log)
    sends = defaultdict(list)
    for send in log.sends:
        sends[send.outcome.name].append(send)
    for name, own_sends in sends.items():
        for number, send in enumerate(own_sends):
            if not send.outcome.not_run or send.outcome.status == 200:
                continue
            next_send_at = (
                own_sends[number + 1].started
                if number + 1 < len(own_sends)
                else float("inf")
            )
            if any(send.started <= at < next_send_at for at in runs[name]):
                yield f"{name} refused with {send.outcome.code}, and ran"


def runs_by_name(log: CellLog) -> dict[str, list[float]]:
    """Return the start times of each request's runs.

    Runs at an engine without weights are left out.
    """
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
    """Yield requests that a leaving target began after the grace period.

    Return None when no target left.
    """
    stops = [stop for stop in log.stops if stop.role == "sidecar"]
    if not stops:
        return None
    return (
        f"{prompt_of(run)} began at {run['engine']}"
        f" {run['started_at'] - stop.sigterm_at:.1f} s after its SIGTERM"
        for stop in stops
        for run in log.runs
        if run["engine"] == stop.node_id
        and stop.sigterm_at + LEAVING_GRACE_S < run["started_at"] < stop.restarted_at
    )


def graceful(log: CellLog) -> Iterator[str] | None:
    """Yield requests in flight at a SIGTERM that got no complete response.

    Return None when nothing was stopped, or another fault may have cut requests.
    """
    if not log.stops or log.may_cut_requests:
        return None
    return (
        f"{send.outcome.name} in progress at SIGTERM of {stop.node_id} got"
        f" {send.outcome.status}/{send.outcome.code}"
        for stop in log.stops
        for send in log.sends
        if send.started + TIMESTAMP_TOLERANCE_S < stop.sigterm_at < send.ended
        and not is_answered(send)
        and not send.outcome.not_run
    )


def configuration(log: CellLog) -> Iterator[str]:
    """Yield operator errors, reverted revisions, and changes late or lost at a node."""
    yield from log.operator_errors
    newest: dict[tuple[str, str], int] = {}
    samples_by_node: dict[str, list[RevisionSample]] = defaultdict(list)
    for sample in log.revision_samples:
        pair = (sample.control, sample.node_id)
        restarted = {sample.node_id, sample.control} & log.restarted_nodes
        if sample.revision < newest.get(pair, 0) and not restarted:
            yield f"{sample.node_id} went back to revision {sample.revision}"
        newest[pair] = max(sample.revision, newest.get(pair, 0))
        samples_by_node[sample.node_id].append(sample)
    for change in log.accepted:
        for node_id, samples in samples_by_node.items():
            since = max(change.accepted_at, log.fault_ended_at.get(node_id, 0.0))
            times = [s.observed_at for s in samples if s.revision >= change.revision]
            delay_s = min(times, default=float("inf")) - since
            if delay_s > PROPAGATION_LIMIT_S:
                yield f"revision {change.revision} at {node_id} after {delay_s:.0f} s"


CHECKS = {
    "whole_weights": whole_weights,
    "own_whole_answer": own_whole_answer,
    "not_run": not_run,
    "at_most_once": at_most_once,
    "leaving": leaving,
    "graceful": graceful,
    "configuration": configuration,
}


class PromiseResult(NamedTuple):
    """Result of checking one promise in one cell."""

    state: str
    reason: str


def check_promises(log: CellLog) -> dict[str, PromiseResult]:
    """Check every promise."""
    results = {}
    for name, check in CHECKS.items():
        violations = check(log)
        if violations is None:
            reason = (
                "no target left" if name == "leaving" else graceful_skip_reason(log)
            )
            results[name] = PromiseResult("not_applicable", reason)
            continue
        violation_texts = list(violations)
        state = "broken" if violation_texts else "held"
        results[name] = PromiseResult(state, "; ".join(violation_texts[:3]))
    return results


def graceful_skip_reason(log: CellLog) -> str:
    """Return why graceful stops are not checked."""
    if log.stops:
        return "another fault cuts requests in the same cell"
    return "nothing was stopped gracefully"
