"""Admission levels that sidecars state, and requests that are refused by them."""

import asyncio
import logging
from types import SimpleNamespace

import pytest

from tests.test_class_reserve import CAPACITY, Load
from tests.test_slot_admission import make_admission
from tests.test_slot_allocation import ENGINE, IDENTITY, ROUTE, SETTINGS, FakeSidecars
from wisteriapulley.direct.admission_levels import AdmissionLevels
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.emulator import Fleet, Scenario, Surge
from wisteriapulley.policy.admission_level import PROBE_INTERVAL_S, LevelProbes
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

DENIED = messages.Reserved(retry_ms=100)
REPORT_MS = 30.0


def run_load(load, start_ms, end_ms, *per_s):
    """Run two classes at these rates; return the levels that are reported."""
    levels = []
    now_ms = start_ms
    due_ms = [start_ms] * len(per_s)
    while now_ms < end_ms:
        for priority, rate in enumerate(per_s):
            while rate and due_ms[priority] <= now_ms:
                load.request(priority, now_ms)
                due_ms[priority] += 1000 / rate
        load.advance(now_ms)
        levels.append(load.slots.admission_level.update(now_ms))
        now_ms += REPORT_MS
    return levels


class TestAdmissionLevel:
    def test_admits_all_while_room_suffices(self):
        assert set(run_load(Load(), 0.0, 4000.0, 3, 3)) == {0}

    def test_leaves_out_the_least_urgent_class_under_overload(self):
        levels = run_load(Load(), 0.0, 4000.0, 20, 10)
        assert levels[0] == 0
        assert 1 in levels

    def test_admits_again_within_a_second_after_the_overload(self):
        load = Load()
        assert 1 in run_load(load, 0.0, 4000.0, 20, 10)
        assert run_load(load, 4000.0, 6500.0, 1, 3)[-1] == 0

    def test_most_urgent_class_is_never_left_out(self):
        levels = run_load(Load(), 0.0, 4000.0, 60, 10)
        assert set(levels) == {0, 1}

    def test_priorities_that_no_report_can_state_have_no_level(self):
        load = Load()
        for step in range(400):
            for priority in (70_000, 70_000, 80_000):
                load.request(priority, step * 20.0)
            assert load.slots.admission_level.update(step * 20.0) == 0

    def test_one_class_has_no_level(self):
        assert set(run_load(Load(), 0.0, 4000.0, 60)) == {0}

    def test_class_whose_more_urgent_ones_are_gone_is_not_left_out(self):
        load = Load()
        run_load(load, 0.0, 3000.0, 20, 10)
        assert run_load(load, 3000.0, 9000.0, 0, 60)[-1] == 0

    def test_does_not_follow_each_slot(self):
        levels = run_load(Load(), 0.0, 10_000.0, 12, 10)
        changes = sum(a != b for a, b in zip(levels, levels[1:], strict=False))
        assert changes < len(levels) / 10

    def test_free_time_is_quantised(self):
        load = Load()
        assert load.slots.admission_level.free_ms() == 0
        run_load(load, 0.0, 1000.0, 60)
        free_ms = load.slots.admission_level.free_ms()
        assert free_ms > 0 and free_ms % 50 == 0


class TestLevelProbes:
    def test_one_at_a_time_by_service_and_priority(self):
        probes = LevelProbes()
        assert probes.take("s", 2, 1.0)
        assert not probes.take("s", 2, 1.0 + PROBE_INTERVAL_S / 2)
        assert probes.take("s", 1, 1.0) and probes.take("t", 2, 1.0)
        assert probes.take("s", 2, 1.0 + PROBE_INTERVAL_S)


class LevelSidecars(FakeSidecars):
    """Sidecars that state levels and deny all requests."""

    def __init__(self, *levels, free_ms=300):
        super().__init__(*[DENIED] * 100)
        self.levels = levels
        self.free_ms = free_ms

    def heartbeat_of(self, target):
        level = self.levels[int(target.target_id.removeprefix("i-"))]
        return messages.Heartbeat(level=level, free_ms=self.free_ms)


