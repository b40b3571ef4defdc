"""Which requests can still end before the drain of a stopping entry does."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

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
    waits : dict of asyncio.Timeout to callable
        Time limits of waits of requests that are not sent, with what tells their end.
    """

    def __init__(self):
        self.window = DrainWindow()
        self.silence_s = 0.0
        self.waits: dict[asyncio.Timeout, Callable[[], float]] = {}

    def begin(
        self, drain_s: float, silence_s: float, signal_age_s: float = 0.0
    ) -> None:
        """Begin a drain of this length, and limit the waits in progress.

        Parameters
        ----------
        drain_s : float
            How long the drain lasts, in seconds.
        silence_s : float
            For how long a target may be silent.
        signal_age_s : float, optional
            How long ago the stop signal may have been sent. The process may be killed
            earlier by this, so nothing is sent that ends later.
        """
        now_s = time.monotonic()
        self.window = DrainWindow(now_s + drain_s - signal_age_s, now_s)
        self.silence_s = silence_s
        for time_limit in self.waits:
            self.update_limit(time_limit)

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun."""
        return self.window.ends_s < float("inf")

    def latest_start_s(
        self, work: Work, times: ServiceTimes, may_have_run: bool = False
    ) -> float:
        """Return until when work may start, so that it ends before the drain.

        Infinite before a drain, or if the time limit of the work ends before it.

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
        expected_s = times.upper_bound(work) or float("inf")
        silence_s = 0.0 if may_have_run else self.silence_s
        return self.window.latest_send_s(work.deadline_s, expected_s, silence_s)

    def limiting_refusal(self, wait_s: float) -> AbstractAsyncContextManager:
        """Raise TimeoutError in the block when a refusal has waited for so long.

        Before a drain it is not limited here.
        """
        begins_s = time.monotonic()
        return self.limiting(lambda: max(begins_s, self.window.begins_s) + wait_s)

    @contextlib.asynccontextmanager
    async def limiting(self, latest_start_s: Callable[[], float]) -> AsyncIterator:
        """Raise TimeoutError in the block at a time that may depend on the drain."""
        async with asyncio.timeout(None) as time_limit:
            self.waits[time_limit] = latest_start_s
            self.update_limit(time_limit)
            try:
                yield
            finally:
                del self.waits[time_limit]

    def update_limit(self, time_limit: asyncio.Timeout) -> None:
        """Set the time limit of a wait by what is known of a drain now."""
        left_s = max(0.0, self.waits[time_limit]() - time.monotonic())
        if left_s < float("inf"):
            time_limit.reschedule(asyncio.get_running_loop().time() + left_s)
