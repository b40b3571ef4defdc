"""How fast a queue drains, as measured while it is not empty."""

# Long enough for some ends of short work, short enough to see a target go.
WINDOW_S = 0.5
GAIN = 0.4
# A stopped queue still has a finite wait, so that Retry-After stays sane.
MIN_RATE = 0.05


class DrainRate:
    """Seconds of expected work that start in a second.

    Load: targets shared with hundreds of other entries. Harm prevented: an
    entry that counts every place of its targets as its own would queue what
    can't be in time, and refuse it late.
    """

    def __init__(self):
        self.rate: float | None = None
        self.window_start_s: float | None = None
        self.started_work_s = 0.0

    def record_start(self, cost_s: float, now_s: float) -> None:
        """Count queued work that starts."""
        self.update(now_s)
        self.started_work_s += cost_s

    def update(self, now_s: float) -> None:
        """Take a sample when a window has passed with work queued."""
        if self.window_start_s is None:
            self.window_start_s = now_s
        elapsed_s = now_s - self.window_start_s
        if elapsed_s < WINDOW_S:
            return
        sample = self.started_work_s / elapsed_s
        known = sample if self.rate is None else self.rate
        self.rate = known + GAIN * (sample - known)
        self.window_start_s = now_s
        self.started_work_s = 0.0

    def reset_window(self) -> None:
        """Forget the window: an empty queue says nothing of what could start."""
        self.window_start_s = None
        self.started_work_s = 0.0

    def wait_s(self, ahead_s: float, slots: int) -> float:
        """Return how long so much work takes to start, at most at `places`."""
        rate = min(slots, self.rate if self.rate is not None else slots)
        return ahead_s / max(MIN_RATE, rate)
