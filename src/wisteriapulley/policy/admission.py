"""Admission: which request is let in, by client account and class."""

from typing import NamedTuple

from wisteriapulley.catalogue.entry import Limits
from wisteriapulley.errors import RequestError, ResultCode


class Ticket(NamedTuple):
    """Admitted request; give it back with `Admission.release`."""

    account: str
    entry_name: str


class Bucket:
    """Token bucket of one client account under one entry."""

    def __init__(self, limits: Limits, now_s: float):
        self.limits = limits
        self.tokens = float(limits.burst)
        self.at_s = now_s

    def take(self, now_s: float) -> float:
        """Take a token; return 0, or the seconds until one is there."""
        gained = (now_s - self.at_s) * self.limits.requests_per_s
        self.tokens = min(float(self.limits.burst), self.tokens + gained)
        self.at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.limits.requests_per_s


class Admission:
    """Token bucket for each client account and entry."""

    def __init__(self):
        self.buckets: dict[tuple[str, str], Bucket] = {}

    def admit(
        self, account: str, entry_name: str, limits: Limits, now_s: float
    ) -> Ticket:
        """Let a request in or refuse it at once.

        Raises
        ------
        RequestError
            OVERLOADED, with when to come back.
        """
        key = (account, entry_name)
        bucket = self.buckets.get(key)
        if bucket is None or bucket.limits != limits:
            bucket = self.buckets[key] = Bucket(limits, now_s)
        wait_s = bucket.take(now_s)
        if wait_s > 0:
            raise RequestError(
                ResultCode.OVERLOADED,
                f"client account {account!r} is over its rate under {entry_name!r}",
                int(wait_s * 1000) + 1,
            )
        return Ticket(account, entry_name)
