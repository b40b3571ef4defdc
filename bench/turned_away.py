"""What callers get while targets turn requests away: ``python -m bench.turned_away``.

Entries' own dispatch and sidecars' own queues, on a virtual clock, without links or
processes. Each row has some of the targets turn all requests away from second 2 to 8,
with a rest in their answers, without one, or absent in place of that.
"""

import argparse
import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Iterator
from types import SimpleNamespace
from typing import NamedTuple

from tests.fakes.links import RecordingLink

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.sidecars import CLOSED_STATE, LIMITED_LOAD, LIMITED_STATE
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Headers, Refusal, SendPlan
from wisteriapulley.emulator.engine import EmulatedEngine, Job
from wisteriapulley.emulator.mixes import ENGINE, MIXES, draw_sizes
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.response_signals import (
    RequestedCooldown,
    ResponseSignals,
    TargetLoad,
)
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.rollout.admission import SlotAdmission
from wisteriapulley.routing import Route, RouteKind, RoutingTable, Service, Split
from wisteriapulley.settings import Address
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import Frame, messages
from wisteriapulley.wire.handshake import Hello, Identity
from wisteriapulley.wire.messages import TargetState

SECONDS = 12.0
FROM_S, TO_S = 2.0, 8.0
# Callers that come so long after the end still meet how targets are taken in again.
AFTER_S = 2.0
HOP_S = 0.001
BEAT_S = 1.0
# An engine's events come in this rhythm at the latest, as far as entries see.
EVENT_S = 0.4
OBJECTIVE_S, PATIENCE_S = 0.45, 6.0
PLAIN_SLOTS, PLAIN_WORK_S, PLAIN_QUEUE = 6, 0.09, 4
ENGINES, PLAIN = 9, 6
MIX = MIXES["lettercraft"]
# Requests a second that keep one target busy.
ENGINE_PER_S = MIX.per_s / 8
PLAIN_PER_S = PLAIN_SLOTS / PLAIN_WORK_S
NONE = Address("127.0.0.1", 0)


class Scenario(NamedTuple):
    """What is played.

    Attributes
    ----------
    plain : bool
        Whether targets are plain, or engines with sidecars.
    entries : int
        Entries, with as many callers each.
    share : float
        Of the targets that turn away.
    how : str
        "rest", "no rest" or "absent".
    load : float
        Requests a second, as a share of what all targets bear.
    seed : int
        Of the draws.
    """

    plain: bool
    entries: int
    share: float
    how: str
    load: float = 0.7
    seed: int = 1

    @property
    def targets(self) -> int:
        """How many there are."""
        return PLAIN if self.plain else ENGINES

    @property
    def per_s(self) -> float:
        """Requests a second."""
        one = PLAIN_PER_S if self.plain else ENGINE_PER_S
        return one * self.targets * self.load


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self.clock_s = 0.0
        self.really_select = self._selector.select
        self._selector.select = self.select

    def time(self) -> float:
        """Return the virtual clock."""
        return self.clock_s

    def select(self, timeout_s: float | None) -> list:
        """Wait for nothing: let the time pass."""
        self.clock_s += timeout_s or 0.0
        return self.really_select(0)


class Answer:
    """An answer of a virtual target; see `direct.types.TargetAnswer`."""

    def __init__(
        self,
        status: int,
        signals: ResponseSignals,
        parts: AsyncIterator[bytes] | None = None,
    ):
        self.status, self.signals = status, signals
        self.headers: Headers = ()
        self.length = None
        self.not_run = status == 503
        self.other_instance = False
        self.events = parts

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        if self.events is None:
            yield b"whole"
            return
        async for event in self.events:
            yield event

    def close(self) -> None:
        """Nothing is kept open."""


