"""Targets that fall silent while a request is there, and go on or not."""

import asyncio
import logging

import pytest
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    crash_tracker,
    events,
)
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    NoTimeLeftError,
    NotSentError,
    Refusal,
    RefusalKind,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.response_signals import RequestedCooldown, ResponseSignals
from wisteriapulley.policy.silence import STREAM_SILENCE_S
from wisteriapulley.policy.version_end import PAUSE_ALLOWANCE_MS
from wisteriapulley.routing import Route, RouteKind, RoutingTable, Service, Split
from wisteriapulley.wire.messages import TargetState

LIMIT_S = 6.0
# When a stream must have begun: its callers leave after eight gaps of 400 ms.
STREAM_LIMIT_S = 0.95 * 3.2
NEVER_S = 60.0
# Longer than the limit after which another target is tried.
SILENT_S = 2.0


class PacedAnswer(FakeAnswer):
    """A response whose head and parts arrive after pauses.

    `steps` are pairs of a pause in seconds and a part; None breaks the response off.
    """

    def __init__(self, *steps, head_s=0.0, **options):
        super().__init__(**options)
        self.steps, self.head_s = steps, head_s

    async def parts(self):
        for pause_s, part in self.steps:
            await asyncio.sleep(pause_s)
            # Data passes through some callbacks before it reaches its reader.
            for _ in range(3):
                await asyncio.sleep(0)
            if part is None:
                raise BrokenAnswerError("broke off")
            yield part


