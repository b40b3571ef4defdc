"""Replay of the callers after an outage of all instances, on a virtual clock.

Engines, their slots, the entries' rules for holding and for retry times are the
production code. Links, control instances and messages are left out: entries know the
state of each sidecar at once.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.slot_allocation import MAX_SIDECARS_ASKED, urgency_of
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.emulator.engine import EmulatedEngine, Job
from wisteriapulley.emulator.mixes import RequestKind, draw_sizes
from wisteriapulley.policy.engine_slots import (
    AdmissionDecision,
    AdmissionState,
    EngineSlots,
    SlotRequest,
)
from wisteriapulley.policy.outage_hold import OutageHold
from wisteriapulley.policy.prompt_sizes import PromptSizes
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector
from wisteriapulley.routing import Engine, Route, RouteKind

ENGINE = Engine("m", 12, 7, 6.73, 0.02, 30.6)
KINDS = (
    RequestKind("narrative", 128, 1330, 21, 1.0, 0.89, 405, 2.5, 0.62),
    RequestKind("brief", 89, 827, 21, 1.0, 0.69, 404, 2.2, 0.54),
    RequestKind("tag", 108, 647, 10, 0.96, 0.9, 404, 1.3, 0.33),
)
ROUTES = {
    kind.name: Route(kind.name, "h", "/", RouteKind.STREAM, (), 6100, 404)
    for kind in KINDS
}
MAX_WAIT_S = 6.0
NETWORK_MS = 1.0
ADVANCE_MS = 20.0
DEFAULT_RETRY_S = 0.25
# Callers that arrive by then see the outage itself.
FIRST_MS = 2000.0
# Part of its worth that a caller costs who came back and was refused again.
REFUSED_AGAIN_CHARGE = 0.3
# Time between two attempts of a client that does not wait as it is told.
REPEAT_MS = 20.0


class Wave(NamedTuple):
    """Parameters of a replay.

    Attributes
    ----------
    engines, entries : int
        Sizes of the fleet.
    per_s : float
        New requests per second, all of the time.
    callers : int
        Callers that arrive in the first half second in addition.
    cut_fraction : float
        Part of them that has used its retry, and has waited for some seconds.
    opens_from_s, opens_to_s : float
        When the first and the last engine opens.
    announced_ms : float
        How long before its opening a sidecar announces it.
    never_open : int
        Engines whose announced opening does not come.
    repeating : float
        Part of the callers that repeats three times at once instead of waiting.
    seconds : float
        How long new requests arrive.
    holds, claims : bool
        Whether entries hold requests, and whether returns wait for slots.
    seed : int
        Seed of the arrivals.
    """

    engines: int = 24
    entries: int = 20
    per_s: float = 147.0
    callers: int = 400
    cut_fraction: float = 0.0
    opens_from_s: float = 0.5
    opens_to_s: float = 1.25
    announced_ms: float = 350.0
    never_open: int = 0
    repeating: float = 0.0
    seconds: float = 6.0
    holds: bool = True
    claims: bool = True
    seed: int = 1


class Attempt:
    """One attempt of a caller at an entry."""

    def __init__(self, caller: "Caller", entry: "Entry", now_ms: float):
        self.caller = caller
        self.entry = entry
        self.arrived_ms = now_ms
        self.request = CallerRequest(
            f"{caller.number}/{caller.attempts}",
            "POST",
            "/",
            "h",
            "/",
            (),
            b"",
            "",
            now_ms / 1000,
            caller.left_s(now_ms),
            caller.prompt,
            caller.expected * ENGINE.stride,
        )
        self.is_return = entry.detector.is_retry(self.request.max_wait_s, now_ms / 1000)
        deadline_s = self.request.arrived_s + self.request.max_wait_s
        self.admitted = Admitted(
            self.request, ROUTES[caller.kind.name], None, deadline_s, self.is_return
        )
        self.candidates: list[int] = []
        self.asked = 0
        self.full = False
        self.retry_s: list[float] = []


class Caller:
    """A caller with its attempts and its result."""

    def __init__(self, number: int, kind: RequestKind, at_ms: float, left_s: float):
        self.number = number
        self.kind = kind
        self.at_ms = at_ms
        self.deadline_ms = at_ms + left_s * 1000
        self.prompt = self.events = self.expected = 1
        self.attempts = 0
        self.max_attempts = 2
        self.repeats = False
        self.extra = False
        self.extra_wait = False
        self.result = "refused"
        self.refused_ms: list[float] = []
        self.held_ms: list[float] = []

    def left_s(self, now_ms: float) -> float:
        """Return how long it still waits."""
        return (self.deadline_ms - now_ms) / 1000

    @property
    def worth(self) -> float:
        """Worth of its result."""
        if self.result == "in time":
            return self.kind.worth
        return self.kind.late_worth if self.result == "late" else 0.0


class Entry:
    """State of one entry."""

    def __init__(self):
        self.hold = OutageHold()
        self.detector = RetryDetector()


class Figures(NamedTuple):
    """Results of a group of callers."""

    callers: int
    in_time: int
    late: int
    refused: int
    worth: float


class Replay:
    """One replay of a wave."""

    def __init__(self, wave: Wave):
        self.wave = wave
        # Callers are the same in each way of a wave.
        self.arrivals = random.Random(wave.seed)
        self.rng = random.Random(wave.seed)
        self.now_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.callers: list[Caller] = []
        self.prompt_sizes = {kind.name: PromptSizes() for kind in KINDS}
        self.entries = [Entry() for _ in range(wave.entries)]
        self.slots = [EngineSlots(ENGINE) for _ in range(wave.engines)]
        self.engines = [
            EmulatedEngine(ENGINE, self.schedule, self.first_event, self.ended)
            for _ in range(wave.engines)
        ]
        self.engine_of: dict[str, int] = {}
        self.attempts: dict[str, Attempt] = {}
        self.placed_ms: list[float] = []

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        event = (self.now_ms + delay_ms, next(self.sequence), call)
        heapq.heappush(self.events, event)

    def run(self) -> "Replay":
        """Play the wave to its end."""
        for number in range(self.wave.engines):
            self.plan_opening(number)
        for _ in range(self.wave.callers):
            self.schedule(self.arrivals.uniform(0, 500.0), self.arrive_extra)
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.advance)
        end_ms = (self.wave.seconds + MAX_WAIT_S) * 1000
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _, call = heapq.heappop(self.events)
            call()
        return self

    # -- engines ---------------------------------------------------------

    def plan_opening(self, number: int) -> None:
        """Plan when a sidecar announces its opening, and opens."""
        wave, slots = self.wave, self.slots[number]
        opens_ms = 1000 * self.arrivals.uniform(wave.opens_from_s, wave.opens_to_s)

        def announce() -> None:
            slots.opens_at_ms = opens_ms

        def open_slots() -> None:
            slots.open, slots.opens_at_ms = True, None

        self.schedule(max(0.0, opens_ms - wave.announced_ms), announce)
        if number >= wave.never_open:
            self.schedule(opens_ms, open_slots)

    def advance(self) -> None:
        """Advance all queues, as sidecars do."""
        for number in range(len(self.slots)):
            self.advance_queue(number)
        self.schedule(ADVANCE_MS, self.advance)

    def advance_queue(self, number: int) -> None:
        """Apply the decisions on queued requests."""
        for decision in tuple(self.slots[number].advance(self.now_ms)):
            attempt = self.attempts[decision.request_id]
            if decision.granted:
                self.send(attempt, number)
            else:
                self.record_denial(attempt, decision)
                self.ask_next(attempt)

    def first_event(self, request_id: str) -> None:
        """Record the result of a caller."""
        caller = self.attempts[request_id].caller
        if self.now_ms > caller.deadline_ms:
            return
        in_time = self.now_ms - caller.at_ms <= caller.kind.objective_ms
        caller.result = "in time" if in_time and not caller.extra_wait else "late"

    def ended(self, request_id: str) -> None:
        """Release a slot."""
        number = self.engine_of[request_id]

        def release() -> None:
            self.slots[number].release(request_id, self.now_ms)
            self.advance_queue(number)

        self.schedule(2 * NETWORK_MS, release)

    def send(self, attempt: Attempt, number: int) -> None:
        """Send a request to its engine."""
        self.placed_ms.append(self.now_ms)
        self.engine_of[attempt.request.request_id] = number
        job = Job(
            attempt.request.request_id, attempt.caller.prompt, attempt.caller.events
        )
        self.schedule(2 * NETWORK_MS, lambda: self.engines[number].submit(job))

    # -- callers ---------------------------------------------------------

    def new_caller(self) -> Caller:
        """Return a caller that arrives now."""
        kind = self.arrivals.choices(KINDS, [k.relative_rate for k in KINDS])[0]
        left_s = MAX_WAIT_S * (1 - 0.02 * self.arrivals.random())
        caller = Caller(len(self.callers), kind, self.now_ms, left_s)
        caller.prompt, caller.events = draw_sizes(self.arrivals, kind)
        error = self.arrivals.lognormvariate(0.0, 0.5)
        caller.expected = max(1, round(caller.events * error))
        caller.repeats = self.arrivals.random() < self.wave.repeating
        if caller.repeats:
            caller.max_attempts = 4
        self.prompt_sizes[kind.name].record(caller.prompt)
        self.callers.append(caller)
        return caller

    def arrive(self) -> None:
        """Let a new caller arrive, and plan the next one."""
        if self.now_ms > self.wave.seconds * 1000:
            return
        self.attempt(self.new_caller())
        self.schedule(1000 * self.arrivals.expovariate(self.wave.per_s), self.arrive)

    def arrive_extra(self) -> None:
        """Let a caller of the first half second arrive."""
        caller = self.new_caller()
        caller.extra = True
        if self.arrivals.random() < self.wave.cut_fraction:
            caller.max_attempts, caller.extra_wait = 1, True
            caller.deadline_ms = self.now_ms + self.arrivals.uniform(3000, 5500)
        self.attempt(caller)

    def attempt(self, caller: Caller) -> None:
        """Send an attempt to an entry."""
        caller.attempts += 1
        attempt = Attempt(caller, self.rng.choice(self.entries), self.now_ms)
        self.attempts[attempt.request.request_id] = attempt
        self.place(attempt)

    # -- entries ---------------------------------------------------------

    def place(self, attempt: Attempt) -> None:
        """Choose the order in which to ask sidecars, and ask the first one."""
        usable = [
            number
            for number, slots in enumerate(self.slots)
            if slots.state is not AdmissionState.CLOSED
        ]
        opened = sum(slots.open for slots in self.slots)
        attempt.entry.hold.record_open(opened / len(self.slots), self.now_ms / 1000)
        usable.sort(key=lambda number: (self.load_of(number), self.rng.random()))
        attempt.candidates, attempt.asked = usable, 0
        attempt.retry_s, attempt.full = [], False
        self.ask_next(attempt)

    def load_of(self, number: int) -> float:
        """Return the load that a sidecar states."""
        slots = self.slots[number]
        opening = ENGINE.slots if slots.state is AdmissionState.OPENING else 0
        return len(slots.grants) + len(slots.queue) + opening

    def ask_next(self, attempt: Attempt) -> None:
        """Ask sidecars in turn until one grants a slot or queues the request."""
        while attempt.candidates and attempt.asked < MAX_SIDECARS_ASKED:
            number = attempt.candidates.pop(0)
            attempt.asked += 1
            decision = self.slots[number].request_slot(
                self.slot_request(attempt), self.now_ms
            )
            if decision.granted:
                self.send(attempt, number)
                return
            if not decision.denied:
                return
            self.record_denial(attempt, decision)
        self.hold_or_refuse(attempt)

    def record_denial(self, attempt: Attempt, decision: AdmissionDecision) -> None:
        """Record a denial and its retry time."""
        if decision.retry_ms:
            attempt.full = True
            attempt.retry_s.append(decision.retry_ms / 1000)

    def slot_request(self, attempt: Attempt) -> SlotRequest:
        """Return the slot request with the time left now."""
        urgency = urgency_of(attempt.admitted, ENGINE, self.now_ms / 1000)
        request = attempt.request
        if not self.wave.claims and attempt.is_return:
            admitted = attempt.admitted._replace(
                is_retry=False,
                request=request._replace(arrived_s=request.arrived_s - 0.4),
            )
            urgency = urgency_of(admitted, ENGINE, self.now_ms / 1000)
        return SlotRequest(
            request.request_id,
            "entry",
            request.prompt_tokens,
            request.answer_tokens,
            urgency.priority,
            urgency.wait_ms,
            urgency.late,
            may_wait=urgency.may_wait and self.wave.claims,
            route=attempt.caller.kind.name,
            large_prompt=self.prompt_sizes[attempt.caller.kind.name].typical_large,
        )

    def hold_or_refuse(self, attempt: Attempt) -> None:
        """Hold a request that found no room, or refuse it."""
        hold = attempt.entry.hold
        if self.wave.holds and hold.since_s is not None:
            attempt.entry.detector.record_refusal(self.now_ms / 1000)
        left_s = hold.left_s(
            attempt.request.arrived_s,
            attempt.request.max_wait_s,
            self.now_ms / 1000,
            attempt.admitted.route.latency_ms / 1000,
            attempt.is_return,
        )
        if not self.wave.holds or not left_s:
            self.refuse(attempt)
            return
        any_open = any(slots.open for slots in self.slots)

        def place_again() -> None:
            hold.held -= 1
            self.place(attempt)

        hold.held += 1
        self.schedule(1000 * hold.next_look_s(left_s, any_open), place_again)

    def refuse(self, attempt: Attempt) -> None:
        """Refuse an attempt; its caller comes back as it is told, or at once."""
        caller = attempt.caller
        caller.refused_ms.append(self.now_ms)
        caller.held_ms.append(self.now_ms - attempt.arrived_ms)
        attempt.entry.detector.record_refusal(self.now_ms / 1000)
        if caller.attempts >= caller.max_attempts:
            return
        left_s = caller.left_s(self.now_ms)
        hint_s = min(attempt.retry_s, default=DEFAULT_RETRY_S)
        delay_s = retry_after_s(True, hint_s, left_s, self.rng.random)
        delay_ms = REPEAT_MS if caller.repeats else delay_s * 1000
        self.schedule(delay_ms, lambda: self.attempt(caller))

    # -- results ---------------------------------------------------------

    def figures(self, chosen: Callable[[Caller], bool] = lambda c: True) -> Figures:
        """Return the results of some callers."""
        callers = [caller for caller in self.callers if chosen(caller)]
        results = [caller.result for caller in callers]
        total = sum(caller.kind.worth for caller in callers) or 1.0
        return Figures(
            len(callers),
            results.count("in time"),
            results.count("late"),
            results.count("refused"),
            round(sum(caller.worth for caller in callers) / total, 3),
        )


class Row(NamedTuple):
    """Mean results of one way over several waves."""

    in_time: float
    late: float
    refused: float
    worth: float
    first_worth: float
    charged_worth: float


def row(replay: Replay) -> Row:
    """Return the results of one replay."""
    figures = replay.figures()
    first = replay.figures(lambda caller: caller.at_ms < FIRST_MS)
    total = sum(caller.kind.worth for caller in replay.callers)
    refused_again = sum(
        caller.kind.worth
        for caller in replay.callers
        if caller.result == "refused" and caller.attempts > 1
    )
    charge = REFUSED_AGAIN_CHARGE * refused_again / total
    return Row(*figures[1:], first.worth, figures.worth - charge)


def waves(seeds: int) -> Iterator[Wave]:
    """Yield the waves of the table."""
    rates = itertools.product((100.0, 147.0, 200.0), (0.0, 0.5), range(1, seeds + 1))
    for per_s, cut_fraction, seed in rates:
        yield Wave(per_s=per_s, cut_fraction=cut_fraction, seed=seed)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    print("| never open | holds | waits | in time | late | refused | worth", end="")
    print(" | of the first 2 s | less second refusals |")
    print("| --- " * 9 + "|")
    ways = itertools.product((0, 8), (False, True), (False, True))
    for never_open, holds, claims in ways:
        way = {"never_open": never_open, "holds": holds, "claims": claims}
        rows = [
            row(Replay(wave._replace(**way)).run()) for wave in waves(options.seeds)
        ]
        mean = Row(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))
        print(
            f"| {never_open} | {holds} | {claims} | {mean.in_time:.0f}"
            f" | {mean.late:.0f} | {mean.refused:.0f} | {mean.worth:.3f}"
            f" | {mean.first_worth:.3f} | {mean.charged_worth:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
