"""Detection of requests that crash targets, at one entry."""

import asyncio
import logging

import pytest
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    SilentAnswer,
    crash_tracker,
    events,
    serve,
)
from tests.test_silent_targets import NEVER_S, SILENT_S, PacedAnswer, PacedClient
from wisteriapulley.direct.crashes import UPDATE_BATCH_S, CrashTracker
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.exchange import Exchange
from wisteriapulley.direct.liveness import CONNECT_TIMEOUT_S, Liveness
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import INITIAL_BACKOFF_S, Target, TargetRegistry
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    NotSentError,
    RefusalKind,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy import shared_budget
from wisteriapulley.routing import (
    Account,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.wire.messages import TargetState

ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6000, 400, 400, 1, 2)
BODY = b"body of a caller"


def admitted(body=BODY, number=1, parts=()):
    request = CallerRequest(
        f"id-{number}", "POST", "/x", "h", "/x", (), body, "key-1", 0.0, 5.0
    )._replace(prompt_parts=parts)
    return Admitted(request, ROUTE, Account("a", ("key-1",)), 5.0)


def broke_off(crashes, request, at):
    exchange = Exchange(
        AllocatedSlot(at, 1, lambda *_: None), Progress(request.request, "s"), 0.0
    )
    return crashes.check_for_crash(request, exchange)


def target(number=1, **more):
    state = TargetState(f"i-{number}", "s", f"10.0.0.{number}:80", "z", **more)
    return Target(state, 0.0)


def lines(caplog, message="target ended under request"):
    return [r for r in caplog.records if r.message == message]


class TestCrashTracker:
    def test_attempts_of_one_request_have_one_fingerprint(self, caplog):
        async def run():
            crashes = crash_tracker(crashed=True)
            await broke_off(crashes, admitted(number=1), target(1))
            await broke_off(crashes, admitted(number=2), target(2))

        asyncio.run(run())
        first, second = lines(caplog)
        assert (first.request_id, second.request_id) == ("id-1", "id-2")
        assert (first.target, second.target) == ("i-1", "i-2")
        assert first.fingerprint == second.fingerprint

    def test_logs_show_which_parts_two_prompts_share(self, caplog):
        async def run():
            crashes = crash_tracker(crashed=True)
            await broke_off(crashes, admitted(b"1", parts=("5c1e", "91bd")), target(1))
            await broke_off(crashes, admitted(b"2", parts=("5c1f", "91bd")), target(2))

        asyncio.run(run())
        first, second = lines(caplog)
        assert first.parts[0] != second.parts[0]
        assert first.parts[1] == second.parts[1]

    @pytest.mark.parametrize(("sent", "count"), [(b"", 0), (events(1, 2), 2)])
    def test_logs_show_whether_the_response_had_begun(self, caplog, sent, count):
        serve(FakeAnswer([sent], breaks=True), crashed=True, targets=1)
        (line,) = lines(caplog)
        assert line.events == count

    def test_logs_neither_key_nor_body_nor_part(self, caplog):
        caplog.set_level(logging.DEBUG)
        request = admitted(parts=("part-1",))
        asyncio.run(broke_off(crash_tracker(crashed=True), request, target()))
        text = str([record.__dict__ for record in caplog.records])
        assert "key-1" not in text and BODY.decode() not in text
        assert "part-1" not in text
        assert BODY.hex() not in text

    def test_lost_connection_is_no_crash(self, caplog):
        asyncio.run(broke_off(crash_tracker(crashed=False), admitted(), target()))
        assert not lines(caplog)

    @pytest.mark.parametrize("planned", [{"leaving": True}, {"gone": True}])
    def test_planned_exit_is_no_crash(self, caplog, planned):
        asyncio.run(
            broke_off(crash_tracker(crashed=True), admitted(), target(**planned))
        )
        assert not lines(caplog)

    def test_simultaneous_crashes_are_published_in_one_frame(self):
        published = []

        async def run():
            crashes = crash_tracker(crashed=True)
            crashes.publish = published.append
            ended = target()
            await asyncio.gather(
                *(
                    broke_off(crashes, admitted(b"%d" % number), ended)
                    for number in range(16)
                )
            )
            await asyncio.sleep(3 * UPDATE_BATCH_S)

        asyncio.run(run())
        (update,) = published
        assert len(update.suspects) == 16

    def test_complete_response_clears_and_is_published(self):
        published = []

        async def run():
            crashes = crash_tracker(crashed=True)
            crashes.publish = published.append
            request = admitted()
            await broke_off(crashes, request, target())
            await asyncio.sleep(3 * UPDATE_BATCH_S)
            crashes.record_answered(request, Progress(request.request))
            await asyncio.sleep(3 * UPDATE_BATCH_S)

        asyncio.run(run())
        suspected, cleared = (update.suspects[0] for update in published)
        assert suspected.ended and not cleared.ended
        assert cleared.cleared == suspected.cleared + 1

    def test_error_response_clears_nothing(self):
        """It does not show how the request behaves at other targets."""
        broken = FakeAnswer([b""], breaks=True)
        failure = FakeAnswer(status=500)
        crashes = crash_tracker(crashed=True)
        serve(broken, failure, kind=RouteKind.IDEMPOTENT, crashes=crashes)
        (record,) = crashes.suspects.records.values()
        assert record.ended

    def test_late_result_of_a_crash_check_is_recorded(self):
        """If the host responds slowly, the request continues and is recorded later."""

        async def run():
            late = asyncio.Event()

            async def refuses(address):
                await late.wait()
                return True

            crashes = CrashTracker(b"k" * 40, Liveness(refuses), lambda update: None)
            await broke_off(crashes, admitted(), target())
            assert not crashes.suspects.records
            late.set()
            await asyncio.gather(*crashes.checks)
            assert len(crashes.suspects.records) == 1

        asyncio.run(run())


