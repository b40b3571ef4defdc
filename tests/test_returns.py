"""Outages of all instances, and callers that come back after a refusal."""

import asyncio
import random
from functools import lru_cache
from types import SimpleNamespace

import pytest
from bench.returns import Figures, Replay, Wave
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import (
    SETTINGS,
    FakeAllocator,
    FakeAnswer,
    FakeCaller,
    FakeClient,
    crash_tracker,
)
from tests.test_evacuated_engine import MANIFEST, new_service
from tests.test_slot_allocation import IDENTITY
from wisteriapulley.direct.dispatch import Dispatcher
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import SlotAllocator, urgency_of
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.metrics import Metrics
from wisteriapulley.policy.engine_slots import (
    OVERDUE_OPENING_MS,
    EngineSlots,
    SlotRequest,
)
from wisteriapulley.policy.late_requests import LATE_SLOT_FRACTION
from wisteriapulley.policy.outage_hold import (
    CLOSED_POLL_S,
    FULL_POLL_S,
    HOLD_FRACTION,
    MAX_HELD,
    MAX_OUTAGE_S,
    RETURN_HOLD_FRACTION,
    OutageHold,
)
from wisteriapulley.policy.retry_after import MAX_WAIT_FRACTION, retry_after_s
from wisteriapulley.policy.return_queue import WAIT_FRACTION
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.routing import (
    Engine,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)
from wisteriapulley.wire.messages import TargetState

ENGINE = Engine("m", 12, 7, 6.73, 0.02, 30.6)
ROUTE = Route("r", "h", "/", RouteKind.STREAM, (Split("s", 1),), 6100, 404, public=True)
LIMIT_S = 6.0
OBJECTIVE_S = ROUTE.latency_ms / 1000


class TestOutageHold:
    @pytest.fixture
    def outage(self):
        """Return the state of a service of which no target is open since 10 s."""
        outage = OutageHold()
        outage.record_open(0.0, 10.0)
        return outage

    def test_first_attempt_is_held_until_its_objective(self, outage):
        held_s = outage.left_s(10.0, LIMIT_S, 10.0, OBJECTIVE_S)
        assert held_s == pytest.approx(OBJECTIVE_S)
        late_s = 10.0 + OBJECTIVE_S
        assert outage.left_s(10.0, LIMIT_S, late_s, OBJECTIVE_S) == 0.0

    def test_first_attempt_is_held_for_a_part_of_its_time_at_most(self, outage):
        held_s = outage.left_s(10.0, LIMIT_S, 10.0, objective_s=0.0)
        assert held_s == pytest.approx(HOLD_FRACTION * LIMIT_S)
        held_s = outage.left_s(10.0, 1.0, 10.0, OBJECTIVE_S)
        assert held_s == pytest.approx(HOLD_FRACTION)

    def test_refused_request_has_most_of_its_time_left_for_the_retry(self):
        left_s = LIMIT_S * (1 - HOLD_FRACTION)
        latest_retry_s = retry_after_s(True, LIMIT_S, left_s, lambda: 1.0)
        assert left_s - latest_retry_s > LIMIT_S / 2

    def test_return_is_held_for_longer(self, outage):
        held_s = outage.left_s(10.0, LIMIT_S, 10.0, OBJECTIVE_S, is_return=True)
        assert held_s == pytest.approx(RETURN_HOLD_FRACTION * LIMIT_S)

    def test_loss_of_some_targets_is_no_outage(self):
        outage = OutageHold()
        outage.record_open(0.1, 10.0)
        assert outage.left_s(10.0, LIMIT_S, 10.0, OBJECTIVE_S) == 0.0

    def test_lasts_until_most_targets_are_open(self, outage):
        outage.record_open(0.4, 10.2)
        assert outage.left_s(10.2, LIMIT_S, 10.2, OBJECTIVE_S)
        outage.record_open(0.9, 10.3)
        assert outage.left_s(10.3, LIMIT_S, 10.3, OBJECTIVE_S) == 0.0
        # Some targets change their weights later.
        outage.record_open(0.4, 11.0)
        assert outage.left_s(11.0, LIMIT_S, 11.0, OBJECTIVE_S) == 0.0

    def test_long_outage_refuses_at_once(self, outage):
        later_s = 10.0 + MAX_OUTAGE_S
        outage.record_open(0.0, later_s)
        assert outage.left_s(later_s, LIMIT_S, later_s, OBJECTIVE_S) == 0.0

    def test_second_outage_counts_from_its_own_start(self, outage):
        outage.record_open(0.4, 60.0)
        outage.record_open(0.0, 90.0)
        assert outage.left_s(90.0, LIMIT_S, 90.0, OBJECTIVE_S)

    def test_looks_for_room_less_often_once_targets_are_open(self, outage):
        assert outage.next_look_s(0.4, any_open=False) == CLOSED_POLL_S
        assert outage.next_look_s(0.4, any_open=True) == FULL_POLL_S
        assert outage.next_look_s(0.01, any_open=False) == 0.01

    def test_target_that_is_tried_again_too_late_is_not_waited_for(self, outage):
        assert outage.next_look_s(0.4, any_open=False, return_s=0.5) == 0.0
        assert outage.next_look_s(0.4, any_open=False, return_s=0.3) == CLOSED_POLL_S

    def test_number_of_held_requests_is_bounded(self, outage):
        outage.held = MAX_HELD
        assert outage.left_s(10.0, LIMIT_S, 10.0, OBJECTIVE_S) == 0.0


