"""Attempts of non-idempotent requests at one target; pure.

An attempt runs at most once here. A refusal, or a resolve that finds nothing,
leaves a tombstone, so that "not run" stays true when the original arrives late.
"""

from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode

# With the claim's ten minutes and margin at 100 keyed requests a second.
MAX_ATTEMPTS = 70_000
# Kept answers of one target; past it the oldest finished answers lose their
# bodies and a resend is told that the request has run.
MAX_KEPT_BYTES = 32 << 20


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


class Attempt:
    """What became of the newest attempt of one key."""

    def __init__(self, number: int, state: str, expires_s: float):
        self.number = number
        self.state = state
        self.expires_s = expires_s
        self.answer: KeptAnswer | None = None


RUNNING = "running"
DONE = "done"
TOMBSTONE = "tombstone"
LOST = "lost"


class AttemptTable:
    """Attempts by key."""

    def __init__(self, limit: int = MAX_ATTEMPTS, kept_limit: int = MAX_KEPT_BYTES):
        self.limit = limit
        self.kept_limit = kept_limit
        self.kept_bytes = 0
        self.attempts: dict[AttemptKey, Attempt] = {}

    def start(
        self, key: AttemptKey, number: int, expires_s: float, now_s: float
    ) -> Attempt:
        """Begin an attempt, once.

        Raises
        ------
        RequestError
            It was resolved as not run, is an older one, or ran already.
        """
        self.forget_expired(now_s)
        if expires_s <= now_s:
            raise RequestError(ResultCode.REQUEST_EXPIRED, "the expiry has passed")
        standing = self.attempts.get(key)
        if standing is not None and standing.number >= number:
            if standing.state == TOMBSTONE or standing.number > number:
                raise RequestError(
                    ResultCode.ATTEMPT_TOMBSTONED, "resolved as not run", 1000
                )
            raise RequestError(ResultCode.IN_PROGRESS, "this attempt has begun", 1000)
        if standing is not None and standing.state in (RUNNING, DONE):
            raise RequestError(ResultCode.IN_PROGRESS, "an attempt has begun", 1000)
        if len(self.attempts) >= self.limit:
            raise RequestError(ResultCode.OVERLOADED, "attempt table is full", 1000)
        attempt = self.attempts[key] = Attempt(number, RUNNING, expires_s)
        return attempt

    def refuse(self, key: AttemptKey, number: int, expires_s: float) -> None:
        """Leave a tombstone for an attempt that was refused before it began."""
        standing = self.attempts.get(key)
        if standing is None or standing.number < number:
            if standing is None or standing.state == TOMBSTONE:
                self.attempts[key] = Attempt(number, TOMBSTONE, expires_s)

    def finish(self, attempt: Attempt, answer: KeptAnswer) -> None:
        """Keep the answer of an attempt that ran."""
        attempt.state = DONE
        attempt.answer = answer
        self.kept_bytes += len(answer.body)
        self.shed_kept()

    def lose(self, attempt: Attempt) -> None:
        """Note that an attempt ended without a whole answer; it may have run."""
        attempt.state = LOST

    def resolve(self, key: AttemptKey, number: int, expires_s: float) -> Attempt:
        """Return the attempt; one never seen becomes a tombstone."""
        standing = self.attempts.get(key)
        if standing is None or standing.number < number:
            if standing is None or standing.state == TOMBSTONE:
                standing = self.attempts[key] = Attempt(number, TOMBSTONE, expires_s)
        return standing

    def forget_expired(self, now_s: float) -> None:
        """Drop attempts whose requests could not start again."""
        expired = [
            key
            for key, attempt in self.attempts.items()
            if attempt.expires_s < now_s and attempt.state != RUNNING
        ]
        for key in expired:
            attempt = self.attempts.pop(key)
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)

    def shed_kept(self) -> None:
        """Drop the oldest kept bodies beyond the limit."""
        for attempt in self.attempts.values():
            if self.kept_bytes <= self.kept_limit:
                return
            if attempt.answer is not None:
                self.kept_bytes -= len(attempt.answer.body)
                attempt.answer = None
                attempt.state = LOST
