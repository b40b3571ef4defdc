"""Slots reserved for more urgent classes, and a replay of the load that needs them."""

from collections import Counter
from itertools import pairwise

import pytest

from wisteriapulley.emulator import Fleet, Outage, Scenario, Surge
from wisteriapulley.platform.settings import PlatformSettings
from wisteriapulley.policy.class_reserve import MAX_CLASSES
from wisteriapulley.policy.engine_slots import EngineSlots, SlotRequest
from wisteriapulley.routing import Engine

ENGINE = Engine("m", 12, 7, 7.4, 0.0232, 31.9)
# Request rate, relative to the peak, that 30 engines just bear.
CAPACITY = 0.87
SECONDS = 12.0
# The most and the least urgent class jump while servers are still to be added.
JUMP = Surge(4.0, 9.0, {"full-quote": 1.8, "overnight-status": 2.4})


def slot_request(number, priority, wait_ms=400.0, tokens=10, late=False):
    return SlotRequest(f"r{number}", "e", tokens, 90, priority, wait_ms, late)


def open_slots():
    slots = EngineSlots(ENGINE)
    slots.open = True
    return slots


class Load:
    """Requests at one engine, each of which holds its slot for a time."""

    def __init__(self, hold_ms=1000.0):
        self.slots = open_slots()
        self.hold_ms = hold_ms
        self.number = 0
        self.ends: list[tuple[float, str]] = []
        self.served: Counter[int] = Counter()
        self.priorities: dict[str, int] = {}

    def request(self, priority, now_ms, wait_ms=400.0):
        """Release what has ended, and request a slot."""
        self.advance(now_ms)
        self.number += 1
        request = slot_request(self.number, priority, wait_ms)
        self.priorities[request.request_id] = priority
        decision = self.slots.request_slot(request, now_ms)
        self.record(decision, now_ms)
        return decision

    def advance(self, now_ms):
        """Release the slots of requests that have ended; serve the queue."""
        for end in [end for end in self.ends if end[0] <= now_ms]:
            self.ends.remove(end)
            self.slots.release(end[1], now_ms)
        for decision in tuple(self.slots.advance(now_ms)):
            self.record(decision, now_ms)

    def record(self, decision, now_ms):
        """Record a decision."""
        if decision.granted:
            self.ends.append((now_ms + self.hold_ms, decision.request_id))
            self.served[self.priorities[decision.request_id]] += 1

    def run(self, priority, per_s, start_ms, end_ms):
        """Request slots at a constant rate."""
        now_ms = start_ms
        while now_ms < end_ms:
            self.request(priority, now_ms)
            now_ms += 1000 / per_s
        return self

    def reserved(self, priority, now_ms):
        """Return the slots that are reserved against a class."""
        return self.slots.reserve.reserved_slots(priority, now_ms)


def replay(**more):
    """Replay the load of three classes at 30 engines."""
    scenario = Scenario("gebeya", 30, seconds=SECONDS, change_s=0.0, **more)
    fleet = Fleet(scenario)
    return fleet.run(), fleet.by_kind(2.0)


def in_order(kinds):
    """Return whether no class is served oftener by over 5 in 100 than a more urgent."""
    return all(a.in_time + 0.05 >= b.in_time for a, b in pairwise(kinds.values()))


class TestReservedSlots:
    def test_nothing_without_a_more_urgent_class(self):
        load = Load().run(0, 20, 0.0, 2000.0)
        assert load.reserved(0, 2000.0) == 0

    def test_nothing_with_one_class(self):
        load = Load().run(3, 20, 0.0, 2000.0)
        assert load.reserved(3, 2000.0) == 0

    def test_grows_with_urgent_demand(self):
        reserved = [
            Load().run(0, per_s, 0.0, 2000.0).reserved(1, 2000.0)
            for per_s in (2, 6, 9, 30)
        ]
        assert reserved == sorted(reserved) and reserved[0] < reserved[-1]

    def test_follows_demand_up_and_down_within_a_second(self):
        load = Load().run(0, 1, 0.0, 3000.0)
        before = load.reserved(1, 3000.0)
        load.run(0, 10, 3000.0, 4000.0)
        during = load.reserved(1, 4000.0)
        assert during > before
        assert load.reserved(1, 5000.0) < during

    def test_nothing_remains_when_no_urgent_request_comes(self):
        load = Load().run(0, 10, 0.0, 2000.0)
        assert load.reserved(1, 2000.0) > 0
        assert load.reserved(1, 6000.0) == 0

    def test_only_more_urgent_classes_count(self):
        load = Load().run(1, 10, 0.0, 2000.0)
        assert load.reserved(0, 2000.0) == load.reserved(1, 2000.0) == 0
        assert load.reserved(2, 2000.0) > 0

    def test_late_requests_are_no_demand(self):
        load = Load()
        for number in range(20):
            request = slot_request(number, 100, 3000.0, late=True)
            load.slots.request_slot(request, number * 10.0)
        assert not load.slots.reserve.classes

    def test_switched_off(self):
        load = Load().run(0, 20, 0.0, 2000.0)
        load.slots.reserve.enabled = False
        assert load.reserved(1, 2000.0) == 0

    def test_classes_are_bounded(self):
        load = Load()
        for priority in range(3 * MAX_CLASSES):
            load.request(priority, priority * 1.0)
        assert len(load.slots.reserve.classes) == MAX_CLASSES