def late_request(number, may_wait=True, wait_ms=3000.0, priority=51):
    return SlotRequest(
        f"r{number}", "e", 300, 70, priority, wait_ms, True, may_wait=may_wait
    )


def new_request(number, wait_ms=9000.0):
    return SlotRequest(f"n{number}", "e", 1, 70, 1, wait_ms)


def full_slots():
    """Return an open engine of which new requests hold all slots."""
    slots = EngineSlots(ENGINE)
    slots.open = True
    for number in range(slots.max_grants):
        assert slots.request_slot(new_request(number), 0.0).granted
    return slots


class TestWaitingReturns:
    def test_return_waits_at_a_full_engine(self):
        slots = full_slots()
        decision = slots.request_slot(late_request(1), 0.0)
        assert not decision.denied and not decision.granted
        assert list(slots.advance(100.0)) == []
        for number in range(6):
            slots.release(f"n{number}", 200.0)
        assert [v.granted for v in slots.advance(200.0)] == [True]

    def test_other_late_request_is_refused_at_once(self):
        assert full_slots().request_slot(late_request(1, may_wait=False), 0.0).denied

    def test_order_is_that_of_arrival(self):
        slots = full_slots()
        for number in range(3):
            slots.request_slot(late_request(number), float(number))
        slots.revoke_all()
        granted = [v.request_id for v in slots.advance(10.0) if v.granted]
        assert granted == ["r0", "r1", "r2"]

    def test_return_goes_before_a_held_request(self):
        slots = full_slots()
        slots.request_slot(late_request("held", priority=101), 0.0)
        slots.request_slot(late_request("return"), 1.0)
        slots.revoke_all()
        assert next(slots.advance(10.0)).request_id == "rreturn"

    def test_new_request_goes_before_returns(self):
        slots = full_slots()
        slots.request_slot(late_request(1), 0.0)
        slots.request_slot(new_request("new"), 1.0)
        slots.release("n0", 2.0)
        assert [v.request_id for v in slots.advance(2.0)] == ["nnew"]

    def test_number_of_waiting_returns_is_bounded(self):
        slots = full_slots()
        decisions = [slots.request_slot(late_request(n), 0.0) for n in range(40)]
        assert sum(not v.denied for v in decisions) == ENGINE.slots

    def test_return_is_denied_when_its_wait_is_over(self):
        slots = full_slots()
        slots.request_slot(late_request(1, wait_ms=500.0), 0.0)
        assert [v.denied for v in slots.advance(500.0)] == [True]

    def test_entry_that_is_lost_keeps_no_place(self):
        slots = full_slots()
        slots.request_slot(late_request(1), 0.0)
        slots.release_owner("e", 0.0)
        assert not slots.queue

    def test_time_until_a_late_slot_grows_with_those_who_wait(self):
        slots = full_slots()
        late = late_request("x", may_wait=False)
        first = slots.request_slot(late, 0.0).retry_ms
        for number in range(4):
            slots.request_slot(late_request(number), 0.0)
        assert slots.request_slot(late, 0.0).retry_ms > first > 0


