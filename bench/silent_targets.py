"""Three ways to treat silent targets, compared: ``python -m bench.silent_targets``.

Runs the entries' dispatch and the sidecars' queues on a virtual clock, as
`bench.turned_away` does. Some of the engines stand still and go on, several times, or
die without closing their connections.
"""

import argparse
import asyncio
import itertools
import logging
from collections.abc import AsyncIterator, Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple
from unittest.mock import patch

from bench.turned_away import (
    HOP_S,
    MAX_WAIT_S,
    OBJECTIVE_S,
    Answer,
    Caller,
    Scenario,
    ScenarioRun,
    VirtualLoop,
    VirtualSidecars,
    VirtualTarget,
)
from wisteriapulley.direct import dispatch
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.exchange import Arrival
from wisteriapulley.direct.hedging import Arrived, HedgedRelay
from wisteriapulley.direct.types import (
    CallerRequest,
    Headers,
    Refusal,
    RefusalKind,
    SendPlan,
)
from wisteriapulley.emulator.engine import Job
from wisteriapulley.emulator.mixes import ENGINE
from wisteriapulley.policy.response_signals import ResponseSignals
from wisteriapulley.policy.silence import next_look_s
from wisteriapulley.routing import Route, RouteKind, RoutingTable, Service, Split

# When engines fall silent.
SILENCES_S = (2.0, 5.5, 9.0)
# How often the events of a stream are relayed.
RELAY_INTERVAL_S = 0.1
# An answer with a longer pause between two events is late.
MAX_PAUSE_S = 1.0
# The sidecar of an engine that reports nothing for this long grants no slots.
REPORT_TIMEOUT_S = 2.0
DARK = "dark"
# Requests per second, as fractions of the engines' capacity.
LOADS = (0.5, 0.9)
LOST_KINDS = (RefusalKind.FAILED, RefusalKind.TIMED_OUT)


class RoomFirstRelay(HedgedRelay):
    """Closes the silent target once another one has room; waits until then."""

    async def run_spare(self) -> Arrived:
        """Leave the silent target as soon as the request is sent to a spare."""
        while isinstance(opened := await self.open_another(), Refusal):
            await asyncio.sleep(next_look_s(opened.retry_s))
        if self.waiting is not None:
            self.waiting.reschedule(self.now_s())
        self.spare = type(self)(
            self.sender, self.admitted, self.progress, self.answer, self.open_another
        )
        return await self.spare.next_arrival(opened)


class CloseFirstRelay(HedgedRelay):
    """Closes the silent target; only then is another one looked for."""

    async def run_spare(self) -> Arrived:
        """Leave the silent target at once."""
        self.progress.may_have_run = True
        if self.waiting is not None:
            self.waiting.reschedule(self.now_s())
        refusal = Refusal(RefusalKind.FAILED, reason="silent")
        return self.exchange, Arrival(refusal=refusal)


WAYS = {
    "beside (as built)": HedgedRelay,
    "room first": RoomFirstRelay,
    "close first": CloseFirstRelay,
}


class StreamAnswer(Answer):
    """A stream that ends at its engine when the entry closes it."""

    def __init__(self, parts: AsyncIterator[bytes], target: "SilentTarget", name: str):
        super().__init__(200, ResponseSignals(), parts)
        self.target, self.name = target, name

    def close(self) -> None:
        """Cancel the request."""
        self.target.cancel(self.name)


