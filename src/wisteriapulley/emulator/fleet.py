"""Entries, sidecars and engines on a virtual clock.

The queue of places, the order of change and the choice of a target are the
product's own code; what is left out is the network, the processes and failures.
"""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.direct.placing import (
    LATE_PRIORITY,
    LATE_WAIT_MS,
    MOST_ASKED,
    TRANSIT_MS,
)
from wisteriapulley.emulator.engine import EmulatedEngine, Job
from wisteriapulley.emulator.mixes import ENGINE, MIXES, RequestKind, draw_sizes
from wisteriapulley.policy.engine_slots import (
    AdmissionDecision,
    EngineSlots,
    SlotRequest,
)
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector
from wisteriapulley.rollout.switch_order import SwitchRank, switch_due_ms

LOAD_MS = 300.0
# From a message to its receiver; regions are left out.
NETWORK_DELAY_MS = 1.0
ADVANCE_INTERVAL_MS = 20.0
# A refused caller comes back once.
MAX_RETRIES = 1
ESTIMATE_SPREAD = 0.5
# The most that a caller waits in all.
MAX_CALLER_WAIT_MS = 6000.0


class Scenario(NamedTuple):
    """What is played.

    Attributes
    ----------
    mix : str
        Whose requests.
    engines : int
        How many serve.
    load : float
        Requests a second, as a share of the mix's peak.
    seconds : float
        How long.
    change_s : float
        When a version of weights is accepted; 0 for never.
    copy_ms, old_version_ms : float
        How long its copy takes, and the older version may serve.
    margin_ms : float
        Left of each objective for the network.
    overrun_ms : float
        How long after an engine's change a request may still run there.
    extra_places : int
        Places granted beyond the slots.
    asked : int
        Sidecars that a request asks in turn.
    late_last : bool
        Whether late requests get only what new ones leave.
    spread_returns : bool
        Whether refused callers are told to come back later, and spread.
    patience_spread : float
        Callers wait for up to this share less than the most patient one.
    limited : int
        Engines that state a rate.
    limit_per_s : float
        That rate, in requests a second.
    seed : int
        Of the arrivals.
    """

    mix: str = "trinacria"
    engines: int = 10
    load: float = 0.9
    seconds: float = 30.0
    change_s: float = 10.0
    download_ms: float = 4450.0
    superseded_ms: float = 8000.0
    margin_ms: float = TRANSIT_MS
    max_overrun_ms: float = 800.0
    extra_slots: int = 1
    max_asked: int = MOST_ASKED
    deprioritize_late: bool = True
    spread_retries: bool = True
    max_wait_spread: float = 0.15
    limited_engines: int = 0
    limit_per_s: float = 1.2
    seed: int = 1


class Outcome(NamedTuple):
    """What became of the requests.

    Attributes
    ----------
    asked, in_time, late, refused : int
        Requests, and how they ended.
    worth : float
        Share of the whole worth that was earned.
    worst : float
        The same in the worst two seconds.
    """

    requests: int
    in_time: int
    late: int
    refused: int
    worth: float
    worst: float


class EmulatedRequest:
    """One request on its way."""

    def __init__(
        self,
        sequence: int,
        kind: RequestKind,
        prompt: int,
        events: int,
        expected: int,
        at_ms: float,
        max_wait_ms: float,
    ):
        self.request_id = f"r{sequence}"
        self.max_wait_ms = max_wait_ms
        self.is_retry = False
        self.kind = kind
        self.prompt = prompt
        self.events = events
        self.expected = expected
        self.at_ms = at_ms
        self.candidates: list[int] = []
        self.asks_left = 0
        self.retries = 0
        self.earned_worth = 0.0
        self.outcome = "refused"


