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
from wisteriapulley.emulator.mixes import ENGINE, MIXES, Kind, draw_sizes
from wisteriapulley.policy.comeback import comeback_s
from wisteriapulley.policy.places import PlaceRequest, Places, Verdict
from wisteriapulley.policy.returning import Returning
from wisteriapulley.rollout.switch_order import SwitchRank, switch_due_ms

LOAD_MS = 300.0
# From a message to its receiver; regions are left out.
HOP_MS = 1.0
ADVANCE_MS = 20.0
# A refused caller comes back once.
RETURNS = 1
ESTIMATE_SPREAD = 0.5
# The most that a caller waits in all.
PATIENCE_MS = 6000.0


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
    copy_ms: float = 4450.0
    old_version_ms: float = 8000.0
    margin_ms: float = TRANSIT_MS
    overrun_ms: float = 800.0
    extra_places: int = 1
    asked: int = MOST_ASKED
    late_last: bool = True
    spread_returns: bool = True
    patience_spread: float = 0.15
    limited: int = 0
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

    asked: int
    in_time: int
    late: int
    refused: int
    worth: float
    worst: float


class Ask:
    """One request on its way."""

    def __init__(
        self,
        number: int,
        kind: Kind,
        prompt: int,
        events: int,
        expected: int,
        at_ms: float,
        patience_ms: float,
    ):
        self.request_id = f"r{number}"
        self.patience_ms = patience_ms
        self.returned = False
        self.kind = kind
        self.prompt = prompt
        self.events = events
        self.expected = expected
        self.at_ms = at_ms
        self.order: list[int] = []
        self.tries = 0
        self.returns = 0
        self.earned = 0.0
        self.end = "refused"


