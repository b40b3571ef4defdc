"""Dispatch of requests to failing targets, from arrival to the final result."""

import asyncio
import logging

import pytest

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.drain_limits import work_of
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.slot_allocation import AllocatedSlot
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
from wisteriapulley.policy.response_signals import ResponseSignals
from wisteriapulley.policy.silence import silence_limit_s
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
    """A target's response: body parts, then the end or a broken connection."""

    def __init__(self, parts=(b"whole",), status=200, breaks=False, **options):
        self.status, self.headers, self.length = status, (), None
        self.chunks, self.breaks = parts, breaks
        self.not_run = options.get("not_run", False)
        self.other_instance = options.get("other_instance", False)
        self.unframed = options.get("unframed", False)
        self.signals = options.get("signals", ResponseSignals())
        self.closed = False

    async def parts(self):
        for chunk in self.chunks:
            yield chunk
        if self.breaks:
            raise BrokenAnswerError("broke off")

    def close(self):
        self.closed = True


class FakeClient:
    """Returns the given responses in order; raises those that are exceptions."""

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
    """Allocates slots at targets that were not tried yet, in order."""

    def __init__(self, registry, starts_in_s=None):
        self.registry = registry
        self.starts_in_s = starts_in_s
        self.allocated = 0
        self.rates = []

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        for target in self.registry.candidates(service, now_s):
            if target.target_id not in tried:
                self.allocated += 1
                deadline_s = now_s + self.starts_in_s if self.starts_in_s else None
                return AllocatedSlot(target, 1, self.release, deadline_s)
        return Refusal(RefusalKind.UNAVAILABLE, 0.25, "no target")

    def release(self, outcome=None, work=None):
        self.allocated -= 1

    def report_rate(self, target, now_s):
        self.rates.append((target.target_id, target.rate.per_s))


class FakeCaller:
    """Stores the response that a caller gets."""

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


def crash_tracker(crashed=False):
    """Return a tracker for which all targets have exited, or none."""

    async def refuses(address):
        return crashed

    return CrashTracker(b"k" * 40, Liveness(refuses), lambda update: None)


def events(first, last):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


def serve(
    *answers,
    kind=RouteKind.STREAM,
    resumable=True,
    attempts=2,
    targets=3,
    starts_in_s=None,
    crashed=False,
    crashes=None,
    settings=SETTINGS,
    arrived_before_s=0.0,
):
    """Serve one request; return its refusal, its caller and the client."""
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
        settings,
        registry,
        allocator,
        client,
        EntryMetrics(Metrics("e", "entry")),
        crashes or crash_tracker(crashed),
    )
    table = RoutingTable(1, (route,), (Service("s"),), (Account("a", ("k",)),))
    dispatcher.index = RouteIndex(table)

    async def run():
        arrived_s = asyncio.get_running_loop().time() - arrived_before_s
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", arrived_s, 5.0, 100, 50
        )
        return await dispatcher.serve(request, caller)

    refusal = asyncio.run(run())
    assert allocator.allocated == 0
    return refusal, caller, client


class SilentAnswer(FakeAnswer):
    """Status and headers at once, and no event for a second."""

    async def parts(self):
        await asyncio.sleep(1.0)
        yield events(1, 2)


class TestSupersededWeights:
    """The first event of a slow engine would come after its version's grace period."""

    def serve(self, *answers):
        return serve(*answers, starts_in_s=0.05)

    def test_request_that_has_not_started_is_dropped(self):
        first = SilentAnswer()
        refusal, caller, client = self.serve(first, FakeAnswer([b""]))
        assert first.closed and not caller.body
        assert len(client.plans) == 2

    @pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.NON_IDEMPOTENT])
    def test_request_whose_time_has_passed_since_its_grant_is_not_sent(self, kind):
        """A kept connection would take all of it before a timeout cancels it."""
        refusal, _, client = serve(FakeAnswer(), kind=kind, starts_in_s=-0.05)
        assert client.plans == []
        # It has not run, and the caller may be told so.
        assert refusal.kind is RefusalKind.UNAVAILABLE and refusal.retry_s > 0

    def test_started_request_continues(self):
        class Slow(FakeAnswer):
            async def parts(self):
                yield events(1, 1)
                await asyncio.sleep(0.15)
                yield events(2, 3)

        refusal, caller, client = self.serve(Slow())
        assert refusal is None and caller.ended
        assert caller.body == events(1, 3) and len(client.plans) == 1