class TestEngineSlots:
    def test_last_slots_are_kept_for_the_urgent_class(self):
        load = Load().run(0, 9, 0.0, 2000.0)
        while len(load.slots.grants) < load.slots.max_grants - 1:
            load.request(0, 2000.0)
        assert load.request(1, 2000.0, wait_ms=200.0).denied
        assert load.request(0, 2000.0, wait_ms=200.0).granted

    def test_never_refused_while_under_half_of_the_slots_are_in_use(self):
        load = Load().run(0, 40, 0.0, 1500.0)
        load.advance(9000.0)
        load.run(0, 400, 9000.0, 9012.0)
        assert len(load.slots.grants) <= ENGINE.slots // 2
        assert load.reserved(2, 9012.0) > 0
        assert load.request(2, 9012.0).granted

    def test_flood_of_urgent_requests_leaves_the_floor(self):
        load = Load()
        for step in range(2000):
            for priority in (0, 0, 0, 2):
                load.request(priority, step * 20.0)
        urgent, least = load.served[0] / 6000, load.served[2] / 2000
        assert urgent < 0.2
        assert 0.25 * urgent <= least < 0.5 * urgent

    def test_restarted_sidecar_learns_the_reserve_again(self):
        assert Load().run(0, 10, 0.0, 2000.0).reserved(1, 2000.0) > 0
        restarted = Load()
        assert restarted.reserved(1, 2000.0) == 0
        assert restarted.request(1, 2000.0).granted
        restarted.run(0, 10, 2000.0, 3000.0)
        assert restarted.reserved(1, 3000.0) > 0


class TestOvertaken:
    """A queued request is denied when a more urgent one takes its last chance."""

    def full_slots(self):
        slots = open_slots()
        slots.mean_hold_ms = 1200.0
        for number in range(slots.max_grants):
            slots.request_slot(slot_request(number, 0, 9000.0), 0.0)
        slots.reserve.classes.clear()
        return slots

    def queue(self, slots, number, priority, wait_ms):
        request = slot_request(number, priority, wait_ms)
        decision = slots.request_slot(request, 0.0)
        assert not decision.granted and not decision.denied
        return [d.request_id for d in slots.deny_overtaken(request, 0.0)]

    def test_denied_at_that_moment(self):
        slots = self.full_slots()
        assert self.queue(slots, 100, 1, 330.0) == []
        assert self.queue(slots, 101, 0, 2000.0) == ["r100"]
        assert [queued.request.request_id for queued in slots.queue] == ["r101"]

    def test_kept_while_time_is_left(self):
        slots = self.full_slots()
        assert self.queue(slots, 100, 1, 3000.0) == []
        assert self.queue(slots, 101, 0, 2000.0) == []

    def test_not_by_its_own_class(self):
        slots = self.full_slots()
        for number in range(100, 103):
            assert self.queue(slots, number, 1, 700.0) == []

    def test_running_requests_stay(self):
        slots = self.full_slots()
        self.queue(slots, 100, 1, 330.0)
        self.queue(slots, 101, 0, 2000.0)
        assert len(slots.grants) == slots.max_grants


class TestReplay:
    """Three classes share engines that bear two thirds of the peak.

    The most urgent one was served worst, 0.77 against 0.99 of the least urgent one,
    which held the slots.
    """

    @pytest.mark.parametrize("factor", [0.7, 0.9, 1.0, 1.2, 1.5])
    def test_urgent_classes_are_served_as_often(self, factor):
        _, kinds = replay(load=factor * CAPACITY)
        assert in_order(kinds)

    def test_jump_of_the_most_and_the_least_urgent_class(self):
        _, kinds = replay(load=0.85 * CAPACITY, surges=(JUMP,))
        assert in_order(kinds)
        assert kinds["full-quote"].in_time > 0.95

    def test_room_is_used_when_it_suffices(self):
        outcome, _ = replay(load=0.75 * CAPACITY)
        assert outcome.in_time >= 0.99 * outcome.requests

    def test_flood_of_the_most_urgent_class(self):
        flood = Surge(2.0, SECONDS, {"full-quote": 6.0})
        _, kinds = replay(load=0.85 * CAPACITY, surges=(flood,))
        most = kinds["full-quote"].in_time
        assert all(kind.in_time >= 0.25 * most for kind in kinds.values())

    def test_half_of_the_engines_go_dark(self):
        _, kinds = replay(load=0.85 * CAPACITY, outages=(Outage(4.0, 7.0, 15),))
        assert in_order(kinds)
        assert kinds["full-quote"].in_time > 0.9


class TestSetting:
    def test_platform_settings_file_turns_the_reserve_off(self, tmp_path):
        text = """
node-name = "n"
ip-address = "127.0.0.1"
zone = "z"
internal-port-range = [1000, 1010]
seed-nodes = []
app = "127.0.0.1:80"
class-reserve = false
"""
        path = tmp_path / "settings.toml"
        path.write_text(text)
        settings = PlatformSettings.from_file(str(path)).sidecar_settings("key")
        assert not settings.class_reserve
        path.write_text(text.replace("class-reserve = false", ""))
        settings = PlatformSettings.from_file(str(path)).sidecar_settings("key")
        assert settings.class_reserve