class VirtualTarget:
    """A plain target or an engine that may turn requests away."""

    def __init__(self, scenario: Scenario, number: int):
        self.plain = scenario.plain
        self.name = f"i-{number}"
        self.turns_away = False
        self.rest_s = 3.0 if scenario.how == "rest" else 0.0
        self.arrived = self.sent_away = self.running = 0
        self.places = asyncio.Semaphore(PLAIN_SLOTS)
        self.events: dict[str, asyncio.Queue] = {}
        loop = asyncio.get_running_loop()
        self.engine = EmulatedEngine(
            ENGINE,
            lambda ms, call: loop.call_later(ms / 1000, call),
            lambda name: None,
            lambda name: self.events[name].put_nowait(None),
        )

    async def answer(self, request: CallerRequest) -> Answer:
        """Answer a request, or turn it away."""
        self.arrived += 1
        full = self.plain and self.running >= PLAIN_SLOTS + PLAIN_QUEUE
        if self.turns_away or full:
            self.sent_away += 1
            rest = RequestedCooldown(self.rest_s if self.turns_away else 0.0)
            return Answer(503, ResponseSignals(cooldown=rest))
        if not self.plain:
            return await self.stream(request)
        self.running += 1
        async with self.places:
            await asyncio.sleep(PLAIN_WORK_S)
        self.running -= 1
        signals = ResponseSignals(TargetLoad(self.running, 0, PLAIN_SLOTS))
        return Answer(200, signals)

    async def next_event(self, queue: asyncio.Queue) -> bytes | None:
        """Return an event now and then, and None at the end."""
        try:
            async with asyncio.timeout(EVENT_S):
                return await queue.get()
        except TimeoutError:
            return b"more"

    async def stream(self, request: CallerRequest) -> Answer:
        """Run a request at the engine; events come in a coarse rhythm."""
        events = round(request.answer_tokens / ENGINE.stride)
        queue = self.events[request.request_id] = asyncio.Queue()
        self.engine.on_first = lambda name: self.events[name].put_nowait(b"1")
        self.engine.submit(Job(request.request_id, request.prompt_tokens, events))
        await queue.get()

        async def rest() -> AsyncIterator[bytes]:
            event = b"1"
            for number in itertools.count(1):
                if event is None:
                    return
                yield b"id: %d\ndata: 1\n\n" % number
                event = await self.next_event(queue)

        return Answer(200, ResponseSignals(), rest())


class VirtualClient:
    """Sends to virtual targets; see `direct.types.TargetClient`."""

    def __init__(self, targets: dict[str, VirtualTarget]):
        self.targets = targets

    async def send(self, request: CallerRequest, plan: SendPlan) -> Answer:
        """Send a request."""
        await asyncio.sleep(HOP_S)
        answer = await self.targets[plan.target_id].answer(request)
        await asyncio.sleep(HOP_S)
        return answer


class SidecarLink(RecordingLink):
    """An entry's link to a sidecar in the same process."""

    def __init__(self, name: str, granting: SlotAdmission):
        super().__init__()
        self.peer_id = name
        self.peer = Hello(1, name, "entry", 1, "z", b"")
        self.granting = granting
        self.replies: dict[int, messages.Reserved] = {}

    def post(self, message: tuple, reply_to: int = 0) -> None:
        """Take a reply, or tell the sidecar something."""
        if reply_to:
            self.replies[reply_to] = message
            return
        loop = asyncio.get_running_loop()
        frame = Frame(0, 0, message)
        loop.call_later(
            HOP_S,
            lambda: loop.create_task(self.granting.receive(message, self, frame)),
        )

    def beat(self) -> None:
        """Loads are looked up, not told."""


class VirtualSidecars:
    """Sidecars in the same process; see `direct.sidecars.Sidecars`."""

    def __init__(self, name: str, grantings: dict[str, SlotAdmission]):
        self.links = {
            target: SidecarLink(name, granting)
            for target, granting in grantings.items()
        }
        self.numbers = itertools.count(1)

    def is_selected(self, target: Target) -> bool:
        """All are chosen."""
        return True

    def is_available(self, target: Target) -> bool:
        """Tell whether a sidecar grants anything."""
        return self.said(target).state != CLOSED_STATE

    def said(self, target: Target) -> messages.Heartbeat:
        """Return what a sidecar says of its load."""
        return self.links[target.target_id].granting.heartbeat()

    def load_of(self, target: Target, now_s: float) -> Load:
        """Return an engine's load."""
        said = self.said(target)
        later = LIMITED_LOAD * target.slots if said.state == LIMITED_STATE else 0.0
        return Load(said.running + said.waiting + later, target.slots)

    def link_to(self, target: Target) -> SidecarLink | None:
        """Return the link to a target's sidecar; plain targets have none."""
        return self.links.get(target.target_id)

    async def reserve(
        self, link: SidecarLink, target: Target, reservation: messages.Reserve
    ) -> messages.Reserved:
        """Ask for a place."""
        await asyncio.sleep(HOP_S)
        number = next(self.numbers)
        await link.granting.receive(reservation, link, Frame(number, 0, reservation))
        await asyncio.sleep(HOP_S)
        return link.replies.pop(number)

    def release(
        self,
        link: SidecarLink,
        request_id: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
        cooling_down: bool = False,
    ) -> None:
        """Give a place back."""
        taken = outcome is SendOutcome.ACCEPTED
        turned_away = outcome is SendOutcome.REJECTED
        link.post(messages.Release(request_id, taken, turned_away, cooling_down))


