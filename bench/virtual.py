"""Simulation of the policy over virtual time: arrivals, scheduler, targets with slots.

It uses the interface of the policy modules, without links or processes. Policies are
judged by the results for callers.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from wisteriapulley.errors import RequestError
from wisteriapulley.policy import Scheduler, TargetView, Work

# Targets report their load at this interval, so an entry's view lags by up to it.
REPORT_INTERVAL_S = 0.5
SLOW_CHECK_INTERVAL_S = 0.1
# Maximum deviation of a request's duration from that of its size, as a fraction.
DURATION_JITTER = 0.2


class Arrival(NamedTuple):
    """A request of a caller, and its actual duration on a healthy target."""

    at_s: float
    work: Work
    seconds: float


class Result(NamedTuple):
    """Result of a request: code 0 and its duration, or the code of a refusal."""

    work: Work
    arrived_s: float
    code: int
    first_s: float
    took_s: float

    @property
    def in_time(self) -> bool:
        """Whether the response came within the deadline."""
        return self.code == 0 and self.arrived_s + self.took_s <= self.work.deadline_s


class VirtualTarget:
    """A target that runs up to `slots` requests at once and queues the others."""

    def __init__(self, name: str, slots: int, slowness: float):
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.running = 0
        self.waiting: deque[Arrival] = deque()
        self.reported = 0
        self.in_flight_at_report = 0

    @property
    def in_flight(self) -> int:
        """Number of running and queued requests."""
        return self.running + len(self.waiting)

    def view(self) -> TargetView:
        """Return the entry's view; all requests in flight are its own."""
        return TargetView(
            self.name, self.in_flight, self.reported, self.in_flight_at_report
        )


class VirtualService:
    """Targets and the scheduler that dispatches to them.

    Parameters
    ----------
    targets : list of VirtualTarget
        Targets that run the requests.
    scheduler : Scheduler or None
        None dispatches each request to the next target immediately and refuses
        none: round robin with unbounded queues.
    max_in_flight : int
        Maximum number of requests that the scheduler gives one target at once.
    """

    def __init__(
        self,
        targets: list[VirtualTarget],
        scheduler: Scheduler | None,
        max_in_flight: int,
    ):
        self.targets = {target.name: target for target in targets}
        self.scheduler = scheduler
        self.max_in_flight = max_in_flight
        self.round_robin = itertools.cycle(targets)
        self.now_s = 0.0
        self.sequence = itertools.count()
        self.events: list[tuple] = []
        self.results: list[Result] = []
        self.arrivals: dict[int, Arrival] = {}

    def run(self, arrivals: list[Arrival]) -> list[Result]:
        """Run until every request has a result."""
        for arrival in arrivals:
            self.schedule(arrival.at_s, self.arrive, arrival)
        last_s = max(arrival.at_s for arrival in arrivals)
        for step in range(int(last_s / SLOW_CHECK_INTERVAL_S) + 1):
            self.schedule(step * SLOW_CHECK_INTERVAL_S, self.check_slow_targets)
        for step in range(int(last_s / REPORT_INTERVAL_S) + 1):
            self.schedule(step * REPORT_INTERVAL_S, self.report)
        while self.events:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.results

    def schedule(self, time_s: float, action, *arguments) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self.events, (time_s, next(self.sequence), action, arguments))

    def views(self) -> list[TargetView]:
        """Return the entry's view of the targets."""
        return [target.view() for target in self.targets.values()]

    def report(self) -> None:
        """Let each target report its load."""
        for target in self.targets.values():
            target.reported = target.in_flight_at_report = target.in_flight

    def check_slow_targets(self) -> None:
        """Let the scheduler detect slow targets."""
        if self.scheduler is not None:
            self.scheduler.record_overdue(self.now_s)
            self.start_queued()

    def arrive(self, arrival: Arrival) -> None:
        """Submit one request to the scheduler, or dispatch it in turn."""
        if self.scheduler is None:
            self.dispatch(next(self.round_robin), arrival)
            return
        try:
            name = self.scheduler.submit(
                arrival.work, self.views(), self.max_in_flight, self.now_s
            )
        except RequestError as error:
            self.record_result(arrival, int(error.code))
            return
        self.arrivals[arrival.work.id] = arrival
        if name is not None:
            self.dispatch(self.targets[name], arrival)

    def dispatch(self, target: VirtualTarget, arrival: Arrival) -> None:
        """Start a request at a target, or queue it there."""
        if target.running == target.slots:
            target.waiting.append(arrival)
            return
        target.running += 1
        seconds = arrival.seconds * target.slowness
        first_s = self.now_s + seconds / max(1.0, arrival.work.units)
        self.schedule(self.now_s + seconds, self.complete, target, arrival, first_s)

    def complete(self, target: VirtualTarget, arrival: Arrival, first_s: float) -> None:
        """Complete a request at a target and start queued ones."""
        target.running -= 1
        self.record_result(arrival, 0, first_s - arrival.at_s)
        if target.waiting:
            self.dispatch(target, target.waiting.popleft())
        if self.scheduler is not None:
            self.scheduler.finish(arrival.work.id, True, self.now_s)
            self.start_queued()

    def start_queued(self) -> None:
        """Dispatch or refuse queued requests as the scheduler decides."""
        for start in self.scheduler.start_queued(
            self.views, self.max_in_flight, self.now_s
        ):
            arrival = self.arrivals[start.work.id]
            if start.node_id is None:
                self.record_result(arrival, 403)
            else:
                self.dispatch(self.targets[start.node_id], arrival)

    def record_result(self, arrival: Arrival, code: int, first_s: float = 0.0) -> None:
        """Record the result of a request."""
        took_s = self.now_s - arrival.at_s
        self.results.append(Result(arrival.work, arrival.at_s, code, first_s, took_s))


class Demand(NamedTuple):
    """One kind of request in a mix.

    Attributes
    ----------
    account : str
        Client account.
    relative_rate : float
        Share of all arrivals.
    units : float
        Tokens.
    deadline_factor : float
        Deadline divided by the request's duration.
    priority : int
        Priority, as in the catalogue.
    """

    account: str
    relative_rate: float
    units: float
    deadline_factor: float = 10.0
    priority: int = 0


TOKEN_S = 0.01
# Minimum deadline.
MIN_DEADLINE_S = 1.0


def arrivals(
    mix: list[Demand], per_s: float, seconds: float, seed: int, burst: int = 1
) -> Iterator[Arrival]:
    """Yield Poisson arrivals of a mix, `burst` of them at once."""
    rng = random.Random(seed)
    work_ids = itertools.count(1)
    relative_rates = [demand.relative_rate for demand in mix]
    now_s = rng.expovariate(per_s / burst)
    while now_s < seconds:
        for demand in rng.choices(mix, relative_rates, k=burst):
            duration_s = demand.units * TOKEN_S
            deadline_s = now_s + max(
                MIN_DEADLINE_S, demand.deadline_factor * duration_s
            )
            work = Work(
                next(work_ids),
                demand.account,
                "kind",
                demand.priority,
                demand.units,
                deadline_s,
            )
            yield Arrival(
                now_s,
                work,
                duration_s * rng.uniform(1 - DURATION_JITTER, 1 + DURATION_JITTER),
            )
        now_s += rng.expovariate(per_s / burst)


def capacity_per_s(mix: list[Demand], slots: int) -> float:
    """Return the arrivals per second that use `slots` slots fully."""
    total = sum(demand.relative_rate for demand in mix)
    mean_s = sum(d.relative_rate * d.units * TOKEN_S for d in mix) / total
    return slots / mean_s
