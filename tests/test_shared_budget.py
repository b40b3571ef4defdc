"""Second sends that all entries may make together."""

import pytest

from tests.fakes.plain import PlainTarget
from tests.plain_fleet import ENTRIES, Fleet, play
from wisteriapulley.control.nearest import FOLLOWED_INSTANCES, entries_in_fleet
from wisteriapulley.policy.shared_budget import SharedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 108.0, 10.0


def second_sends(entries, per_s, told=0):
    """Count second sends of one window in which every first send fails."""
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(entries)]
    sends = 0
    for number in range(int(per_s * WINDOW_S)):
        now_s = number / per_s
        budget = budgets[number % entries]
        budget.update_entries(told)
        budget.record_request(now_s)
        sends += budget.spend(now_s)
    return sends


class TestSharedRetryBudget:
    @pytest.mark.parametrize("entries", [1, 7, 20, 60, 150])
    @pytest.mark.parametrize("per_s", [2, 14, 40, 90, 300])
    def test_any_number_of_entries_keeps_the_whole(self, entries, per_s):
        """Load: every first send to a service fails, at all entries."""
        allowed = RATIO * per_s * WINDOW_S + SLACK
        assert second_sends(entries, per_s, told=entries) <= allowed

    def test_larger_fleet_is_not_forgotten(self):
        """Instances that are cut off know of few entries."""
        budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.update_entries(100)
        budget.update_entries(3)
        assert [budget.spend(0.0) for _ in range(2)] == [True, False]


class TestEntriesInFleet:
    def test_each_entry_follows_some_instances(self):
        assert FOLLOWED_INSTANCES == 2
        assert entries_in_fleet([7, 7, 0]) == 7
        assert entries_in_fleet([40, 41, 39]) == 60

    def test_single_instance_is_followed_once(self):
        assert entries_in_fleet([5]) == 5

    def test_nobody_follows(self):
        assert entries_in_fleet([0]) == 0


class TestFleet:
    def test_entries_learn_how_many_they_are(self, tmp_path):
        fleet = Fleet(tmp_path, [PlainTarget(0)])

        async def scenario(fleet):
            async def know():
                entries = fleet.entries.values()
                return all(entry.dispatcher.entries == ENTRIES for entry in entries)

            await fleet.until(know)

        play(fleet, scenario)
