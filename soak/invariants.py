"""Check the observations of callers, targets and operators against invariants.

Does no I/O.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from signal import SIGTERM
from time import monotonic
from typing import NamedTuple

from soak.crashing_parts import MAX_LATER_SENDS, Arrival, CrashingParts
from soak.plan import ENDLESS_KINDS, PLANNED_KINDS, Fault, FaultKind

# Time after the end of a failure in which time bounds are still not checked.
RECOVERY_S = 4.0
# Time that a process has to end after a stop signal, and an allowance for the machine.
STOP_GRACE_S = 8.0
STOP_SLACK_S = 3.0
# Time after the acknowledgement that a target is leaving (or after the response that
# said so) from which on it gets no requests.
DRAIN_BOUND_S = 2.5
# Time in which a superseded version of the weights may still serve, and the time after
# which no request starts on it.
VERSION_GRACE_S = 8.0
SUPERSEDED_BOUND_S = VERSION_GRACE_S + 0.5
# A request that has not started by then is dropped this long before the grace period
# ends at the latest, so that it does not start after it.
VERSION_END_MARGIN_S = 0.5
# Time after its acknowledgement from which on reads return a configuration.
APPLY_BOUND_S = 2.0
# Maximum number of requests of one entry that may reach a target during a cool-down,
# not counting those already in transit when the target requested it.
MAX_COOLDOWN_REQUESTS = 2
IN_TRANSIT_S = 0.5
# Time after the acknowledgement of an evacuation from which on the targets of the
# failure domain get no requests, and how much longer it may take while control
# instances are disturbed.
EVACUATION_BOUND_S = 5.0
EVACUATION_STRETCH_S = 6.0
# Targets that stood still for no longer than this during a request can still answer it.
MAX_PAUSE_S = 2.6
# A stream that ends no earlier than this before its own time limit ended by that.
LIMIT_MARGIN_S = 0.3
# Silences that ended this long before the end of a version are told with late begins.
RECENT_S = 2.0
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# The largest tenth of the prompts is served at least this often, as a part of how often
# all are, once it has as many requests as tell that.
LEAST_LARGE_PART = 0.5
MIN_LARGE_REQUESTS = 30


class SentRequest(NamedTuple):
    """One request as a caller sends it."""

    request_id: str
    entry: str
    method: str
    path: str
    body: bytes
    at_s: float
    idempotent: bool
    max_targets: int
    prompt_tokens: int = 0
    # Time limit that a silence may use up, of a long stream; infinite for others.
    limit_s: float = float("inf")


class Execution(NamedTuple):
    """One request that a target started to run."""

    request_id: str
    target_id: str
    method: str
    path: str
    body: bytes
    account: str
    has_key: bool
    at_s: float
    version: int = 0


class RequestResult(NamedTuple):
    """How a request ended; status 0 if the connection closed before the headers."""

    request_id: str
    at_s: float
    status: int
    complete: bool
    correct: bool


class Departure(NamedTuple):
    """A caller that left a stream, before its first event or in a gap."""

    request_id: str
    at_s: float
    has_event: bool


class ReportedSignal(NamedTuple):
    """What a target reported to one entry: it is leaving, or cools down.

    `until_s` is the end of the cool-down; infinite if the target is leaving.
    """

    entry: str
    target_id: str
    at_s: float
    until_s: float


class Evacuation(NamedTuple):
    """An evacuation, from its acknowledgement until its withdrawal is sent."""

    failure_domain: str
    acknowledged_s: float
    end_s: float = float("inf")


class Silence(NamedTuple):
    """Targets or processes that stood still, and went on unless the end is infinite."""

    names: frozenset[str]
    began_s: float
    ended_s: float = float("inf")

    def overlap_s(self, from_s: float, to_s: float) -> float:
        """Return how much of an interval it took."""
        return max(0.0, min(self.ended_s, to_s) - max(self.began_s, from_s))


class Finding(NamedTuple):
    """A violated invariant."""

    invariant: str
    detail: str


class InvariantChecker:
    """Records what was observed, and the invariants that it violates.

    Parameters
    ----------
    account : str
        Client account that the callers' key belongs to.
    timed : bool
        Whether time bounds are checked; they hold only on a machine that is not
        busy otherwise.
    """

    def __init__(self, account: str, timed: bool = True):
        self.account = account
        self.timed = timed
        self.sent: dict[str, SentRequest] = {}
        self.executions: dict[str, list[Execution]] = defaultdict(list)
        self.results: dict[str, RequestResult] = {}
        self.departures: list[Departure] = []
        self.faults: list[tuple[Fault, float, float]] = []
        self.leaving_since_s: dict[str, float] = {}
        self.signals: dict[tuple[str, str], list[ReportedSignal]] = defaultdict(list)
        self.cooldown_requests: Counter[ReportedSignal] = Counter()
        self.desired_since_s: dict[int, float] = {}
        self.failure_domains: dict[str, str] = {}
        self.evacuations: list[Evacuation] = []
        # When targets stood still: start and end.
        self.pauses: list[tuple[float, float]] = []
        self.silences: list[Silence] = []
        self.begins_past_end = 0
        self.late_begins = 0
        self.peak_bytes: dict[str, int] = {}
        self.last_begin_s = 0.0
        self.crashing_parts = CrashingParts()
        self.findings: list[Finding] = []
        self.check_counts: Counter[str] = Counter()

    def add_finding(self, invariant: str, detail: str) -> None:
        """Record a violated invariant."""
        self.findings.append(Finding(invariant, detail))

    def check(self, invariant: str, holds: bool, detail: str) -> None:
        """Count a check, and record a finding if it does not hold."""
        self.check_counts[invariant] += 1
        if not holds:
            self.add_finding(invariant, detail)

    # -- observations ----------------------------------------------------

    def begin_silence(self, names: Iterable[str], at_s: float) -> int:
        """Record targets or processes that stand still from now on; return a number."""
        self.silences.append(Silence(frozenset(names), at_s))
        return len(self.silences) - 1

    def end_silence(self, number: int, at_s: float) -> None:
        """Record that those of a silence have gone on."""
        self.silences[number] = self.silences[number]._replace(ended_s=at_s)

    def silences_of(self, name: str) -> Iterable[Silence]:
        """Return when a target or process stood still."""
        return (silence for silence in self.silences if name in silence.names)

    def record_sent(self, sent: SentRequest) -> None:
        """Record a request before it is sent."""
        self.sent[sent.request_id] = sent

    def record_execution(self, execution: Execution) -> None:
        """Record and check a request that a target starts to run."""
        sent = self.sent.get(execution.request_id)
        self.check("known", sent is not None, f"{execution.request_id} was never sent")
        if sent is None:
            return
        self.executions[execution.request_id].append(execution)
        unchanged = (execution.method, execution.path, execution.body) == (
            sent.method,
            sent.path,
            sent.body,
        )
        self.check("unchanged", unchanged, f"{execution} of {sent}")
        self.check("account", execution.account == self.account, f"{execution}")
        self.check(
            "key",
            not execution.has_key,
            f"{execution.request_id}: the key was forwarded",
        )
        targets = {each.target_id for each in self.executions[execution.request_id]}
        self.check("attempts", len(targets) <= sent.max_targets, f"{sent} at {targets}")
        if not sent.idempotent:
            once = len(self.executions[execution.request_id]) == 1
            self.check("once", once, f"{self.executions[execution.request_id]}")
        if self.timed:
            self.check_drain(execution)
            self.check_superseded_version(execution)

    def record_departure(self, departure: Departure) -> None:
        """Record a caller that has left."""
        self.departures.append(departure)

    def record_result(self, result: RequestResult) -> None:
        """Record and check how a request ended."""
        self.results[result.request_id] = result
        if result.status == 200 and result.complete:
            self.check("whole", result.correct, f"{result} of {self.sent[result[0]]}")

    def record_unanswered(self, result: RequestResult, was_read: bool) -> None:
        """Record a request that was sent whole and has no response at all.

        Planned operations do not lose one that a process had read.
        """
        self.record_result(result)
        sent = self.sent[result.request_id]
        if was_read and not self.is_affected_by_failure(sent, result.at_s):
            self.add_finding("read", f"{result} of {sent}")
        self.check_counts["read"] += 1

    def record_signal(
        self, request_id: str, target_id: str, at_s: float, cooldown_s: float = 0.0
    ) -> None:
        """Record that a target reported to an entry that it leaves or cools down."""
        if request_id in self.sent:
            entry = self.sent[request_id].entry
            until_s = at_s + cooldown_s if cooldown_s else float("inf")
            signal = ReportedSignal(entry, target_id, at_s, until_s)
            self.signals[entry, target_id].append(signal)

    def record_arrival(self, request_id: str, target_id: str, at_s: float) -> None:
        """Check the arrival of a request at a target against the target's signals."""
        sent = self.sent.get(request_id)
        if sent is None or not self.timed:
            return
        self.check_evacuation(sent, target_id, at_s)
        for signal in self.signals[sent.entry, target_id]:
            if self.is_entry_disturbed(signal, at_s):
                continue
            if signal.until_s == float("inf"):
                late = sent.at_s - signal.at_s > DRAIN_BOUND_S
                self.check("leaving", not late, f"{sent} at {at_s:.2f} s, {signal}")
            elif signal.at_s + IN_TRANSIT_S < at_s < signal.until_s:
                self.cooldown_requests[signal] += 1
                within_limit = self.cooldown_requests[signal] <= MAX_COOLDOWN_REQUESTS
                self.check("rest", within_limit, f"{sent} at {at_s:.2f} s, {signal}")

    # -- time bounds -----------------------------------------------------

    def is_entry_disturbed(
        self,
        signal: ReportedSignal,
        to_s: float,
        excluded: frozenset = frozenset(),
    ) -> bool:
        """Return whether an entry was restarted, frozen or partitioned since a signal.

        Signals of an engine that became unresponsive may not have reached the entry.
        Faults of the excluded kinds do not count.
        """
        target = signal.target_id.rpartition("-")[0]
        excused_faults = {
            (FaultKind.ENGINE_UNRESPONSIVE, target),
            (FaultKind.KILL_ALL, ""),
        }
        return any(
            began_s <= to_s and ended_s + IN_TRANSIT_S >= signal.at_s
            for fault, began_s, ended_s in self.faults
            if fault.kind not in excluded
            and (
                fault.name == signal.entry or (fault.kind, fault.name) in excused_faults
            )
        )

    def check_evacuation(self, sent: SentRequest, target_id: str, at_s: float) -> None:
        """Check that no request arrives in an evacuated failure domain.

        Only a disturbance of the entry in the recovery time before the arrival is
        an excuse: an entry that was restarted or cut off earlier knows the order. A
        short freeze is no excuse.
        """
        short = frozenset({FaultKind.SHORT_FREEZE})
        domain = self.failure_domains.get(target_id.rpartition("-")[0])
        recent = ReportedSignal(sent.entry, target_id, at_s - RECOVERY_S, at_s)
        for evacuation in self.evacuations:
            _, since_s, end_s = evacuation
            if domain != evacuation.failure_domain or not since_s <= at_s < end_s:
                continue
            if not self.is_entry_disturbed(recent, at_s, short):
                late = at_s - since_s > self.evacuation_bound_s(at_s)
                self.check(
                    "evacuated", not late, f"{sent} at {at_s:.2f} s, {evacuation}"
                )

    def evacuation_bound_s(self, at_s: float) -> float:
        """Return how long an evacuation may take, by the state of control instances.

        It is infinite if two of the three were disturbed: there may be no quorum.
        """
        disturbed = {
            fault.name
            for fault, began_s, ended_s in self.faults
            if began_s <= at_s <= ended_s + RECOVERY_S and "control" in fault.name
        }
        if len(disturbed) > 1 or any(
            began_s <= at_s <= ended_s + 2 * RECOVERY_S
            for fault, began_s, ended_s in self.faults
            if fault.kind in (FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL)
        ):
            return float("inf")
        return EVACUATION_BOUND_S + (EVACUATION_STRETCH_S if disturbed else 0.0)

    def is_disturbed(
        self, from_s: float, to_s: float, excluded: frozenset = PLANNED_KINDS
    ) -> bool:
        """Return whether a fault or the recovery time after it overlaps an interval.

        Faults of the excluded kinds do not count; by default, planned operations.
        """
        return any(
            began_s <= to_s and ended_s + RECOVERY_S >= from_s
            for fault, began_s, ended_s in self.faults
            if fault.kind not in excluded
        )

    def check_drain(self, execution: Execution) -> None:
        """Check that a target gets no requests after it announced that it leaves.

        The loss of the control instance that acknowledged a leave is no excuse.
        """
        since_s = self.leaving_since_s.get(execution.target_id)
        allowed = PLANNED_KINDS | {FaultKind.LEAVE_AND_KILL}
        if since_s is None or self.is_disturbed(
            since_s - RECOVERY_S, execution.at_s, allowed
        ):
            return
        sent_s = self.sent[execution.request_id].at_s
        late = min(execution.at_s, sent_s) - since_s > DRAIN_BOUND_S
        self.check("drain", not late, f"{execution} leaving since {since_s:.2f} s")

    def check_leave(self, leave: Fault, acknowledged: bool, at_s: float) -> None:
        """Check that a leave is acknowledged while all control instances are sound."""
        of_all = (FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL)
        disturbed = any(
            began_s <= at_s <= ended_s + RECOVERY_S
            for fault, began_s, ended_s in self.faults
            if fault is not leave and ("control" in fault.name or fault.kind in of_all)
        )
        self.check("leave", acknowledged or disturbed, f"{leave} not acknowledged")

    def check_superseded_version(self, execution: Execution) -> None:
        """Check that no request starts on a version past its grace period.

        A failure is an excuse only if it may have kept the news from the entry, or the
        request from its engine, until shortly before. Planned operations, and pauses
        of any length, are none.
        """
        newer = [
            at_s
            for version, at_s in self.desired_since_s.items()
            if version > execution.version
        ]
        if not execution.version or not newer:
            return
        since_s = min(newer)
        if self.is_news_disturbed(execution):
            return
        age_s = execution.at_s - since_s
        late = age_s > SUPERSEDED_BOUND_S
        self.begins_past_end += age_s > VERSION_GRACE_S
        self.late_begins += late
        self.last_begin_s = max(self.last_begin_s, age_s)
        self.check("version", not late, self.describe_begin(execution, since_s))

    def is_news_disturbed(self, execution: Execution) -> bool:
        """Return whether a failure may have kept a newer version from a request.

        That is a failure of its entry, or of all or two control instances, until 4 s
        before it was sent, or of the connections to its engine since then. One control
        instance of three is no excuse, nor is the sidecar, as the entry knows the
        version as well.
        """
        sent = self.sent[execution.request_id]
        recent = [
            fault
            for fault, began_s, ended_s in self.faults
            if fault.kind not in PLANNED_KINDS
            and began_s <= execution.at_s
            and ended_s + RECOVERY_S >= sent.at_s
        ]
        target = execution.target_id.rpartition("-")[0]
        is_held = any(
            (fault.kind, fault.name) == (FaultKind.ENGINE_UNRESPONSIVE, target)
            and began_s <= execution.at_s
            and ended_s + IN_TRANSIT_S >= sent.at_s
            for fault, began_s, ended_s in self.faults
        )
        controls = {fault.name for fault in recent if "control" in fault.name}
        return (
            is_held
            or len(controls) > 1
            or any(
                fault.name == sent.entry
                or fault.kind in (FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL)
                for fault in recent
            )
        )

    def describe_begin(self, execution: Execution, since_s: float) -> str:
        """Describe a begin on superseded weights, and what its target did at the end.

        Times are in seconds after the acknowledgement of the first newer version.
        """
        target, end_s = execution.target_id, since_s + VERSION_GRACE_S
        silences = [
            silence._replace(ended_s=min(silence.ended_s, execution.at_s))
            for silence in self.silences_of(target.rpartition("-")[0])
            if silence.began_s <= execution.at_s
        ]
        across = [each for each in silences if each.began_s <= end_s <= each.ended_s]
        earlier = [
            each for each in silences if end_s - RECENT_S <= each.ended_s < end_s
        ]
        return (
            f"version {execution.version} begun {execution.at_s - end_s:.2f} s after"
            f" its end at {target}, which stood still across it:"
            f" {describe_silences(across, since_s)}, shortly before it:"
            f" {describe_silences(earlier, since_s)};"
            f" {execution.request_id} sent at"
            f" {self.sent[execution.request_id].at_s - since_s:.2f} s,"
            f" superseded at {since_s:.2f} s"
        )

    def check_stop(
        self, name: str, took_s: float, status: int | None, had_begun: bool = True
    ) -> None:
        """Check that a process ended in time and with status 0 after a stop signal.

        Nothing can handle a signal before the interpreter runs the program's first
        line. A process that has run none, holds no socket and has written nothing may
        end by the signal: its callers see the same as if it had not been started.
        """
        if self.timed:
            self.check(
                "grace",
                took_s <= STOP_GRACE_S + STOP_SLACK_S,
                f"{name}: {took_s:.1f} s",
            )
        allowed = (0, None) if had_begun else (0, None, -SIGTERM)
        self.check("exit", status in allowed, f"{name} ended with {status}")

    def check_drain_end(self, entry: str, logged: dict) -> None:
        """Check a request in progress at the end of the drain of its entry, by the log.

        It came before the stop signal, its own time limit has passed, or a failure
        affected it. Targets that stand still are no excuse.
        """
        sent = self.sent.get(logged["request_id"])
        if sent is None or logged["left_ms"] <= 0:
            return
        is_excused = self.is_affected_by_failure(sent, monotonic())
        holds = logged["arrived_after_ms"] < 0 or is_excused
        self.check("drain end", holds, f"{entry}: {logged}")

    def check_memory(self, name: str, resident: int, limit: int) -> bool:
        """Check that the memory of a process is within the limit; return whether."""
        role = name.partition("-")[0]
        self.peak_bytes[role] = max(self.peak_bytes.get(role, 0), resident)
        holds = resident <= limit
        detail = f"{name}: {resident >> 20} MB resident of {limit >> 20} MB"
        self.check("memory", holds, detail)
        return holds

    # -- the end ---------------------------------------------------------

    def check_final(self) -> None:
        """Check what can be judged only when all requests have ended."""
        for result in self.results.values():
            if result.status in NOT_EXECUTED_STATUSES:
                executions = self.executions.get(result.request_id, [])
                self.check("not run", not executions, f"{result} ran: {executions}")
            self.check_truncated(result)
            self.check_paused(result)
        for departure in self.departures:
            self.check_departure(departure)
        self.check_sizes()
        if self.timed:
            for part in self.crashing_parts.arrivals:
                self.check_crashing_part(part)

    def check_sizes(self) -> None:
        """Check that large prompts are served at least half as often as all streams.

        Faults break off streams of all sizes, so they need no allowance.
        """
        results = sorted(
            (result for result in self.results.values() if self.is_stream(result)),
            key=lambda result: self.sent[result.request_id].prompt_tokens,
        )
        large = results[-(len(results) // 10) :]
        if len(large) < MIN_LARGE_REQUESTS:
            return
        all_part, large_part = served_part(results), served_part(large)
        self.check(
            "sizes",
            large_part >= LEAST_LARGE_PART * all_part,
            f"of {len(large)} large prompts {large_part:.2f} were served,"
            f" of all {len(results)} {all_part:.2f}",
        )

    def is_stream(self, result: RequestResult) -> bool:
        """Return whether a result is that of a streaming request."""
        return is_streaming(self.sent[result.request_id])

    def check_departure(self, departure: Departure) -> None:
        """Check that no caller leaves a stream that it has had no event of.

        It gets a failure or a refusal before, so that no target works for nobody.
        """
        sent = self.sent[departure.request_id]
        if not self.timed or self.is_affected_by_failure(sent, departure.at_s):
            return
        # An entry that stands still can tell its caller nothing.
        last_s = departure.at_s - IN_TRANSIT_S
        entry_silences = self.silences_of(sent.entry)
        if any(each.overlap_s(last_s, departure.at_s) for each in entry_silences):
            return
        self.check("left", departure.has_event, f"{departure} of {sent}")

    def check_crashing_part(self, part: str) -> None:
        """Check that prompts with a part that crashes engines are sent no more."""
        late = self.crashing_parts.late_arrivals(part)
        excess = [arrival for arrival in late if not self.is_word_disturbed(arrival)]
        self.check("part", len(excess) <= MAX_LATER_SENDS, f"{part}: {excess}")

    def is_word_disturbed(self, arrival: Arrival) -> bool:
        """Return whether the entry, or what told it of crashes, was disturbed lately.

        An entry has this much time to hear from others again.
        """
        entry = self.sent[arrival.request_id].entry
        return any(
            began_s <= arrival.at_s <= ended_s + RECOVERY_S
            for fault, began_s, ended_s in self.faults
            if fault.name == entry
            or "control" in fault.name
            or fault.kind in (FaultKind.KILL_CONTROLS, FaultKind.KILL_ALL)
        )

    def check_truncated(self, result: RequestResult) -> None:
        """Check that planned operations alone truncate no response."""
        sent = self.sent[result.request_id]
        if result.complete or not self.timed or is_at_limit(sent, result):
            return
        if not self.executions.get(result.request_id):
            return
        failures = frozenset(FaultKind) - PLANNED_KINDS
        if not self.is_disturbed(sent.at_s, result.at_s, failures):
            return
        if not self.is_disturbed(sent.at_s - RECOVERY_S, result.at_s):
            self.add_finding("cut", f"{result} of {sent}")
        self.check_counts["cut"] += 1

    def check_paused(self, result: RequestResult) -> None:
        """Check that a request does not fail because targets stood still and went on.

        The same holds if its entry stood still for a short time, or both did, and if
        an answer of another target comes without end.
        A request whose connection was closed before it was sent on has not failed.
        One that had not started when the grace period of its version ended must not
        start, so it fails.
        """
        sent = self.sent[result.request_id]
        pause_s = sum(
            max(0.0, min(ended_s, result.at_s) - max(began_s, sent.at_s))
            for began_s, ended_s in self.pauses
        ) + sum(
            silence.overlap_s(sent.at_s, result.at_s)
            for silence in self.silences_of(sent.entry)
        )
        invariant = "paused" if pause_s else "endless"
        is_met = pause_s or self.is_beside_endless(sent, result.at_s)
        if not self.timed or not is_met or pause_s > MAX_PAUSE_S:
            return
        if self.is_affected_by_failure(sent, result.at_s):
            return
        if self.is_version_ended(sent, result.at_s) or is_at_limit(sent, result):
            return
        was_sent_on = bool(result.status or self.executions.get(result.request_id))
        is_refused = result.status in NOT_EXECUTED_STATUSES
        failed = not result.complete or (result.status >= 500 and not is_refused)
        self.check(invariant, not (failed and was_sent_on), f"{result} of {sent}")

    def is_beside_endless(self, sent: SentRequest, to_s: float) -> bool:
        """Return whether answers of some target came without end during a request."""
        return any(
            fault.kind in ENDLESS_KINDS and began_s <= to_s and ended_s >= sent.at_s
            for fault, began_s, ended_s in self.faults
        )

    def is_version_ended(self, sent: SentRequest, to_s: float) -> bool:
        """Return whether a grace period ended before a request of an engine started."""
        if not is_streaming(sent) or any(
            execution.at_s < to_s for execution in self.executions[sent.request_id]
        ):
            return False
        ends_s = (at_s + VERSION_GRACE_S for at_s in self.desired_since_s.values())
        return any(
            sent.at_s <= end_s <= to_s + VERSION_END_MARGIN_S for end_s in ends_s
        )

    def is_affected_by_failure(self, sent: SentRequest, to_s: float) -> bool:
        """Return whether a failure may have affected a request.

        It affects its entry, all processes, or a target of the request's service.
        """
        service = "sidecar-" if is_streaming(sent) else "plain-"
        return any(
            began_s <= to_s and ended_s + RECOVERY_S >= sent.at_s
            for fault, began_s, ended_s in self.faults
            if fault.kind not in PLANNED_KINDS
            and (
                fault.kind in (FaultKind.KILL_ALL, FaultKind.CRASHING_PART)
                or fault.name == sent.entry
                or (fault.name.startswith(service) and self.may_reach(sent, fault))
            )
        )

    def may_reach(self, sent: SentRequest, fault: Fault) -> bool:
        """Return whether a fault of a target may affect a request of its service.

        An answer without end affects no request that ran at other targets only.
        """
        executions = self.executions.get(sent.request_id, ())
        targets = {each.target_id.rpartition("-")[0] for each in executions}
        return fault.kind not in ENDLESS_KINDS or not targets or fault.name in targets


def describe_silences(silences: list[Silence], since_s: float) -> str:
    """Describe silences in seconds after a time."""
    described = (
        f"from {each.began_s - since_s:.2f} s to {each.ended_s - since_s:.2f} s"
        for each in silences
    )
    return " and ".join(described) or "not"


def served_part(results: list[RequestResult]) -> float:
    """Return which part of some results are whole responses."""
    whole = sum(result.status == 200 and result.complete for result in results)
    return whole / len(results)


def is_at_limit(sent: SentRequest, result: RequestResult) -> bool:
    """Return whether a request ended at the time limit of its caller."""
    return result.at_s >= sent.at_s + sent.limit_s - LIMIT_MARGIN_S


def is_streaming(sent: SentRequest) -> bool:
    """Return whether a request is served by engines, not by plain targets."""
    return sent.path.startswith("/stream/")


class ConfigurationHistory:
    """Records configurations sent, acknowledged and rejected; checks reads of them."""

    def __init__(self, checker: InvariantChecker):
        self.checker = checker
        self.sent_texts: dict[int, set[bytes]] = defaultdict(set)
        self.rejected_texts: set[bytes] = set()
        self.read_texts: dict[int, bytes] = {}
        self.acknowledged_s: dict[int, float] = {}

    def newest_acknowledged(self, before_s: float = float("inf")) -> int:
        """Return the newest version acknowledged by a time; 0 if there is none."""
        known = (v for v, at_s in self.acknowledged_s.items() if at_s <= before_s)
        return max(known, default=0)

    def record_sent(self, version: int, text: bytes) -> None:
        """Record a configuration before it is sent."""
        self.sent_texts[version].add(text)

    def record_acknowledged(self, version: int, at_s: float) -> None:
        """Record an acknowledgement."""
        self.acknowledged_s.setdefault(version, at_s)

    def record_rejected(self, text: bytes, is_valid: bool) -> None:
        """Record a rejection, and check that the configuration is invalid."""
        self.checker.check("valid accepted", not is_valid, f"rejected: {text[:80]!r}")
        self.rejected_texts.add(text)

    def check_read(self, version: int, text: bytes, sent_s: float) -> None:
        """Check that a read returns what was sent and is not outdated."""
        known = text in self.sent_texts.get(version, ())
        self.checker.check(
            "read as sent", known, f"version {version} reads {text[:80]!r}"
        )
        same = self.read_texts.setdefault(version, text) == text
        self.checker.check("one content a version", same, f"{version}")
        self.checker.check(
            "refused in force", text not in self.rejected_texts, f"{version}"
        )
        oldest_allowed = self.newest_acknowledged(sent_s - APPLY_BOUND_S)
        self.checker.check(
            "read newest",
            version >= oldest_allowed,
            f"{version} after {oldest_allowed}",
        )


class VersionProgress:
    """Checks that no incarnation of an entry goes back to an older configuration."""

    def __init__(self, checker: InvariantChecker):
        self.checker = checker
        self.latest: dict[str, tuple[int, float]] = {}

    def record(self, incarnation: str, oldest: int, newest: int, times: tuple) -> None:
        """Record a response that implies a range of versions, and check it.

        Parameters
        ----------
        incarnation : str
            Incarnation of the entry, from sending the request to its response.
        oldest, newest : int
            Oldest and newest version that the response is consistent with.
        times : (float, float)
            When the request was sent, and when its response was read, in seconds.
        """
        sent_s, read_s = times
        version, since_s = self.latest.get(incarnation, (0, 0.0))
        if sent_s > since_s:
            holds = newest >= version
            self.checker.check(
                "monotonic", holds, f"{incarnation}: {newest} < {version}"
            )
        if oldest > version:
            self.latest[incarnation] = (oldest, read_s)