class Caller:
    """A caller that comes back once; see `direct.types.CallerAnswer`."""

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.started = False
        self.first_s: float | None = None
        self.refused_s: float | None = None

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Note the head of a success."""
        self.started = True
        if status == 200:
            self.first_s = asyncio.get_running_loop().time() - self.at_s

    async def write(self, data: bytes) -> None:
        """Nothing is kept."""

    async def finish(self) -> None:
        """Nothing is kept."""

    def cut(self) -> None:
        """Count an answer that was cut as none."""
        self.first_s = None

    @property
    def in_time(self) -> bool:
        """Whether the answer came within the objective."""
        return self.first_s is not None and self.first_s <= OBJECTIVE_S


class Row(NamedTuple):
    """What the callers of some seconds got, as shares of them."""

    asked: int
    in_time: float
    late: float
    refused: float
    refusal_ms: float


class Play:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.targets = {
            target.name: target
            for target in (VirtualTarget(scenario, n) for n in range(scenario.targets))
        }
        self.grantings = {name: granting() for name in self.targets}
        self.entries = [self.new_entry(n) for n in range(scenario.entries)]
        self.callers: list[Caller] = []
        self.sends = self.numbers = 0

    def new_entry(self, number: int) -> Dispatcher:
        """Make one entry that knows all targets."""
        settings = DirectSettings(
            node_id=f"entry-{number}",
            failure_domain="z",
            http_listen=NONE,
            fleet_key_file="",
            listen=NONE,
            ready_listen=NONE,
            control=(NONE,),
            sidecar_port=1,
            retry_ratio=0.2,
            retry_slack=100.0,
        )
        registry = TargetRegistry()
        identity = Identity(settings.node_id, "entry", "z", 1, b"k" * 40)
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(settings, identity, registry, follower)
        if not self.scenario.plain:
            allocator.sidecars = VirtualSidecars(settings.node_id, self.grantings)
        dispatcher = Dispatcher(
            settings,
            registry,
            allocator,
            VirtualClient(self.targets),
            EntryMetrics(Metrics(settings.node_id, "entry")),
            CrashTracker(b"k" * 40, Liveness(), lambda news: None),
        )
        kind = RouteKind.IDEMPOTENT if self.scenario.plain else RouteKind.STREAM
        route = Route("r", "h", "/", kind, (Split("s", 1),), 6000, 450, 1, 1, 2)
        engine = None if self.scenario.plain else ENGINE
        service = Service("s", engine=engine)
        dispatcher.set_table(RoutingTable(1, (route,), (service,), ()))
        dispatcher.set_entry_count(self.scenario.entries)
        return dispatcher

    # -- targets ---------------------------------------------------------

    async def beat(self) -> None:
        """Let control instances tell of all targets that are there."""
        for sequence in itertools.count(1):
            now_s = asyncio.get_running_loop().time()
            states = [
                TargetState(
                    target.name,
                    "s",
                    f"{target.name}:80",
                    "z",
                    sequence=sequence,
                    slots=PLAIN_SLOTS if target.plain else ENGINE.slots,
                )
                for target in self.targets.values()
                if not (target.turns_away and self.scenario.how == "absent")
            ]
            for entry in self.entries:
                entry.registry.update(states, now_s)
            await asyncio.sleep(BEAT_S)

    async def trouble(self) -> None:
        """Let a share of the targets turn away for some seconds."""
        await asyncio.sleep(FROM_S)
        count = round(self.scenario.share * len(self.targets))
        chosen = list(self.targets.values())[:count]
        for target in chosen:
            target.turns_away = True
            if self.scenario.how == "absent":
                for entry in self.entries:
                    entry.registry.targets.pop(target.name)
        await asyncio.sleep(TO_S - FROM_S)
        for target in chosen:
            target.turns_away = False

    # -- callers ---------------------------------------------------------

    async def ask(self, caller: Caller, prompt: int, events: int) -> None:
        """Ask, and come back once after a refusal."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            entry = self.rng.choice(self.entries)
            self.numbers += 1
            left_s = caller.at_s + PATIENCE_S - loop.time()
            request = CallerRequest(
                f"q{self.numbers}",
                "POST",
                "/",
                "h",
                "/",
                (),
                b"",
                "",
                loop.time(),
                left_s,
                prompt,
                events * ENGINE.stride,
            )
            refusal = await entry.serve(request, caller)
            if not isinstance(refusal, Refusal):
                return
            caller.refused_s = loop.time() - request.arrived_s
            await asyncio.sleep(refusal.retry_s)

    async def run(self) -> None:
        """Play the scenario."""
        loop = asyncio.get_running_loop()
        helpers = [loop.create_task(self.beat()), loop.create_task(self.trouble())]
        helpers += [loop.create_task(g.advance_loop()) for g in self.grantings.values()]
        asks = []
        while loop.time() < SECONDS:
            kind = self.rng.choices(MIX.kinds, [k.relative_rate for k in MIX.kinds])[0]
            caller = Caller(loop.time())
            self.callers.append(caller)
            asks.append(loop.create_task(self.ask(caller, *draw_sizes(self.rng, kind))))
            await asyncio.sleep(self.rng.expovariate(self.scenario.per_s))
        await asyncio.gather(*asks)
        for helper in helpers:
            helper.cancel()

    def row(self, from_s: float, to_s: float) -> Row:
        """Sum up what callers of some seconds got."""
        callers = [c for c in self.callers if from_s <= c.at_s < to_s]
        served = [c for c in callers if c.first_s is not None]
        in_time = sum(c.in_time for c in callers)
        refusals = [c.refused_s for c in callers if c.refused_s is not None]
        asked = len(callers)
        return Row(
            asked,
            in_time / asked,
            (len(served) - in_time) / asked,
            (asked - len(served)) / asked,
            1000 * sum(refusals) / max(1, len(refusals)),
        )


