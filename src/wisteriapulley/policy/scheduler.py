"""Scheduler of one service: refuses, queues or starts each request. Pure.

It has no clock and does no I/O: the entry passes the time and its view of the targets,
and carries out the decisions.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy.drain import DrainRate
from wisteriapulley.policy.fair_queue import PriorityQueue
from wisteriapulley.policy.outliers import SLOW_FACTOR, OutlierDetector
from wisteriapulley.policy.service_times import ServiceTimes
from wisteriapulley.policy.work import TargetView, Work

# Maximum length of one service's queue: bounds its memory, whatever deadlines allow.
MAX_QUEUED = 10_000
# Earliest retry: a caller that retries sooner would arrive during the same burst.
MIN_RETRY_MS = 100
# Retry time while a service has no target.
NO_TARGET_RETRY_MS = 1000
# Factor on the estimated wait in the deadline test. A full queue stays at its bound,
# and later arrivals may go first: without headroom, half of the admitted requests would
# be refused late instead of at once.
WAIT_HEADROOM = 1.3
# A request is sent as a probe only if it meets its deadline even when it takes this
# many times its upper bound: the probed target was at least three times slower than its
# peers.
PROBE_SLACK = 10.0


class StartDecision(NamedTuple):
    """Decision about queued work: its target, or None if it is too late."""

    work: Work
    node_id: str | None


class RunningWork(NamedTuple):
    """Work at a target."""

    work: Work
    node_id: str
    started_s: float
    expected_s: float
    probe: bool


class Scheduler:
    """Schedules one service's requests at one entry.

    Parameters
    ----------
    placement : object
        Has ``pick(targets, work)``.
    """

    def __init__(self, placement):
        self.placement = placement
        self.queue = PriorityQueue()
        self.times = ServiceTimes()
        self.outliers = OutlierDetector()
        self.drain = DrainRate()
        self.running: dict[int, RunningWork] = {}
        self.overdue_ratios: dict[int, float] = {}

    # -- decisions -------------------------------------------------------

    def submit(
        self, work: Work, targets: Sequence[TargetView], limit: int, now_s: float
    ) -> str | None:
        """Start work, queue it, or refuse it at once.

        Under saturation, a queue in which requests wait past their deadline makes
        targets work for callers that have gone, and no request is served in time.
        So each request's own deadline limits the queue.

        Returns
        -------
        str or None
            The target it starts at; None if it is queued.

        Raises
        ------
        RequestError
            NO_TARGET, or OVERLOADED with the time after which the queue will have
            drained far enough.
        """
        if not targets:
            raise RequestError(
                ResultCode.NO_TARGET, "no target is open", NO_TARGET_RETRY_MS
            )
        if not self.queue:
            room = self.available_targets(targets, limit)
            if room:
                return self.start(work, room, now_s)
        self.check_deadline(work, len(targets) * limit, now_s)
        self.queue.push(work, self.times.estimate(work).mean)
        return None

    def check_deadline(self, work: Work, slots: int, now_s: float) -> None:
        """Refuse work that would miss its deadline."""
        expected_s = self.times.estimate(work).mean
        wait_s = self.drain.wait_s(self.queue.ahead_s(work, expected_s), slots)
        answered_s = now_s + WAIT_HEADROOM * wait_s + self.times.upper_bound(work)
        late_s = answered_s - work.deadline_s
        if late_s <= 0 and len(self.queue) < MAX_QUEUED:
            return
        raise RequestError(
            ResultCode.OVERLOADED,
            f"{len(self.queue)} requests queued; expected wait {wait_s:.2f} s",
            max(MIN_RETRY_MS, int(min(max(late_s, 0.0), wait_s) * 1000)),
        )

    def available_targets(
        self, targets: Sequence[TargetView], limit: int
    ) -> list[TargetView]:
        """Return the targets that may take another request, without ejected ones.

        If all targets are ejected, all of them may: a slow target is better than none.
        """
        ejected = self.outliers.ejected
        in_service = [t for t in targets if t.node_id not in ejected] or targets
        return [target for target in in_service if target.outstanding < limit]

    def start(self, work: Work, room: list[TargetView], now_s: float) -> str:
        """Start work at one of the available targets, or as a probe."""
        probed = (
            self.outliers.next_probe(now_s) if self.can_probe(work, now_s) else None
        )
        node_id = probed or self.placement.pick(room, work)
        self.running[work.id] = RunningWork(
            work, node_id, now_s, self.times.estimate(work).mean, probed is not None
        )
        return node_id

    def can_probe(self, work: Work, now_s: float) -> bool:
        """Return whether work would meet its deadline even at a slow target."""
        return now_s + PROBE_SLACK * self.times.upper_bound(work) < work.deadline_s

    def start_queued(
        self, view: Callable[[], Sequence[TargetView]], limit: int, now_s: float
    ) -> Iterator[StartDecision]:
        """Yield decisions about queued work while targets are available.

        Parameters
        ----------
        view : callable
            Returns the targets as they are after the starts so far.
        limit : int
            Requests that one target runs at once.
        now_s : float
            Current time.
        """
        while self.queue:
            room = self.available_targets(view(), limit)
            if not room:
                return
            work = self.queue.pop()
            if now_s + self.times.upper_bound(work) > work.deadline_s:
                yield StartDecision(work, None)
                continue
            self.drain.record_start(self.times.estimate(work).mean, now_s)
            yield StartDecision(work, self.start(work, room, now_s))
        self.drain.reset_window()

    # -- outcomes --------------------------------------------------------

    def finish(self, work_id: int, ok: bool, now_s: float) -> None:
        """Record that work has left its target.

        Parameters
        ----------
        work_id : int
            Id of the work.
        ok : bool
            Whether its answer was complete; the time of a failed request is ignored.
        now_s : float
            Current time.
        """
        run = self.running.pop(work_id, None)
        self.overdue_ratios.pop(work_id, None)
        if run is None or not ok:
            return
        seconds = now_s - run.started_s
        if run.expected_s > 0:
            ratio = seconds / run.expected_s
            self.outliers.record(run.node_id, ratio, now_s, run.probe, ended=True)
        if run.node_id not in self.outliers.ejected:
            self.times.record(run.work, seconds)

    def record_overdue(self, now_s: float) -> None:
        """Record overdue work against its target before it ends.

        Otherwise a target ten times slower would be detected only when its first
        requests have taken ten times as long.
        """
        if self.queue:
            self.drain.update(now_s)
        for work_id, run in self.running.items():
            if run.expected_s <= 0 or run.probe:
                continue
            ratio = (now_s - run.started_s) / run.expected_s
            if ratio > SLOW_FACTOR and ratio > 2 * self.overdue_ratios.get(
                work_id, 0.0
            ):
                self.overdue_ratios[work_id] = ratio
                self.outliers.record(run.node_id, ratio, now_s, run.probe)

    def remove(self, work: Work) -> bool:
        """Remove queued work whose caller gave up."""
        return self.queue.remove(work)
