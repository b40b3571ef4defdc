"""Results for callers while targets reject requests: ``python -m bench.turned_away``.

Runs the entries' dispatch and the sidecars' queues on a virtual clock, without links or
processes. In each row of the table, some of the targets reject all requests from second
2 to 8, with a requested cool-down or without one, or they are absent in that time.
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
from wisteriapulley.direct.sidecars import (
    CLOSED_STATE,
    LIMITED_LOAD,
    LIMITED_STATE,
    OPEN_STATES,
    release_message,
)
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
from wisteriapulley.policy.slot_requests import NOTHING_OBSERVED, ObservedWork
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.policy.target_speed import factor_of
from wisteriapulley.rollout.admission import SlotAdmission
from wisteriapulley.routing import Route, RouteKind, RoutingTable, Service, Split
from wisteriapulley.settings import Address
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import Frame, messages
from wisteriapulley.wire.handshake import Hello, Identity
from wisteriapulley.wire.messages import TargetState

DURATION_S = 12.0
REJECT_FROM_S, REJECT_TO_S = 2.0, 8.0
# Callers that arrive within this time after the rejections see how the targets are
# readmitted; the "after" columns are theirs.
RECOVERY_S = 2.0
HOP_S = 0.001
HEARTBEAT_S = 1.0
# Maximum time between two events of a stream, as seen by entries.
MAX_EVENT_INTERVAL_S = 0.4
OBJECTIVE_S, MAX_WAIT_S = 0.45, 6.0
PLAIN_SLOTS, PLAIN_DURATION_S, PLAIN_QUEUE = 6, 0.09, 4
ENGINE_TARGETS, PLAIN_TARGETS = 9, 6
MIX = MIXES["lettercraft"]
# Requests per second that keep one target busy.
ENGINE_PER_S = MIX.per_s / 8
PLAIN_PER_S = PLAIN_SLOTS / PLAIN_DURATION_S
NO_ADDRESS = Address("127.0.0.1", 0)


class Scenario(NamedTuple):
    """Parameters of one run.

    Attributes
    ----------
    plain : bool
        Whether targets are plain, or engines with sidecars.
    entries : int
        Number of entries; each request goes to a random one.
    rejecting_fraction : float
        Fraction of the targets that reject.
    mode : str
        "rest" (with a cool-down), "no rest" or "absent".
    load : float
        Requests per second, as a fraction of the capacity of all targets.
    seed : int
        Random seed.
    """

    plain: bool
    entries: int
    rejecting_fraction: float
    mode: str
    load: float = 0.7
    seed: int = 1

    @property
    def targets(self) -> int:
        """Number of targets."""
        return PLAIN_TARGETS if self.plain else ENGINE_TARGETS

    @property
    def per_s(self) -> float:
        """Requests per second."""
        target_per_s = PLAIN_PER_S if self.plain else ENGINE_PER_S
        return target_per_s * self.targets * self.load


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self.clock_s = 0.0
        self.real_select = self._selector.select
        self._selector.select = self.select

    def time(self) -> float:
        """Return the virtual time."""
        return self.clock_s

    def select(self, timeout_s: float | None) -> list:
        """Advance the virtual clock instead of waiting."""
        self.clock_s += timeout_s or 0.0
        return self.real_select(0)


class Answer:
    """Response of a virtual target; see `direct.types.TargetAnswer`."""

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
        self.unframed = False
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
        """Do nothing; there is no connection."""


class VirtualTarget:
    """A plain target or an engine that can reject requests."""

    def __init__(self, scenario: Scenario, number: int):
        self.plain = scenario.plain
        self.name = f"i-{number}"
        self.rejects = False
        self.cooldown_s = 3.0 if scenario.mode == "rest" else 0.0
        self.arrived = self.rejected = self.running = 0
        self.slots = asyncio.Semaphore(PLAIN_SLOTS)
        self.events: dict[str, asyncio.Queue] = {}
        loop = asyncio.get_running_loop()
        self.engine = EmulatedEngine(
            ENGINE,
            lambda ms, call: loop.call_later(ms / 1000, call),
            lambda name: None,
            lambda name: self.events[name].put_nowait(None),
        )

    async def answer(self, request: CallerRequest) -> Answer:
        """Serve a request or reject it."""
        self.arrived += 1
        full = self.plain and self.running >= PLAIN_SLOTS + PLAIN_QUEUE
        if self.rejects or full:
            self.rejected += 1
            cooldown = RequestedCooldown(self.cooldown_s if self.rejects else 0.0)
            return Answer(503, ResponseSignals(cooldown=cooldown))
        if not self.plain:
            return await self.stream(request)
        self.running += 1
        async with self.slots:
            await asyncio.sleep(PLAIN_DURATION_S)
        self.running -= 1
        signals = ResponseSignals(TargetLoad(self.running, 0, PLAIN_SLOTS))
        return Answer(200, signals)

    async def next_event(self, queue: asyncio.Queue) -> bytes | None:
        """Return an event within `MAX_EVENT_INTERVAL_S`, or None at the end."""
        try:
            async with asyncio.timeout(MAX_EVENT_INTERVAL_S):
                return await queue.get()
        except TimeoutError:
            return b"more"

    async def stream(self, request: CallerRequest) -> Answer:
        """Run a request at the engine; its events come at a coarse interval."""
        events = round(request.answer_tokens / ENGINE.stride)
        queue = self.events[request.request_id] = asyncio.Queue()
        self.engine.on_first = lambda name: self.events[name].put_nowait(b"1")
        self.engine.submit(Job(request.request_id, request.prompt_tokens, events))
        await queue.get()

        async def stream_events() -> AsyncIterator[bytes]:
            event = b"1"
            for number in itertools.count(1):
                if event is None:
                    return
                yield b"id: %d\ndata: 1\n\n" % number
                event = await self.next_event(queue)

        return Answer(200, ResponseSignals(), stream_events())


class VirtualClient:
    """Sends to virtual targets; see `direct.types.TargetClient`."""

    def __init__(self, targets: dict[str, VirtualTarget]):
        self.targets = targets

    async def send(self, request: CallerRequest, plan: SendPlan) -> Answer:
        """Send a request."""
        await asyncio.sleep(HOP_S)
        response = await self.targets[plan.target_id].answer(request)
        await asyncio.sleep(HOP_S)
        return response


class SidecarLink(RecordingLink):
    """An entry's link to a sidecar in the same process."""

    def __init__(self, name: str, admission: SlotAdmission):
        super().__init__()
        self.peer_id = name
        self.peer = Hello(1, name, "entry", 1, "z", b"")
        self.admission = admission
        self.replies: dict[int, messages.Reserved] = {}

    def post(self, message: tuple, reply_to: int = 0) -> None:
        """Record a reply, or deliver a message to the sidecar."""
        if reply_to:
            self.replies[reply_to] = message
            return
        loop = asyncio.get_running_loop()
        frame = Frame(0, 0, message)
        loop.call_later(
            HOP_S,
            lambda: loop.create_task(self.admission.receive(message, self, frame)),
        )

    def send_heartbeat(self) -> None:
        """Do nothing; the load is read from the sidecar directly."""


