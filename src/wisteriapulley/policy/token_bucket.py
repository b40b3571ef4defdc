"""A rate with a bounded burst. Pure."""

# Of a token: whoever comes when one is due finds it there.
ROUNDING = 1e-9


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

    def __init__(self, rate: float, burst: float, left: float | None = None):
        self.rate = rate
        self.burst = burst
        self.left = burst if left is None else left
        self.filled_s: float | None = None

    def fill(self, now_s: float) -> None:
        """Add what has come since this was first asked."""
        since_s = now_s if self.filled_s is None else self.filled_s
        gained = self.rate * max(0.0, now_s - since_s)
        self.left = min(self.burst, self.left + gained)
        self.filled_s = max(since_s, now_s)

    def change(self, rate: float, burst: float, now_s: float) -> None:
        """Go on with another rate and limit, with the tokens that are left."""
        self.fill(now_s)
        self.rate, self.burst = rate, burst
        self.left = min(self.left, burst)

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return how long until there are so many tokens; infinite without a rate."""
        self.fill(now_s)
        lacking = tokens - self.left
        if lacking <= ROUNDING:
            return 0.0
        return lacking / self.rate if self.rate else float("inf")

    def take(self, now_s: float) -> bool:
        """Take a token, if there is one."""
        if self.wait_s(now_s) > 0:
            return False
        self.left -= 1.0
        return True
