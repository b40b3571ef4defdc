"""A rate with a bounded burst. Pure."""

# Of a token: whoever comes when one is due finds it there.
TOLERANCE = 1e-9


class TokenBucket:
    """Tokens that come at a steady rate and are kept up to a limit.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Tokens kept at the most.
    left : float, optional
        Tokens at first; as many as are kept without it.
    """

    def __init__(self, rate: float, burst: float, available: float | None = None):
        self.rate = rate
        self.burst = burst
        self.available = burst if available is None else available
        self.refilled_s: float | None = None

    def refill(self, now_s: float) -> None:
        """Add what has come since this was first asked."""
        refilled_s = now_s if self.refilled_s is None else self.refilled_s
        gained = self.rate * max(0.0, now_s - refilled_s)
        self.available = min(self.burst, self.available + gained)
        self.refilled_s = max(refilled_s, now_s)

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Go on with another rate and limit, with the tokens that are left."""
        self.refill(now_s)
        self.rate, self.burst = rate, burst
        self.available = min(self.available, burst)

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return how long until there are so many tokens; infinite without a rate."""
        self.refill(now_s)
        missing = tokens - self.available
        if missing <= TOLERANCE:
            return 0.0
        return missing / self.rate if self.rate else float("inf")

    def take(self, now_s: float) -> bool:
        """Take a token, if there is one."""
        if self.wait_s(now_s) > 0:
            return False
        self.available -= 1.0
        return True