def allocate(sidecars, priority, requests=2, is_retry=False):
    """Request slots for some requests; return the last result."""

    async def run():
        now_s = asyncio.get_running_loop().time()
        registry = TargetRegistry()
        states = [
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=12)
            for n in range(len(sidecars.levels))
        ]
        registry.update(states, now_s)
        follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
        allocator = SlotAllocator(SETTINGS, IDENTITY, registry, follower)
        allocator.sidecars = sidecars
        allocator.levels = AdmissionLevels(sidecars)
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        route = ROUTE._replace(priority=priority)
        admitted = Admitted(request, route, None, now_s + 5.4, is_retry)
        for _ in range(requests):
            result = await allocator.allocate(admitted, "s", ENGINE, set(), now_s)
        return result, allocator.levels.refused

    return asyncio.run(run())


class TestEntry:
    def test_refuses_at_once_when_no_engine_admits_the_priority(self):
        """The first request probes; the second is refused without a message."""
        sidecars = LevelSidecars(1, 2, 1)
        result, refused = allocate(sidecars, priority=2)
        assert isinstance(result, Refusal)
        assert result.kind is RefusalKind.OVERLOADED
        assert result.retry_s == pytest.approx(0.3)
        assert len(sidecars.reservations) == 3
        assert refused == {2: 1}

    @pytest.mark.parametrize(("priority", "levels"), [(0, (1, 1)), (2, (1, 3, 0))])
    def test_asks_while_an_engine_admits_the_priority(self, priority, levels):
        sidecars = LevelSidecars(*levels)
        _, refused = allocate(sidecars, priority)
        assert len(sidecars.reservations) == 2 * len(levels)
        assert not refused

    def test_late_requests_are_asked_for(self):
        sidecars = LevelSidecars(1, 1)
        allocate(sidecars, priority=2, is_retry=True)
        assert len(sidecars.reservations) == 4

    def test_sidecars_of_an_earlier_release_state_no_level(self):
        sidecars = LevelSidecars(0, 0)
        allocate(sidecars, priority=9)
        assert len(sidecars.reservations) == 4


class TestHeartbeat:
    def test_states_and_logs_the_level(self, caplog):
        async def run():
            admission = make_admission(ENGINE)
            load = Load()
            now_ms = 0.0
            while load.slots.admission_level.level != 1:
                run_load(load, now_ms, now_ms + REPORT_MS, 20, 10)
                now_ms += REPORT_MS
            load.slots.admission_level.level = 0
            admission.slots = load.slots
            admission.now_ms = lambda: now_ms
            return admission.heartbeat()

        with caplog.at_level(logging.INFO):
            heartbeat = asyncio.run(run())
        assert heartbeat.level == 1
        assert "admission level changed" in caplog.text

    def test_closed_engine_states_no_level(self):
        async def run():
            admission = make_admission(ENGINE)
            admission.slots.admission_level.level = 1
            admission.slots.open = False
            return admission.heartbeat()

        assert asyncio.run(run()).level == 0


class TestReplay:
    """The most urgent of three classes jumps to six times its rate at 30 engines."""

    def run(self, **more):
        flood = Surge(2.0, 12.0, {"full-quote": 6.0})
        scenario = Scenario("gebeya", 30, CAPACITY, 12.0, 0.0, surges=(flood,), **more)
        fleet = Fleet(scenario)
        fleet.run()
        return fleet, fleet.by_kind(2.0)

    def test_classes_are_refused_at_once_and_keep_their_floor(self):
        without, before = self.run(report_levels=False)
        fleet, kinds = self.run()
        assert fleet.refused_below_level > 0
        assert fleet.asked / len(fleet.requests) < without.asked / len(without.requests)
        most = kinds["full-quote"].in_time
        assert most > before["full-quote"].in_time - 0.03
        assert all(kind.in_time >= 0.25 * most for kind in kinds.values())
