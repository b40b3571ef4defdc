"""Table of the attempts of non-idempotent requests at one target.

The table has no I/O and no clock; callers pass the time. An attempt runs at most
once at a target. A refusal, or a resolve that finds no attempt, leaves a tombstone,
so that "not run" stays true if the original dispatch arrives late. The states and
transitions of an attempt are those of ``charts/attempt.json``.
"""

import heapq
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.statechart import load_chart

# Maximum number of attempts in the table: enough for 100 keyed requests a second, each
# kept for the longest expiry of a claim (ten minutes) and the margin below.
MAX_ATTEMPTS = 70_000
# Memory for the kept answers of one target. Beyond it the oldest finished answers
# lose their bodies, and a resend gets MAY_HAVE_RUN.
MAX_KEPT_BYTES = 32 << 20
# Attempts are kept this much longer than their expiry, so that a frame delayed in a
# suspended process still finds its tombstone. Equal to the ledger's margin.
EXPIRY_MARGIN_S = 60.0
RETRY_AFTER_MS = 1000


class AttemptKey(NamedTuple):
    """Client account and its idempotency key."""

    account: str
    key: str


class KeptAnswer(NamedTuple):
    """Complete answer kept for resends."""

    status: int
    headers: tuple[tuple[str, str], ...]
    version: str
    body: bytes


UNSEEN = "unseen"
RUNNING = "running"
DONE = "done"
TOMBSTONE = "tombstone"
LOST = "lost"
TRANSITIONS = {
    (source, trigger): target
    for trigger, source, target in load_chart("attempt")["transitions"]
}


class Attempt:
    """State of the newest attempt of one key, and its answer."""

    def __init__(self, number: int, expires_s: float):
        self.number = number
        self.state = UNSEEN
        self.expires_s = expires_s
        self.answer: KeptAnswer | None = None

    def fire(self, trigger: str) -> None:
        """Follow a transition of the chart; any other trigger is a caller's bug."""
        self.state = TRANSITIONS[self.state, trigger]


class AttemptTable:
    """Attempts by key.

    Parameters
    ----------
    max_attempts : int
        Maximum number of attempts. Beyond it new attempts are refused, because
        dropping a live one could let a request run twice.
    max_kept_bytes : int
        Maximum size of all kept answers.
    """

    def __init__(
        self, max_attempts: int = MAX_ATTEMPTS, max_kept_bytes: int = MAX_KEPT_BYTES
    ):
        self.max_attempts = max_attempts
        self.max_kept_bytes = max_kept_bytes
        self.kept_bytes = 0
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.expiries: list[tuple[float, AttemptKey]] = []

    def start(
        self, key: AttemptKey, number: int, expires_s: float, now_s: float
    ) -> Attempt:
        """Start an attempt, at most once.

        Raises
        ------
        RequestError
            The expiry has passed, the table is full, the attempt or a later one
            was resolved as not run, or an attempt of the key started before.
        """
        self.drop_expired(now_s)
        if expires_s <= now_s:
            raise RequestError(
                ResultCode.REQUEST_EXPIRED,
                "the expiry of the idempotency key has passed",
            )
        self.check_may_start(key, number)
        return self.put(key, number, expires_s, "start")

    def check_may_start(self, key: AttemptKey, number: int) -> None:
        """Raise an error if this attempt must not start.

        Raises
        ------
        RequestError
            IN_PROGRESS: an attempt of the key ran or may have run.
            ATTEMPT_TOMBSTONED: this attempt or a later one was resolved as not run.
        """
        current = self.attempts.get(key)
        if current is None:
            return
        if current.state != TOMBSTONE:
            raise RequestError(
                ResultCode.IN_PROGRESS,
                "an attempt with this key has already started",
                RETRY_AFTER_MS,
            )
        if current.number >= number:
            raise RequestError(
                ResultCode.ATTEMPT_TOMBSTONED,
                "the attempt was resolved as not run",
                RETRY_AFTER_MS,
            )

    def put(
        self, key: AttemptKey, number: int, expires_s: float, trigger: str
    ) -> Attempt:
        """Set the newest attempt of a key and fire its first trigger.

        Raises
        ------
        RequestError
            OVERLOADED: the table is full.
        """
        current = self.attempts.get(key)
        if current is None and len(self.attempts) >= self.max_attempts:
            raise RequestError(
                ResultCode.OVERLOADED, "the attempt table is full", RETRY_AFTER_MS
            )
        if current is not None:
            expires_s = max(expires_s, current.expires_s)
        attempt = self.attempts[key] = Attempt(number, expires_s)
        attempt.fire(trigger)
        heapq.heappush(self.expiries, (expires_s, key))
        return attempt

    def refuse(self, key: AttemptKey, number: int, expires_s: float) -> None:
        """Record a tombstone for an attempt that was refused before it started.

        Raises
        ------
        RequestError
            IN_PROGRESS: an attempt of the key started here before.
            ATTEMPT_TOMBSTONED: this attempt or a later one has a tombstone.
            OVERLOADED: the table is full.
        """
        self.check_may_start(key, number)
        self.put(key, number, expires_s, "refuse")

    def finish(self, attempt: Attempt, answer: KeptAnswer) -> None:
        """Record that an attempt ran, and keep its answer."""
        attempt.fire("finish")
        attempt.answer = answer
        self.kept_bytes += len(answer.body)
        self.evict_kept_answers()

    def resolve(self, key: AttemptKey, number: int, expires_s: float) -> Attempt:
        """Return the attempt; record a tombstone if it has not arrived yet."""
        current = self.attempts.get(key)
        if current is None or (current.state == TOMBSTONE and current.number < number):
            return self.put(key, number, expires_s, "resolve")
        return current

    def drop_expired(self, now_s: float) -> None:
        """Drop attempts that could no longer start because of their expiry."""
        horizon_s = now_s - EXPIRY_MARGIN_S
        while self.expiries and self.expiries[0][0] < horizon_s:
            _, key = heapq.heappop(self.expiries)
            attempt = self.attempts.get(key)
            if attempt is None or attempt.expires_s >= horizon_s:
                continue
            if attempt.state == RUNNING:
                # It ends by itself; check again one margin later.
                heapq.heappush(self.expiries, (now_s, key))
                attempt.expires_s = now_s
                continue
            del self.attempts[key]
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)

    def evict_kept_answers(self) -> None:
        """Drop the oldest kept answers beyond the limit."""
        for attempt in self.attempts.values():
            if self.kept_bytes <= self.max_kept_bytes:
                return
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)
                attempt.answer = None
                attempt.fire("shed")
