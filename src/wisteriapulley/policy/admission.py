"""Rate limiting of each client account under a catalogue entry."""

from collections import OrderedDict

from wisteriapulley.catalogue.entry import Limits
from wisteriapulley.errors import RequestError, ResultCode

# Maximum number of buckets, of about 200 bytes each. A full table evicts the account
# that was idle longest: its bucket would be nearly full again anyway.
MAX_BUCKETS = 10_000


class AccountBucket:
    """Token bucket of one client account under one entry."""

    def __init__(self, limits: Limits, now_s: float):
        self.limits = limits
        self.tokens = float(limits.burst)
        self.refilled_s = now_s

    def take(self, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        gained = max(0.0, now_s - self.refilled_s) * self.limits.requests_per_s
        self.tokens = min(float(self.limits.burst), self.tokens + gained)
        self.refilled_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.limits.requests_per_s


class Admission:
    """Token bucket for each client account and entry.

    An account that sends faster than its limit would fill the queue that it shares
    with others. The limits are those of the catalogue.
    """

    def __init__(self, max_buckets: int = MAX_BUCKETS):
        self.max_buckets = max_buckets
        self.buckets: OrderedDict[tuple[str, str], AccountBucket] = OrderedDict()

    def admit(
        self, account: str, entry_name: str, limits: Limits, now_s: float
    ) -> None:
        """Admit a request, or reject it at once.

        Raises
        ------
        RequestError
            OVERLOADED, with the time after which to retry.
        """
        key = (account, entry_name)
        bucket = self.buckets.get(key)
        if bucket is None or bucket.limits != limits:
            bucket = self.buckets[key] = AccountBucket(limits, now_s)
        self.buckets.move_to_end(key)
        if len(self.buckets) > self.max_buckets:
            self.buckets.popitem(last=False)
        wait_s = bucket.take(now_s)
        if wait_s > 0:
            raise RequestError(
                ResultCode.OVERLOADED,
                f"client account {account!r} exceeds its rate under {entry_name!r}",
                int(wait_s * 1000) + 1,
            )