def dispatcher_without_targets(confirmed=True, kind=RouteKind.STREAM):
    """Return a dispatcher that can only admit, with one route to `/a/`."""
    registry = TargetRegistry()
    dispatcher = Dispatcher(
        SETTINGS,
        registry,
        FakeAllocator(registry),
        None,
        EntryMetrics(Metrics("e", "entry")),
        crash_tracker(),
        lambda: confirmed,
    )
    split = (Split("s", 1),)
    route = Route("r", "h", "/a/", kind, split, 6000, 400, 400, 1, 2)
    table = RoutingTable(1, (route,), (Service("s"),), (Account("a", ("k",)),))
    dispatcher.index = RouteIndex(table)
    return dispatcher


class TestReturnedCallers:
    """Callers are refused on a route, and some of them retry."""

    def admit(self, *max_waits_s):
        dispatcher = dispatcher_without_targets()
        dispatcher.retry_detectors["r"].record_refusal(0.0)
        requests = (
            CallerRequest("id", "POST", "/a/", "h", "/a/", (), b"", "k", 1.0, each)
            for each in max_waits_s
        )
        return [dispatcher.admit(request).is_retry for request in requests]

    def test_are_detected_by_their_stated_wait(self):
        assert self.admit(6.0, 5.3, 4.4) == [False, False, True]

    def test_caller_without_deadline_makes_no_other_late(self):
        """It counts as waiting for the route's limit rather than half a minute."""
        assert self.admit(30.0, 5.3) == [False, False]


class TestUnconfirmedTable:
    """The routing table of an entry that has just started may be stale."""

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
    def test_refusal_is_final_only_with_confirmed_table(self, path, key, kind):
        assert self.admit(True, path, key).kind is kind
        early = self.admit(False, path, key)
        assert early.kind is RefusalKind.NOT_READY
        assert early.retry_s > 0

    def test_known_route_is_served(self):
        assert self.admit(False, "/a/", "k").route.name == "r"


class TestStreams:
    def test_resumes_after_the_last_complete_event(self):
        first = FakeAnswer([events(1, 3) + b"id: 4\nda"], breaks=True)
        refusal, caller, client = serve(first, FakeAnswer([events(4, 6)]))
        assert refusal is None and caller.ended
        assert caller.body == events(1, 6)
        assert client.plans[1].resume_after == "3"
        assert client.plans[0].target_id != client.plans[1].target_id

    def test_is_cut_without_another_target(self):
        broken = FakeAnswer([events(1, 3)], breaks=True)
        refusal, caller, client = serve(broken, targets=1)
        assert refusal is None and caller.was_cut and not caller.ended
        assert len(client.plans) == 1

    def test_non_resumable_stream_is_not_sent_again(self):
        broken = FakeAnswer([events(1, 3)], breaks=True)
        refusal, caller, client = serve(broken, resumable=False)
        assert caller.was_cut and len(client.plans) == 1

    def test_end_within_an_event_is_a_failure(self):
        short = FakeAnswer([events(1, 2) + b"id: 3"])
        refusal, caller, client = serve(short, FakeAnswer([events(3, 4)]))
        assert caller.body == events(1, 4) and caller.ended

    def test_failed_continuation_is_not_relayed(self):
        broken = FakeAnswer([events(1, 2)], breaks=True)
        refusal, caller, _ = serve(broken, FakeAnswer([b"oops"], status=500))
        assert caller.body == events(1, 2) and caller.was_cut