class TestUrgency:
    def urgency(self, waited_s, returns_wait=True, **kinds):
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", 0.0, 4.5, 900, 140
        )
        admitted = Admitted(request, ROUTE, None, 4.5, **kinds)
        return urgency_of(admitted, ENGINE, waited_s, returns_wait)

    def test_return_waits_for_a_part_of_its_slack(self):
        urgency = self.urgency(0.0, is_retry=True)
        assert urgency.may_wait and urgency.late
        assert urgency.wait_ms <= WAIT_FRACTION * 4500

    def test_return_is_as_urgent_as_any_late_request_without_the_setting(self):
        urgency = self.urgency(0.0, returns_wait=False, is_retry=True)
        assert urgency.late and not urgency.may_wait
        assert urgency.priority == self.urgency(0.5).priority

    def test_wait_counts_over_all_sidecars(self):
        first = self.urgency(0.0, is_retry=True).wait_ms
        assert self.urgency(0.3, is_retry=True).wait_ms == pytest.approx(first - 300)
        assert self.urgency(4.0, is_retry=True).wait_ms == 0.0

    def test_late_request_that_is_no_return_does_not_wait(self):
        assert not self.urgency(0.5).may_wait


class TestOpening:
    def test_late_requests_claim_their_part_beside_new_ones(self):
        """Both arrive before the engine opens, and all of its slots are free."""
        slots = EngineSlots(ENGINE)
        slots.opens_at_ms = 100.0
        assert not slots.request_slot(new_request(1), 0.0).denied
        decisions = [slots.request_slot(late_request(n), 0.0) for n in range(20)]
        claimed = sum(not v.denied for v in decisions)
        limit = LATE_SLOT_FRACTION * slots.max_grants
        assert limit - 1 < claimed < limit

    def test_engine_that_does_not_open_is_closed(self):
        slots = EngineSlots(ENGINE)
        slots.opens_at_ms = 100.0
        slots.request_slot(late_request(1), 0.0)
        assert list(slots.advance(100.0 + OVERDUE_OPENING_MS)) == []
        overdue_ms = 101.0 + OVERDUE_OPENING_MS
        assert [v.denied for v in slots.advance(overdue_ms)] == [True]
        assert slots.request_slot(late_request(2), overdue_ms).denied


class TestAnnouncedOpening:
    """An engine that starts with most of its pieces staged."""

    def announce(self, service, missing):
        service.state.report = EngineReport({})
        service.updater.staging.missing = lambda manifest: range(missing)
        service.updater.download_ms = lambda size: 100.0 * size / MANIFEST.chunk_bytes
        service.updater.expect_opening(MANIFEST)
        service.update_admission()
        return service.admission.heartbeat().state

    def test_is_stated_until_the_update_ends(self, tmp_path):
        """Each poll of the engine withdrew it, and those who waited were denied."""

        async def run():
            service = new_service(tmp_path)
            assert self.announce(service, missing=8) == "opening"
            service.updater.update_once = self.fail
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.0):
                    await service.updater.run_update(None)
            return service.admission.heartbeat().state

        assert asyncio.run(run()) == "closed"

    async def fail(self, goal):
        await asyncio.Event().wait()

    def test_is_not_stated_long_ahead(self, tmp_path):
        async def run():
            return self.announce(new_service(tmp_path), missing=20)

        assert asyncio.run(run()) == "closed"


class TestRetryTimes:
    def test_are_not_before_a_slot_may_be_free(self):
        rng = random.Random(1)
        times = [retry_after_s(True, 1.0, 5.0, rng.random) for _ in range(200)]
        assert min(times) >= 1.0
        assert max(times) <= MAX_WAIT_FRACTION * 5.0

    def test_are_spread_although_all_are_told_the_same(self):
        """With all at the stated time, they came back in one wave."""
        rng = random.Random(1)
        times = [retry_after_s(True, 1.0, 5.0, rng.random) for _ in range(200)]
        assert sum(s < 1.05 for s in times) < 40


class OutageAllocator(FakeAllocator):
    """Has no slot until `opens_s`, and counts as open as far as `open_now` says."""

    def __init__(self, registry, opens_s, open_now=0.0, kind=RefusalKind.NOT_READY):
        super().__init__(registry)
        self.opens_s, self.open_now, self.kind = opens_s, open_now, kind
        self.asked_s = []

    async def allocate(self, admitted, service, engine, tried, now_s, is_last=False):
        self.asked_s.append(now_s)
        if now_s < self.opens_s:
            return Refusal(self.kind, 0.25, "none")
        return await super().allocate(admitted, service, engine, tried, now_s)

    def open_fraction(self, service, engine, now_s, homes):
        return 1.0 if now_s >= self.opens_s else self.open_now


