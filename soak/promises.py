"""Judges what callers, targets and operators saw against what is promised. Pure."""

from collections import Counter, defaultdict
from typing import NamedTuple

from soak.plan import PLANNED, Fault, Kind

# How long after a failure ended it still excuses what is bounded in time.
AFTERMATH_S = 4.0
# After a stop signal a process may take so long, and the machine a little more.
GRACE_S = 8.0
SLACK_S = 3.0
# A leaving target gets nothing more so long after its word was acknowledged.
DRAIN_S = 2.5
# A replaced version of weights begins nothing more after this.
VERSION_S = 8.5
# An acknowledged configuration is what is read, after this.
APPLY_S = 2.0
# While a target rests, so many requests of one entry may reach it, not counted those
# that were on their way when it said so.
MOST_IN_REST = 2
ON_THEIR_WAY_S = 0.5
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Sent(NamedTuple):
    """One attempt of a caller."""

    request_id: str
    entry: str
    method: str
    path: str
    body: bytes
    at_s: float
    idempotent: bool
    most_targets: int


class Run(NamedTuple):
    """One request that a target began."""

    request_id: str
    target_id: str
    method: str
    path: str
    body: bytes
    account: str
    has_key: bool
    at_s: float
    version: int = 0


class Ended(NamedTuple):
    """How an attempt ended; status 0 is a connection that closed without a head."""

    request_id: str
    at_s: float
    status: int
    whole: bool
    right: bool


class Told(NamedTuple):
    """What a target said to one entry: that it leaves, or that it rests until then."""

    entry: str
    target_id: str
    at_s: float
    until_s: float


class Finding(NamedTuple):
    """A promise that was broken."""

    promise: str
    what: str


class Judge:
    """Keeps what was seen, and says what was broken.

    Parameters
    ----------
    account : str
        Whom the callers' key belongs to.
    timed : bool
        Whether promises with a bound in time are checked: they need a machine
        that is not busy with other things.
    """

    def __init__(self, account: str, timed: bool = True):
        self.account = account
        self.timed = timed
        self.sent: dict[str, Sent] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.ended: dict[str, Ended] = {}
        self.faults: list[tuple[Fault, float, float]] = []
        self.left_s: dict[str, float] = {}
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.in_rest: Counter[Told] = Counter()
        self.named_s: dict[int, float] = {}
        self.findings: list[Finding] = []
        self.checked: Counter[str] = Counter()

    def found(self, promise: str, what: str) -> None:
        """Note a broken promise."""
        self.findings.append(Finding(promise, what))

    def check(self, promise: str, holds: bool, what: str) -> None:
        """Count a check, and note it if it fails."""
        self.checked[promise] += 1
        if not holds:
            self.found(promise, what)

    # -- what was seen ---------------------------------------------------

    def note_sent(self, sent: Sent) -> None:
        """Note an attempt before it is sent."""
        self.sent[sent.request_id] = sent

    def note_run(self, run: Run) -> None:
        """Note and check what a target begins."""
        sent = self.sent.get(run.request_id)
        self.check("known", sent is not None, f"{run.request_id} was never sent")
        if sent is None:
            return
        self.runs[run.request_id].append(run)
        same = (run.method, run.path, run.body) == (sent.method, sent.path, sent.body)
        self.check("unchanged", same, f"{run} of {sent}")
        self.check("account", run.account == self.account, f"{run}")
        self.check("key", not run.has_key, f"{run.request_id}: the key was passed on")
        targets = {each.target_id for each in self.runs[run.request_id]}
        self.check(
            "attempts", len(targets) <= sent.most_targets, f"{sent} at {targets}"
        )
        if not sent.idempotent:
            once = len(self.runs[run.request_id]) == 1
            self.check("once", once, f"{self.runs[run.request_id]}")
        if self.timed:
            self.check_drain(run)
            self.check_version(run)

    def note_ended(self, ended: Ended) -> None:
        """Note and check how an attempt ended."""
        self.ended[ended.request_id] = ended
        if ended.status == 200 and ended.whole:
            self.check("whole", ended.right, f"{ended} of {self.sent[ended[0]]}")

    def note_told(
        self, request_id: str, target_id: str, at_s: float, rest_s: float = 0.0
    ) -> None:
        """Note that a target told an entry that it leaves, or wants rest."""
        if request_id in self.sent:
            entry = self.sent[request_id].entry
            until_s = at_s + rest_s if rest_s else float("inf")
            told = Told(entry, target_id, at_s, until_s)
            self.told[entry, target_id].append(told)

    def note_arrival(self, request_id: str, target_id: str, at_s: float) -> None:
        """Note and check that a request reaches a target."""
        sent = self.sent.get(request_id)
        if sent is None or not self.timed:
            return
        for told in self.told[sent.entry, target_id]:
            if self.entry_disturbed(told, at_s):
                continue
            if told.until_s == float("inf"):
                late = sent.at_s - told.at_s > DRAIN_S
                self.check("leaving", not late, f"{sent} at {at_s:.2f} s, {told}")
            elif told.at_s + ON_THEIR_WAY_S < at_s < told.until_s:
                self.in_rest[told] += 1
                few = self.in_rest[told] <= MOST_IN_REST
                self.check("rest", few, f"{sent} at {at_s:.2f} s, {told}")

    # -- in time ---------------------------------------------------------

    def entry_disturbed(self, told: Told, to_s: float) -> bool:
        """Tell whether an entry was restarted, frozen or cut off since it was told.

        Of an engine that went dark it may not have heard the word.
        """
        target = told.target_id.rpartition("-")[0]
        excuses = {(Kind.ENGINE_DARK, target), (Kind.KILL_ALL, "")}
        return any(
            began_s <= to_s and ended_s + ON_THEIR_WAY_S >= told.at_s
            for fault, began_s, ended_s in self.faults
            if fault.name == told.entry or (fault.kind, fault.name) in excuses
        )

    def disturbed(self, from_s: float, to_s: float, but: frozenset = PLANNED) -> bool:
        """Tell whether a failure touched a time, or its aftermath did."""
        return any(
            began_s <= to_s and ended_s + AFTERMATH_S >= from_s
            for fault, began_s, ended_s in self.faults
            if fault.kind not in but
        )

    def check_drain(self, run: Run) -> None:
        """A target that said that it leaves gets nothing more."""
        since_s = self.left_s.get(run.target_id)
        if since_s is None or self.disturbed(since_s - AFTERMATH_S, run.at_s):
            return
        sent_s = self.sent[run.request_id].at_s
        late = min(run.at_s, sent_s) - since_s > DRAIN_S
        self.check("drain", not late, f"{run} left at {since_s:.2f} s")

    def check_version(self, run: Run) -> None:
        """Nothing begins on a version that was replaced long ago."""
        newer = [
            at_s for version, at_s in self.named_s.items() if version > run.version
        ]
        if not run.version or not newer:
            return
        since_s = min(newer)
        if self.disturbed(since_s - AFTERMATH_S, run.at_s):
            return
        late = run.at_s - since_s > VERSION_S
        self.check("version", not late, f"{run} replaced at {since_s:.2f} s")

    def check_stop(self, name: str, took_s: float, status: int | None) -> None:
        """A stop signal ends a process in time, and cleanly."""
        if self.timed:
            self.check("grace", took_s <= GRACE_S + SLACK_S, f"{name}: {took_s:.1f} s")
        self.check("exit", status in (0, None), f"{name} ended with {status}")

    # -- the end ---------------------------------------------------------

    def close(self) -> None:
        """Check what only the end shows."""
        for ended in self.ended.values():
            if ended.status in NOT_RUN_STATUSES:
                runs = self.runs.get(ended.request_id, [])
                self.check("not run", not runs, f"{ended} ran: {runs}")
            self.check_cut(ended)

    def check_cut(self, ended: Ended) -> None:
        """Planned work alone cuts no answer."""
        if ended.whole or not self.timed:
            return
        sent = self.sent[ended.request_id]
        if not self.runs.get(ended.request_id):
            return
        planned = frozenset(Kind) - PLANNED
        if not self.disturbed(sent.at_s, ended.at_s, planned):
            return
        if not self.disturbed(sent.at_s - AFTERMATH_S, ended.at_s):
            self.found("cut", f"{ended} of {sent}")
        self.checked["cut"] += 1