class TestUnframedResponse:
    """It has neither a length nor chunks, and ends with its connection."""

    def answer(self, *parts, **options):
        return FakeAnswer(parts, unframed=True, **options)

    @pytest.mark.parametrize("sent", [b"", events(1, 2), events(1, 2) + b"id: 3"])
    def test_stream_that_ends_with_its_target_is_resumed(self, sent, caplog):
        caplog.set_level(logging.INFO)
        last = sent.count(b"data")
        rest = FakeAnswer([events(last + 1, 4)])
        refusal, caller, client = serve(self.answer(sent), rest, crashed=True)
        assert refusal is None and caller.ended
        assert caller.body == events(1, 4)
        assert client.plans[1].resume_after == (str(last) if last else "")
        messages = [record.message for record in caplog.records]
        assert messages.count("stream broke off") == 1
        assert messages.count("target ended under request") == 1

    def test_stream_of_a_running_target_is_whole(self):
        refusal, caller, client = serve(self.answer(events(1, 2)))
        assert refusal is None and caller.ended
        assert caller.body == events(1, 2) and len(client.plans) == 1

    def test_stream_that_ends_within_an_event_is_resumed(self, caplog):
        """Its target may be running."""
        caplog.set_level(logging.INFO)
        cut = self.answer(events(1, 2) + b"id: 3")
        refusal, caller, client = serve(cut, FakeAnswer([events(3, 4)]))
        assert caller.body == events(1, 4) and caller.ended
        (line,) = [r for r in caplog.records if r.message == "stream broke off"]
        assert "within an event" in line.reason

    @pytest.mark.parametrize("crashed", [True, False])
    def test_body_is_whole_unless_its_target_ended(self, crashed):
        refusal, caller, client = serve(
            self.answer(b"body"),
            FakeAnswer([b"whole"]),
            kind=RouteKind.IDEMPOTENT,
            crashed=crashed,
        )
        assert refusal is None
        assert caller.body == (b"whole" if crashed else b"body")
        assert len(client.plans) == 1 + crashed

    def test_body_that_ends_with_its_target_is_no_answer_to_an_unrepeatable_request(
        self,
    ):
        refusal, caller, client = serve(
            self.answer(b"body"),
            kind=RouteKind.NON_IDEMPOTENT,
            resumable=False,
            crashed=True,
        )
        assert refusal.kind is RefusalKind.FAILED
        assert not caller.started and len(client.plans) == 1

    def test_framed_response_needs_no_running_target(self):
        whole = FakeAnswer([events(1, 2)])
        refusal, caller, client = serve(whole, crashed=True)
        assert refusal is None and caller.ended and len(client.plans) == 1

    def test_of_a_target_that_has_announced_its_exit_is_whole(self):
        whole = self.answer(events(1, 2), signals=ResponseSignals(leaving=True))
        refusal, caller, client = serve(whole, crashed=True)
        assert refusal is None and caller.ended and len(client.plans) == 1


class TestAtMostOnce:
    def once(self, *answers, **more):
        more.setdefault("attempts", 3)
        return serve(*answers, kind=RouteKind.NON_IDEMPOTENT, resumable=False, **more)

    def test_broken_answer_may_have_run(self):
        refusal, _, client = self.once(BrokenAnswerError("reset"))
        assert refusal.kind is RefusalKind.FAILED
        assert len(client.plans) == 1

    def test_incomplete_body_may_have_run(self):
        refusal, caller, client = self.once(FakeAnswer([b"part"], breaks=True))
        assert refusal.kind is RefusalKind.FAILED
        assert not caller.started and len(client.plans) == 1

    @pytest.mark.parametrize(
        "answer",
        [
            NotSentError("refused"),
            NoTimeLeftError("connecting took too long"),
            FakeAnswer(not_run=True, status=503),
            FakeAnswer(not_run=True, other_instance=True, status=421),
        ],
    )
    def test_request_that_did_not_run_is_sent_elsewhere(self, answer):
        refusal, caller, client = self.once(answer, FakeAnswer())
        assert refusal is None and caller.body == b"whole"
        assert len(client.plans) == 2

    def test_refusal_guarantees_only_what_is_certain(self):
        refusal, _, _ = self.once(NotSentError("refused"), targets=1)
        assert refusal.kind is RefusalKind.UNAVAILABLE
        refusal, _, _ = self.once(NotSentError("no"), BrokenAnswerError("reset"))
        assert refusal.kind is RefusalKind.FAILED

    def test_error_response_of_a_target_is_final(self):
        refusal, caller, client = self.once(FakeAnswer([b"failed"], status=500))
        assert refusal is None
        assert (caller.status, caller.body) == (500, b"failed")
        assert len(client.plans) == 1

    def test_fresh_connection(self):
        _, _, client = self.once(FakeAnswer())
        assert client.plans[0].fresh_connection


class TestIdempotent:
    def test_failed_request_is_retried(self):
        failed = FakeAnswer([b"failed"], status=500)
        refusal, caller, client = serve(
            failed, FakeAnswer(), kind=RouteKind.IDEMPOTENT, resumable=False
        )
        assert refusal is None and caller.body == b"whole"
        assert failed.closed

    def test_sends_are_limited_by_attempts(self):
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
    """Requests that arrive at an entry which has just started."""

    def dispatcher(self):
        registry = TargetRegistry()
        return Dispatcher(
            SETTINGS,
            registry,
            FakeAllocator(registry),
            FakeClient(),
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(),
        )

    async def ask(self, dispatcher, **more):
        now_s = asyncio.get_running_loop().time()
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "k", now_s, 6.0, **more
        )
        return await dispatcher.serve(request, FakeCaller())

    def test_request_waits_for_the_first_routing_table(self):
        async def run():
            dispatcher = self.dispatcher()
            asking = asyncio.create_task(self.ask(dispatcher))
            await asyncio.sleep(0)
            dispatcher.set_table(RoutingTable(1))
            return await asking

        assert asyncio.run(run()).kind is RefusalKind.NO_ROUTE

    def test_retries_are_spread_over_the_time_left(self):
        async def run():
            dispatcher = self.dispatcher()
            asks = [self.ask(dispatcher) for _ in range(20)]
            return await asyncio.gather(*asks)

        refusals = asyncio.run(run())
        assert {r.kind for r in refusals} == {RefusalKind.NOT_READY}
        pauses = [r.retry_s for r in refusals]
        # Without the spread, all retried after half a second and most got a final
        # refusal.
        assert min(pauses) > 0.75
        assert max(pauses) - min(pauses) > 0.3
        assert max(pauses) < 6.0 / 3


