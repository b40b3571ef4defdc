"""Each send of a request in a drain: only what can end before the drain is sent."""

import asyncio

import msgspec
import pytest

from tests.fakes.platform import EVENT_STREAM
from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    FakeClient,
    crash_tracker,
    events,
)
from tests.test_platform_path import run_scenario
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.drain_limits import work_of
from wisteriapulley.direct.progress import Progress
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.types import BrokenAnswerError, CallerRequest, RefusalKind
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.drain_window import SILENCE_ALLOWANCE_S, DrainWindow
from wisteriapulley.routing import (
    Account,
    Route,
    RouteIndex,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.wire.messages import TargetState

TEST_TIMEOUT_S = 30.0
# By the responses before it, a stream takes this long.
EXPECTED_S = 0.2
LIMIT_S = 20.0
# What is left of a drain in which such a stream is still sent, if it is at once.
ENOUGH_S = 2 * EXPECTED_S + SILENCE_ALLOWANCE_S


class WaitingAllocator(FakeAllocator):
    """Has a slot once `may_allocate` is set."""

    def __init__(self, registry):
        super().__init__(registry)
        self.may_allocate = asyncio.Event()
        self.asked = asyncio.Event()

    async def allocate(self, *args, **options):
        self.asked.set()
        await self.may_allocate.wait()
        return await super().allocate(*args, **options)


class Stop:
    """An entry with one request, and a drain that may begin at any moment."""

    def __init__(
        self,
        *answers,
        limit_s=LIMIT_S,
        expected_s=EXPECTED_S,
        kind=RouteKind.STREAM,
    ):
        self.limit_s = limit_s
        registry = TargetRegistry()
        registry.update(
            [
                TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4)
                for n in range(3)
            ],
            0.0,
        )
        registry.last_update_s = 0.0
        self.allocator = WaitingAllocator(registry)
        self.client, self.caller = FakeClient(*answers), FakeCaller()
        self.dispatcher = Dispatcher(
            SETTINGS,
            registry,
            self.allocator,
            self.client,
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(),
        )
        route = Route(
            "r", "h", "/", kind, (Split("s", 1),), 60000, 400, 400, 1, 2
        )._replace(resumable=True)
        table = RoutingTable(1, (route,), (Service("s"),), (Account("a", ("k",)),))
        self.dispatcher.index = RouteIndex(table)
        self.route = route
        self.limits = self.dispatcher.drain_limits
        if expected_s is not None:
            for _ in range(50):
                for times in (self.limits.response_times, self.limits.run_times):
                    times.record(work_of(route, self.request(0.0)), expected_s)

    def request(self, arrived_s):
        return CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", arrived_s, self.limit_s
        )

    def begin_drain(self, left_s, accepts_s=None):
        now_s = asyncio.get_running_loop().time()
        accepts_until_s = now_s + (left_s if accepts_s is None else accepts_s)
        window = DrainWindow(now_s + left_s, now_s, accepts_until_s)
        self.limits.window = lambda: window
        self.limits.begin_drain()

    async def serve(self):
        """Serve the request; return its refusal."""
        now_s = asyncio.get_running_loop().time()
        return await self.dispatcher.serve(self.request(now_s), self.caller)

    async def wait_for_slot(self):
        """Serve the request; return the task of that once it waits for a slot."""
        serving = asyncio.create_task(self.serve())
        await self.allocator.asked.wait()
        return serving

    def end(self):
        assert self.allocator.allocated == 0


def run(scenario, *answers, **options):
    async def play():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            stop = Stop(*answers, **options)
            await scenario(stop)
            stop.end()

    asyncio.run(play())


class EndingAnswer(FakeAnswer):
    """Lets almost all of a drain pass before it ends."""

    stop = None

    async def parts(self):
        async for part in super().parts():
            yield part
            self.stop.begin_drain(EXPECTED_S / 2)


class SilentAnswer(FakeAnswer):
    """Never begins."""

    async def parts(self):
        await asyncio.Event().wait()
        yield b""


class DrainingClient(FakeClient):
    """Lets almost all of a drain pass as the first answer comes."""

    stop, left_s = None, EXPECTED_S / 2

    async def send(self, request, plan):
        if not self.plans:
            self.stop.begin_drain(self.left_s)
        return await super().send(request, plan)


def whole_stream():
    return FakeAnswer((events(1, 3),))


