"""Drain rate of a queue, sampled while the queue is not empty."""

# Length of a sample: long enough for several short requests to end, short enough to
# notice the failure of a target.
WINDOW_S = 0.5
# Weight of a new sample in the moving average of the rate.
SMOOTHING = 0.4
# Lowest rate used for an estimate. It keeps the wait finite for a stopped queue, so
# that Retry-After stays reasonable.
MIN_RATE = 0.05


class DrainRate:
    """Seconds of expected work that start per second.

    Targets are shared with hundreds of other entries. An entry that counts every
    slot of its targets as its own would queue requests that can't be in time, and
    refuse them late.
    """

    def __init__(self):
        self.rate: float | None = None
        self.window_start_s: float | None = None
        self.started_work_s = 0.0

    def record_start(self, cost_s: float, now_s: float) -> None:
        """Record the start of queued work."""
        self.update(now_s)
        self.started_work_s += cost_s

    def update(self, now_s: float) -> None:
        """Update the rate after each full window with queued work."""
        if self.window_start_s is None:
            self.window_start_s = now_s
        elapsed_s = now_s - self.window_start_s
        if elapsed_s < WINDOW_S:
            return
        sample = self.started_work_s / elapsed_s
        current = sample if self.rate is None else self.rate
        self.rate = current + SMOOTHING * (sample - current)
        self.window_start_s = now_s
        self.started_work_s = 0.0

    def reset_window(self) -> None:
        """Discard the window: an empty queue says nothing about the drain rate."""
        self.window_start_s = None
        self.started_work_s = 0.0

    def wait_s(self, ahead_s: float, slots: int) -> float:
        """Return the seconds until `ahead_s` of queued work has started.

        The rate is at most `slots`, even if a higher one was sampled.
        """
        rate = min(slots, self.rate if self.rate is not None else slots)
        return ahead_s / max(MIN_RATE, rate)
