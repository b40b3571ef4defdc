"""Hypothesis state machine over the real claims ledger and attempt tables.

There are two entries and two targets. Messages are delayed, and a target loses its
attempts when it restarts. The machine checks that a request whose claim was accepted
runs at most once, and that a request that was resolved as not run never runs.
"""

from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from specs.invariants import require
from wisteriapulley.claims import Claim, ClaimKey, ClaimLedger
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.sidecar.attempts import (
    TOMBSTONE,
    AttemptKey,
    AttemptTable,
    KeptAnswer,
)

KEYS = ("k1", "k2")
TARGETS = ("t1", "t2")
EXPIRY_S = 60
KEPT_ANSWER = KeptAnswer(200, (), "", b"")

keys = st.sampled_from(KEYS)
targets = st.sampled_from(TARGETS)


class SentDispatch(NamedTuple):
    """A dispatch in flight to a target; `request` counts the uses of the key."""

    key: str
    request: int
    claim: Claim


class Target:
    """A target's attempt table and its incarnation."""

    def __init__(self, table_class: type):
        self.table_class = table_class
        self.incarnation = 0
        self.restart()

    def restart(self) -> None:
        """Drop every attempt and start a new incarnation."""
        self.incarnation += 1
        self.table = self.table_class()


class ClaimsMachine(RuleBasedStateMachine):
    """Rules are the actions of entries and targets.

    Attributes
    ----------
    ledger_class, table_class : type
        The real classes, or mutants of them.
    trusts_restart : bool
        Mutant: the empty table of a restarted target is taken for "not run".
    """

    options: dict = {}
    steps = 0
    checks = 0

    def __init__(self):
        super().__init__()
        self.ledger = self.options.get("ledger_class", ClaimLedger)()
        table_class = self.options.get("table_class", AttemptTable)
        self.trusts_restart = self.options.get("trusts_restart", False)
        self.targets = {name: Target(table_class) for name in TARGETS}
        self.sent: list[SentDispatch] = []
        self.runs: dict[tuple[str, int], int] = {}
        self.running: list[tuple[str, object]] = []
        self.requests = dict.fromkeys(KEYS, 0)
        self.now_s = 1000

    def current_claim(self, key: str) -> Claim | None:
        """Return the current claim of a key."""
        return self.ledger.claims.get(ClaimKey("account", key))

    def propose_claim(
        self, key: str, target: str, attempt: int, expires_at_ms: int
    ) -> None:
        """Propose a claim by compare-and-set, and dispatch if it is accepted."""
        type(self).steps += 1
        incarnation = self.targets[target].incarnation
        claim = Claim(b"body", target, incarnation, attempt + 1, expires_at_ms)
        result = self.ledger.put(
            ClaimKey("account", key), claim, attempt, self.now_s * 1000
        )
        if result.code == ResultCode.OK:
            # A first attempt is a new use of the key, also if the ledger has
            # dropped an earlier use that expired.
            self.requests[key] += result.claim.attempt == 1
            self.sent.append(SentDispatch(key, self.requests[key], result.claim))

    @rule(key=keys, name=targets)
    def submit(self, key, name):
        """Send a request, unless its key has a claim."""
        if self.current_claim(key) is None:
            self.propose_claim(key, name, 0, (self.now_s + EXPIRY_S) * 1000)

    @rule(key=keys, first=targets, second=targets)
    def submit_twice(self, key, first, second):
        """Let two entries read the ledger, and then let both propose a claim."""
        self.propose_claim(key, first, 0, (self.now_s + EXPIRY_S) * 1000)
        self.propose_claim(key, second, 0, (self.now_s + EXPIRY_S) * 1000)

    @rule(position=st.integers(0, 3), refused=st.sampled_from([False, False, True]))
    def deliver(self, position, refused):
        """Deliver a dispatch to its target, in any order."""
        if not self.sent:
            return
        sent = self.sent.pop(position % len(self.sent))
        claim, target = sent.claim, self.targets[sent.claim.target]
        if claim.incarnation != target.incarnation:
            return
        key, expires_s = AttemptKey("account", sent.key), claim.expires_at_ms / 1000
        try:
            if refused:
                target.table.refuse(key, claim.attempt, expires_s)
                return
            attempt = target.table.start(key, claim.attempt, expires_s, self.now_s)
        except RequestError:
            return
        self.running.append((claim.target, attempt))
        self.check_run(sent)

    def check_run(self, sent: SentDispatch) -> None:
        """Count a run of a request and check that it is the only one."""
        name = (sent.key, sent.request)
        self.runs[name] = self.runs.get(name, 0) + 1
        type(self).checks += 1
        require(self.runs[name] == 1, "one_run_per_claim", f"{name} ran again")

    @rule(lost=st.booleans())
    def finish(self, lost):
        """End the oldest run, completed or lost."""
        if self.running:
            target, attempt = self.running.pop(0)
            table = self.targets[target].table
            if attempt in table.attempts.values():
                attempt.fire("lose") if lost else table.finish(attempt, KEPT_ANSWER)

    @rule(key=keys, name=targets, entries=st.integers(1, 2))
    def follow_up(self, key, name, entries):
        """Resolve the current attempt; claim the next one if it did not run."""
        claim = self.current_claim(key)
        if claim is None:
            return
        for _ in range(entries):
            if self.resolved_not_run(key, claim):
                self.propose_claim(key, name, claim.attempt, claim.expires_at_ms)

    def resolved_not_run(self, key: str, claim: Claim) -> bool:
        """Return whether the target says that the claim's attempt did not run.

        A new incarnation of the target can't tell.
        """
        target = self.targets[claim.target]
        if claim.incarnation != target.incarnation and not self.trusts_restart:
            return False
        attempt = target.table.resolve(
            AttemptKey("account", key), claim.attempt, claim.expires_at_ms / 1000
        )
        return attempt.state == TOMBSTONE

    @rule(
        key=keys,
        first=targets,
        second=targets,
        seconds=st.sampled_from([0, 30, 130]),
        restarts=st.booleans(),
    )
    def late_first_attempt(self, key, first, second, seconds, restarts):
        """Run the next attempt, and deliver the first one after it."""
        self.submit(key, first)
        if restarts:
            self.deliver(0, False)
            self.restart(first)
        self.follow_up(key, second, 2)
        self.deliver(-1, False)
        self.finish(False)
        self.wait(seconds)
        self.deliver(0, False)

    @rule(name=targets)
    def restart(self, name):
        """Restart a target."""
        self.targets[name].restart()

    @rule(seconds=st.sampled_from([0, 30, 130]))
    def wait(self, seconds):
        """Let time pass, also beyond the expiry of claims."""
        self.now_s += seconds
        for target in self.targets.values():
            target.table.drop_expired(self.now_s)