class TestTimeBeforeTheFirstSend:
    """A request may wait behind others on its connection until its time has passed."""

    def test_request_whose_time_has_passed_is_refused_as_not_run(self):
        refusal, caller, client = serve(FakeAnswer(), arrived_before_s=5.0)
        assert refusal.kind is RefusalKind.UNAVAILABLE
        assert not client.plans and not caller.started

    def test_request_that_has_time_is_sent(self):
        refusal, caller, client = serve(
            FakeAnswer(), kind=RouteKind.NON_IDEMPOTENT, arrived_before_s=4.5
        )
        assert refusal is None and client.plans


class TestSilenceLimit:
    def silence_limit_s(self, has_sends_left, kind=RouteKind.IDEMPOTENT):
        route = Route("r", "h", "/", kind, (Split("s", 1),), 6000, 400, 400, 1)
        return silence_limit_s(route, 1.0, has_sends_left)

    def test_last_send_has_all_the_time_left(self):
        assert self.silence_limit_s(has_sends_left=False) is None

    def test_earlier_send_leaves_time_for_another(self):
        assert self.silence_limit_s(has_sends_left=True) == 0.5

    def test_non_idempotent_request_is_never_abandoned_early(self):
        assert self.silence_limit_s(True, RouteKind.NON_IDEMPOTENT) is None


class TestTimeNeeded:
    """What a stopping entry expects a request to take, from its head."""

    def needed_s(self, dispatcher, path="/a/x", answer_tokens=50):
        request = CallerRequest(
            "id", "POST", path, "h", path, (), b"", "k", 0.0, 5.0, 100, answer_tokens
        )
        return dispatcher.drain_limits.time_needed_s(request)

    def test_is_the_limit_of_a_stream_before_the_first_response(self):
        """The objective of a stream covers no more than its first event."""
        dispatcher = dispatcher_without_targets()
        assert self.needed_s(dispatcher) == 6.0

    def test_is_the_objective_of_a_plain_route_before_the_first_response(self):
        dispatcher = dispatcher_without_targets(kind=RouteKind.IDEMPOTENT)
        assert self.needed_s(dispatcher) == 0.4

    def test_follows_the_responses_of_its_route_and_size(self):
        dispatcher = dispatcher_without_targets()
        route = dispatcher.index.table.routes[0]
        long_request = CallerRequest(
            "id", "POST", "/a/x", "h", "/a/x", (), b"", "k", 0.0, 5.0, 100, 50
        )
        for _ in range(50):
            dispatcher.drain_limits.response_times.record(
                work_of(route, long_request), 3.0
            )
        assert 3.0 <= self.needed_s(dispatcher) < 3.1
        assert self.needed_s(dispatcher, answer_tokens=5) < 1.0

    def test_is_at_most_the_limit_of_the_route(self):
        """Sizes that were not seen before are estimated from others."""
        dispatcher = dispatcher_without_targets()
        route = dispatcher.index.table.routes[0]
        short_request = CallerRequest(
            "id", "POST", "/a/x", "h", "/a/x", (), b"", "k", 0.0, 5.0, 100, 32
        )
        dispatcher.drain_limits.response_times.record(
            work_of(route, short_request), 1.0
        )
        assert self.needed_s(dispatcher, answer_tokens=1024) == 6.0

    def test_of_a_fast_route_is_below_its_objective(self):
        dispatcher = dispatcher_without_targets()
        route = dispatcher.index.table.routes[0]
        request = CallerRequest(
            "id", "POST", "/a/x", "h", "/a/x", (), b"", "k", 0.0, 5.0, 100, 50
        )
        dispatcher.drain_limits.response_times.record(work_of(route, request), 0.1)
        assert 0.1 <= self.needed_s(dispatcher) < 0.4

    def test_without_a_route_is_that_of_a_refusal(self):
        dispatcher = dispatcher_without_targets()
        assert self.needed_s(dispatcher, path="/none/") < 0.1
        dispatcher.index = None
        assert self.needed_s(dispatcher) < 0.1
