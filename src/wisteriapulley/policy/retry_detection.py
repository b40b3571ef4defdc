"""Whether a caller was refused before and has come back. Pure.

Load pattern: more requests than places, so that refused callers come back while new
ones come. Harm prevented: a late answer takes the place of one in time, so those that
come back go last; but a new caller that is taken for one of them is refused for good
while places stand empty.

Nobody says who was refused: another entry did it, and each attempt has its own id.
But `policy.comeback` sends a caller away for a known share of what it had left, so
that it states less time than new callers do, as long as these differ by less than that
share. One that waits for much less than others of its route counts as returned while
callers are refused there.
"""

from wisteriapulley.policy.retry_after import MIN_WAIT_FRACTION

# What a route's callers state at the most is forgotten at this share a second: the
# callers of the next minutes may wait for less.
DECAY_PER_S = 0.002


class RetryDetector:
    """What the callers of one route state, and when they were refused.

    Attributes
    ----------
    longest_s : float
        The longest time that a caller stated lately.
    """

    def __init__(self):
        self.longest_wait_s = 0.0
        self.updated_s = 0.0
        self.refused_s = float("-inf")

    def record_refusal(self, now_s: float) -> None:
        """Note that a caller was told to come back."""
        self.refused_s = now_s

    def is_retry(self, max_wait_s: float, now_s: float) -> bool:
        """Tell whether a request comes from a caller that was refused before.

        Parameters
        ----------
        patience_s : float
            How long the caller still waits, as it states.
        now_s : float
            The loop's clock.
        """
        decay = 1 - DECAY_PER_S * (now_s - self.updated_s)
        self.longest_wait_s = max(max_wait_s, self.longest_wait_s * max(0.0, decay))
        self.updated_s = now_s
        if now_s - self.refused_s > self.longest_wait_s:
            # Whoever was refused has come back by now, or never will.
            return False
        return max_wait_s < self.longest_wait_s * (1 - MIN_WAIT_FRACTION)