class TestWaitForASlot:
    def test_ends_when_a_response_could_no_longer_end(self):
        async def scenario(stop):
            stop.begin_drain(ENOUGH_S)
            refusal = await stop.serve()
            assert refusal.kind is RefusalKind.UNAVAILABLE
            assert 0 < refusal.retry_s < 1.0
            assert not stop.client.plans and not stop.caller.started

        run(scenario, whole_stream())

    def test_ends_when_a_drain_begins_that_leaves_no_time(self):
        async def scenario(stop):
            serving = await stop.wait_for_slot()
            stop.begin_drain(SILENCE_ALLOWANCE_S)
            refusal = await serving
            assert refusal.kind is RefusalKind.UNAVAILABLE
            assert not stop.client.plans

        run(scenario, whole_stream())

    def test_goes_on_if_the_drain_leaves_time(self):
        async def scenario(stop):
            serving = await stop.wait_for_slot()
            stop.begin_drain(LIMIT_S / 2)
            stop.allocator.may_allocate.set()
            assert await serving is None
            assert stop.caller.ended

        run(scenario, whole_stream())

    def test_slot_that_comes_too_late_is_given_back(self):
        async def scenario(stop):
            serving = await stop.wait_for_slot()
            stop.allocator.may_allocate.set()
            stop.begin_drain(SILENCE_ALLOWANCE_S)
            refusal = await serving
            assert refusal.kind is RefusalKind.UNAVAILABLE
            assert not stop.client.plans

        run(scenario, whole_stream())

    def test_goes_on_if_its_own_limit_ends_before_the_drain(self):
        async def scenario(stop):
            serving = await stop.wait_for_slot()
            stop.begin_drain(1.5)
            stop.allocator.may_allocate.set()
            assert await serving is None
            assert stop.caller.ended

        run(scenario, whole_stream(), limit_s=1.0, expected_s=5.0)

    def test_nothing_is_sent_of_which_nothing_is_known(self):
        async def scenario(stop):
            stop.allocator.may_allocate.set()
            stop.begin_drain(LIMIT_S / 2)
            refusal = await stop.serve()
            assert refusal.kind is RefusalKind.UNAVAILABLE
            assert not stop.client.plans

        run(scenario, whole_stream(), expected_s=None)

    def test_counts_for_how_long_a_request_is_expected_to_take_no_longer(self):
        async def scenario(stop):
            for _ in range(50):
                work = work_of(stop.route, stop.request(0.0))
                stop.limits.response_times.record(work, LIMIT_S)
            serving = await stop.wait_for_slot()
            stop.begin_drain(LIMIT_S / 2)
            stop.allocator.may_allocate.set()
            assert await serving is None

        run(scenario, whole_stream())

    def test_is_no_part_of_the_time_that_a_request_runs(self):
        async def scenario(stop):
            serving = await stop.wait_for_slot()
            await asyncio.sleep(0.05)
            stop.allocator.may_allocate.set()
            assert await serving is None
            work = work_of(stop.route, stop.request(0.0))
            response_s = stop.limits.response_times.estimate(work).mean
            assert stop.limits.run_times.estimate(work).mean < response_s - 0.04

        run(scenario, whole_stream(), expected_s=None)

    def test_ends_in_an_entry_that_stops(self, tmp_path):
        async def scenario(path):
            entry, waits = path.entry, asyncio.Event()

            async def wait_for_slot(*args):
                waits.set()
                await asyncio.Event().wait()

            path.services.remove(entry)
            entry.settings = msgspec.structs.replace(entry.settings, drain_ms=3000)
            entry.allocator.allocate = wait_for_slot
            asking = asyncio.create_task(path.ask())
            await waits.wait()
            entry.dispatcher.drain_limits.run_times.estimates.clear()
            stopping = asyncio.create_task(entry.stop())
            status, body, _ = await asking
            assert (status, body) == (
                503,
                b"unavailable: not enough time left to send it\n",
            )
            await stopping

        run_scenario(tmp_path, scenario)


class TestSecondSend:
    def serve(self, *answers, left_s=EXPECTED_S / 2):
        """Serve a request with an almost whole drain; return its stop and refusal."""
        results = []

        async def scenario(stop):
            stop.allocator.may_allocate.set()
            stop.client = stop.dispatcher.sender.client = DrainingClient(*answers)
            stop.client.stop, stop.client.left_s = stop, left_s
            for answer in answers:
                if isinstance(answer, EndingAnswer):
                    answer.stop = stop
            results.append((stop, await stop.serve()))

        run(scenario)
        return results[0]

    def test_request_that_may_have_run_fails_at_once(self):
        stop, refusal = self.serve(BrokenAnswerError("gone"), whole_stream())
        assert refusal.kind is RefusalKind.FAILED
        assert len(stop.client.plans) == 1

    def test_silence_is_risked_for_a_request_that_may_have_run(self):
        """It fails if it is not sent again."""
        left_s = EXPECTED_S + 0.9 * SILENCE_ALLOWANCE_S
        broken = BrokenAnswerError("gone")
        stop, refusal = self.serve(broken, whole_stream(), left_s=left_s)
        assert refusal is None and stop.caller.ended

    def test_spare_is_sent_beside_a_silent_target(self, monkeypatch):
        monkeypatch.setattr("wisteriapulley.policy.silence.STREAM_SILENCE_S", 0.05)
        stop, refusal = self.serve(SilentAnswer(), whole_stream())
        assert refusal is None and stop.caller.ended

    def test_request_without_a_target_looks_for_none_again(self):
        async def scenario(stop):
            now_s = asyncio.get_running_loop().time()
            admitted = stop.dispatcher.admit(stop.request(now_s))
            progress = Progress(admitted.request, "s", admitted.route.attempts)
            progress.may_have_run, progress.look_until_s = True, now_s + LIMIT_S
            assert stop.dispatcher.may_look_again(admitted, progress)
            stop.begin_drain(EXPECTED_S / 2)
            assert not stop.dispatcher.may_look_again(admitted, progress)

        run(scenario)

    def test_request_that_was_turned_away_is_refused_as_not_run(self):
        stop, refusal = self.serve(FakeAnswer(status=503, not_run=True), whole_stream())
        assert refusal.kind is RefusalKind.UNAVAILABLE
        assert len(stop.client.plans) == 1

    def test_failure_of_the_target_itself_is_relayed(self):
        """No other target can serve the request, so this is its response."""
        failure = FakeAnswer((b"its own",), status=500)
        stop, refusal = self.serve(failure, whole_stream())
        assert refusal is None and len(stop.client.plans) == 1
        assert (stop.caller.status, stop.caller.body) == (500, b"its own")

    def test_stream_that_has_begun_is_resumed(self):
        """Nothing else is left to its caller."""
        stop, refusal = self.serve(
            FakeAnswer((events(1, 2),), breaks=True), FakeAnswer((events(3, 3),))
        )
        assert refusal is None
        assert stop.caller.ended and stop.caller.body == events(1, 3)


