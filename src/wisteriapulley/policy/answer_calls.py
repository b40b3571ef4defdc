"""Whether a target on the same instance answers now. Pure.

One call at a time is made. Its answer shows only that the target was not silent after
the call was sent, so it serves those who asked before that.
"""

# A target on the same instance answers within milliseconds, also amid work.
MAX_ANSWER_MS = 100.0
# Those who wait for a decision are told after this long that it takes longer. They take
# a sidecar without any reply for stalled, at the earliest after 25 ms.
USUAL_ANSWER_MS = 10.0
# Timers may fire this much early, so that a request has waited a little less.
TIMER_ERROR_MS = 2.0


class AnswerCalls:
    """The calls to one target.

    Attributes
    ----------
    sent_ms : float or None
        When the call in progress was sent; None without one.
    """

    def __init__(self):
        self.sent_ms: float | None = None

    def record_sent(self, now_ms: float) -> None:
        """Record that a call is sent."""
        self.sent_ms = now_ms

    def record_ended(self) -> None:
        """Record that the call in progress was answered or has failed."""
        self.sent_ms = None

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the call in progress should have been answered by now."""
        if self.sent_ms is None:
            return False
        return now_ms - self.sent_ms >= MAX_ANSWER_MS - TIMER_ERROR_MS
