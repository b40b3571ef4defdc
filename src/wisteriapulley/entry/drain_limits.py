"""Which requests can still end before the drain of a stopping entry does."""

import time

from wisteriapulley.policy.drain_window import DrainWindow
from wisteriapulley.policy.service_times import ServiceTimes
from wisteriapulley.policy.work import Work


class DrainLimits:
    """Limits, by the time that is left of a drain, of what an entry sends.

    They hold for each send of a request, not only for the first: its body may be late,
    it may have waited for a slot or for its claim, or another target may have refused
    it.

    Attributes
    ----------
    window : DrainWindow
        Time of the drain, on the monotonic clock.
    silence_s : float
        For how long a target may be silent before it is left for another one.
    """

    def __init__(self):
        self.window = DrainWindow()
        self.silence_s = 0.0

    def begin(self, drain_s: float, silence_s: float) -> None:
        """Begin a drain of this length."""
        now_s = time.monotonic()
        self.window = DrainWindow(now_s + drain_s, now_s)
        self.silence_s = silence_s

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun."""
        return self.window.ends_s < float("inf")

    def may_start(
        self, work: Work, times: ServiceTimes, may_have_run: bool = False
    ) -> bool:
        """Return whether work that starts now is expected to end before the drain.

        Parameters
        ----------
        work : Work
            The request.
        times : ServiceTimes
            How long requests before it took at their targets.
        may_have_run : bool, optional
            Whether an earlier attempt may have run. The request then fails if it is
            not sent again, so a silence is risked.
        """
        if work.deadline_s <= self.window.ends_s:
            return True
        expected_s = times.upper_bound(work)
        if not expected_s:
            return False
        silence_s = 0.0 if may_have_run else self.silence_s
        return not self.window.is_too_late(expected_s + silence_s, time.monotonic())