class ConfigurationHistory:
    """Configurations that were sent, acknowledged and read."""

    def __init__(self, judge: Judge):
        self.judge = judge
        self.texts: dict[int, set[bytes]] = defaultdict(set)
        self.refused: set[bytes] = set()
        self.read: dict[int, bytes] = {}
        self.acknowledged: dict[int, float] = {}

    def newest_acknowledged(self, before_s: float = float("inf")) -> int:
        """Return the newest version that was acknowledged by a time."""
        known = (v for v, at_s in self.acknowledged.items() if at_s <= before_s)
        return max(known, default=0)

    def note_sent(self, version: int, text: bytes) -> None:
        """Note a configuration before it is sent."""
        self.texts[version].add(text)

    def note_acknowledged(self, version: int, at_s: float) -> None:
        """Note an acknowledgement."""
        self.acknowledged.setdefault(version, at_s)

    def note_refused(self, text: bytes, is_valid: bool) -> None:
        """Note a refusal: only what is invalid is refused."""
        self.judge.check("valid accepted", not is_valid, f"refused: {text[:80]!r}")
        self.refused.add(text)

    def check_read(self, version: int, text: bytes, asked_s: float) -> None:
        """A read returns what was sent, and nothing older than acknowledged."""
        known = text in self.texts.get(version, ())
        self.judge.check(
            "read as sent", known, f"version {version} reads {text[:80]!r}"
        )
        same = self.read.setdefault(version, text) == text
        self.judge.check("one content a version", same, f"{version}")
        self.judge.check("refused in force", text not in self.refused, f"{version}")
        least = self.newest_acknowledged(asked_s - APPLY_S)
        self.judge.check("read newest", version >= least, f"{version} after {least}")


class Progression:
    """What each incarnation of an entry showed of the configuration in force."""

    def __init__(self, judge: Judge):
        self.judge = judge
        self.shown: dict[str, tuple[int, float]] = {}

    def note(self, incarnation: str, least: int, most: int, times: tuple) -> None:
        """Note a response that shows a version between two; it never goes back.

        Parameters
        ----------
        incarnation : str
            The entry's process, the same when the request was sent and answered.
        least, most : int
            Oldest and newest version that the response is in keeping with.
        times : (float, float)
            When the request was sent, and its response read.
        """
        sent_s, read_s = times
        version, since_s = self.shown.get(incarnation, (0, 0.0))
        if sent_s > since_s:
            holds = most >= version
            self.judge.check("monotonic", holds, f"{incarnation}: {most} < {version}")
        if least > version:
            self.shown[incarnation] = (least, read_s)
