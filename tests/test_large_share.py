"""Slots for large prompts beside the others, at one engine."""

import asyncio

from tests.test_evacuated_engine import new_service
from wisteriapulley.policy.engine_slots import EngineSlots, SlotRequest
from wisteriapulley.policy.large_share import (
    MAX_ROUTES,
    LargeShare,
    LargeShares,
    RouteKey,
    is_large,
)
from wisteriapulley.policy.slot_requests import AdmissionDecision, DenialReason
from wisteriapulley.routing import Engine

ENGINE = Engine("m", 16, 5, 9.27, 0.0232, 20.7)
LARGE, SMALL = 3000, 300
NOW_MS = 1000.0
KEY = RouteKey("", 1)
GRANTED = AdmissionDecision("r", granted=True)
DENIED = AdmissionDecision("r", denied=True)


def slot_request(number, tokens=SMALL, wait_ms=370.0, large=LARGE, priority=1):
    return SlotRequest(
        f"r{number}", "e", tokens, 90, priority, wait_ms, large_prompt=large
    )


def share(large=(), others=()):
    """Return the share after some decisions on large prompts and others."""
    result = LargeShare()
    for tokens, decisions in ((LARGE, large), (SMALL, others)):
        for decision in decisions:
            result.record_decision(slot_request(0, tokens), decision, NOW_MS)
    return result


def full_slots(hold_ms=3000.0):
    """Return slots of which all are in use; large prompts were denied."""
    slots = EngineSlots(ENGINE)
    slots.open = True
    for number in range(slots.max_grants):
        slots.add_grant(slot_request(f"running{number}", 1), 0.0)
    slots.mean_hold_ms = hold_ms
    slots.large_shares.routes[KEY] = share([DENIED] * 12, [GRANTED] * 6)
    return slots


class TestLargeShare:
    def test_size_is_relative_to_the_route(self):
        assert is_large(slot_request(0, 900, large=800))
        assert not is_large(slot_request(0, 900, large=3000))
        assert not is_large(slot_request(0, 900, large=0))

    def test_denied_large_prompts_are_below_the_floor(self):
        assert share([DENIED] * 12, [GRANTED] * 6).is_below_floor(NOW_MS)

    def test_equal_chance_is_not(self):
        assert not share([GRANTED, DENIED], [GRANTED, DENIED] * 5).is_below_floor(
            NOW_MS
        )

    def test_nobody_is_served(self):
        assert not share([DENIED] * 12, [DENIED] * 120).is_below_floor(NOW_MS)

    def test_one_denial_tells_nothing(self):
        assert not share([DENIED], [GRANTED] * 6).is_below_floor(NOW_MS)

    def test_denials_long_ago_do_not_count(self):
        before = share([DENIED] * 12, [GRANTED] * 6)
        assert not before.is_below_floor(30_000.0)

    def test_queued_prompt_counts_once_it_gets_its_slot(self):
        queued = share([AdmissionDecision("r")], [GRANTED])
        assert queued.is_below_floor(NOW_MS)
        queued.record_grant(slot_request(0, LARGE), NOW_MS)
        assert not queued.is_below_floor(NOW_MS)


class TestLargeShares:
    def shares(self, priority=1):
        shares = LargeShares()
        starved = share([DENIED] * 12, [GRANTED] * 6)
        shares.routes[RouteKey("starved", priority)] = starved
        shares.routes[RouteKey("served", 1)] = share([GRANTED], [GRANTED])
        return shares

    def bearable_ms(self, shares, priority=1):
        return shares.bearable_ms(priority, lambda tokens: tokens / 20.0, NOW_MS)

    def test_wait_is_what_a_starved_large_prompt_leaves(self):
        assert self.bearable_ms(self.shares()) == 370.0 - 150.0

    def test_nothing_is_bound_while_none_starve(self):
        shares = LargeShares()
        shares.routes[KEY] = share([GRANTED], [GRANTED])
        assert self.bearable_ms(shares) == float("inf")

    def test_less_urgent_ones_bind_no_urgent_request(self):
        shares = self.shares(priority=5)
        assert self.bearable_ms(shares, priority=4) == float("inf")
        assert self.bearable_ms(shares, priority=5) < 370.0

    def test_time_spent_at_other_engines_does_not_shorten_the_wait(self):
        shares = self.shares()
        starved = shares.routes[RouteKey("starved", 1)]
        tried = slot_request(1, SMALL, wait_ms=100.0)
        starved.record_decision(tried, GRANTED, NOW_MS)
        assert self.bearable_ms(shares) > 200.0

    def test_number_of_routes_is_bounded(self):
        shares = LargeShares()
        for number in range(MAX_ROUTES + 10):
            shares.of(slot_request(number)._replace(route=f"r{number}"))
        assert len(shares.routes) == MAX_ROUTES
        assert RouteKey(f"r{MAX_ROUTES + 9}", 1) in shares.routes