class SilentTarget(VirtualTarget):
    """An engine that can stand still, or die."""

    def cancel(self, name: str) -> None:
        """Forget a request."""
        engine = self.engine
        engine.waiting = [job for job in engine.waiting if job.request_id != name]
        engine.running.pop(name, None)
        engine.before_first_event.discard(name)

    async def send(self, request: CallerRequest, plan: SendPlan) -> Answer:
        """Run a request, from the event after the last one that the caller has."""
        name = request.request_id
        last = int(plan.resume_after or 0)
        events = max(1, round(request.answer_tokens / ENGINE.stride) - last)
        queue = self.events[name] = asyncio.Queue()
        self.engine.on_first = lambda name: self.events[name].put_nowait(b"1")
        self.engine.submit(Job(name, request.prompt_tokens, events))
        try:
            await queue.get()
        except asyncio.CancelledError:
            self.cancel(name)
            raise
        return StreamAnswer(self.stream_events(name, queue, last, events), self, name)

    async def stream_events(
        self, name: str, queue: asyncio.Queue, last: int, events: int
    ) -> AsyncIterator[bytes]:
        """Yield the events that the engine has made since the last ones."""
        made, ended = 0, False
        while not ended:
            sent, made = made, events - self.engine.running.get(name, 0)
            if sent < made:
                numbers = range(last + sent + 1, last + made + 1)
                yield b"".join(b"id: %d\ndata: 1\n\n" % number for number in numbers)
            if made == events:
                return
            try:
                async with asyncio.timeout(RELAY_INTERVAL_S):
                    await queue.get()
            except TimeoutError:
                pass


class SilentClient:
    """Sends to virtual targets; see `direct.types.TargetClient`."""

    def __init__(self, targets: dict[str, SilentTarget]):
        self.targets = targets
        self.sent: set[str] = set()
        self.repeats = 0

    async def send(self, request: CallerRequest, plan: SendPlan) -> Answer:
        """Send a request."""
        self.repeats += request.request_id in self.sent
        self.sent.add(request.request_id)
        await asyncio.sleep(HOP_S)
        answer = await self.targets[plan.target_id].send(request, plan)
        await asyncio.sleep(HOP_S)
        return answer


class Listener(Caller):
    """A caller that notes the longest pause, and whether its answer was whole."""

    def __init__(self, at_s: float):
        super().__init__(at_s)
        self.heard_s = at_s
        self.longest_pause_s = 0.0
        self.whole = self.lost = False

    async def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Record the first event."""
        await super().start(status, headers, length)
        self.heard_s = asyncio.get_running_loop().time()

    async def write(self, data: bytes) -> None:
        """Record the pause before an event."""
        now_s = asyncio.get_running_loop().time()
        self.longest_pause_s = max(self.longest_pause_s, now_s - self.heard_s)
        self.heard_s = now_s

    async def finish(self) -> None:
        """Record that the answer is whole."""
        self.whole = True

    @property
    def in_time(self) -> bool:
        """Whether the answer is whole, began in time and had no long pause."""
        return (
            self.whole
            and self.first_s <= OBJECTIVE_S
            and self.longest_pause_s <= MAX_PAUSE_S
        )


class Row(NamedTuple):
    """Results of all callers, as fractions of their number."""

    in_time: float
    late: float
    refused: float
    lost: float
    second_sends: float


class SilenceRun(ScenarioRun):
    """One run of a scenario, whose `mode` is `DARK` or the seconds of each silence."""

    def __init__(self, scenario: Scenario):
        super().__init__(scenario)
        self.targets.update(
            (f"i-{n}", SilentTarget(scenario, n)) for n in range(scenario.targets)
        )
        self.listeners: list[Listener] = []

    def new_entry(self, number: int) -> Dispatcher:
        """Return one entry; streams may be resumed."""
        entry = super().new_entry(number)
        entry.allocator.sidecars = VirtualSidecars(str(number), self.admissions)
        entry.sender.client = SilentClient(self.targets)
        splits = (Split("s", 1),)
        route = Route("r", "h", "/", RouteKind.STREAM, splits, 6000, 450, 400, 1, 2)
        service = Service("s", engine=ENGINE)
        routes = (route._replace(resumable=True),)
        entry.set_table(RoutingTable(1, routes, (service,), ()))
        return entry

    async def reject_requests(self) -> None:
        """Let some of the engines fall silent."""
        loop = asyncio.get_running_loop()
        count = round(self.scenario.rejecting_fraction * len(self.targets))
        names = itertools.cycle(self.targets)
        for at_s in SILENCES_S:
            await asyncio.sleep(at_s - loop.time())
            for name in itertools.islice(names, count):
                self.fall_silent(name)
            if self.scenario.mode == DARK:
                return

    def fall_silent(self, name: str) -> None:
        """Let an engine stand still, or die."""
        loop, target = asyncio.get_running_loop(), self.targets[name]
        slots = self.admissions[name].slots
        if self.scenario.mode == DARK:
            target.engine.stop()
            loop.call_later(REPORT_TIMEOUT_S, slots.close)
        else:
            target.engine.pause(float(self.scenario.mode) * 1000)

    async def send(self, caller: Caller, prompt: int, events: int) -> None:
        """Send a request, and retry once after a refusal."""
        listener = Listener(caller.at_s)
        self.listeners.append(listener)
        for _ in range(2):
            request = self.new_request(listener, prompt, events)
            refusal = await self.rng.choice(self.entries).serve(request, listener)
            if listener.whole:
                return
            listener.lost = listener.started or refusal.kind in LOST_KINDS
            if listener.lost:
                return
            await asyncio.sleep(refusal.retry_s)

    def new_request(self, caller: Caller, prompt: int, events: int) -> CallerRequest:
        """Return a request with the rest of its caller's time."""
        now_s = asyncio.get_running_loop().time()
        self.request_count += 1
        return CallerRequest(
            f"q{self.request_count}",
            "POST",
            "/",
            "h",
            "/",
            (),
            b"",
            "",
            now_s,
            caller.at_s + MAX_WAIT_S - now_s,
            prompt,
            events * ENGINE.stride,
        )

    def outcome(self) -> Row:
        """Return the results."""
        count = len(self.listeners)
        whole = sum(caller.whole for caller in self.listeners)
        in_time = sum(caller.in_time for caller in self.listeners)
        lost = sum(caller.lost for caller in self.listeners)
        repeats = sum(entry.sender.client.repeats for entry in self.entries)
        parts = (in_time, whole - in_time, count - whole - lost, lost, repeats)
        return Row(*(part / count for part in parts))


