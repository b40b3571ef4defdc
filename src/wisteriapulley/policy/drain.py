"""How fast a queue drains, as measured while it is not empty."""

# Long enough for some ends of short work, short enough to see a target go.
WINDOW_S = 0.5
GAIN = 0.4
# A stopped queue still has a finite wait, so that Retry-After stays sane.
LEAST_RATE = 0.05


class DrainRate:
    """Seconds of expected work that start in a second.

    Load: targets shared with hundreds of other entries. Harm prevented: an
    entry that counts every place of its targets as its own would queue what
    can't be in time, and refuse it late.
    """

    def __init__(self):
        self.rate: float | None = None
        self.since_s: float | None = None
        self.volume_s = 0.0

    def started(self, cost_s: float, now_s: float) -> None:
        """Count queued work that starts."""
        self.watch(now_s)
        self.volume_s += cost_s

    def watch(self, now_s: float) -> None:
        """Take a sample when a window has passed with work queued."""
        if self.since_s is None:
            self.since_s = now_s
        elapsed_s = now_s - self.since_s
        if elapsed_s < WINDOW_S:
            return
        sample = self.volume_s / elapsed_s
        known = sample if self.rate is None else self.rate
        self.rate = known + GAIN * (sample - known)
        self.since_s = now_s
        self.volume_s = 0.0

    def emptied(self) -> None:
        """Forget the window: an empty queue says nothing of what could start."""
        self.since_s = None
        self.volume_s = 0.0

    def wait_s(self, ahead_s: float, places: int) -> float:
        """Return how long so much work takes to start, at most at `places`."""
        rate = min(places, self.rate if self.rate is not None else places)
        return ahead_s / max(LEAST_RATE, rate)
