"""One request from its arrival to its final word, with targets that fail."""

import asyncio

import pytest

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sending import head_timeout_s
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerRequest,
    NotSentError,
    Refusal,
    RefusalKind,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.response_signals import ResponseSignals
from wisteriapulley.routing import (
    Account,
    Route,
    RouteIndex,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.settings import Address
from wisteriapulley.wire.messages import TargetState

NONE = Address("127.0.0.1", 0)
SETTINGS = DirectSettings(
    node_id="e",
    failure_domain="z",
    http_listen=NONE,
    fleet_key_file="",
    listen=NONE,
    ready_listen=NONE,
    control=(NONE,),
    sidecar_port=1,
)


class FakeAnswer:
    """A target's answer: parts, then an end or a break."""

    def __init__(self, parts=(b"whole",), status=200, breaks=False, **said):
        self.status, self.headers, self.length = status, (), None
        self.chunks, self.breaks = parts, breaks
        self.not_run = said.get("not_run", False)
        self.other_instance = said.get("other_instance", False)
        self.signals = said.get("signals", ResponseSignals())
        self.closed = False

    async def parts(self):
        for chunk in self.chunks:
            yield chunk
        if self.breaks:
            raise BrokenAnswerError("broke off")

    def close(self):
        self.closed = True


class FakeClient:
    """Answers sends in order; an exception in the list is raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.plans = []

    async def send(self, request, plan):
        self.plans.append(plan)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FakeAllocator:
    """Gives targets in turn that were not tried."""

    def __init__(self, registry, starts_in_s=None):
        self.registry = registry
        self.starts_in_s = starts_in_s
        self.out = 0
        self.rates = []

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        for target in self.registry.candidates(service, now_s):
            if target.target_id not in tried:
                self.out += 1
                by_s = now_s + self.starts_in_s if self.starts_in_s else None
                return AllocatedSlot(target, 1, self.give_back, by_s)
        return Refusal(RefusalKind.UNAVAILABLE, 0.25, "no target")

    def give_back(self, outcome=None):
        self.out -= 1

    def report_rate(self, target, now_s):
        self.rates.append((target.target_id, target.rate.per_s))


class FakeCaller:
    """Keeps what a caller got."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.body = b""
        self.ended = self.was_cut = False

    async def start(self, status, headers, length):
        self.started, self.status = True, status

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.ended = True

    def cut(self):
        self.was_cut = True


def watch(ended=False):
    """Return a watch to which all targets have ended, or none."""

    async def refuses(address):
        return ended

    return CrashTracker(b"k" * 40, Liveness(refuses), lambda news: None)


def events(first, last):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


def serve(
    *answers,
    kind=RouteKind.STREAM,
    resumable=True,
    attempts=2,
    targets=3,
    starts_in_s=None,
    ended=False,
    crashes=None,
):
    """Serve one request; return what became of it."""
    route = Route(
        "r", "h", "/", kind, (Split("s", 1),), 6000, 400, 400, 1, attempts
    )._replace(resumable=resumable)
    registry = TargetRegistry()
    registry.update(
        [
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4)
            for n in range(targets)
        ],
        0.0,
    )
    registry.last_update_s = 0.0
    allocator = FakeAllocator(registry, starts_in_s)
    client, caller = FakeClient(*answers), FakeCaller()
    dispatcher = Dispatcher(
        SETTINGS,
        registry,
        allocator,
        client,
        EntryMetrics(Metrics("e", "entry")),
        crashes or watch(ended),
    )
    table = RoutingTable(1, (route,), (Service("s"),), (Account("a", ("k",)),))
    dispatcher.index = RouteIndex(table)

    async def run():
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", now_s, 5.0, 100, 50
        )
        return await dispatcher.serve(request, caller)

    refusal = asyncio.run(run())
    assert allocator.out == 0
    return refusal, caller, client


class SilentAnswer(FakeAnswer):
    """A head at once, and no event for a second."""

    async def parts(self):
        await asyncio.sleep(1.0)
        yield events(1, 2)


class TestWeightsWhoseTimeEnds:
    """A slow engine: the first event would come after its weights' time."""

    def serve(self, *answers):
        return serve(*answers, starts_in_s=0.05)

    def test_request_that_has_not_begun_is_dropped(self):
        first = SilentAnswer()
        refusal, caller, client = self.serve(first, FakeAnswer([b""]))
        assert first.closed and not caller.body
        assert len(client.plans) == 2

    def test_request_that_has_begun_goes_on(self):
        class Slow(FakeAnswer):
            async def parts(self):
                yield events(1, 1)
                await asyncio.sleep(0.15)
                yield events(2, 3)

        refusal, caller, client = self.serve(Slow())
        assert refusal is None and caller.ended
        assert caller.body == events(1, 3) and len(client.plans) == 1