class VirtualSidecars:
    """Sidecars in the same process; see `direct.sidecars.Sidecars`."""

    def __init__(self, name: str, admissions: dict[str, SlotAdmission]):
        self.links = {
            target: SidecarLink(name, admission)
            for target, admission in admissions.items()
        }
        self.frame_ids = itertools.count(1)

    def is_selected(self, target: Target) -> bool:
        """Return True; all sidecars are selected."""
        return True

    def is_available(self, target: Target) -> bool:
        """Return whether a sidecar grants slots."""
        return self.heartbeat_of(target).state != CLOSED_STATE

    def is_open(self, target: Target) -> bool:
        """Return whether a sidecar grants slots now."""
        return self.heartbeat_of(target).state in OPEN_STATES

    def heartbeat_of(self, target: Target) -> messages.Heartbeat:
        """Return the current heartbeat of a target's sidecar."""
        return self.links[target.target_id].admission.heartbeat()

    def load_of(self, target: Target, now_s: float) -> Load:
        """Return an engine's load."""
        heartbeat = self.heartbeat_of(target)
        queued = (
            LIMITED_LOAD * target.slots if heartbeat.state == LIMITED_STATE else 0.0
        )
        used = heartbeat.running + heartbeat.waiting + queued
        return Load(used, target.slots, factor_of(heartbeat.pace))

    def link_to(self, target: Target) -> SidecarLink | None:
        """Return the link to a target's sidecar; plain targets have none."""
        return self.links.get(target.target_id)

    async def reserve(
        self, link: SidecarLink, target: Target, reservation: messages.Reserve
    ) -> messages.Reserved:
        """Request a slot."""
        await asyncio.sleep(HOP_S)
        frame_id = next(self.frame_ids)
        await link.admission.receive(reservation, link, Frame(frame_id, 0, reservation))
        await asyncio.sleep(HOP_S)
        return link.replies.pop(frame_id)

    def release(
        self,
        link: SidecarLink,
        request_id: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
        cooling_down: bool = False,
        work: ObservedWork = NOTHING_OBSERVED,
    ) -> None:
        """Release a slot."""
        link.post(release_message(request_id, outcome, cooling_down, work))


