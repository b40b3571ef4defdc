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


def busiest_window(starts_s, per_s, reported_at, until_s=40.0):
    """Return the most retries in any window, and the allowance, if all sends fail.

    Parameters
    ----------
    starts_s : sequence of float
        When each entry starts.
    per_s : float
        Requests per second, over all entries.
    reported_at : callable
        Number of entries that control instances report at a time.
    until_s : float
        When the requests end.
    """
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S) for _ in starts_s]
    retries = []
    for number in range(int(per_s * until_s)):
        now_s = number / per_s
        started = [b for b, s in zip(budgets, starts_s, strict=True) if s <= now_s]
        budget = started[number % len(started)]
        budget.update_entries(reported_at(now_s))
        budget.record_request(now_s)
        if budget.spend(now_s):
            retries.append(now_s)
    most = max(sum(at <= s < at + WINDOW_S for s in retries) for at in retries)
    return most, RATIO * per_s * WINDOW_S + SLACK


class TestSmallFleet:
    def test_two_entries_do_not_keep_to_the_parts_of_twenty(self):
        """Guards against callers who fail while most of the allowance is unused."""
        most, allowed = busiest_window([0.0, 0.0], 4.0, lambda now_s: 2)
        assert most > allowed / 3

    @pytest.mark.parametrize("entries", [1, 2, 5, 9, 12, 25])
    @pytest.mark.parametrize("per_s", [4, 40])
    def test_total_is_kept_in_every_window(self, entries, per_s):
        most, allowed = busiest_window([0.0] * entries, per_s, lambda now_s: entries)
        assert most <= allowed

    @pytest.mark.parametrize("entries", [2, 6, 10, 18])
    def test_total_is_kept_if_half_of_the_entries_are_reported(self, entries):
        most, allowed = busiest_window([0.0] * entries, 40.0, lambda _: entries // 2)
        assert most <= allowed

    @pytest.mark.parametrize("per_s", [4, 40])
    def test_total_is_kept_while_the_fleet_grows(self, per_s):
        """Eight entries join two, and are reported three seconds later."""
        starts_s = [0.0] * 2 + [20.0] * 8
        most, allowed = busiest_window(
            starts_s, per_s, lambda now_s: 10 if now_s > 23.0 else 2
        )
        assert most <= allowed


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