def dispatcher_without_targets(confirmed=True):
    """Return a dispatcher that only admits, with one route to `/a/`."""
    registry = TargetRegistry()
    dispatcher = Dispatcher(
        SETTINGS,
        registry,
        FakeAllocator(registry),
        None,
        EntryMetrics(Metrics("e", "entry")),
        watch(),
        lambda: confirmed,
    )
    split = (Split("s", 1),)
    route = Route("r", "h", "/a/", RouteKind.STREAM, split, 6000, 400, 400, 1, 2)
    table = RoutingTable(1, (route,), (Service("s"),), (Account("a", ("k",)),))
    dispatcher.index = RouteIndex(table)
    return dispatcher


class TestReturnedCallers:
    """Load: callers are refused on a route, and some of them come back."""

    def admit(self, *patiences_s):
        dispatcher = dispatcher_without_targets()
        dispatcher.returning["r"].record_refusal(0.0)
        requests = (
            CallerRequest("id", "POST", "/a/", "h", "/a/", (), b"", "k", 1.0, each)
            for each in patiences_s
        )
        return [dispatcher.admit(request).returned for request in requests]

    def test_known_by_the_time_that_they_state(self):
        assert self.admit(6.0, 5.3, 4.4) == [False, False, True]

    def test_caller_that_states_no_time_makes_no_other_one_late(self):
        """It counts as waiting for the route's limit, not for half a minute."""
        assert self.admit(30.0, 5.3) == [False, False]


class TestTableNotConfirmed:
    """An entry that just started may hold a table older than the one in force."""

    def admit(self, confirmed, path, key):
        return dispatcher_without_targets(confirmed).admit(
            CallerRequest("id", "POST", path, "h", path, (), b"", key, 0.0, 5.0)
        )

    @pytest.mark.parametrize(
        ("path", "key", "kind"),
        [
            ("/b/", "k", RefusalKind.NO_ROUTE),
            ("/a/", "old", RefusalKind.BAD_KEY),
        ],
    )
    def test_refuses_for_good_only_by_a_confirmed_one(self, path, key, kind):
        assert self.admit(True, path, key).kind is kind
        early = self.admit(False, path, key)
        assert early.kind is RefusalKind.NOT_READY
        assert early.retry_s > 0

    def test_serves_what_it_holds(self):
        assert self.admit(False, "/a/", "k").route.name == "r"


class TestStreams:
    def test_goes_on_behind_the_last_whole_event(self):
        first = FakeAnswer([events(1, 3) + b"id: 4\nda"], breaks=True)
        refusal, caller, client = serve(first, FakeAnswer([events(4, 6)]))
        assert refusal is None and caller.ended
        assert caller.body == events(1, 6)
        assert client.plans[1].resume_after == "3"
        assert client.plans[0].target_id != client.plans[1].target_id

    def test_is_cut_when_nobody_can_go_on(self):
        broken = FakeAnswer([events(1, 3)], breaks=True)
        refusal, caller, client = serve(broken, targets=1)
        assert refusal is None and caller.was_cut and not caller.ended
        assert len(client.plans) == 1

    def test_that_may_not_be_resumed_is_not_sent_again(self):
        broken = FakeAnswer([events(1, 3)], breaks=True)
        refusal, caller, client = serve(broken, resumable=False)
        assert caller.was_cut and len(client.plans) == 1

    def test_end_within_an_event_is_no_end(self):
        short = FakeAnswer([events(1, 2) + b"id: 3"])
        refusal, caller, client = serve(short, FakeAnswer([events(3, 4)]))
        assert caller.body == events(1, 4) and caller.ended

    def test_continuation_that_fails_is_not_joined(self):
        broken = FakeAnswer([events(1, 2)], breaks=True)
        refusal, caller, _ = serve(broken, FakeAnswer([b"oops"], status=500))
        assert caller.body == events(1, 2) and caller.was_cut