class Caller:
    """A caller that retries once; see `direct.types.CallerAnswer`."""

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.started = False
        self.first_s: float | None = None
        self.refused_s: float | None = None

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Record status and headers of a response."""
        self.started = True
        if status == 200:
            self.first_s = asyncio.get_running_loop().time() - self.at_s

    async def write(self, data: bytes) -> None:
        """Discard a part of the body."""

    async def finish(self) -> None:
        """Do nothing at the end of the response."""

    def cut(self) -> None:
        """Count an incomplete response as no response."""
        self.first_s = None

    @property
    def in_time(self) -> bool:
        """Whether the response began within the objective."""
        return self.first_s is not None and self.first_s <= OBJECTIVE_S


class Row(NamedTuple):
    """Results of the callers of a time span, as fractions of their number."""

    request_count: int
    in_time: float
    late: float
    refused: float
    refusal_ms: float


class ScenarioRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.targets = {
            target.name: target
            for target in (VirtualTarget(scenario, n) for n in range(scenario.targets))
        }
        self.admissions = {name: new_admission() for name in self.targets}
        self.entries = [self.new_entry(n) for n in range(scenario.entries)]
        self.callers: list[Caller] = []
        self.sends = self.request_count = 0

    def new_entry(self, number: int) -> Dispatcher:
        """Return one entry that has all targets."""
        settings = DirectSettings(
            node_id=f"entry-{number}",
            failure_domain="z",
            http_listen=NO_ADDRESS,
            fleet_key_file="",
            listen=NO_ADDRESS,
            ready_listen=NO_ADDRESS,
            control=(NO_ADDRESS,),
            sidecar_port=1,
            retry_ratio=0.2,
            retry_slack=100.0,
        )
        registry = TargetRegistry()
        identity = Identity(settings.node_id, "entry", "z", 1, b"k" * 40)
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(settings, identity, registry, follower)
        if not self.scenario.plain:
            allocator.sidecars = VirtualSidecars(settings.node_id, self.admissions)
        dispatcher = Dispatcher(
            settings,
            registry,
            allocator,
            VirtualClient(self.targets),
            EntryMetrics(Metrics(settings.node_id, "entry")),
            CrashTracker(b"k" * 40, Liveness(), lambda news: None),
        )
        kind = RouteKind.IDEMPOTENT if self.scenario.plain else RouteKind.STREAM
        route = Route("r", "h", "/", kind, (Split("s", 1),), 6000, 450, 400, 1, 2)
        engine = None if self.scenario.plain else ENGINE
        service = Service("s", engine=engine)
        dispatcher.set_table(RoutingTable(1, (route,), (service,), ()))
        dispatcher.set_entry_count(self.scenario.entries)
        return dispatcher

    # -- targets ---------------------------------------------------------

    async def send_heartbeats(self) -> None:
        """Report all present targets to the entries, as control instances do."""
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
                if not (target.rejects and self.scenario.mode == "absent")
            ]
            for entry in self.entries:
                entry.registry.update(states, now_s)
            await asyncio.sleep(HEARTBEAT_S)

    async def reject_requests(self) -> None:
        """Make some of the targets reject, or be absent, for some seconds."""
        await asyncio.sleep(REJECT_FROM_S)
        count = round(self.scenario.rejecting_fraction * len(self.targets))
        rejecting = list(self.targets.values())[:count]
        for target in rejecting:
            target.rejects = True
            if self.scenario.mode == "absent":
                for entry in self.entries:
                    entry.registry.targets.pop(target.name)
        await asyncio.sleep(REJECT_TO_S - REJECT_FROM_S)
        for target in rejecting:
            target.rejects = False

    # -- callers ---------------------------------------------------------

    async def send(self, caller: Caller, prompt: int, events: int) -> None:
        """Send a request, and retry once after a refusal."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            entry = self.rng.choice(self.entries)
            self.request_count += 1
            left_s = caller.at_s + MAX_WAIT_S - loop.time()
            request = CallerRequest(
                f"q{self.request_count}",
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
        """Run the scenario."""
        loop = asyncio.get_running_loop()
        background_tasks = [
            loop.create_task(self.send_heartbeats()),
            loop.create_task(self.reject_requests()),
        ]
        background_tasks += [
            loop.create_task(g.advance_loop()) for g in self.admissions.values()
        ]
        caller_tasks = []
        while loop.time() < DURATION_S:
            kind = self.rng.choices(MIX.kinds, [k.relative_rate for k in MIX.kinds])[0]
            caller = Caller(loop.time())
            self.callers.append(caller)
            caller_tasks.append(
                loop.create_task(self.send(caller, *draw_sizes(self.rng, kind)))
            )
            await asyncio.sleep(self.rng.expovariate(self.scenario.per_s))
        await asyncio.gather(*caller_tasks)
        for task in background_tasks:
            task.cancel()

    def row(self, from_s: float, to_s: float) -> Row:
        """Return the results of the callers of a time span."""
        callers = [c for c in self.callers if from_s <= c.at_s < to_s]
        served = [c for c in callers if c.first_s is not None]
        in_time = sum(c.in_time for c in callers)
        refusals = [c.refused_s for c in callers if c.refused_s is not None]
        request_count = len(callers)
        return Row(
            request_count,
            in_time / request_count,
            (len(served) - in_time) / request_count,
            (request_count - len(served)) / request_count,
            1000 * sum(refusals) / max(1, len(refusals)),
        )


def new_admission() -> SlotAdmission:
    """Return the open slot admission of one engine."""
    rollout_state = SimpleNamespace(held_version=lambda: 1, is_near=lambda link: False)
    created = SlotAdmission(rollout_state)
    created.server = SimpleNamespace(links=())
    created.slots.engine = ENGINE
    created.slots.open = True
    return created


def run_scenario(scenario: Scenario) -> ScenarioRun:
    """Run a scenario on a virtual clock."""
    created: list[ScenarioRun] = []

    async def run() -> None:
        created.append(ScenarioRun(scenario))
        await created[0].run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(run())
    return created[0]


def scenarios(seed: int) -> Iterator[Scenario]:
    """Yield the scenario of each row of the table."""
    sizes = itertools.product((True, False), (1, 6, 30), (1 / 6, 0.5, 1.0))
    for plain, entries, rejecting_fraction in sizes:
        for mode in ("rest", "no rest", "absent"):
            yield Scenario(plain, entries, rejecting_fraction, mode, seed=seed)


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
        finished = run_scenario(scenario)
        during, after = (
            finished.row(REJECT_FROM_S, REJECT_TO_S),
            finished.row(REJECT_TO_S, REJECT_TO_S + RECOVERY_S),
        )
        rejections_per_request = (
            sum(t.rejected for t in finished.targets.values()) / during.request_count
        )
        print(
            f"| {'plain' if scenario.plain else 'engines'} | {scenario.entries}"
            f" | {scenario.rejecting_fraction:.2f} | {scenario.mode}"
            f" | {during.in_time:.3f}"
            f" | {during.late:.3f} | {during.refused:.3f} | {during.refusal_ms:.1f}"
            f" | {rejections_per_request:.3f}"
            f" | {after.in_time:.3f} | {after.refused:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
