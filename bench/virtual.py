"""Policy over virtual time: arrivals, a scheduler, and targets with slots.

It stands at the policy's interface and knows nothing of links or processes:
what is judged is what callers got.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from wisteriapulley.errors import RequestError
from wisteriapulley.policy import Scheduler, TargetView, Work

# Reports lag by this much; slow targets are looked for this often.
REPORT_S = 0.5
SWEEP_S = 0.1
# A request's time varies by this share around its size.
JITTER = 0.2


class Arrival(NamedTuple):
    """A request of a caller, and what it really takes on a healthy target."""

    at_s: float
    work: Work
    seconds: float


class Result(NamedTuple):
    """What a caller got: `code` 0 and the time it took, or a refusal."""

    work: Work
    arrived_s: float
    code: int
    first_s: float
    took_s: float

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its deadline."""
        return self.code == 0 and self.arrived_s + self.took_s <= self.work.deadline_s


class VirtualTarget:
    """A target that runs `slots` requests at once; more of them wait in it."""

    def __init__(self, name: str, slots: int, slowness: float):
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.running = 0
        self.waiting: deque[Arrival] = deque()
        self.reported = 0
        self.in_flight_at_report = 0

    @property
    def held(self) -> int:
        """Requests that it holds."""
        return self.running + len(self.waiting)

    def view(self) -> TargetView:
        """Return what the entry knows; one entry, so all in flight is its own."""
        return TargetView(self.name, self.held, self.reported, self.in_flight_at_report)


class VirtualService:
    """Targets and whoever decides over them.

    Parameters
    ----------
    targets : list of VirtualTarget
        Where requests run.
    scheduler : Scheduler or None
        None sends each request to the next target at once and refuses none:
        round robin with unbounded queues.
    limit : int
        Requests that the scheduler gives one target at once.
    """

    def __init__(
        self, targets: list[VirtualTarget], scheduler: Scheduler | None, limit: int
    ):
        self.targets = {target.name: target for target in targets}
        self.scheduler = scheduler
        self.limit = limit
        self.turns = itertools.cycle(targets)
        self.now_s = 0.0
        self.order = itertools.count()
        self.events: list[tuple] = []
        self.results: list[Result] = []
        self.arrivals: dict[int, Arrival] = {}

    def run(self, arrivals: list[Arrival]) -> list[Result]:
        """Run until every caller has its answer."""
        for arrival in arrivals:
            self.at(arrival.at_s, self.arrive, arrival)
        last_s = max(arrival.at_s for arrival in arrivals)
        for step in range(int(last_s / SWEEP_S) + 1):
            self.at(step * SWEEP_S, self.sweep)
        for step in range(int(last_s / REPORT_S) + 1):
            self.at(step * REPORT_S, self.report)
        while self.events:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.results

    def at(self, time_s: float, action, *arguments) -> None:
        """Do something at a virtual time."""
        heapq.heappush(self.events, (time_s, next(self.order), action, arguments))

    def views(self) -> list[TargetView]:
        """Return what the entry knows of the targets."""
        return [target.view() for target in self.targets.values()]

    def report(self) -> None:
        """Let each target report its load."""
        for target in self.targets.values():
            target.reported = target.in_flight_at_report = target.held

    def sweep(self) -> None:
        """Look for slow targets."""
        if self.scheduler is not None:
            self.scheduler.record_overdue(self.now_s)
            self.start_queued()

    def arrive(self, arrival: Arrival) -> None:
        """Take in one request."""
        if self.scheduler is None:
            self.hold(next(self.turns), arrival)
            return
        try:
            name = self.scheduler.submit(
                arrival.work, self.views(), self.limit, self.now_s
            )
        except RequestError as error:
            self.answer(arrival, int(error.code))
            return
        self.arrivals[arrival.work.id] = arrival
        if name is not None:
            self.hold(self.targets[name], arrival)

    def hold(self, target: VirtualTarget, arrival: Arrival) -> None:
        """Give a request to a target."""
        if target.running == target.slots:
            target.waiting.append(arrival)
            return
        target.running += 1
        seconds = arrival.seconds * target.slowness
        first_s = self.now_s + seconds / max(1.0, arrival.work.units)
        self.at(self.now_s + seconds, self.end, target, arrival, first_s)

    def end(self, target: VirtualTarget, arrival: Arrival, first_s: float) -> None:
        """Finish a request at a target."""
        target.running -= 1
        self.answer(arrival, 0, first_s - arrival.at_s)
        if target.waiting:
            self.hold(target, target.waiting.popleft())
        if self.scheduler is not None:
            self.scheduler.finish(arrival.work.id, True, self.now_s)
            self.start_queued()

    def start_queued(self) -> None:
        """Do what the scheduler decides over queued work."""
        for start in self.scheduler.start_queued(self.views, self.limit, self.now_s):
            arrival = self.arrivals[start.work.id]
            if start.node_id is None:
                self.answer(arrival, 403)
            else:
                self.hold(self.targets[start.node_id], arrival)

    def answer(self, arrival: Arrival, code: int, first_s: float = 0.0) -> None:
        """Note what a caller got."""
        took_s = self.now_s - arrival.at_s
        self.results.append(Result(arrival.work, arrival.at_s, code, first_s, took_s))


class Demand(NamedTuple):
    """One kind of request in a mix.

    Attributes
    ----------
    account : str
        Client account.
    share : float
        Of all arrivals.
    units : float
        Tokens.
    patience : float
        Deadline over its own length.
    priority : int
        As in the catalogue.
    """

    account: str
    share: float
    units: float
    patience: float = 10.0
    priority: int = 0


TOKEN_S = 0.01
# A deadline is no shorter than this.
LEAST_DEADLINE_S = 1.0


def arrivals(
    mix: list[Demand], per_s: float, seconds: float, seed: int, burst: int = 1
) -> Iterator[Arrival]:
    """Yield Poisson arrivals of a mix, `burst` of them at once."""
    rng = random.Random(seed)
    numbers = itertools.count(1)
    shares = [demand.share for demand in mix]
    now_s = rng.expovariate(per_s / burst)
    while now_s < seconds:
        for demand in rng.choices(mix, shares, k=burst):
            length_s = demand.units * TOKEN_S
            deadline_s = now_s + max(LEAST_DEADLINE_S, demand.patience * length_s)
            work = Work(
                next(numbers),
                demand.account,
                "kind",
                demand.priority,
                demand.units,
                deadline_s,
            )
            yield Arrival(now_s, work, length_s * rng.uniform(1 - JITTER, 1 + JITTER))
        now_s += rng.expovariate(per_s / burst)


def capacity_per_s(mix: list[Demand], places: int) -> float:
    """Return the arrivals a second that keep so many places just busy."""
    total = sum(demand.share for demand in mix)
    mean_s = sum(d.share * d.units * TOKEN_S for d in mix) / total
    return places / mean_s
