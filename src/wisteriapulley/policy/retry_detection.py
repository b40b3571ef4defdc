"""Detects callers that retry after a refusal. Pure.

With more requests than slots, refused callers retry while new requests arrive. A late
answer takes the slot of one in time, so retries go last; but a new caller that is
mistaken for a retry is refused for good while slots are free.

No request says that it was refused before: another entry may have refused it, and each
attempt has its own id. But `policy.retry_after` delays callers by a known fraction of
their remaining time, so a retry states less time than new requests do, as long as the
times of new requests differ by less than that fraction. A caller that waits for much
less than others of its route counts as a retry while callers are refused there.
"""

from wisteriapulley.policy.retry_after import MIN_WAIT_FRACTION

# Decay per second of the longest stated time: callers may state shorter times some
# minutes later.
DECAY_PER_S = 0.002


class RetryDetector:
    """Times that the callers of one route state, and when one was refused.

    Attributes
    ----------
    longest_wait_s : float
        The longest time that a caller stated recently.
    """

    def __init__(self):
        self.longest_wait_s = 0.0
        self.updated_s = 0.0
        self.refused_s = float("-inf")

    def record_refusal(self, now_s: float) -> None:
        """Record that a caller was told to retry."""
        self.refused_s = now_s

    def is_retry(self, max_wait_s: float, now_s: float) -> bool:
        """Return whether a request is a retry of a refused one.

        Parameters
        ----------
        max_wait_s : float
            How long the caller still waits, as it states.
        now_s : float
            Current time of the loop.
        """
        decay = 1 - DECAY_PER_S * (now_s - self.updated_s)
        self.longest_wait_s = max(max_wait_s, self.longest_wait_s * max(0.0, decay))
        self.updated_s = now_s
        if now_s - self.refused_s > self.longest_wait_s:
            # Refused callers have retried by now, or never will.
            return False
        return max_wait_s < self.longest_wait_s * (1 - MIN_WAIT_FRACTION)
