"""Token bucket: a rate with a bounded burst. Pure."""

# Tolerance for rounding errors, in tokens: a caller that comes exactly when a token is
# due gets it.
TOLERANCE = 1e-9


class TokenBucket:
    """Tokens that arrive at a steady rate, up to a limit.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Maximum number of tokens kept.
    available : float, optional
        Initial number of tokens; `burst` by default.
    """

    def __init__(self, rate: float, burst: float, available: float | None = None):
        self.rate = rate
        self.burst = burst
        self.available = burst if available is None else available
        self.refilled_s: float | None = None

    def refill(self, now_s: float) -> None:
        """Add the tokens that arrived since the last call."""
        refilled_s = now_s if self.refilled_s is None else self.refilled_s
        gained = self.rate * max(0.0, now_s - refilled_s)
        self.available = min(self.burst, self.available + gained)
        self.refilled_s = max(refilled_s, now_s)

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Change rate and limit, keeping the available tokens."""
        self.refill(now_s)
        self.rate, self.burst = rate, burst
        self.available = min(self.available, burst)

    def wait_s(self, now_s: float, tokens: float = 1.0) -> float:
        """Return the seconds until `tokens` are available; infinite without a rate."""
        self.refill(now_s)
        missing = tokens - self.available
        if missing <= TOLERANCE:
            return 0.0
        return missing / self.rate if self.rate else float("inf")

    def take(self, now_s: float) -> bool:
        """Take a token if one is available."""
        if self.wait_s(now_s) > 0:
            return False
        self.available -= 1.0
        return True

    def spend(self, now_s: float, lowest: float) -> None:
        """Take a token even if none is available, down to a debt of `lowest`."""
        self.refill(now_s)
        self.available = max(lowest, self.available - 1.0)