def serve(opens_s, max_wait_s=LIMIT_S, engine=ENGINE, leaves_s=None, **options):
    """Serve one request on a virtual clock; return refusal, time and dispatcher."""

    async def run():
        registry = TargetRegistry()
        registry.update([TargetState("i", "s", "10.0.0.1:80", "z", sequence=1)], 0.0)
        dispatcher = Dispatcher(
            SETTINGS,
            registry,
            OutageAllocator(registry, opens_s, **options),
            FakeClient(FakeAnswer((b"id: 1\ndata: x\n\n",))),
            EntryMetrics(Metrics("e", "entry")),
            crash_tracker(),
        )
        service = Service("s", engine=engine)
        dispatcher.set_table(RoutingTable(1, (ROUTE,), (service,)))
        request = CallerRequest(
            "id", "POST", "/x", "h", "/x", (), b"", "", 0.0, max_wait_s, 100, 50
        )
        serving = asyncio.create_task(dispatcher.serve(request, FakeCaller()))
        if leaves_s is not None:
            await asyncio.sleep(leaves_s)
            serving.cancel()
        (refusal,) = await asyncio.gather(serving, return_exceptions=True)
        return refusal, asyncio.get_running_loop().time(), dispatcher

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())


class TestEntry:
    def test_request_is_held_until_a_target_opens(self):
        refusal, ended_s, _ = serve(opens_s=0.3)
        assert refusal is None
        assert 0.3 <= ended_s < 0.4

    def test_request_is_refused_in_time_for_a_retry(self):
        refusal, ended_s, _ = serve(opens_s=9.0)
        assert refusal.kind is RefusalKind.NOT_READY
        assert ended_s == pytest.approx(OBJECTIVE_S)
        assert refusal.retry_s

    def test_short_limit_is_held_shortly(self):
        _, ended_s, _ = serve(opens_s=9.0, max_wait_s=0.6, engine=None)
        assert ended_s == pytest.approx(HOLD_FRACTION * 0.6)

    def test_full_targets_refuse_at_once(self):
        """Some engines are closed; that the others are full is known."""
        refusal, ended_s, dispatcher = serve(
            opens_s=9.0, open_now=0.3, kind=RefusalKind.OVERLOADED
        )
        assert refusal.kind is RefusalKind.OVERLOADED
        assert ended_s == 0.0
        assert len(dispatcher.allocator.asked_s) == 1

    def test_known_later_return_refuses_at_once(self):
        """The target could not be reached, and is not tried before its backoff ends."""

        async def run():
            dispatcher = Dispatcher(
                SETTINGS,
                TargetRegistry(),
                OutageAllocator(None, 9.0),
                FakeClient(),
                EntryMetrics(Metrics("e", "entry")),
                crash_tracker(),
            )
            service = Service("s", engine=ENGINE)
            dispatcher.set_table(RoutingTable(1, (ROUTE,), (service,)))
            dispatcher.registry.update(
                [TargetState("i", "s", "10.0.0.1:80", "z", sequence=1)], 0.0
            )
            dispatcher.registry.targets["i"].unreachable_until_s = 4.0
            request = CallerRequest(
                "id", "POST", "/x", "h", "/x", (), b"", "", 0.0, LIMIT_S
            )
            await dispatcher.serve(request, FakeCaller())
            return asyncio.get_running_loop().time()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            assert runner.run(run()) == 0.0

    def test_caller_that_leaves_is_held_no_longer(self):
        _, ended_s, dispatcher = serve(opens_s=9.0, leaves_s=0.2)
        assert ended_s == pytest.approx(0.2)
        assert [outage.held for outage in dispatcher.outages.values()] == [0]

    def test_end_of_the_outage_is_noticed_without_a_refusal(self):
        _, _, dispatcher = serve(opens_s=0.3)
        assert [outage.since_s for outage in dispatcher.outages.values()] == [None]

    def allocator(self):
        """Return an allocator with one target, without a link to its sidecar."""
        registry = TargetRegistry()
        registry.update([TargetState("i", "s", "10.0.0.1:80", "z", sequence=1)], 0.0)
        follower = SimpleNamespace(open_links=list)
        return SlotAllocator(SETTINGS, IDENTITY, registry, follower)

    def test_throttled_targets_are_no_outage(self):
        """All engines are in a cool-down that they asked for."""
        allocator = self.allocator()
        assert allocator.open_fraction("s", ENGINE, 0.0, ()) == 0.0
        allocator.registry.targets["i"].cooldown.until_s = 2.0
        assert allocator.open_fraction("s", ENGINE, 0.0, ()) == 1.0

    def test_full_plain_targets_are_no_outage(self):
        allocator = self.allocator()
        assert allocator.open_fraction("s", None, 0.0, ()) == 1.0
        assert allocator.open_fraction("unknown", None, 0.0, ()) == 0.0

    def test_caller_cut_off_by_the_outage_is_taken_for_a_return(self):
        """It states less time than new callers, though no entry has refused it."""
        _, _, dispatcher = serve(opens_s=0.5)
        detector = dispatcher.retry_detectors[ROUTE.name]
        assert detector.is_retry(LIMIT_S / 2, 0.6)
        _, _, dispatcher = serve(opens_s=0.0)
        detector = dispatcher.retry_detectors[ROUTE.name]
        assert not detector.is_retry(LIMIT_S / 2, 0.6)

    def test_held_requests_are_counted(self):
        _, _, dispatcher = serve(opens_s=0.3)
        held = dispatcher.metrics.held
        assert held.get({"service": "s", "end": "placed"}) == 1