class TestGauge:
    def test_tells_where_large_prompts_starve(self, tmp_path):
        async def run():
            service = new_service(tmp_path)
            service.admission.now_ms = lambda: NOW_MS
            routes = service.admission.slots.large_shares.routes
            routes[RouteKey("starved", 1)] = share([DENIED] * 12, [GRANTED] * 6)
            routes[RouteKey("served", 1)] = share([GRANTED], [GRANTED])
            service.update_class_gauges()
            return service.large_starving

        gauge = asyncio.run(run())
        assert gauge.get({"route": "starved", "priority": "1"}) == 1
        assert gauge.get({"route": "served", "priority": "1"}) == 0


class TestQueue:
    """All slots are in use, and a few others wait for one."""

    def test_is_no_longer_than_a_large_prompt_can_bear(self):
        slots = full_slots()
        decision = slots.request_slot(slot_request(1), NOW_MS)
        assert decision.denied and decision.reason is DenialReason.LARGE_PROMPTS
        assert decision.retry_ms > 0

    def test_large_prompt_is_measured_by_the_same_wait(self):
        """A slot falls free so soon that a large one is in time as well."""
        slots = full_slots(hold_ms=300.0)
        assert not slots.request_slot(slot_request(1, LARGE), NOW_MS).denied
        slots = full_slots(hold_ms=300.0)
        assert not slots.request_slot(slot_request(1), NOW_MS).denied

    def test_is_not_limited_while_large_prompts_get_their_share(self):
        slots = full_slots()
        slots.large_shares.routes[KEY] = share([GRANTED], [GRANTED] * 6)
        assert not slots.request_slot(slot_request(1), NOW_MS).denied

    def test_is_not_limited_while_no_size_is_known(self):
        slots = full_slots()
        slots.large_shares.routes.clear()
        assert not slots.request_slot(slot_request(1, large=0), NOW_MS).denied

    def test_free_slot_is_granted_at_once(self):
        slots = full_slots()
        slots.grants.popitem()
        assert slots.request_slot(slot_request(1), NOW_MS).granted

    def test_stated_size_gives_no_way_to_the_front(self):
        """A caller that states a huge prompt waits like the others, or is denied."""
        slots = full_slots()
        huge = slot_request(1, 1_000_000)
        assert slots.request_slot(huge, NOW_MS).denied
        slots.large_shares.routes.clear()
        first = slot_request(2)
        assert not slots.request_slot(first, NOW_MS).denied
        assert slots.request_slot(huge, NOW_MS).denied
        assert slots.queue.first.request is first


class TestPromptThatIsLateAnywhere:
    """Its own prefill alone takes longer than its objective."""

    def slots(self):
        slots = full_slots()
        slots.grants.popitem()
        return slots

    def test_gets_a_free_slot_while_such_prompts_starve(self):
        slots = self.slots()
        assert slots.request_slot(slot_request(1, 9000), NOW_MS).granted

    def test_only_one_in_a_batch_step(self):
        slots = self.slots()
        slots.grants.popitem()
        assert slots.request_slot(slot_request(1, 9000), NOW_MS).granted
        assert slots.request_slot(slot_request(2, 9000), NOW_MS).denied

    def test_is_denied_while_large_prompts_get_their_share(self):
        slots = self.slots()
        slots.large_shares.routes[KEY] = share([GRANTED], [GRANTED])
        assert slots.request_slot(slot_request(1, 9000), NOW_MS).denied

    def test_leaves_reserved_slots_to_more_urgent_requests(self):
        slots = self.slots()
        slots.reserve.reserved_slots = lambda priority, now_ms: 1
        assert slots.request_slot(slot_request(1, 9000, priority=2), NOW_MS).denied