class Fleet:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.max_wait_rng = random.Random(scenario.seed)
        self.retry_detector = RetryDetector()
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.last_sequence = 0
        self.requests: dict[str, EmulatedRequest] = {}
        self.asked_engine: dict[str, int] = {}
        self.waiting: dict[str, EmulatedRequest] = {}
        self.engine_slots = [self.new_engine_slots() for _ in range(scenario.engines)]
        for places in self.engine_slots[: scenario.limited_engines]:
            places.rate_limits.update("", scenario.limit_per_s, 0.0)
        self.engines = [
            EmulatedEngine(
                ENGINE, self.schedule, self.record_first_event, self.release_slot
            )
            for _ in range(scenario.engines)
        ]

    def new_engine_slots(self) -> EngineSlots:
        """Make the places of one engine."""
        slots = EngineSlots(
            ENGINE, self.scenario.extra_slots, self.scenario.max_overrun_ms
        )
        slots.open = True
        return slots

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call a function after a time."""
        self.last_sequence += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.last_sequence, call))

    def run(self) -> Outcome:
        """Run the scenario."""
        self.generate_arrival()
        self.advance_all_queues()
        if self.scenario.change_s:
            self.schedule_changes()
        end_ms = self.scenario.seconds * 1000 + MAX_CALLER_WAIT_MS
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
        return self.summarize()

    # -- requests --------------------------------------------------------

    def generate_arrival(self) -> None:
        """Let the next request come, and the one after it."""
        mix = MIXES[self.scenario.mix]
        if self.now_ms > self.scenario.seconds * 1000:
            return
        weights = [kind.relative_rate for kind in mix.kinds]
        kind = self.rng.choices(mix.kinds, weights)[0]
        prompt, events = draw_sizes(self.rng, kind)
        # Callers' estimates are right in the median only.
        error = self.rng.lognormvariate(0.0, ESTIMATE_SPREAD)
        expected = max(1, round(events * error))
        reduction = self.scenario.max_wait_spread * self.max_wait_rng.random()
        max_wait_ms = MAX_CALLER_WAIT_MS * (1 - reduction)
        request = EmulatedRequest(
            len(self.requests), kind, prompt, events, expected, self.now_ms, max_wait_ms
        )
        self.requests[request.request_id] = request
        self.submit(request)
        gap_ms = self.rng.expovariate(mix.per_s * self.scenario.load / 1000)
        self.schedule(gap_ms, self.generate_arrival)

    def submit(self, request: EmulatedRequest) -> None:
        """Choose the order in which sidecars are asked, and ask the first."""
        remaining_s = self.remaining_wait_ms(request) / 1000
        request.is_retry = self.retry_detector.is_retry(remaining_s, self.now_ms / 1000)
        open_engines = [n for n, places in enumerate(self.engine_slots) if places.open]
        open_engines.sort(key=lambda n: (self.reported_load(n), self.rng.random()))
        request.candidates, request.asks_left = open_engines, self.scenario.max_asked
        self.ask_next_engine(request)

    def reported_load(self, number: int) -> int:
        """Return what an engine's sidecar says of its load."""
        slots = self.engine_slots[number]
        return len(slots.grants) + len(slots.queue)

    def ask_next_engine(self, request: EmulatedRequest) -> None:
        """Ask sidecars in turn until one grants a place or lets it wait."""
        while request.candidates and request.asks_left:
            number = request.candidates.pop(0)
            decision = self.engine_slots[number].request_slot(
                self.slot_request(request), self.now_ms
            )
            self.asked_engine[request.request_id] = number
            if decision.granted:
                self.send_to_engine(request, number)
                return
            if not decision.denied:
                self.waiting[request.request_id] = request
                return
            request.asks_left -= not decision.limited
        self.schedule_retry(request)

    def slot_request(self, request: EmulatedRequest) -> SlotRequest:
        """Make the wish for a place; one that is late goes last."""
        remaining_ms = request.kind.objective_ms - (self.now_ms - request.at_ms)
        remaining_ms -= self.scenario.margin_ms
        late = remaining_ms <= 0 or request.is_retry
        return SlotRequest(
            request.request_id,
            "entry",
            request.prompt,
            request.expected * ENGINE.stride,
            LATE_PRIORITY if late else 1,
            LATE_WAIT_MS if late else remaining_ms,
            late and self.scenario.deprioritize_late,
        )

    def schedule_retry(self, request: EmulatedRequest) -> None:
        """Let a caller come back once, within a share of the time it has left."""
        if request.retries >= MAX_RETRIES:
            return
        request.retries += 1
        self.retry_detector.record_refusal(self.now_ms / 1000)
        remaining_s = self.remaining_wait_ms(request) / 1000
        delay_s = retry_after_s(
            self.scenario.spread_retries, 0.25, remaining_s, self.rng.random
        )
        self.schedule(delay_s * 1000, lambda: self.submit(request))

    def remaining_wait_ms(self, request: EmulatedRequest) -> float:
        """Return how long a caller still waits."""
        return request.max_wait_ms - (self.now_ms - request.at_ms)

    def send_to_engine(self, request: EmulatedRequest, number: int) -> None:
        """Send a request to its engine."""
        job = Job(request.request_id, request.prompt, request.events)
        self.schedule(2 * NETWORK_DELAY_MS, lambda: self.engines[number].submit(job))

    def record_first_event(self, request_id: str) -> None:
        """Note when a first event came."""
        request = self.requests[request_id]
        in_time = self.now_ms - request.at_ms <= request.kind.objective_ms
        request.outcome = "in_time" if in_time else "late"
        request.earned_worth = (
            request.kind.worth if in_time else request.kind.late_worth
        )

    def release_slot(self, request_id: str) -> None:
        """Give the place back, a moment later."""
        number = self.asked_engine[request_id]

        def give_back() -> None:
            self.engine_slots[number].release(request_id, self.now_ms)
            self.advance_queue(number)

        self.schedule(2 * NETWORK_DELAY_MS, give_back)

    def advance_all_queues(self) -> None:
        """Look at all queues now and then, as sidecars do."""
        for number in range(len(self.engine_slots)):
            self.advance_queue(number)
        self.schedule(ADVANCE_INTERVAL_MS, self.advance_all_queues)

    def advance_queue(self, number: int) -> None:
        """Tell those that waited what became of them."""
        for decision in tuple(self.engine_slots[number].advance(self.now_ms)):
            self.apply_decision(decision, number)

    def apply_decision(self, decision: AdmissionDecision, number: int) -> None:
        """Go on with a request that waited."""
        request = self.waiting.pop(decision.request_id)
        if decision.granted:
            self.send_to_engine(request, number)
        else:
            self.ask_next_engine(request)

    # -- weights ---------------------------------------------------------

    def schedule_changes(self) -> None:
        """Let each engine change in its turn."""
        scenario = self.scenario
        for number in range(scenario.engines):
            turn = SwitchRank(number, scenario.engines)
            due = switch_due_ms(turn, scenario.download_ms, scenario.superseded_ms)
            at_ms = scenario.change_s * 1000 + due
            self.schedule(
                scenario.change_s * 1000, self.change_announcement(number, at_ms)
            )
            self.schedule(at_ms, self.change_action(number))

    def change_announcement(self, number: int, at_ms: float) -> Callable[[], None]:
        """Make the call that tells an engine's places of its change."""

        def announce() -> None:
            self.engine_slots[number].closes_at_ms = at_ms

        return announce

    def change_action(self, number: int) -> Callable[[], None]:
        """Make the call that lets an engine change."""

        def opened() -> None:
            self.engine_slots[number].open = True
            self.engine_slots[number].closes_at_ms = None

        def change() -> None:
            self.engine_slots[number].close()
            self.advance_queue(number)
            self.engines[number].load(LOAD_MS, opened)

        return change

    # -- the end ---------------------------------------------------------

    def summarize(self) -> Outcome:
        """Sum up."""
        requests = list(self.requests.values())
        outcomes = [request.outcome for request in requests]
        windows: dict[int, list[EmulatedRequest]] = {}
        for request in requests:
            windows.setdefault(int(request.at_ms // 2000), []).append(request)
        full_windows = [
            w for w in windows.values() if len(w) > len(requests) / len(windows) / 2
        ]
        return Outcome(
            len(requests),
            outcomes.count("in_time"),
            outcomes.count("late"),
            outcomes.count("refused"),
            earned_fraction(requests),
            min(map(earned_fraction, full_windows)),
        )


def earned_fraction(requests: list[EmulatedRequest]) -> float:
    """Return the share of the worth that requests earned."""
    owed = sum(request.kind.worth for request in requests)
    return sum(request.earned_worth for request in requests) / owed if owed else 1.0