@lru_cache
def replay(**parameters):
    """Return two replays of a wave, which differ in their seeds."""
    return [Replay(Wave(seed=seed, **parameters)).run() for seed in (1, 2)]


def total(replays, chosen=lambda caller: True):
    """Return the summed figures of replays; `worth` is the mean."""
    figures = [each.figures(chosen) for each in replays]
    sums = [sum(column) for column in zip(*figures, strict=True)]
    return Figures(*sums[:-1], sums[-1] / len(figures))


BEFORE = {"holds": False, "claims": False}


class TestWave:
    """400 callers arrive in the half second before 24 engines of 12 slots open."""

    def test_fewer_are_refused_for_good(self):
        before, after = total(replay(**BEFORE)), total(replay())
        assert after.refused < before.refused / 3
        assert after.worth > before.worth + 0.02
        assert after.in_time > 0.95 * before.in_time

    def test_worst_seconds_are_better(self):
        def first(caller):
            return caller.at_ms < 2000

        assert (
            total(replay(), first).worth > total(replay(**BEFORE), first).worth + 0.04
        )

    def test_callers_without_another_retry(self):
        """Half of the callers were cut by the outage, and have used their retry."""
        before = total(replay(cut_fraction=0.5, **BEFORE))
        after = total(replay(cut_fraction=0.5))
        assert after.refused < before.refused / 2

    def test_each_rule_is_needed(self):
        both = total(replay()).refused
        assert both < total(replay(holds=False)).refused
        assert both < total(replay(claims=False)).refused / 2

    def test_lasting_overload_is_served_no_worse(self):
        """New requests above the capacity, without an outage."""
        overload = {"callers": 0, "opens_from_s": 0.0, "opens_to_s": 0.01}
        before = total(replay(per_s=330.0, **overload, **BEFORE))
        after = total(replay(per_s=330.0, **overload))
        assert after.worth >= before.worth
        assert after.in_time > 0.98 * before.in_time


class TestEnginesThatDoNotOpen:
    """A third of the engines announce an opening that does not come."""

    def test_callers_who_wait_there_are_served_elsewhere(self):
        before = total(replay(never_open=8, **BEFORE))
        after = total(replay(never_open=8))
        assert after.refused < before.refused
        assert after.worth > before.worth

    def test_no_engine_opens(self):
        """Callers are refused early enough for their retry, and then early."""
        callers = [c for each in replay(never_open=24) for c in each.callers]
        first = [c.held_ms[0] for c in callers if len(c.refused_ms) > 1]
        # The wait at an announced opening ends half a second after its time.
        assert max(first) < 0.4 * 1000 * LIMIT_S
        # Each entry counts from its own first request.
        after_ms = 1000 * (MAX_OUTAGE_S + 0.5)
        late = [c.held_ms[0] for c in callers if c.at_ms > after_ms]
        assert late and max(late) == 0.0


class TestRepeatingClients:
    """A quarter of the clients repeats three times at once."""

    def test_gain_nothing_over_those_who_wait(self):
        replays = replay(repeating=0.25)
        repeating = total(replays, lambda caller: caller.repeats)
        waiting = total(replays, lambda caller: not caller.repeats)
        assert repeating.worth < waiting.worth + 0.02
        in_time = waiting.in_time / waiting.callers
        assert repeating.in_time / repeating.callers < in_time + 0.02