def granting() -> SlotAdmission:
    """Make an open queue of one engine's places."""
    knowledge = SimpleNamespace(held_version=lambda: 1, is_near=lambda link: False)
    made = SlotAdmission(knowledge)
    made.server = SimpleNamespace(links=())
    made.slots.engine = ENGINE
    made.slots.open = True
    return made


def play(scenario: Scenario) -> Play:
    """Run a scenario on a clock of its own."""
    made: list[Play] = []

    async def run() -> None:
        made.append(Play(scenario))
        await made[0].run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return made[0]


def scenarios(seed: int) -> Iterator[Scenario]:
    """Yield all rows of the table."""
    sizes = itertools.product((True, False), (1, 6, 30), (1 / 6, 0.5, 1.0))
    for plain, entries, share in sizes:
        for how in ("rest", "no rest", "absent"):
            yield Scenario(plain, entries, share, how, seed=seed)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(
        "| targets | entries | share | how | in time | late | refused | refusal ms"
        " | turned away for each request | in time after | refused after |"
    )
    print("| --- " * 11 + "|")
    for scenario in scenarios(options.seed):
        played = play(scenario)
        during, after = played.row(FROM_S, TO_S), played.row(TO_S, TO_S + AFTER_S)
        away = sum(t.sent_away for t in played.targets.values()) / during.asked
        print(
            f"| {'plain' if scenario.plain else 'engines'} | {scenario.entries}"
            f" | {scenario.share:.2f} | {scenario.how} | {during.in_time:.3f}"
            f" | {during.late:.3f} | {during.refused:.3f} | {during.refusal_ms:.1f}"
            f" | {away:.3f} | {after.in_time:.3f} | {after.refused:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
