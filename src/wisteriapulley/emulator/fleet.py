"""Entries, sidecars and engines on a virtual clock.

The slot queue, the switch order and the retry rules are the production code.
The network, the processes and failures are left out.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from wisteriapulley.direct.slot_allocation import (
    LATE_PRIORITY_OFFSET,
    LATENCY_MARGIN_MS,
    MAX_SIDECARS_ASKED,
    MIN_LATE_WAIT_MS,
)
from wisteriapulley.emulator.engine import EmulatedEngine, Job
from wisteriapulley.emulator.mixes import MIXES, RequestKind, draw_sizes
from wisteriapulley.policy.admission_level import LevelProbes, is_admitted
from wisteriapulley.policy.engine_slots import (
    AdmissionDecision,
    EngineSlots,
    ObservedWork,
    SlotRequest,
)
from wisteriapulley.policy.prompt_sizes import PromptSizes
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.policy.target_speed import USUAL_PACE, factor_of
from wisteriapulley.rollout.switch_order import SwitchRank, switch_due_ms

# Time in which an engine loads new weights.
LOAD_MS = 300.0
# One-way delay of a message; regions are not modelled.
NETWORK_DELAY_MS = 1.0
ADVANCE_INTERVAL_MS = 20.0
# How often sidecars read the reports of their engines.
POLL_INTERVAL_MS = 400.0
# Sidecars report their admission levels this often.
REPORT_INTERVAL_MS = 30.0
# A refused caller retries once.
MAX_RETRIES = 1
# Spread of the callers' estimates of their answers, as the standard deviation of the
# logarithm.
ESTIMATE_SPREAD = 0.5
# Longest time that a caller waits in all.
MAX_CALLER_WAIT_MS = 6000.0


class Surge(NamedTuple):
    """Change of the request rates for some time.

    Attributes
    ----------
    start_s, end_s : float
        When it begins and ends.
    factors : dict of str to float
        Factors of the rates, by kind of request.
    """

    start_s: float
    end_s: float
    factors: dict[str, float]


class Outage(NamedTuple):
    """Engines that are lost with their requests, and start again empty.

    Attributes
    ----------
    start_s, end_s : float
        When it begins and ends.
    engines : int
        Number of engines, the first ones.
    """

    start_s: float
    end_s: float
    engines: int


class Pause(NamedTuple):
    """Engines that stand still and go on with their requests.

    Attributes
    ----------
    start_s : float
        When it begins.
    duration_s : float
        How long it lasts.
    engines : range
        One engine, those of a failure domain (every third, say), or all.
    """

    start_s: float
    duration_s: float
    engines: range


class Scenario(NamedTuple):
    """Parameters of a run.

    Attributes
    ----------
    mix : str
        Name of the request mix.
    engines : int
        Number of engines.
    load : float
        Request rate, as a fraction of the mix's peak.
    seconds : float
        Duration of the arrivals.
    change_s : float
        When a version of weights is accepted; 0 for never.
    download_ms, superseded_ms : float
        How long its download takes, and how long the superseded version may serve.
    margin_ms : float
        Part of each objective that is reserved for the network.
    max_overrun_ms : float
        How long after an engine's change a request may still run there.
    extra_slots : int
        Slots granted beyond the engine's own.
    max_asked : int
        Maximum number of sidecars that a request asks in turn.
    deprioritize_late : bool
        Whether late requests get only the slots that new ones leave.
    spread_retries : bool
        Whether refused callers are told to retry later, and spread.
    max_wait_spread : float
        Callers wait for up to this fraction less than the longest wait.
    limited_engines : int
        Number of engines that advertise a rate.
    limit_per_s : float
        That rate, in requests per second.
    slow_engines : int
        Number of engines at which work takes longer.
    slow_factor : float
        How much longer work takes there.
    slow_from_s, slow_until_s : float
        When that begins and ends.
    shared_machines : bool
        Whether the speed of all engines switches every 0.2 to 2 s.
    states_pace : bool
        Whether engines report how much longer work takes because of that.
    max_pause_ms : float
        Longest pause between two events of an answer in time; 0 without a limit.
    learns_speed : bool
        Whether sidecars estimate the speed of their engine.
    seed : int
        Seed of the arrivals.
    class_reserve : bool
        Whether slots are reserved for more urgent classes.
    report_levels : bool
        Whether engines report the classes that they admit.
    surges : tuple of Surge
        Changes of the request rates.
    outages : tuple of Outage
        Losses of engines.
    pauses : tuple of Pause
        Pauses of engines.
    """

    mix: str = "trinacria"
    engines: int = 10
    load: float = 0.9
    seconds: float = 30.0
    change_s: float = 10.0
    download_ms: float = 4450.0
    superseded_ms: float = 8000.0
    margin_ms: float = LATENCY_MARGIN_MS
    max_overrun_ms: float = 800.0
    extra_slots: int = 1
    max_asked: int = MAX_SIDECARS_ASKED
    deprioritize_late: bool = True
    spread_retries: bool = True
    max_wait_spread: float = 0.15
    limited_engines: int = 0
    limit_per_s: float = 1.2
    slow_engines: int = 0
    slow_factor: float = 2.5
    slow_from_s: float = 0.0
    slow_until_s: float = float("inf")
    shared_machines: bool = False
    states_pace: bool = False
    max_pause_ms: float = 0.0
    learns_speed: bool = True
    seed: int = 1
    class_reserve: bool = True
    report_levels: bool = True
    surges: tuple[Surge, ...] = ()
    outages: tuple[Outage, ...] = ()
    pauses: tuple[Pause, ...] = ()


class Outcome(NamedTuple):
    """Results of a run.

    Attributes
    ----------
    requests, in_time, late, refused : int
        Number of requests, and of each outcome.
    worth : float
        Earned fraction of the total worth.
    worst_window : float
        The same in the worst two seconds.
    """

    requests: int
    in_time: int
    late: int
    refused: int
    worth: float
    worst_window: float


class EngineSpeed:
    """Speed of one engine over time.

    Parameters
    ----------
    scenario : Scenario
        Which engines are slow, and when.
    engine_index : int
        The engine.
    """

    def __init__(self, scenario: Scenario, engine_index: int):
        self.scenario = scenario
        self.is_slow = engine_index < scenario.slow_engines
        self.rng = random.Random(f"{scenario.seed}/{engine_index}")
        self.shared, self.until_s = 1.0, 0.0

    def factor(self, now_s: float) -> float:
        """Return how long work takes now, as a multiple of its usual time."""
        scenario = self.scenario
        slow = self.is_slow and scenario.slow_from_s <= now_s < scenario.slow_until_s
        return self.shared_factor(now_s) * (scenario.slow_factor if slow else 1.0)

    def shared_factor(self, now_s: float) -> float:
        """Return how much longer work takes because of what shares the machine."""
        while self.scenario.shared_machines and self.until_s <= now_s:
            self.until_s += self.rng.uniform(0.2, 2.0)
            shares = self.rng.random() < 0.5
            self.shared = math.exp(abs(self.rng.gauss(0, 0.4))) if shares else 1.0
        return self.shared


class EmulatedRequest:
    """One request and its state."""

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
        self.sent_ms = 0.0
        self.earned_worth = 0.0
        self.outcome = "refused"


class Fleet:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.mix = MIXES[scenario.mix]
        self.rng = random.Random(scenario.seed)
        self.max_wait_rng = random.Random(scenario.seed)
        self.retry_detector = RetryDetector()
        self.prompt_sizes = {kind.name: PromptSizes() for kind in self.mix.kinds}
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.last_sequence = 0
        self.requests: dict[str, EmulatedRequest] = {}
        self.asked_engine: dict[str, int] = {}
        self.waiting: dict[str, EmulatedRequest] = {}
        self.engine_slots = [self.new_engine_slots() for _ in range(scenario.engines)]
        for slots in self.engine_slots[: scenario.limited_engines]:
            slots.rate_limits.update("", scenario.limit_per_s, 0.0)
        self.speeds = [
            EngineSpeed(scenario, engine_index)
            for engine_index in range(scenario.engines)
        ]
        self.engines = [self.new_engine(speed) for speed in self.speeds]
        self.sent_to = Counter()
        self.levels = [0] * scenario.engines
        self.probes = LevelProbes()
        self.asked = 0
        self.refused_below_level = 0

    def new_engine(self, speed: EngineSpeed) -> EmulatedEngine:
        """Return an empty engine."""
        return EmulatedEngine(
            self.mix.engine,
            self.schedule,
            self.record_first_event,
            self.release_slot,
            lambda: speed.factor(self.now_ms / 1000),
        )

    def new_engine_slots(self) -> EngineSlots:
        """Return the slots of one engine."""
        slots = EngineSlots(
            self.mix.engine, self.scenario.extra_slots, self.scenario.max_overrun_ms
        )
        slots.open = True
        # Late requests that compete with new ones would be a class of their own.
        slots.reserve.enabled = (
            self.scenario.class_reserve and self.scenario.deprioritize_late
        )
        return slots

    def poll_engines(self) -> None:
        """Let sidecars read the pace that their engines report."""
        now_s = self.now_ms / 1000
        for slots, speed in zip(self.engine_slots, self.speeds, strict=True):
            slots.speed.observe_stated(USUAL_PACE * speed.shared_factor(now_s), now_s)
        self.schedule(POLL_INTERVAL_MS, self.poll_engines)

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.last_sequence += 1
        heapq.heappush(self.events, (self.now_ms + delay_ms, self.last_sequence, call))

    def run(self) -> Outcome:
        """Run the scenario."""
        self.generate_arrival()
        self.advance_all_queues()
        self.report_levels()
        if self.scenario.change_s:
            self.schedule_changes()
        for outage in self.scenario.outages:
            self.schedule_outage(outage)
        for pause in self.scenario.pauses:
            self.schedule(pause.start_s * 1000, partial(self.pause_engines, pause))
        if self.scenario.states_pace and self.scenario.learns_speed:
            self.poll_engines()
        end_ms = self.scenario.seconds * 1000 + MAX_CALLER_WAIT_MS
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
        return self.summarize()

    # -- requests --------------------------------------------------------

    def generate_arrival(self) -> None:
        """Generate a request, and schedule the next one."""
        mix = self.mix
        if self.now_ms > self.scenario.seconds * 1000:
            return
        weights = [kind.relative_rate * self.surge(kind) for kind in mix.kinds]
        kind = self.rng.choices(mix.kinds, weights)[0]
        prompt, events = draw_sizes(self.rng, kind)
        # Callers' estimates are correct only in the median.
        error = self.rng.lognormvariate(0.0, ESTIMATE_SPREAD)
        expected = max(1, round(events * error))
        reduction = self.scenario.max_wait_spread * self.max_wait_rng.random()
        max_wait_ms = MAX_CALLER_WAIT_MS * (1 - reduction)
        request = EmulatedRequest(
            len(self.requests), kind, prompt, events, expected, self.now_ms, max_wait_ms
        )
        self.requests[request.request_id] = request
        self.prompt_sizes[kind.name].record(prompt)
        self.submit(request)
        surge = sum(weights) / sum(kind.relative_rate for kind in mix.kinds)
        per_s = mix.per_s * self.scenario.load * surge
        self.schedule(self.rng.expovariate(per_s / 1000), self.generate_arrival)

    def surge(self, kind: RequestKind) -> float:
        """Return the factor of a kind's rate at this moment."""
        factor = 1.0
        for surge in self.scenario.surges:
            if surge.start_s * 1000 <= self.now_ms < surge.end_s * 1000:
                factor *= surge.factors.get(kind.name, 1.0)
        return factor

    def submit(self, request: EmulatedRequest) -> None:
        """Choose the order in which to ask sidecars, and ask the first one."""
        remaining_s = self.remaining_wait_ms(request) / 1000
        request.is_retry = self.retry_detector.is_retry(remaining_s, self.now_ms / 1000)
        open_engines = [n for n, slots in enumerate(self.engine_slots) if slots.open]
        open_engines.sort(key=lambda n: (self.reported_load(n), self.rng.random()))
        if not self.slot_request(request).late:
            open_engines = self.admitting(request.kind.priority, open_engines)
        request.candidates, request.asks_left = open_engines, self.scenario.max_asked
        self.ask_next_engine(request)

    def admitting(self, priority: int, engines: list[int]) -> list[int]:
        """Return the engines to ask, by the levels that they last reported."""
        if any(is_admitted(self.levels[n], priority) for n in engines):
            return engines
        if self.probes.take("", priority, self.now_ms / 1000):
            return engines
        self.refused_below_level += 1
        return []

    def report_levels(self) -> None:
        """Report the admission levels of all engines periodically."""
        if self.scenario.report_levels:
            self.levels = [
                slots.admission_level.update(self.now_ms) for slots in self.engine_slots
            ]
            self.schedule(REPORT_INTERVAL_MS, self.report_levels)

    def reported_load(self, engine_index: int) -> float:
        """Return the cost of an engine by the load that its sidecar reports."""
        slots = self.engine_slots[engine_index]
        pace = slots.speed.pace(self.now_ms / 1000)
        used = len(slots.grants) + len(slots.queue)
        return Load(used, self.mix.engine.slots, factor_of(pace)).cost

    def ask_next_engine(self, request: EmulatedRequest) -> None:
        """Ask sidecars in turn until one grants a slot or queues the request."""
        while request.candidates and request.asks_left:
            engine_index = request.candidates.pop(0)
            self.asked += 1
            slots = self.engine_slots[engine_index]
            slot_request = self.slot_request(request)
            decision = slots.request_slot(slot_request, self.now_ms)
            if not decision.denied:
                for overtaken in tuple(slots.deny_overtaken(slot_request, self.now_ms)):
                    self.apply_decision(overtaken, engine_index)
            self.asked_engine[request.request_id] = engine_index
            if decision.granted:
                self.send_to_engine(request, engine_index)
                return
            if not decision.denied:
                self.waiting[request.request_id] = request
                return
            request.asks_left -= not decision.limited
        self.schedule_retry(request)

    def slot_request(self, request: EmulatedRequest) -> SlotRequest:
        """Return the slot request; late requests get the lowest priority."""
        remaining_ms = request.kind.objective_ms - (self.now_ms - request.at_ms)
        remaining_ms -= self.scenario.margin_ms
        late = remaining_ms <= 0 or request.is_retry
        return SlotRequest(
            request.request_id,
            "entry",
            request.prompt,
            request.expected * self.mix.engine.stride,
            request.kind.priority + (LATE_PRIORITY_OFFSET if late else 0),
            MIN_LATE_WAIT_MS if late else remaining_ms,
            late and self.scenario.deprioritize_late,
            route=request.kind.name,
            large_prompt=self.prompt_sizes[request.kind.name].typical_large,
        )

    def schedule_retry(self, request: EmulatedRequest) -> None:
        """Let a caller retry once, within a fraction of its remaining time."""
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

    def send_to_engine(self, request: EmulatedRequest, engine_index: int) -> None:
        """Send a request to its engine."""
        request.sent_ms = self.now_ms
        self.sent_to[engine_index] += 1
        job = Job(request.request_id, request.prompt, request.events)
        self.schedule(
            2 * NETWORK_DELAY_MS, lambda: self.engines[engine_index].submit(job)
        )

    def record_first_event(self, request_id: str) -> None:
        """Record the outcome at the first event."""
        request = self.requests[request_id]
        in_time = self.now_ms - request.at_ms <= request.kind.objective_ms
        request.outcome = "in_time" if in_time else "late"
        request.earned_worth = (
            request.kind.worth if in_time else request.kind.late_worth
        )

    def record_pause(self, request: EmulatedRequest, engine_index: int) -> None:
        """Count an answer with a pause that is too long as late."""
        pause_ms = self.engines[engine_index].longest_pauses.pop(request.request_id, 0)
        if 0 < self.scenario.max_pause_ms < pause_ms and request.outcome == "in_time":
            request.outcome = "late"
            request.earned_worth = request.kind.late_worth

    def release_slot(self, request_id: str) -> None:
        """Release the slot after the network delay."""
        engine_index = self.asked_engine[request_id]
        slots = self.engine_slots[engine_index]
        request = self.requests[request_id]
        self.record_pause(request, engine_index)
        work = ObservedWork(request.events, self.now_ms - request.sent_ms)
        if not self.scenario.learns_speed:
            work = ObservedWork()

        def release() -> None:
            slots.observe_work(request_id, work, self.now_ms)
            slots.release(request_id, self.now_ms)
            self.advance_queue(engine_index)

        self.schedule(2 * NETWORK_DELAY_MS, release)

    def advance_all_queues(self) -> None:
        """Advance all queues periodically, as sidecars do."""
        for engine_index in range(len(self.engine_slots)):
            self.advance_queue(engine_index)
        self.schedule(ADVANCE_INTERVAL_MS, self.advance_all_queues)

    def advance_queue(self, engine_index: int) -> None:
        """Apply the decisions on queued requests."""
        for decision in tuple(self.engine_slots[engine_index].advance(self.now_ms)):
            self.apply_decision(decision, engine_index)

    def apply_decision(self, decision: AdmissionDecision, engine_index: int) -> None:
        """Send a request that was queued, or ask the next sidecar."""
        request = self.waiting.pop(decision.request_id)
        if decision.granted:
            self.send_to_engine(request, engine_index)
        else:
            self.ask_next_engine(request)

    # -- weights ---------------------------------------------------------

    def schedule_changes(self) -> None:
        """Schedule each engine's change of weights at its rank in the switch order."""
        scenario = self.scenario
        for engine_index in range(scenario.engines):
            rank = SwitchRank(engine_index, scenario.engines)
            due_ms = switch_due_ms(rank, scenario.download_ms, scenario.superseded_ms)
            at_ms = scenario.change_s * 1000 + due_ms
            self.schedule(
                scenario.change_s * 1000, self.change_announcement(engine_index, at_ms)
            )
            self.schedule(at_ms, self.change_action(engine_index))

    def change_announcement(
        self, engine_index: int, at_ms: float
    ) -> Callable[[], None]:
        """Return a function that announces a change to an engine's slots."""

        def announce() -> None:
            self.engine_slots[engine_index].closes_at_ms = at_ms

        return announce

    def change_action(self, engine_index: int) -> Callable[[], None]:
        """Return a function that changes an engine's weights."""

        def open_admission() -> None:
            self.engine_slots[engine_index].open = True
            self.engine_slots[engine_index].closes_at_ms = None

        def change() -> None:
            self.engine_slots[engine_index].close()
            self.advance_queue(engine_index)
            self.engines[engine_index].load(LOAD_MS, open_admission)

        return change

    # -- outages ---------------------------------------------------------

    def schedule_outage(self, outage: Outage) -> None:
        """Schedule the loss of engines, and their return."""

        def begin() -> None:
            for engine_index in range(outage.engines):
                self.engine_slots[engine_index].close()
                self.advance_queue(engine_index)
                self.engines[engine_index].stop()

        def end() -> None:
            for engine_index in range(outage.engines):
                self.engine_slots[engine_index] = self.new_engine_slots()
                speed = self.speeds[engine_index]
                self.engines[engine_index] = self.new_engine(speed)

        self.schedule(outage.start_s * 1000, begin)
        self.schedule(outage.end_s * 1000, end)

    def pause_engines(self, pause: Pause) -> None:
        """Let engines stand still for some time."""
        for engine_index in pause.engines:
            self.engines[engine_index].pause(pause.duration_s * 1000)

    # -- results ---------------------------------------------------------

    def summarize(self) -> Outcome:
        """Return the results of the run."""
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

    def by_kind(self, start_s: float = 0.0) -> dict[str, "KindOutcome"]:
        """Return the results by kind of request that arrived from `start_s` on."""
        arrived = [r for r in self.requests.values() if r.at_ms >= start_s * 1000]
        return {
            kind.name: KindOutcome.of([r for r in arrived if r.kind is kind])
            for kind in self.mix.kinds
        }


class KindOutcome(NamedTuple):
    """Results of one kind of request, as fractions of its requests or their worth."""

    requests: int
    in_time: float
    late: float
    refused: float
    worth: float

    @classmethod
    def of(cls, requests: list[EmulatedRequest]) -> "KindOutcome":
        """Return the results of some requests."""
        outcomes = [request.outcome for request in requests]
        count = max(1, len(requests))
        return cls(
            len(requests),
            outcomes.count("in_time") / count,
            outcomes.count("late") / count,
            outcomes.count("refused") / count,
            earned_fraction(requests),
        )


def earned_fraction(requests: list[EmulatedRequest]) -> float:
    """Return the fraction of their worth that requests earned."""
    total = sum(request.kind.worth for request in requests)
    return sum(request.earned_worth for request in requests) / total if total else 1.0
