"""Tells how long ago a signal may have been sent that the event loop has just read.

A process that stands still, or gets no processor time, reads signals only when it goes
on. Its grace period has begun by then.
"""

import asyncio

TICK_S = 0.2
# A signal that was sent in a stall is handled within this time after it.
HANDLED_WITHIN_S = 0.5


class StallWatch:
    """Records when the event loop last stood still.

    Attributes
    ----------
    ran_s : float
        When the loop last ran, on its clock; infinite before the watch has begun.
    stalled_from_s, stalled_until_s : float
        The last time in which it did not.
    """

    def __init__(self):
        self.ran_s = float("inf")
        self.stalled_from_s = self.stalled_until_s = float("-inf")
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch the running loop."""
        loop = asyncio.get_running_loop()
        self.ran_s = loop.time()
        self.tick()

    def tick(self) -> None:
        """Record that the loop runs."""
        loop = asyncio.get_running_loop()
        self.record_run(loop.time())
        self.timer = loop.call_later(TICK_S, self.tick)

    def stop(self) -> None:
        """Stop watching."""
        if self.timer is not None:
            self.timer.cancel()

    def record_run(self, now_s: float) -> None:
        """Record that the loop runs at a time of its clock."""
        if now_s - self.ran_s > 2 * TICK_S:
            self.stalled_from_s, self.stalled_until_s = self.ran_s, now_s
        self.ran_s = now_s

    def signal_age_s(self, now_s: float) -> float:
        """Return how long ago a signal that is handled now may have been sent."""
        self.record_run(now_s)
        if now_s - self.stalled_until_s > HANDLED_WITHIN_S:
            return 0.0
        return now_s - self.stalled_from_s