class TestAtMostOnce:
    def once(self, *answers, **more):
        more.setdefault("attempts", 3)
        return serve(*answers, kind=RouteKind.NON_IDEMPOTENT, resumable=False, **more)

    def test_broken_answer_may_have_run(self):
        refusal, _, client = self.once(BrokenAnswerError("reset"))
        assert refusal.kind is RefusalKind.FAILED
        assert len(client.plans) == 1

    def test_lost_body_may_have_run(self):
        refusal, caller, client = self.once(FakeAnswer([b"part"], breaks=True))
        assert refusal.kind is RefusalKind.FAILED
        assert not caller.started and len(client.plans) == 1

    @pytest.mark.parametrize(
        "answer",
        [
            NotSentError("refused"),
            FakeAnswer(not_run=True, status=503),
            FakeAnswer(not_run=True, other_instance=True, status=421),
        ],
    )
    def test_what_did_not_run_may_go_elsewhere(self, answer):
        refusal, caller, client = self.once(answer, FakeAnswer())
        assert refusal is None and caller.body == b"whole"
        assert len(client.plans) == 2

    def test_refusal_promises_only_what_is_sure(self):
        refusal, _, _ = self.once(NotSentError("refused"), targets=1)
        assert refusal.kind is RefusalKind.UNAVAILABLE
        refusal, _, _ = self.once(NotSentError("no"), BrokenAnswerError("reset"))
        assert refusal.kind is RefusalKind.FAILED

    def test_own_error_of_a_target_is_final(self):
        refusal, caller, client = self.once(FakeAnswer([b"failed"], status=500))
        assert refusal is None
        assert (caller.status, caller.body) == (500, b"failed")
        assert len(client.plans) == 1

    def test_fresh_connection(self):
        _, _, client = self.once(FakeAnswer())
        assert client.plans[0].fresh_connection


class TestIdempotent:
    def test_failed_answer_is_asked_for_again(self):
        failed = FakeAnswer([b"failed"], status=500)
        refusal, caller, client = serve(
            failed, FakeAnswer(), kind=RouteKind.IDEMPOTENT, resumable=False
        )
        assert refusal is None and caller.body == b"whole"
        assert failed.closed

    def test_not_more_sends_than_attempts(self):
        refusal, _, client = serve(
            BrokenAnswerError("a"),
            BrokenAnswerError("b"),
            FakeAnswer(),
            kind=RouteKind.IDEMPOTENT,
            resumable=False,
        )
        assert refusal.kind is RefusalKind.FAILED
        assert len(client.plans) == 2


class TestStartingEntry:
    """Load: callers that come to an entry which has just started."""

    def dispatcher(self):
        registry = TargetRegistry()
        return Dispatcher(
            SETTINGS,
            registry,
            FakeAllocator(registry),
            FakeClient(),
            EntryMetrics(Metrics("e", "entry")),
            watch(),
        )

    async def ask(self, dispatcher, **more):
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", now_s, 6.0, **more
        )
        return await dispatcher.serve(request, FakeCaller())

    def test_request_waits_for_the_first_table(self):
        async def run():
            dispatcher = self.dispatcher()
            asking = asyncio.create_task(self.ask(dispatcher))
            await asyncio.sleep(0)
            dispatcher.set_table(RoutingTable(1))
            return await asking

        assert asyncio.run(run()).kind is RefusalKind.NO_ROUTE

    def test_those_refused_are_spread_over_what_they_can_wait(self):
        async def run():
            dispatcher = self.dispatcher()
            asks = [self.ask(dispatcher) for _ in range(20)]
            return await asyncio.gather(*asks)

        refusals = asyncio.run(run())
        assert {r.kind for r in refusals} == {RefusalKind.NOT_READY}
        pauses = [r.retry_s for r in refusals]
        # All came back half a second later before, and most were refused for good.
        assert min(pauses) > 0.75
        assert max(pauses) - min(pauses) > 0.3
        assert max(pauses) < 6.0 / 3


class TestPatience:
    def patience_s(self, has_sends_left, kind=RouteKind.IDEMPOTENT):
        route = Route("r", "h", "/", kind, (Split("s", 1),), 6000, 400, 400, 1)
        return head_timeout_s(route, 1.0, has_sends_left)

    def test_last_send_has_all_of_the_time(self):
        assert self.patience_s(has_sends_left=False) is None

    def test_earlier_send_leaves_time_for_another(self):
        assert self.patience_s(has_sends_left=True) == 0.5

    def test_non_idempotent_request_is_never_given_up_early(self):
        assert self.patience_s(True, RouteKind.NON_IDEMPOTENT) is None
