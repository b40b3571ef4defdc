"""Scheduler of one service: refuse, queue or start each request; pure.

It has no clock and does no I/O: the entry calls it with the time and with what
it knows of the targets, and does what it decides.
"""

from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy.drain import DrainRate
from wisteriapulley.policy.fair_queue import PriorityQueue
from wisteriapulley.policy.outliers import SLOW_FACTOR, Outliers
from wisteriapulley.policy.service_times import ServiceTimes
from wisteriapulley.policy.work import TargetView, Work

# Memory of one service's queue, whatever its deadlines allow.
MAX_QUEUED = 10_000
# Below this a caller would come back into the same burst.
LEAST_RETRY_MS = 100
NO_TARGET_RETRY_MS = 1000
# A full queue stands at its bound: without room for later arrivals that go first
# half of what was let in there would be refused late instead of at once.
HEADROOM = 1.3
# A probe goes to a target that was at least three times slower.
PROBE_SLACK = 10.0


class Start(NamedTuple):
    """Decision about queued work: where it starts, or that it is too late."""

    work: Work
    node_id: str | None


class Running(NamedTuple):
    """Work at a target."""

    work: Work
    node_id: str
    started_s: float
    expected_s: float
    probe: bool


class Scheduler:
    """Decides over one service's requests at one entry.

    Parameters
    ----------
    placement : object
        Has ``pick(targets, work)``.
    """

    def __init__(self, placement):
        self.placement = placement
        self.queue = PriorityQueue()
        self.times = ServiceTimes()
        self.outliers = Outliers()
        self.drain = DrainRate()
        self.running: dict[int, Running] = {}
        self.suspected: dict[int, float] = {}

    # -- decisions -------------------------------------------------------

    def offer(
        self, work: Work, targets: Sequence[TargetView], limit: int, now_s: float
    ) -> str | None:
        """Start work, queue it, or refuse it at once.

        Load: full saturation. Harm prevented: a queue in which requests wait
        past their deadline, so that targets work for callers who have gone and
        none is served in time. The limit is each request's own deadline.

        Returns
        -------
        str or None
            The target it starts at; None when it waits.

        Raises
        ------
        RequestError
            NO_TARGET, or OVERLOADED with when the queue will have drained far
            enough.
        """
        if not targets:
            raise RequestError(
                ResultCode.NO_TARGET, "no target is open", NO_TARGET_RETRY_MS
            )
        if not self.queue:
            room = self.room(targets, limit)
            if room:
                return self.place(work, room, now_s)
        self.check_deadline(work, len(targets) * limit, now_s)
        self.queue.push(work, self.times.expect(work).mean)
        return None

    def check_deadline(self, work: Work, places: int, now_s: float) -> None:
        """Refuse work that would not be answered within its deadline."""
        expected_s = self.times.expect(work).mean
        wait_s = self.drain.wait_s(self.queue.ahead_s(work, expected_s), places)
        answered_s = now_s + HEADROOM * wait_s + self.times.longest(work)
        late_s = answered_s - work.deadline_s
        if late_s <= 0 and len(self.queue) < MAX_QUEUED:
            return
        raise RequestError(
            ResultCode.OVERLOADED,
            f"{len(self.queue)} requests wait; it would wait {wait_s:.2f} s",
            max(LEAST_RETRY_MS, int(min(max(late_s, 0.0), wait_s) * 1000)),
        )

    def room(self, targets: Sequence[TargetView], limit: int) -> list[TargetView]:
        """Return the targets that may take one more, without those taken out.

        When every target is taken out, all of them may: something is better
        than nothing.
        """
        ejected = self.outliers.ejected
        healthy = [t for t in targets if t.node_id not in ejected] or targets
        return [target for target in healthy if target.outstanding < limit]

    def place(self, work: Work, room: list[TargetView], now_s: float) -> str:
        """Start work at one of the targets with room, or as a probe."""
        probed = self.outliers.due(now_s) if self.may_probe(work, now_s) else None
        node_id = probed or self.placement.pick(room, work)
        self.running[work.id] = Running(
            work, node_id, now_s, self.times.expect(work).mean, probed is not None
        )
        return node_id

    def may_probe(self, work: Work, now_s: float) -> bool:
        """Tell whether work can bear a slow target and still be in time."""
        return now_s + PROBE_SLACK * self.times.longest(work) < work.deadline_s

    def start_queued(
        self, view: Callable[[], Sequence[TargetView]], limit: int, now_s: float
    ) -> Iterator[Start]:
        """Yield what becomes of queued work while there is room.

        Parameters
        ----------
        view : callable
            Returns the targets as they are after the starts so far.
        limit : int
            Requests that one target runs at once.
        now_s : float
            Time.
        """
        while self.queue:
            room = self.room(view(), limit)
            if not room:
                return
            work = self.queue.pop()
            if now_s + self.times.longest(work) > work.deadline_s:
                yield Start(work, None)
                continue
            self.drain.started(self.times.expect(work).mean, now_s)
            yield Start(work, self.place(work, room, now_s))
        self.drain.emptied()

    # -- outcomes --------------------------------------------------------

    def finish(self, work_id: int, ok: bool, now_s: float) -> None:
        """Take in that work has left its target.

        Parameters
        ----------
        work_id : int
            Which.
        ok : bool
            Whether it was answered whole; one that failed fast teaches nothing.
        now_s : float
            Time.
        """
        run = self.running.pop(work_id, None)
        self.suspected.pop(work_id, None)
        if run is None or not ok:
            return
        seconds = now_s - run.started_s
        if run.expected_s > 0:
            ratio = seconds / run.expected_s
            self.outliers.learn(run.node_id, ratio, now_s, run.probe)
        if run.node_id not in self.outliers.ejected:
            self.times.learn(run.work, seconds)

    def suspect(self, now_s: float) -> None:
        """Count work that is overdue against its target before it ends.

        A target ten times slower would otherwise be found only when its first
        requests have taken ten times as long.
        """
        if self.queue:
            self.drain.watch(now_s)
        for work_id, run in self.running.items():
            if run.expected_s <= 0 or run.probe:
                continue
            ratio = (now_s - run.started_s) / run.expected_s
            if ratio > SLOW_FACTOR and ratio > 2 * self.suspected.get(work_id, 0.0):
                self.suspected[work_id] = ratio
                self.outliers.learn(run.node_id, ratio, now_s, run.probe)

    def remove(self, work: Work) -> bool:
        """Take out queued work whose caller gave up."""
        return self.queue.remove(work)
