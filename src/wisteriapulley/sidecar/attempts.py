"""Attempts of non-idempotent requests at one target; pure.

An attempt runs at most once here. A refusal, or a resolve that finds nothing,
leaves a tombstone, so that "not run" stays true when the original arrives late.
Its states and moves are those of ``charts/attempt.json``.
"""

import heapq
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.statechart import load_chart

# With the claim's ten minutes and margin at 100 keyed requests a second.
MAX_ATTEMPTS = 70_000
# Kept answers of one target; past it the oldest finished answers lose their
# bodies and a resend is told that the request has run.
MAX_KEPT_BYTES = 32 << 20
# Kept this much longer than the expiry, so that a frame which waited in a
# stopped process still meets its tombstone; as the ledger's own margin.
EXPIRY_MARGIN_S = 60.0
RETRY_AFTER_MS = 1000


class AttemptKey(NamedTuple):
    """Client account and idempotency key."""

    account: str
    key: str


class KeptAnswer(NamedTuple):
    """Whole answer kept for resends."""

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
    """What became of the newest attempt of one key."""

    def __init__(self, number: int, expires_s: float):
        self.number = number
        self.state = UNSEEN
        self.expires_s = expires_s
        self.answer: KeptAnswer | None = None

    def fire(self, trigger: str) -> None:
        """Move along the chart; any other move is a fault of the caller."""
        self.state = TRANSITIONS[self.state, trigger]


class AttemptTable:
    """Attempts by key.

    Parameters
    ----------
    limit : int
        Most attempts held; beyond it new ones are refused, because forgetting
        a live one could run a request twice.
    kept_limit : int
        Most bytes of kept answers.
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
        """Begin an attempt, once.

        Raises
        ------
        RequestError
            It was resolved as not run, is an older one, or ran already.
        """
        self.drop_expired(now_s)
        if expires_s <= now_s:
            raise RequestError(ResultCode.REQUEST_EXPIRED, "the expiry has passed")
        self.check_may_start(key, number)
        return self.put(key, number, expires_s, "start")

    def check_may_start(self, key: AttemptKey, number: int) -> None:
        """Refuse a number that was resolved, or that ran or may have."""
        current = self.attempts.get(key)
        if current is None:
            return
        if current.state != TOMBSTONE:
            raise RequestError(
                ResultCode.IN_PROGRESS, "an attempt has begun", RETRY_AFTER_MS
            )
        if current.number >= number:
            raise RequestError(
                ResultCode.ATTEMPT_TOMBSTONED, "resolved as not run", RETRY_AFTER_MS
            )

    def put(
        self, key: AttemptKey, number: int, expires_s: float, trigger: str
    ) -> Attempt:
        """Set the newest attempt of a key, moved once.

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
        """Leave a tombstone for an attempt that was refused before it began.

        Raises
        ------
        RequestError
            IN_PROGRESS: an attempt of the key began here before.
        """
        self.check_may_start(key, number)
        self.put(key, number, expires_s, "refuse")

    def finish(self, attempt: Attempt, answer: KeptAnswer) -> None:
        """Keep the answer of an attempt that ran."""
        attempt.fire("finish")
        attempt.answer = answer
        self.kept_bytes += len(answer.body)
        self.evict_kept_answers()

    def resolve(self, key: AttemptKey, number: int, expires_s: float) -> Attempt:
        """Return the attempt; one never seen becomes a tombstone."""
        current = self.attempts.get(key)
        if current is None or (current.state == TOMBSTONE and current.number < number):
            return self.put(key, number, expires_s, "resolve")
        return current

    def drop_expired(self, now_s: float) -> None:
        """Drop attempts whose requests could not start again."""
        horizon_s = now_s - EXPIRY_MARGIN_S
        while self.expiries and self.expiries[0][0] < horizon_s:
            _, key = heapq.heappop(self.expiries)
            attempt = self.attempts.get(key)
            if attempt is None or attempt.expires_s >= horizon_s:
                continue
            if attempt.state == RUNNING:
                # It ends by itself; look again one margin later.
                heapq.heappush(self.expiries, (now_s, key))
                attempt.expires_s = now_s
                continue
            del self.attempts[key]
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)

    def evict_kept_answers(self) -> None:
        """Drop the oldest kept bodies beyond the limit."""
        for attempt in self.attempts.values():
            if self.kept_bytes <= self.max_kept_bytes:
                return
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)
                attempt.answer = None
                attempt.fire("shed")
