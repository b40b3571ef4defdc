"""A rate with a bounded burst. Pure."""


class TokenBucket:
    """Tokens that come at a steady rate and are kept up to a limit; full at first.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Tokens kept at the most.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.filled_s = float("-inf")

    def fill(self, now_s: float) -> None:
        """Add what has come until now."""
        gained = self.rate * (now_s - self.filled_s) if self.rate else 0.0
        self.left = min(self.burst, self.left + max(0.0, gained))
        self.filled_s = max(self.filled_s, now_s)

    def take(self, now_s: float) -> bool:
        """Take a token, if there is one."""
        self.fill(now_s)
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