class CrashingClient:
    """Targets that the request crashes; a crashed target refuses connections.

    Attributes
    ----------
    crashed : list of str
        Ids of the crashed targets, in order.
    """

    def __init__(self):
        self.crashed = []

    async def send(self, request, plan):
        if plan.target_id in self.crashed:
            raise NotSentError("refused")
        self.crashed.append(plan.target_id)
        raise BrokenAnswerError("disconnected")


class TestCrashedTarget:
    """A target that a crash check found to have exited."""

    @pytest.mark.parametrize("crashed", [True, False])
    def test_is_put_aside(self, crashed):
        async def run():
            at = target()
            await broke_off(crash_tracker(crashed), admitted(), at)
            now_s = asyncio.get_running_loop().time()
            assert bool(at.wait_s(now_s)) == crashed

        asyncio.run(run())

    def test_starts_one_backoff_for_all_its_requests(self):
        async def run():
            crashes, at = crash_tracker(crashed=True), target()
            requests = (admitted(b"%d" % number) for number in range(16))
            await asyncio.gather(*(broke_off(crashes, each, at) for each in requests))
            assert at.backoff_s == 2 * INITIAL_BACKOFF_S

        asyncio.run(run())

    def test_is_not_sent_the_next_requests(self):
        """Three sends crash three targets, although only one may be sent again."""
        registry, client = TargetRegistry(), CrashingClient()
        states = (
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1)
            for n in range(4)
        )
        registry.update(states, 0.0)
        dispatcher = Dispatcher(
            SETTINGS,
            registry,
            FakeAllocator(registry),
            client,
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(crashed=True),
        )
        route = ROUTE._replace(kind=RouteKind.IDEMPOTENT)
        account = Account("a", ("key-1",))
        dispatcher.set_table(RoutingTable(1, (route,), (Service("s"),), (account,)))

        async def run():
            for _ in range(3):
                await dispatcher.serve(admitted().request, FakeCaller())

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(run())
        assert client.crashed == ["i-0", "i-1", "i-2"]


class SpreadingAllocator(FakeAllocator):
    """Allocates slots at one target after the other."""

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        targets = [
            target
            for target in self.registry.candidates(service, now_s)
            if target.target_id not in tried
        ]
        self.allocated += 1
        return AllocatedSlot(targets[self.allocated % len(targets)], 1, self.release)