class TestLatestStart:
    """Until when an entry that stops starts a request that it has just read."""

    def left_s(self, left_s, accepts_s=None, **options):
        """Return how long it may be started, with some time left of the drain."""
        results = []

        async def scenario(stop):
            stop.begin_drain(left_s, accepts_s)
            now_s = stop.limits.window().begins_s
            request = stop.request(now_s - 1.0)
            results.append(stop.limits.latest_start_s(request) - now_s)

        run(scenario, **options)
        return results[0]

    def test_leaves_time_for_a_silence(self):
        left_s = 10.0 - SILENCE_ALLOWANCE_S - EXPECTED_S
        assert self.left_s(10.0) == pytest.approx(left_s, abs=0.01)

    def test_is_the_limit_of_a_request_that_ends_before_the_drain(self):
        left_s = self.left_s(LIMIT_S, expected_s=LIMIT_S)
        assert left_s == pytest.approx(LIMIT_S - 1.0, abs=0.01)

    def test_has_passed_for_a_stream_before_the_first_response(self):
        assert self.left_s(LIMIT_S - 2.0, expected_s=None) < 0.0

    def test_ends_once_callers_find_other_entries(self):
        assert self.left_s(7.2, accepts_s=2.6) == pytest.approx(2.6, abs=0.01)

    def test_of_a_request_without_a_size_is_that_of_the_largest(self):
        async def scenario(stop):
            request, times = stop.request(0.0), stop.limits.response_times
            for answer_tokens, took_s in ((32, 0.5), (1024, 5.0)):
                sized = request._replace(answer_tokens=answer_tokens)
                times.record(work_of(stop.route, sized), took_s)
            assert stop.limits.time_needed_s(request) >= 5.0
            for _ in range(50):
                times.record(work_of(stop.route, request), EXPECTED_S)
            assert stop.limits.time_needed_s(request) < 2 * EXPECTED_S

        run(scenario, expected_s=None)

    def test_is_not_extended_by_failures(self):
        async def scenario(stop):
            expected_s = stop.limits.time_needed_s(stop.request(0.0))
            stop.allocator.may_allocate.set()
            for _ in range(50):
                stop.caller.started = False
                assert await stop.serve() is None
            assert stop.caller.status == 400
            assert stop.limits.time_needed_s(stop.request(0.0)) == expected_s

        failures = (FakeAnswer((b"no",), status=400) for _ in range(50))
        run(scenario, *failures, expected_s=5.0)

    def test_goes_on_for_what_the_end_of_the_drain_still_answers(self):
        left_s = self.left_s(7.2, accepts_s=2.6, kind=RouteKind.IDEMPOTENT)
        assert left_s == pytest.approx(7.2 - SILENCE_ALLOWANCE_S - EXPECTED_S, abs=0.01)


class TestSlowBody:
    def test_is_waited_for_if_the_limit_of_its_request_ends_before_the_drain(
        self, tmp_path
    ):
        """The drain can't cut such a request, however long its response takes."""

        async def scenario(path):
            entry, stopping = path.entry, []
            path.services.remove(entry)
            entry.settings = msgspec.structs.replace(entry.settings, drain_ms=6000)
            entry.dispatcher.drain_limits.time_needed_s = lambda request: LIMIT_S

            async def body():
                yield b"bo"
                while not entry.ingress.active:
                    await asyncio.sleep(0.01)
                stopping.append(asyncio.create_task(entry.stop()))
                await asyncio.sleep(1.5)
                yield b"dy"

            status, response, _ = await path.ask(body=body())
            assert (status, response) == (200, EVENT_STREAM)
            await stopping[0]

        run_scenario(tmp_path, scenario)