class Fleet:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.patience_rng = random.Random(scenario.seed)
        self.returning = Returning()
        self.now_ms = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = 0
        self.asks: dict[str, Ask] = {}
        self.held_at: dict[str, int] = {}
        self.waiting: dict[str, Ask] = {}
        self.places = [self.new_places() for _ in range(scenario.engines)]
        for places in self.places[: scenario.limited]:
            places.rates.hear("", scenario.limit_per_s, 0.0)
        self.engines = [
            EmulatedEngine(ENGINE, self.later, self.first_event, self.ended)
            for _ in range(scenario.engines)
        ]

    def new_places(self) -> Places:
        """Make the places of one engine."""
        places = Places(ENGINE, self.scenario.extra_places, self.scenario.overrun_ms)
        places.open = True
        return places

    def later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call a function after a time."""
        self.numbers += 1
        heapq.heappush(self.queue, (self.now_ms + delay_ms, self.numbers, call))

    def play(self) -> Outcome:
        """Run the scenario."""
        self.arrive()
        self.advance_all()
        if self.scenario.change_s:
            self.plan_changes()
        end_ms = self.scenario.seconds * 1000 + PATIENCE_MS
        while self.queue and self.queue[0][0] < end_ms:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
        return self.outcome()

    # -- requests --------------------------------------------------------

    def arrive(self) -> None:
        """Let the next request come, and the one after it."""
        mix = MIXES[self.scenario.mix]
        if self.now_ms > self.scenario.seconds * 1000:
            return
        weights = [kind.share for kind in mix.kinds]
        kind = self.rng.choices(mix.kinds, weights)[0]
        prompt, events = draw_sizes(self.rng, kind)
        # Callers' estimates are right in the median only.
        off = self.rng.lognormvariate(0.0, ESTIMATE_SPREAD)
        expected = max(1, round(events * off))
        impatience = self.scenario.patience_spread * self.patience_rng.random()
        patience_ms = PATIENCE_MS * (1 - impatience)
        ask = Ask(
            len(self.asks), kind, prompt, events, expected, self.now_ms, patience_ms
        )
        self.asks[ask.request_id] = ask
        self.offer(ask)
        gap_ms = self.rng.expovariate(mix.per_s * self.scenario.load / 1000)
        self.later(gap_ms, self.arrive)

    def offer(self, ask: Ask) -> None:
        """Choose the order in which sidecars are asked, and ask the first."""
        stated_s = self.patience_left_ms(ask) / 1000
        ask.returned = self.returning.has_returned(stated_s, self.now_ms / 1000)
        able = [n for n, places in enumerate(self.places) if places.open]
        able.sort(key=lambda n: (self.load_of(n), self.rng.random()))
        ask.order, ask.tries = able, self.scenario.asked
        self.ask_next(ask)

    def load_of(self, number: int) -> int:
        """Return what an engine's sidecar says of its load."""
        places = self.places[number]
        return len(places.held) + len(places.queue)

    def ask_next(self, ask: Ask) -> None:
        """Ask sidecars in turn until one grants a place or lets it wait."""
        while ask.order and ask.tries:
            number = ask.order.pop(0)
            verdict = self.places[number].ask(self.wish(ask), self.now_ms)
            self.held_at[ask.request_id] = number
            if verdict.granted:
                self.send(ask, number)
                return
            if not verdict.denied:
                self.waiting[ask.request_id] = ask
                return
            ask.tries -= not verdict.limited
        self.refuse(ask)

    def wish(self, ask: Ask) -> PlaceRequest:
        """Make the wish for a place; one that is late goes last."""
        left_ms = ask.kind.objective_ms - (self.now_ms - ask.at_ms)
        left_ms -= self.scenario.margin_ms
        late = left_ms <= 0 or ask.returned
        return PlaceRequest(
            ask.request_id,
            "entry",
            ask.prompt,
            ask.expected * ENGINE.stride,
            LATE_PRIORITY if late else 1,
            LATE_WAIT_MS if late else left_ms,
            late and self.scenario.late_last,
        )

    def refuse(self, ask: Ask) -> None:
        """Let a caller come back once, within a share of the time it has left."""
        if ask.returns >= RETURNS:
            return
        ask.returns += 1
        self.returning.refused(self.now_ms / 1000)
        left_s = self.patience_left_ms(ask) / 1000
        pause_s = comeback_s(
            self.scenario.spread_returns, 0.25, left_s, self.rng.random
        )
        self.later(pause_s * 1000, lambda: self.offer(ask))

    def patience_left_ms(self, ask: Ask) -> float:
        """Return how long a caller still waits."""
        return ask.patience_ms - (self.now_ms - ask.at_ms)

    def send(self, ask: Ask, number: int) -> None:
        """Send a request to its engine."""
        job = Job(ask.request_id, ask.prompt, ask.events)
        self.later(2 * HOP_MS, lambda: self.engines[number].send(job))

    def first_event(self, request_id: str) -> None:
        """Note when a first event came."""
        ask = self.asks[request_id]
        in_time = self.now_ms - ask.at_ms <= ask.kind.objective_ms
        ask.end = "in_time" if in_time else "late"
        ask.earned = ask.kind.worth if in_time else ask.kind.late_worth

    def ended(self, request_id: str) -> None:
        """Give the place back, a moment later."""
        number = self.held_at[request_id]

        def give_back() -> None:
            self.places[number].release(request_id, self.now_ms)
            self.advance(number)

        self.later(2 * HOP_MS, give_back)

    def advance_all(self) -> None:
        """Look at all queues now and then, as sidecars do."""
        for number in range(len(self.places)):
            self.advance(number)
        self.later(ADVANCE_MS, self.advance_all)

    def advance(self, number: int) -> None:
        """Tell those that waited what became of them."""
        for verdict in tuple(self.places[number].advance(self.now_ms)):
            self.decided(verdict, number)

    def decided(self, verdict: Verdict, number: int) -> None:
        """Go on with a request that waited."""
        ask = self.waiting.pop(verdict.request_id)
        if verdict.granted:
            self.send(ask, number)
        else:
            self.ask_next(ask)

    # -- weights ---------------------------------------------------------

    def plan_changes(self) -> None:
        """Let each engine change in its turn."""
        scenario = self.scenario
        for number in range(scenario.engines):
            turn = SwitchRank(number, scenario.engines)
            due = switch_due_ms(turn, scenario.copy_ms, scenario.old_version_ms)
            at_ms = scenario.change_s * 1000 + due
            self.later(scenario.change_s * 1000, self.announcer(number, at_ms))
            self.later(at_ms, self.changer(number))

    def announcer(self, number: int, at_ms: float) -> Callable[[], None]:
        """Make the call that tells an engine's places of its change."""

        def announce() -> None:
            self.places[number].closes_ms = at_ms

        return announce

    def changer(self, number: int) -> Callable[[], None]:
        """Make the call that lets an engine change."""

        def opened() -> None:
            self.places[number].open = True
            self.places[number].closes_ms = None

        def change() -> None:
            self.places[number].close()
            self.advance(number)
            self.engines[number].load(LOAD_MS, opened)

        return change

    # -- the end ---------------------------------------------------------

    def outcome(self) -> Outcome:
        """Sum up."""
        asks = list(self.asks.values())
        ends = [ask.end for ask in asks]
        windows: dict[int, list[Ask]] = {}
        for ask in asks:
            windows.setdefault(int(ask.at_ms // 2000), []).append(ask)
        whole = [w for w in windows.values() if len(w) > len(asks) / len(windows) / 2]
        return Outcome(
            len(asks),
            ends.count("in_time"),
            ends.count("late"),
            ends.count("refused"),
            share(asks),
            min(map(share, whole)),
        )


def share(asks: list[Ask]) -> float:
    """Return the share of the worth that requests earned."""
    owed = sum(ask.kind.worth for ask in asks)
    return sum(ask.earned for ask in asks) / owed if owed else 1.0