class PacedClient:
    """Sends each request to the next of its responses."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.plans, self.sent_s, self.cancelled = [], [], 0

    async def send(self, request, plan):
        self.plans.append(plan)
        self.sent_s.append(asyncio.get_running_loop().time())
        answer = self.answers[len(self.plans) - 1]
        try:
            await asyncio.sleep(answer.head_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return answer


class SlowAllocator(FakeAllocator):
    """Makes a second send wait for its slot, and counts releases."""

    def __init__(self, registry, wait_s=0.0, slots=2):
        super().__init__(registry)
        self.wait_s, self.slots = wait_s, slots
        self.granted = self.released = 0

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        if tried:
            await asyncio.sleep(self.wait_s)
        if len(tried) >= self.slots:
            return Refusal(RefusalKind.OVERLOADED, 0.25, "full")
        slot = await super().allocate(admitted, service, engine, tried, now_s)
        self.granted += hasattr(slot, "target")
        return slot

    def open_fraction(self, service, engine, now_s, homes):
        return 1.0

    def release(self, outcome=None, work=None):
        self.released += 1
        super().release(outcome, work)


class Entry:
    """An entry on a virtual clock with some targets."""

    def __init__(
        self, *answers, targets=2, kind=RouteKind.STREAM, route=None, **options
    ):
        self.route = route or Route(
            "r", "h", "/", kind, (Split("s", 1),), int(LIMIT_S * 1000), 400, 400, 1
        )._replace(
            resumable=options.pop("resumable", True),
            attempts=options.pop("attempts", 2),
        )
        self.registry = TargetRegistry()
        self.registry.update(
            [
                TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4)
                for n in range(targets)
            ],
            0.0,
        )
        self.client, self.caller = PacedClient(answers), FakeCaller()
        self.allocator = SlowAllocator(self.registry, **options)
        self.dispatcher = Dispatcher(
            SETTINGS,
            self.registry,
            self.allocator,
            self.client,
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(),
        )
        self.dispatcher.set_table(RoutingTable(1, (self.route,), (Service("s"),)))

    async def ask(self):
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "", 0.0, LIMIT_S, 100, 50
        )
        return await self.dispatcher.serve(request, self.caller)

    def serve(self, leaves_s=None):
        """Serve one request; return its refusal and when it ended."""

        async def run():
            serving = asyncio.create_task(self.ask())
            await asyncio.wait([serving], timeout=leaves_s)
            serving.cancel()
            (refusal,) = await asyncio.gather(serving, return_exceptions=True)
            ended_s = asyncio.get_running_loop().time()
            await asyncio.sleep(0)
            return refusal, ended_s

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            refusal, ended_s = runner.run(run())
        assert self.allocator.allocated == 0
        assert self.allocator.released == self.allocator.granted
        return refusal, ended_s

    def silences(self, end):
        return self.dispatcher.metrics.silences.get({"end": end})


def assert_whole(entry, last=4):
    assert entry.caller.body == events(1, last)
    assert entry.caller.ended and not entry.caller.was_cut


class TestOnlyTarget:
    """There is no other target: the silent one is waited for."""

    def test_stream_goes_on_after_a_silence(self):
        answer = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(answer, targets=1)
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert entry.silences("went_on") == 1

    @pytest.mark.parametrize("head_s", [SILENT_S, 0.0])
    def test_first_event_comes_after_a_silence(self, head_s):
        answer = PacedAnswer((SILENT_S - head_s, events(1, 4)), head_s=head_s)
        entry = Entry(answer, targets=1)
        assert entry.serve()[0] is None
        assert_whole(entry)

    @pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
    def test_plain_response_comes_after_a_silence(self, kind):
        entry = Entry(PacedAnswer((0.0, b"whole"), head_s=4.0), targets=1, kind=kind)
        assert entry.serve()[0] is None
        assert entry.caller.body == b"whole"

    @pytest.mark.parametrize(
        ("kind", "limit_s"),
        [(RouteKind.STREAM, STREAM_LIMIT_S), (RouteKind.IDEMPOTENT, LIMIT_S)],
    )
    def test_silence_until_the_time_limit_is_a_timeout(self, kind, limit_s):
        entry = Entry(PacedAnswer(head_s=NEVER_S), targets=1, kind=kind)
        refusal, ended_s = entry.serve()
        assert refusal.kind is RefusalKind.TIMED_OUT
        assert ended_s == pytest.approx(limit_s)
        assert entry.client.cancelled == 1

    def test_stream_is_cut_at_the_time_limit(self):
        entry = Entry(
            PacedAnswer((0.0, events(1, 2)), (NEVER_S, events(3, 4))), targets=1
        )
        _, ended_s = entry.serve()
        assert entry.caller.was_cut and ended_s == pytest.approx(LIMIT_S)

    def test_caller_that_leaves_ends_the_wait(self):
        entry = Entry(PacedAnswer(head_s=NEVER_S), targets=1)
        _, ended_s = entry.serve(leaves_s=2.5)
        assert ended_s == pytest.approx(2.5)
        assert entry.client.cancelled == 1


class TestAnotherTarget:
    """Another target has room: whichever goes on first serves the caller."""

    def test_dead_target_is_left_for_another(self):
        dead = PacedAnswer((0.0, events(1, 2)), (NEVER_S, events(3, 4)))
        entry = Entry(dead, PacedAnswer((0.1, events(3, 4))))
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert ended_s == pytest.approx(STREAM_SILENCE_S + 0.1)
        assert entry.client.plans[1].resume_after == "2"
        assert dead.closed
        assert entry.silences("left") == 1

    def test_silent_target_that_goes_on_first_is_kept(self):
        spare = PacedAnswer((1.0, events(3, 4)))
        entry = Entry(PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4))), spare)
        _, ended_s = entry.serve()
        assert_whole(entry)
        assert ended_s == pytest.approx(SILENT_S)
        assert len(entry.client.plans) == 2 and spare.closed

    def test_target_that_falls_silent_again_is_left_for_the_one_asked_before(self):
        """The route permits no third target, and the second has not failed."""
        first = PacedAnswer(
            (0.0, events(1, 2)), (SILENT_S, events(3, 3)), (NEVER_S, events(4, 4))
        )
        spare, again = (
            PacedAnswer((1.0, events(3, 4))),
            PacedAnswer((0.1, events(4, 4))),
        )
        entry = Entry(first, spare, again, targets=3, slots=3)
        entry.dispatcher.retry_budget("s").slack = 100.0
        assert entry.serve() == (None, pytest.approx(SILENT_S + STREAM_SILENCE_S + 0.1))
        assert_whole(entry)
        _, asked, asked_again = entry.client.plans
        assert asked_again.target_id == asked.target_id
        assert asked_again.resume_after == "3"
        assert spare.closed and first.closed

    def test_no_event_comes_twice_if_both_go_on_at_once(self):
        after_s = SILENT_S - STREAM_SILENCE_S
        first = PacedAnswer(
            (0.0, events(1, 2)), (SILENT_S, events(3, 3)), (0.1, events(4, 6))
        )
        spare = PacedAnswer((after_s, events(3, 4)), (0.1, events(5, 6)))
        entry = Entry(first, spare)
        assert entry.serve()[0] is None
        assert_whole(entry, last=6)

    @pytest.mark.parametrize("partial", [b"id: 3\nda", b""])
    def test_incomplete_event_of_the_silent_target_is_continued(self, partial):
        rest = events(3, 3)[len(partial) :]
        first = PacedAnswer(
            (0.0, events(1, 2) + partial), (SILENT_S, rest + events(4, 4))
        )
        entry = Entry(first, PacedAnswer((NEVER_S, b"")))
        assert entry.serve()[0] is None
        assert_whole(entry)

    def test_incomplete_event_is_not_mixed_with_another_target(self):
        first = PacedAnswer((0.0, events(1, 2) + b"id: 3\nda"), (NEVER_S, b""))
        entry = Entry(first, PacedAnswer((0.1, events(3, 4))))
        assert entry.serve()[0] is None
        assert_whole(entry)

    def test_goes_on_while_the_other_waits_for_its_slot(self):
        first = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(first, wait_s=1.0)
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert len(entry.client.plans) == 1

    def test_is_kept_if_the_other_turns_the_request_away(self):
        first = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(first, PacedAnswer(status=503, not_run=True))
        assert entry.serve()[0] is None
        assert_whole(entry)

    def test_is_kept_if_the_other_fails(self):
        first = PacedAnswer((SILENT_S, events(1, 4)))
        entry = Entry(first, PacedAnswer(status=500))
        assert entry.serve()[0] is None
        assert_whole(entry)

    def test_other_goes_on_if_the_silent_target_breaks_off(self):
        first = PacedAnswer((0.0, events(1, 2)), (1.8, None))
        entry = Entry(first, PacedAnswer((1.0, events(3, 4))))
        assert entry.serve()[0] is None
        assert_whole(entry)

    def test_search_ends_before_the_next_one_begins(self):
        """Slot requests are withdrawn by the id of the request.

        A target breaks off while its request is queued at another one.
        """
        first = PacedAnswer((0.0, events(1, 2)), (SILENT_S, None))
        entry = Entry(first, PacedAnswer((0.0, events(3, 4))), wait_s=1.0)
        allocate, steps = entry.allocator.allocate, []

        async def record(*args, **options):
            steps.append("asked")
            try:
                return await allocate(*args, **options)
            finally:
                steps.append("ended")

        entry.allocator.allocate = record
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert steps == ["asked", "ended"] * 3

    def test_room_that_falls_free_later_is_used(self):
        entry = Entry(
            PacedAnswer((0.0, events(1, 2)), (NEVER_S, b"")),
            PacedAnswer((0.1, events(3, 4))),
            slots=1,
        )

        async def free_a_slot():
            await asyncio.sleep(3.0)
            entry.allocator.slots = 2

        ask = entry.ask

        async def ask_while_a_slot_falls_free():
            freeing = asyncio.create_task(free_a_slot())
            result = await ask()
            await freeing
            return result

        entry.ask = ask_while_a_slot_falls_free
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert 3.0 < ended_s < 4.0

    def test_second_send_costs_the_retry_budget(self):
        first = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(first, PacedAnswer((NEVER_S, b"")))
        entry.dispatcher.retry_budget("s").spend = lambda now_s: False
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert len(entry.client.plans) == 1

    def test_no_slot_is_taken_while_the_retry_budget_is_spent(self, caplog):
        caplog.set_level(logging.INFO)
        first = PacedAnswer((0.0, events(1, 2)), (4.0, events(3, 4)))
        entry = Entry(first, PacedAnswer((NEVER_S, b"")))
        budget = entry.dispatcher.retry_budget("s")
        budget.slack = budget.ratio = 0.0
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert entry.allocator.granted == 1
        lines = [r for r in caplog.records if r.message == "retry budget spent"]
        assert len(lines) == 1

    def test_idempotent_request_is_answered_by_the_other(self):
        first = PacedAnswer((0.0, b"late"), head_s=NEVER_S)
        entry = Entry(first, PacedAnswer((0.0, b"whole")), kind=RouteKind.IDEMPOTENT)
        refusal, ended_s = entry.serve()
        assert refusal is None and entry.caller.body == b"whole"
        assert ended_s == pytest.approx(LIMIT_S / 2)

    def test_third_target_is_tried_if_two_are_silent(self):
        dead = [PacedAnswer((0.0, events(1, 2)), (NEVER_S, b"")) for _ in range(2)]
        dead[1].steps = dead[1].steps[1:]
        entry = Entry(
            *dead,
            PacedAnswer((0.1, events(3, 4))),
            targets=3,
            slots=3,
            attempts=3,
        )
        entry.dispatcher.retry_budget("s").slack = 100.0
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert ended_s == pytest.approx(2 * STREAM_SILENCE_S + 0.1)
        assert dead[0].closed and dead[1].closed

    def test_first_of_three_goes_on(self):
        first = PacedAnswer((0.0, events(1, 2)), (4.0, events(3, 4)))
        dead = [PacedAnswer((NEVER_S, b"")) for _ in range(2)]
        entry = Entry(first, *dead, targets=3, slots=3, attempts=3)
        entry.dispatcher.retry_budget("s").slack = 100.0
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert len(entry.client.plans) == 3
        assert all(answer.closed for answer in dead)

    def test_request_is_refused_if_both_fail(self):
        first = PacedAnswer((1.8, None))
        entry = Entry(first, PacedAnswer((1.0, None)))
        refusal, ended_s = entry.serve()
        assert refusal.kind is RefusalKind.FAILED
        assert ended_s == pytest.approx(STREAM_SILENCE_S + 1.0)

    def test_internal_error_of_the_search_ends_no_answer(self, caplog):
        first = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(first)
        allocate = entry.allocator.allocate

        async def fail_at_the_second(admitted, service, engine, tried, *options):
            if tried:
                raise KeyError("unexpected")
            return await allocate(admitted, service, engine, tried, *options)

        entry.allocator.allocate = fail_at_the_second
        assert entry.serve()[0] is None
        assert_whole(entry)
        (record,) = [each for each in caplog.records if each.levelname == "ERROR"]
        assert record.request_id == "id"
        assert entry.dispatcher.metrics.internal_errors.get({}) == 1


class TestVersionEnd:
    """The entry drops a request that has not started in time."""

    def serve(self, opens_s, **options):
        """Serve a request whose engine is silent; another one opens at `opens_s`."""
        first = PacedAnswer((0.0, events(1, 4)), head_s=4.0)
        entry = Entry(first, PacedAnswer((0.1, events(1, 4))), slots=1, **options)
        allocate = entry.allocator.allocate

        async def allocate_with_deadline(*args, **more):
            now_s = asyncio.get_running_loop().time()
            if now_s >= opens_s:
                entry.allocator.slots = 2
            slot = await allocate(*args, **more)
            if isinstance(slot, Refusal) or now_s >= opens_s:
                return slot
            return slot._replace(start_deadline_s=0.5)

        entry.allocator.allocate = allocate_with_deadline
        return entry, *entry.serve()

    def test_dropped_request_goes_on_where_an_engine_has_switched(self):
        entry, refusal, ended_s = self.serve(opens_s=1.0)
        assert refusal is None
        assert_whole(entry)
        assert 1.0 <= ended_s < 1.6

    def test_dropped_request_is_refused_after_the_end_of_the_version(self):
        _, refusal, ended_s = self.serve(opens_s=NEVER_S)
        assert refusal.kind is RefusalKind.FAILED
        assert 0.5 + PAUSE_ALLOWANCE_MS / 1000 <= ended_s < 2.2

    def test_nothing_is_sent_that_could_start_too_late_after_a_silence(self):
        """The entry stood still after the slot was granted."""
        entry = Entry(PacedAnswer((0.0, events(1, 4))), slots=1)
        allocate = entry.allocator.allocate

        async def allocate_late(*args, **more):
            slot = await allocate(*args, **more)
            if isinstance(slot, Refusal):
                return slot
            return slot._replace(start_deadline_s=0.5, send_margin_s=0.8)

        entry.allocator.allocate = allocate_late
        refusal, _ = entry.serve()
        assert refusal is not None
        assert not entry.client.plans

    def test_work_that_runs_once_is_refused_at_once(self):
        entry, refusal, ended_s = self.serve(
            1.0, kind=RouteKind.NON_IDEMPOTENT, resumable=False
        )
        assert refusal.kind is RefusalKind.FAILED
        assert ended_s == pytest.approx(0.5)
        assert len(entry.client.plans) == 1

    def test_without_a_retry_budget_it_is_refused_at_once(self):
        entry = Entry(PacedAnswer(head_s=4.0), slots=1)
        budget = entry.dispatcher.retry_budget("s")
        budget.slack = budget.ratio = 0.0
        allocate = entry.allocator.allocate

        async def allocate_with_deadline(*args, **more):
            slot = await allocate(*args, **more)
            if isinstance(slot, Refusal):
                return slot
            return slot._replace(start_deadline_s=0.5)

        entry.allocator.allocate = allocate_with_deadline
        refusal, ended_s = entry.serve()
        assert refusal.kind is RefusalKind.FAILED
        assert ended_s == pytest.approx(0.5)


class TestStoppedWithItsVersion:
    """A target stops work at the time limit that ends with its version."""

    START_LEFT_S = 0.5
    VERSION_LEFT_S = START_LEFT_S + PAUSE_ALLOWANCE_MS / 1000

    def entry(self, *answers, **options):
        """Return an entry whose first target has weights that are superseded."""
        entry = Entry(*answers, slots=1, **options)
        allocate = entry.allocator.allocate

        async def allocate_with_deadline(*args, **more):
            now_s = asyncio.get_running_loop().time()
            slot = await allocate(*args, **more)
            if isinstance(slot, Refusal) or entry.allocator.slots > 1:
                return slot
            # Another engine holds newer weights when the first one stops.
            entry.allocator.slots = 2
            return slot._replace(start_deadline_s=now_s + self.START_LEFT_S)

        entry.allocator.allocate = allocate_with_deadline
        return entry

    def test_limit_ends_with_the_version(self):
        entry = self.entry(PacedAnswer((0.0, events(1, 4))))
        assert entry.serve()[0] is None
        (plan,) = entry.client.plans
        assert plan.remaining_s == pytest.approx(self.VERSION_LEFT_S, abs=0.01)

    def test_deadline_of_the_caller_may_be_earlier(self):
        entry = self.entry(PacedAnswer((0.0, events(1, 4))))
        entry.dispatcher.set_table(
            RoutingTable(2, (entry.route._replace(timeout_ms=1000),), (Service("s"),))
        )
        assert entry.serve()[0] is None
        (plan,) = entry.client.plans
        assert plan.remaining_s == pytest.approx(1.0, abs=0.01)

    def test_stopped_stream_goes_on_at_newer_weights(self):
        stopped = PacedAnswer((0.1, events(1, 2)), (self.VERSION_LEFT_S, None))
        entry = self.entry(stopped, PacedAnswer((0.1, events(3, 4))))
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert ended_s < self.VERSION_LEFT_S + 0.4
        assert entry.client.plans[1].resume_after == "2"

    @pytest.mark.parametrize("crashed", [False, True])
    def test_stopped_target_has_not_failed(self, crashed):
        """One that crashed at that moment is found nevertheless."""
        stopped = PacedAnswer((0.1, events(1, 2)), (self.VERSION_LEFT_S, None))
        entry = self.entry(stopped, PacedAnswer((0.1, events(3, 4))))
        crashes = entry.dispatcher.crashes
        crashes.liveness = crash_tracker(crashed).liveness
        entry.serve()
        assert entry.registry.targets["i-0"].failure_rate == 0.0
        assert bool(crashes.suspects.records) is crashed

    def test_stream_without_a_stated_end_is_not_taken_for_whole(self):
        """Its target closes the connection in order after an event."""
        halfway_s = self.VERSION_LEFT_S / 2
        steps = ((0.1, events(1, 1)), (halfway_s, events(2, 2)), (halfway_s, b""))
        stopped = PacedAnswer(*steps, unframed=True)
        entry = self.entry(stopped, PacedAnswer((0.1, events(3, 4))))
        refusal, _ = entry.serve()
        assert refusal is None
        assert_whole(entry)

    def test_body_without_a_stated_end_is_not_taken_for_whole(self):
        stopped = PacedAnswer((0.1, b"wh"), (self.VERSION_LEFT_S, b""), unframed=True)
        whole = PacedAnswer((0.0, b"whole"))
        entry = self.entry(stopped, whole, kind=RouteKind.IDEMPOTENT)
        assert entry.serve()[0] is None
        assert entry.caller.body == b"whole"

    def test_target_that_breaks_off_earlier_has_failed(self):
        broken = PacedAnswer((0.1, events(1, 2)), (0.2, None))
        entry = self.entry(broken, PacedAnswer((0.1, events(3, 4))))
        entry.serve()
        assert entry.registry.targets["i-0"].failure_rate > 0.0

    def test_stopped_body_is_sent_by_another_target(self):
        stopped = PacedAnswer((0.1, b"wh"), (self.VERSION_LEFT_S, None))
        whole = PacedAnswer((0.0, b"whole"))
        entry = self.entry(stopped, whole, kind=RouteKind.IDEMPOTENT)
        assert entry.serve()[0] is None
        assert entry.caller.body == b"whole"
        assert entry.registry.targets["i-0"].failure_rate == 0.0


class TestTimeLimitThatPassedWhileConnecting:
    @pytest.mark.parametrize("error", [NoTimeLeftError, NotSentError])
    def test_target_is_put_aside_only_if_it_was_unreachable(self, error):
        entry = Entry(PacedAnswer((0.0, events(1, 4))))
        send, failed = entry.client.send, []

        async def fail_once(request, plan):
            if not failed:
                failed.append(plan.target_id)
                raise error("not sent")
            return await send(request, plan)

        entry.client.send = fail_once
        assert entry.serve()[0] is None
        assert_whole(entry)
        target = entry.registry.targets[failed[0]]
        assert (target.unreachable_until_s > 0.0) == (error is NotSentError)


class TestWorkThatRunsOnce:
    @pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
    def test_is_never_sent_twice(self, kind):
        is_stream = kind is RouteKind.STREAM
        part = events(1, 4) if is_stream else b"whole"
        # Callers of streams would not wait for longer.
        answer = PacedAnswer((0.0, part), head_s=3.0 if is_stream else 5.0)
        entry = Entry(answer, PacedAnswer(), kind=kind, resumable=False)
        assert entry.serve()[0] is None
        assert entry.caller.body == part
        assert len(entry.client.plans) == 1


class TestSoundTarget:
    """A pause is no failure, and not each wait is a pause of the target."""

    def test_slow_caller_is_not_taken_for_a_silent_target(self):
        answer = PacedAnswer((0.0, events(1, 2)), (0.1, events(3, 4)))
        entry = Entry(answer, PacedAnswer())
        write = entry.caller.write

        async def write_slowly(data):
            await asyncio.sleep(SILENT_S)
            await write(data)

        entry.caller.write = write_slowly
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert len(entry.client.plans) == 1

    def test_body_that_flows_is_not_a_silence(self):
        """A whole response may take longer than a target may be silent."""
        answer = PacedAnswer(*[(0.5, b"part")] * 10)
        entry = Entry(answer, PacedAnswer(), kind=RouteKind.IDEMPOTENT)
        assert entry.serve()[0] is None
        assert entry.caller.body == b"part" * 10
        assert len(entry.client.plans) == 1

    def test_entry_that_stood_still_takes_no_target_for_silent(self):
        answer = PacedAnswer((0.0, events(1, 2)), (1.0, events(3, 4)))
        entry = Entry(answer, PacedAnswer())
        ask = entry.ask

        async def ask_and_stand_still():
            loop = asyncio.get_running_loop()
            loop.call_later(0.5, stand_still, loop)
            return await ask()

        def stand_still(loop):
            loop.clock_s += 3.0

        entry.ask = ask_and_stand_still
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert len(entry.client.plans) == 1

    def test_is_not_put_aside_after_it_went_on(self):
        answer = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(answer, targets=1)
        entry.serve()
        target = entry.registry.targets["i-0"]
        assert target.failure_rate == 0.0
        assert not target.wait_s(SILENT_S)

    @pytest.mark.parametrize("pause_s", [2.0, NEVER_S])
    def test_failure_after_the_start_deadline_counts(self, pause_s):
        """The deadline is for the start: a request that has started is not dropped."""
        first = PacedAnswer((0.0, events(1, 2)), (pause_s, None))
        entry = Entry(first, PacedAnswer((0.5, events(3, 4))))
        allocate = entry.allocator.allocate

        async def allocate_until_1_s(*args, **options):
            slot = await allocate(*args, **options)
            if slot.target.target_id == "i-0":
                slot = slot._replace(start_deadline_s=1.0)
            return slot

        entry.allocator.allocate = allocate_until_1_s
        assert entry.serve()[0] is None
        assert_whole(entry)
        assert entry.registry.targets["i-0"].failure_rate > 0

    def test_pause_is_not_taken_for_slow_work(self):
        observed = []
        answer = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        entry = Entry(answer, targets=1)
        release = entry.allocator.release

        def observe(outcome=None, work=None):
            observed.append(work)
            release(outcome, work)

        entry.allocator.release = observe
        entry.serve()
        assert [work.took_ms for work in observed] == [0.0]


class TestDroppedWhileTargetsRest:
    """Guards against a failure with seconds left while a target states its rest."""

    REST = ResponseSignals(cooldown=RequestedCooldown(2.0))

    def entry(self, *answers):
        """Return an entry that drops requests at its first target after 0.5 s."""
        entry = Entry(PacedAnswer(head_s=4.0), *answers)
        entry.dispatcher.retry_budget("s").slack = 100.0
        allocate = entry.allocator.allocate
        entry.allocator.slots = 3

        async def allocate_with_deadline(*args, **more):
            slot = await allocate(*args, **more)
            if isinstance(slot, Refusal) or slot.target.target_id == "i-1":
                return slot
            return slot._replace(start_deadline_s=0.5)

        entry.allocator.allocate = allocate_with_deadline
        return entry

    def test_goes_on_at_a_target_that_ends_its_rest_in_time(self):
        entry = self.entry(PacedAnswer((0.1, events(1, 4))))
        entry.registry.targets["i-1"].record_signals(self.REST, 0.0, 0.0)
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert 2.0 <= ended_s < 2.6

    def test_goes_back_to_a_target_that_turned_it_away(self):
        """The route permits two targets, and that one has not run it."""
        resting = PacedAnswer(status=503, not_run=True, signals=self.REST)
        entry = self.entry(resting, PacedAnswer((0.1, events(1, 4))))
        refusal, ended_s = entry.serve()
        assert refusal is None
        assert_whole(entry)
        assert 2.5 <= ended_s < 3.1
        ids = [plan.target_id for plan in entry.client.plans]
        assert ids == ["i-0", "i-1", "i-1"]

    def test_rest_that_ends_too_late_is_not_waited_for(self):
        entry = self.entry()
        too_long = ResponseSignals(cooldown=RequestedCooldown(LIMIT_S))
        entry.registry.targets["i-1"].record_signals(too_long, 0.0, 0.0)
        refusal, ended_s = entry.serve()
        assert refusal.kind is RefusalKind.FAILED
        assert ended_s < 2.2

    def test_request_that_has_not_run_is_refused_at_once(self):
        resting = PacedAnswer(status=503, not_run=True, signals=self.REST)
        entry = Entry(resting, resting)
        refusal, ended_s = entry.serve()
        assert refusal.kind is RefusalKind.OVERLOADED and refusal.retry_s > 0
        assert ended_s < 0.1
