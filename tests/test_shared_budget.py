"""Retry budget that all entries share."""

import pytest

from tests.fakes.plain import PlainTarget
from tests.plain_fleet import ENTRIES, Fleet, play
from wisteriapulley.control.nearest import FOLLOWED_INSTANCES, entries_in_fleet
from wisteriapulley.policy.shared_budget import SharedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 108.0, 10.0


def count_retries(entries, per_s, reported=0):
    """Return the number of retries in one window in which every first send fails."""
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(entries)]
    retries = 0
    for number in range(int(per_s * WINDOW_S)):
        now_s = number / per_s
        budget = budgets[number % entries]
        budget.update_entries(reported)
        budget.record_request(now_s)
        retries += budget.spend(now_s)
    return retries


class TestSharedRetryBudget:
    @pytest.mark.parametrize("entries", [1, 7, 20, 60, 150])
    @pytest.mark.parametrize("per_s", [2, 14, 40, 90, 300])
    def test_total_is_kept_by_any_number_of_entries(self, entries, per_s):
        """Every first send to a service fails, at all entries."""
        allowed = RATIO * per_s * WINDOW_S + SLACK
        assert count_retries(entries, per_s, reported=entries) <= allowed

    def test_smaller_entry_count_is_ignored(self):
        """Control instances that are cut off know of few entries."""
        budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
        budget.update_entries(100)
        budget.update_entries(3)
        assert [budget.spend(0.0) for _ in range(2)] == [True, False]


class TestEntriesInFleet:
    def test_each_entry_follows_several_instances(self):
        assert FOLLOWED_INSTANCES == 2
        assert entries_in_fleet([7, 7, 0]) == 7
        assert entries_in_fleet([40, 41, 39]) == 60

    def test_single_instance_is_followed_once(self):
        assert entries_in_fleet([5]) == 5

    def test_nobody_follows(self):
        assert entries_in_fleet([0]) == 0


class TestFleet:
    def test_entries_receive_their_number(self, tmp_path):
        fleet = Fleet(tmp_path, [PlainTarget(0)])

        async def scenario(fleet):
            async def all_informed():
                entries = fleet.entries.values()
                return all(entry.dispatcher.entry_count == ENTRIES for entry in entries)

            await fleet.until(all_informed)

        play(fleet, scenario)