class TestSilentTargets:
    """A hundred targets stand still at once, each with the same request."""

    COUNT = 100

    def serve(self, *answers):
        """Serve a request at each target; return the crash tracker and the client.

        All targets refuse connections when they are probed, as if they were exiting as
        planned.
        """
        registry, client = TargetRegistry(), PacedClient(answers)
        states = (
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1)
            for n in range(self.COUNT)
        )
        registry.update(states, 0.0)
        crashes = crash_tracker(crashed=True)
        dispatcher = Dispatcher(
            SETTINGS,
            registry,
            SpreadingAllocator(registry),
            client,
            EntryMetrics(Metrics("e", "entry")),
            crashes,
        )
        route = ROUTE._replace(resumable=True)
        account = Account("a", ("key-1",))
        dispatcher.set_table(RoutingTable(1, (route,), (Service("s"),), (account,)))
        budget = dispatcher.retry_budget("s")
        budget.spend = budget.has_budget = lambda now_s: True
        callers = [FakeCaller() for _ in range(self.COUNT)]

        async def run():
            requests = (admitted(number=n).request for n in range(self.COUNT))
            served = map(dispatcher.serve, requests, callers)
            assert set(await asyncio.gather(*served)) == {None}
            await asyncio.sleep(CONNECT_TIMEOUT_S)

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(run())
        assert {caller.body for caller in callers} == {events(1, 4)}
        return crashes, client

    def test_that_go_on_make_no_suspects(self):
        silent = PacedAnswer((0.0, events(1, 2)), (SILENT_S, events(3, 4)))
        spare = PacedAnswer((NEVER_S, b""))
        crashes, client = self.serve(*[silent] * self.COUNT, *[spare] * self.COUNT)
        assert len(client.plans) == 2 * self.COUNT
        assert not crashes.suspects.records

    def test_that_are_left_make_no_suspects(self):
        """The entry closes the connections itself."""
        silent = PacedAnswer((0.0, events(1, 2)), (NEVER_S, b""))
        other = PacedAnswer((0.1, events(3, 4)))
        crashes, client = self.serve(*[silent] * self.COUNT, *[other] * self.COUNT)
        assert len(client.plans) == 2 * self.COUNT
        assert not crashes.suspects.records

    def test_that_exceed_the_start_deadline_make_no_suspects(self):
        crashes = crash_tracker(crashed=True)
        serve(SilentAnswer(), FakeAnswer([b""]), starts_in_s=0.05, crashes=crashes)
        assert not crashes.suspects.records


class TestQuarantined:
    """A stream that breaks off at one target after another."""

    @pytest.fixture(autouse=True)
    def ample_budget(self, monkeypatch):
        monkeypatch.setattr(shared_budget, "MIN_ENTRIES", 1)

    def test_is_not_sent_again_in_the_same_attempt(self):
        broken = [FakeAnswer([b""], breaks=True) for _ in range(5)]
        refusal, _, client = serve(*broken, attempts=5, targets=5, crashed=True)
        assert len(client.plans) == 3
        # It has run, so the refusal must not guarantee otherwise.
        assert refusal.kind is RefusalKind.FAILED

    def test_lost_connections_quarantine_nothing(self):
        broken = [FakeAnswer([b""], breaks=True) for _ in range(4)]
        complete = FakeAnswer([events(1, 2)])
        refusal, caller, client = serve(*broken, complete, attempts=5, targets=5)
        assert refusal is None and caller.ended
        assert len(client.plans) == 5


class TestLogsOfSends:
    """They tell where a request was sent, and why it was not sent again."""

    @pytest.fixture(autouse=True)
    def info(self, caplog):
        caplog.set_level(logging.INFO)

    def test_name_the_target_that_was_not_reached(self, caplog):
        serve(NotSentError("refused"), FakeAnswer([b""]))
        (line,) = lines(caplog, "target unreachable")
        assert (line.request_id, line.target, line.reason) == ("id", "i-0", "refused")
        assert line.backoff_ms > 0

    def test_name_the_spent_retry_budget(self, caplog):
        serve(*(NotSentError("refused") for _ in range(3)), attempts=3)
        (line,) = lines(caplog, "retry budget spent")
        assert (line.request_id, line.sends) == ("id", 2)
        assert (line.requests, line.retries) == (1, 1)
