"""Connections of many entries to plain targets with few slots."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.test_direct_dispatch import SETTINGS
from tests.test_slot_allocation import ROUTE
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import AllocatedSlot, SlotAllocator
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.connection_share import (
    CONNECTIONS_PER_REQUEST,
    max_requests,
)
from wisteriapulley.routing import RoutingTable, Service
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState

SLOTS = 6


class TestMaxRequests:
    @pytest.mark.parametrize("entries", [1, 2, 7, 20, 45, 100, 240])
    @pytest.mark.parametrize("cap", [230, 260, 480])
    def test_all_entries_together_keep_to_the_limit(self, entries, cap):
        share = max_requests(SLOTS, cap, entries)
        assert 1 <= share <= SLOTS
        if cap >= CONNECTIONS_PER_REQUEST * entries:
            assert entries * share * CONNECTIONS_PER_REQUEST <= cap

    def test_few_entries_use_all_slots(self):
        assert max_requests(SLOTS, 260, 20) == SLOTS

    def test_without_a_limit_or_a_count_of_entries(self):
        assert max_requests(SLOTS, 0, 100) == SLOTS
        assert max_requests(SLOTS, 260, 0) == SLOTS


class TestPlainPool:
    """Three targets with six slots; every entry has more requests than they bear."""

    def fill(self, entries, max_connections, reported):
        """Return how many requests all entries have in flight at each target."""
        in_flight = {}

        async def run():
            now_s = asyncio.get_running_loop().time()
            service = Service("s", max_connections=max_connections)
            table = RoutingTable(1, (), (service,), ())
            for number in range(entries):
                registry = TargetRegistry()
                registry.update(
                    [
                        TargetState(
                            f"i-{n}",
                            "s",
                            f"10.0.0.{n}:80",
                            "z",
                            sequence=1,
                            slots=SLOTS,
                        )
                        for n in range(3)
                    ],
                    now_s,
                )
                identity = Identity(f"e{number}", "entry", "z", 1, b"k" * 40)
                follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
                allocator = SlotAllocator(SETTINGS, identity, registry, follower)
                allocator.set_table(table)
                allocator.set_entry_count(reported)
                # The count of an instance that has just started is not complete.
                allocator.set_entry_count(min(reported, 1))
                await self.take_all(allocator, now_s)
                for target in registry.targets.values():
                    name = target.target_id
                    in_flight[name] = in_flight.get(name, 0) + target.outstanding

        asyncio.run(run())
        return in_flight

    async def take_all(self, allocator, now_s):
        request = CallerRequest(
            "q", "POST", "/", "h", "/", (), b"", "", now_s, 5.4, 900, 90
        )
        admitted = Admitted(request, ROUTE, None, now_s + 5.4, False)
        while isinstance(
            await allocator.allocate(admitted, "s", None, set(), now_s), AllocatedSlot
        ):
            pass

    def test_limit_is_kept_by_many_entries(self):
        in_flight = self.fill(45, 480, reported=45)
        assert all(n * CONNECTIONS_PER_REQUEST <= 480 for n in in_flight.values())
        assert min(in_flight.values()) >= 45

    def test_few_entries_are_not_limited(self):
        assert set(self.fill(20, 260, reported=20).values()) == {20 * SLOTS}

    def test_service_without_a_limit(self):
        assert set(self.fill(45, 0, reported=45).values()) == {45 * SLOTS}

    def test_control_instances_that_report_no_count(self):
        """All of them have just started: entries send as their slots permit."""
        assert set(self.fill(2, 480, reported=0).values()) == {2 * SLOTS}
