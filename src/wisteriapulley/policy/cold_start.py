"""Cold targets: until when each is cold, and which requests it may get. Pure.

A target is slow for some seconds after its start, and crashes if it gets requests at
its usual rate. When a failure domain returns, all of its targets are cold at once, look
empty, and would get the load of the whole fleet. So one owner for each target counts
the requests to it and keeps them within a bound while it is cold.
"""

from typing import NamedTuple

from wisteriapulley.policy.token_bucket import TokenBucket

# Fractions of the bound that one owner uses as steady rate and as burst. The rest
# covers grants that are used late: a grant is counted when it is given, the bound
# applies to when its request is sent.
RATE_FRACTION = 0.6
BURST_FRACTION = 0.25
# Time after which requests that the owner does not know, or that were sent while the
# target was warm, do not count any more: the second of the bound, and as much as a
# grant may be used late.
SETTLE_S = 1.25


class ColdBound(NamedTuple):
    """What a cold target of a service may get.

    Attributes
    ----------
    start_s : float
        How long a target is cold after its start, in seconds.
    per_s : float
        Requests per second that it bears.
    max_requests : float
        Most requests in any one second that it may get from this owner.
    """

    start_s: float
    per_s: float
    max_requests: float

    @classmethod
    def from_limits(
        cls,
        start_s: float,
        per_s: float,
        overshoot: float,
        slack: float,
        owners: int = 1,
    ) -> "ColdBound | None":
        """Return the bound for one of several owners; None if there is no limit.

        Parameters
        ----------
        start_s, per_s : float
            What the service states; a rate of 0 is no limit.
        overshoot : float
            Factor on the rate for any single second.
        slack : float
            Requests on top of that.
        owners : int
            Owners that may grant requests to one target at the same time.
        """
        if per_s <= 0:
            return None
        return cls(start_s, per_s, (per_s * overshoot + slack) / owners)

    @property
    def rate(self) -> float:
        """Requests per second that the owner lets through steadily."""
        return min(self.per_s, RATE_FRACTION * self.max_requests)

    @property
    def burst(self) -> float:
        """Most requests that the owner lets through at once."""
        return max(1.0, BURST_FRACTION * self.max_requests)


class ColdTarget:
    """Until when one target is cold, and the requests that its owner let through.

    Requests to a warm target are counted too, since those of the last second count
    when it turns cold.

    Parameters
    ----------
    bound : ColdBound
        What it may get.
    now_s : float
        Current time. Requests before that are unknown, so none may pass at first if
        the target is cold.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that runs, as the target states it; -1 before one is
        known.
    until_s : float
        When it is warm.
    stated_s : float
        Time of the latest statement about it. An assumption that no statement has
        confirmed yet has the time after which a statement replaces it.
    alive_s : float
        First sign of life of an incarnation that replaced another one. Before that, a
        statement that names no incarnation was about the earlier one.
    """

    def __init__(self, bound: ColdBound, now_s: float):
        self.bound = bound
        self.started_ms = -1
        self.until_s = float("-inf")
        self.stated_s = float("-inf")
        self.alive_s = float("-inf")
        self.bucket = TokenBucket(bound.rate, bound.burst, self.max_debt)
        self.bucket.refill(now_s)

    @property
    def max_debt(self) -> float:
        """Tokens after which the bucket permits nothing for `SETTLE_S`; negative."""
        return -SETTLE_S * self.bound.rate

    def set_bound(self, bound: ColdBound, now_s: float) -> None:
        """Apply changed limits of the service, and keep the count of requests."""
        if bound != self.bound:
            self.bound = bound
            self.bucket.set_rate(bound.rate, bound.burst, now_s)

    def record_alive(self, started_ms: int, now_s: float) -> None:
        """Record a sign of life without a statement; the first one counts as cold."""
        if started_ms > self.started_ms:
            if self.started_ms >= 0:
                self.alive_s = now_s
            self.started_ms = started_ms
            self.until_s = now_s + self.bound.start_s
            self.stated_s = float("-inf")

    def record_return(self, silent_since_s: float, now_s: float) -> None:
        """Record a sign of life after a silence, in which it may have turned cold."""
        if self.stated_s < silent_since_s:
            self.until_s = max(self.until_s, now_s + self.bound.start_s)
            self.stated_s = silent_since_s

    def record_idle(self, now_s: float) -> None:
        """Record that nobody can have sent it a request lately.

        After the loss of all instances, engines and owners start together. Nothing is
        unknown then, and waiting for requests that nobody sent would delay the return
        of the whole fleet.
        """
        self.bucket.refill(now_s)
        self.bucket.available = self.bucket.burst

    def observe(self, started_ms: int, remaining_s: float, stated_s: float) -> None:
        """Record how long a target states to stay cold; the latest statement counts.

        Parameters
        ----------
        started_ms : int
            Start of the incarnation that states it; 0 if it is not known.
        remaining_s : float
            Time from the statement on; 0 if it is warm.
        stated_s : float
            When it was stated.
        """
        oldest_s = self.stated_s
        if not started_ms:
            started_ms, oldest_s = self.started_ms, max(oldest_s, self.alive_s)
        if started_ms < self.started_ms:
            return
        if started_ms == self.started_ms and stated_s < oldest_s:
            return
        self.started_ms, self.stated_s = started_ms, stated_s
        self.until_s = stated_s + remaining_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether it is cold, or has to be taken for cold."""
        return now_s < self.until_s

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until a request may pass; 0 if it may pass now."""
        if not self.is_cold(now_s):
            return 0.0
        remaining_s = self.until_s - now_s
        if self.bound.max_requests < 1:
            return remaining_s
        return min(remaining_s, self.bucket.wait_s(now_s))

    def record_sent(self, now_s: float) -> None:
        """Count a request that passed."""
        self.bucket.spend(now_s, self.max_debt)