def play(scenario: Scenario, way: str) -> Row:
    """Run a scenario with one of the ways."""
    with patch.object(dispatch, "HedgedRelay", WAYS[way]):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:

            async def run() -> Row:
                played = SilenceRun(scenario)
                await played.run()
                return played.outcome()

            return runner.run(run())


def scenarios(load: float) -> Iterator[Scenario]:
    """Yield a scenario for each mode and number of silent engines."""
    for mode in (DARK, "1.0", "2.0"):
        for fraction in (1 / 9, 1 / 3, 1.0):
            if mode != DARK or fraction < 1.0:
                yield Scenario(False, 2, fraction, mode, load)


def main() -> None:
    """Print the table: means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print("| load | silent | how | way | in time | late | refused | lost | again |")
    print("| --- " * 9 + "|")
    rows = [
        (scenario, name)
        for load in LOADS
        for scenario in scenarios(load)
        for name in WAYS
    ]
    plays = [
        (scenario._replace(seed=seed), name)
        for scenario, name in rows
        for seed in range(1, options.seeds + 1)
    ]
    with ProcessPoolExecutor(options.jobs) as pool:
        outcomes = pool.map(play, *zip(*plays, strict=True))
        for scenario, name in rows:
            columns = zip(*itertools.islice(outcomes, options.seeds), strict=True)
            figures = (sum(column) / options.seeds for column in columns)
            silent = round(scenario.rejecting_fraction * scenario.targets)
            print(
                f"| {scenario.load} | {silent} of {scenario.targets}"
                f" | {scenario.mode} | {name} | "
                + " | ".join(f"{figure:.4f}" for figure in figures)
                + " |",
                flush=True,
            )


if __name__ == "__main__":
    main()
