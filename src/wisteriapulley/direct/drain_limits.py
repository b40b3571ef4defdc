"""Which requests of an entry can still end before its drain does."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.sending import MIN_SEND_S
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.drain_window import SILENCE_ALLOWANCE_S, DrainWindow
from wisteriapulley.policy.service_times import ServiceTimes
from wisteriapulley.policy.work import Work
from wisteriapulley.routing import Route, RouteKind

CLIENT_ERROR = 400

FindRoute = Callable[[CallerRequest], Route | None]


class DrainLimits:
    """Limits, by the time that is left of a drain, of what an entry takes and sends.

    They hold for each send of a request, not only for the first: it may have waited
    for a slot, or its first target may have failed.

    Parameters
    ----------
    find_route : callable
        Returns the route of a request by the routing table in force, if any.

    Attributes
    ----------
    window : callable
        Returns the time of the drain.
    response_times : ServiceTimes
        How long requests took from their turn to the end of their response.
    run_times : ServiceTimes
        The same from when they were sent to their first target.
    waits : dict of asyncio.Timeout to tuple
        Time limits of requests that wait for their first slot, with their progress.
    """

    def __init__(self, find_route: FindRoute):
        self.find_route = find_route
        self.window: Callable[[], DrainWindow] = DrainWindow
        self.response_times = ServiceTimes()
        self.run_times = ServiceTimes()
        self.waits: dict[asyncio.Timeout, tuple[Admitted, Progress]] = {}

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def record(self, admitted: Admitted, progress: Progress) -> None:
        """Record how long a request took whose response is complete.

        A failure comes sooner than the response that the next one may get.
        """
        if progress.status >= CLIENT_ERROR:
            return
        work, now_s = work_of(admitted.route, admitted.request), self.now_s()
        turn_s = admitted.request.arrived_s + admitted.request.queued_s
        self.response_times.record(work, now_s - turn_s)
        self.run_times.record(work, now_s - progress.first_sent_s)

    def time_needed_s(self, request: CallerRequest) -> float:
        """Return how long a request is expected to take until its response is complete.

        By the response times of the requests before it, within the limit of its route.
        """
        route = self.find_route(request)
        if route is None:
            return MIN_SEND_S
        return expected_s(route, request, self.response_times)

    def latest_start_s(self, request: CallerRequest) -> float:
        """Return until when a stopping entry starts a request that it reads.

        One whose own time limit ends before the drain is started until then, however
        long its body takes.
        """
        window, route = self.window(), self.find_route(request)
        if route is None:
            return window.latest_start_s(MIN_SEND_S)
        limit_s = min(route.timeout_ms / 1000, request.max_wait_s)
        deadline_s = request.arrived_s + limit_s
        needed_s = self.time_needed_s(request)
        latest_s = window.latest_send_s(deadline_s, needed_s, SILENCE_ALLOWANCE_S)
        if latest_s < deadline_s and not is_answered_at_end(route):
            return min(latest_s, window.removed_s)
        return min(latest_s, deadline_s)

    def latest_send_s(self, admitted: Admitted, progress: Progress) -> float:
        """Return until when a request may be sent, so that it ends before the drain.

        Infinite before a drain, and for a response that has begun: only another target
        can complete that.
        """
        window = self.window()
        if progress.has_begun or window.ends_s == float("inf"):
            return float("inf")
        needed_s = expected_s(admitted.route, admitted.request, self.run_times)
        # What may have run fails if it is not sent again, so a silence is risked.
        silence_s = 0.0 if progress.may_have_run else SILENCE_ALLOWANCE_S
        return window.latest_send_s(admitted.deadline_s, needed_s, silence_s)

    def has_time(self, admitted: Admitted, progress: Progress) -> bool:
        """Return whether a request that is sent now is expected to end in time."""
        return self.now_s() < self.latest_send_s(admitted, progress)

    @contextlib.contextmanager
    def limiting(
        self, time_limit: asyncio.Timeout, admitted: Admitted, progress: Progress
    ) -> Iterator[None]:
        """Let a wait for a slot end when it is too late to send the request."""
        self.waits[time_limit] = admitted, progress
        self.update_limit(time_limit)
        try:
            yield
        finally:
            del self.waits[time_limit]

    def update_limit(self, time_limit: asyncio.Timeout) -> None:
        """Set the time limit of a wait by what is known of a drain now."""
        latest_s = self.latest_send_s(*self.waits[time_limit])
        if latest_s < float("inf"):
            time_limit.reschedule(latest_s)

    def begin_drain(self) -> None:
        """Limit the waits that are in progress when a drain begins."""
        for time_limit in self.waits:
            self.update_limit(time_limit)


def expected_s(route: Route, request: CallerRequest, times: ServiceTimes) -> float:
    """Return how long a request is expected to take, by the times of others.

    Before the first response it is the latency objective of the route, or the limit of
    a stream, whose objective covers no more than its first event. A request that does
    not tell its size may be as large as any, before the first one of these.
    """
    is_stream = route.kind is RouteKind.STREAM
    unknown_ms = route.timeout_ms if is_stream else route.latency_ms
    work = work_of(route, request)
    if request.answer_tokens or times.has_samples(work):
        known_s = times.upper_bound(work)
    else:
        known_s = times.largest_bound(route.name)
    return max(MIN_SEND_S, min(known_s or unknown_ms / 1000, route.timeout_ms / 1000))


def is_answered_at_end(route: Route) -> bool:
    """Return whether callers lose little where the end of a drain meets a request.

    They get an answer and may send it again. A stream is cut, and what may run once
    only may have run.
    """
    return route.repeatable and route.kind is not RouteKind.STREAM


def work_of(route: Route, request: CallerRequest) -> Work:
    """Return a request as the estimate of response times sees it.

    Its time depends on the tokens that it generates far more than on its prompt.
    """
    units = request.answer_tokens or 1
    return Work(0, "", route.name, route.priority, units, 0.0)
