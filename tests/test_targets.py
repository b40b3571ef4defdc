"""Recorded state of targets at control instances and entries."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wisteriapulley.control.targets import GONE_RETENTION_MS, Change, TargetTable
from wisteriapulley.direct.registry import (
    EJECTION_S,
    HEARTBEAT_TIMEOUT_S,
    INITIAL_BACKOFF_S,
    TargetRegistry,
)
from wisteriapulley.wire.messages import TargetBeat, TargetState


def state(target_id="i-1", sequence=1, address="10.0.0.1:80", **more):
    return TargetState(target_id, "s", address, "z", sequence=sequence, **more)


class TestTargetTable:
    def test_older_announcement_changes_nothing(self):
        table = TargetTable(6000)
        assert table.update(state(sequence=4, leaving=True), 0.0)
        assert not table.update(state(sequence=3), 10.0)
        assert table.records["i-1"].state.leaving

    def test_new_sequence_alone_is_no_change(self):
        table = TargetTable(6000)
        assert table.update(state(sequence=1), 0.0)
        assert not table.update(state(sequence=2), 1.0)
        assert table.update(state(sequence=3, version=2), 2.0)

    def test_leaving_is_final(self):
        table = TargetTable(6000)
        table.update(state(sequence=1, leaving=True), 0.0)
        table.update(state(sequence=2), 1.0)
        assert table.records["i-1"].state.leaving

    def test_late_announcement_does_not_bring_a_target_back(self):
        table = TargetTable(6000)
        table.update(state(), 0.0)
        table.mark_gone("i-1", 1.0)
        assert not table.update(state(sequence=99), 2.0)
        table.sweep(GONE_RETENTION_MS / 2)
        assert table.records["i-1"].state.gone

    def test_target_without_announcements_expires(self):
        table = TargetTable(6000)
        table.update(state(), 0.0)
        table.sweep(5000.0)
        assert table.records
        table.sweep(6001.0)
        assert not table.records

    @pytest.mark.parametrize("seed", range(10))
    def test_order_and_route_do_not_affect_the_final_state(self, seed):
        rng = random.Random(seed)
        announcements = [state(sequence=n, version=n // 3) for n in range(1, 12)]
        announcements.append(state(sequence=12, leaving=True))
        tables = [TargetTable(6000) for _ in range(3)]
        for table in tables:
            shuffled = announcements + rng.sample(announcements, 4)
            rng.shuffle(shuffled)
            for item in shuffled:
                table.update(item, 0.0)
        final_states = {table.records["i-1"].state for table in tables}
        assert final_states == {state(sequence=12, leaving=True)}


class TestTargetThatLeaves:
    """What an entry logs, to tell what it has heard of a leave."""

    def test_each_step_of_a_leave_is_reported_once(self):
        registry = TargetRegistry()
        leaving = state(sequence=2, leaving=True)
        gone = state(sequence=2, leaving=True, gone=True)
        steps = [state(), leaving, state(sequence=3, leaving=True), gone, gone]
        reported = [len(registry.update([step], 0.0)) for step in steps]
        assert reported == [0, 1, 0, 1, 0]

    def test_target_that_is_back_is_not_reported(self):
        registry = TargetRegistry()
        registry.update([state(gone=True, leaving=True, started_ms=1000)], 0.0)
        assert registry.update([state(started_ms=2000)], 1.0) == []


class TestTargetThatRestarts:
    """One id, several incarnations: the latest counts, in any order of arrival."""

    def test_leaving_and_gone_end_with_the_incarnation(self):
        table = TargetTable(6000)
        table.update(state(sequence=90, leaving=True, started_ms=1000), 0.0)
        table.mark_gone("i-1", 1.0)
        assert table.update(state(sequence=1, started_ms=2000), 2.0)
        known = table.records["i-1"].state
        assert not (known.leaving or known.gone)

    def test_late_announcement_of_an_earlier_incarnation_changes_nothing(self):
        table = TargetTable(6000)
        table.update(state(sequence=1, started_ms=2000), 0.0)
        assert not table.update(state(sequence=99, version=3, started_ms=1000), 1.0)
        assert table.records["i-1"].state.version == 0

    def test_start_time_supersedes_an_unknown_one(self):
        table = TargetTable(6000)
        table.update(state(sequence=40, version=3), 0.0)
        assert table.update(state(sequence=1, started_ms=2000), 1.0)
        assert table.records["i-1"].state.version == 0

    def test_gone_without_start_time_ends_the_recorded_incarnation(self):
        table = TargetTable(6000)
        table.update(state(sequence=4, started_ms=1000), 0.0)
        assert table.update(TargetState("i-1", gone=True, leaving=True), 1.0)
        assert table.records["i-1"].state.gone
        assert not table.update(state(sequence=5, started_ms=1000), 2.0)
        assert table.update(state(sequence=1, started_ms=3000), 3.0)

    def test_registry_drops_the_state_of_the_earlier_incarnation(self):
        registry = TargetRegistry()
        registry.update([state(sequence=50, version=2, started_ms=1000)], 0.0)
        earlier = registry.targets["i-1"]
        earlier.outstanding = 7
        earlier.record_unreachable(1.0)
        registry.update([state(sequence=1, started_ms=2000)], 1.1)
        target = registry.targets["i-1"]
        assert (target.outstanding, target.state.version) == (0, 0)
        assert [t.target_id for t in registry.candidates("s", 1.1)] == ["i-1"]
        registry.update([state(sequence=51, version=2, started_ms=1000)], 1.2)
        assert registry.targets["i-1"] is target

    def test_registry_frees_the_address_of_the_earlier_incarnation(self):
        registry = TargetRegistry()
        registry.update([state(started_ms=1000)], 0.0)
        registry.update([state(started_ms=2000, address="10.0.0.9:80")], 1.0)
        registry.update([state("i-2")], 2.0)
        names = {t.target_id for t in registry.candidates("s", 2.0)}
        assert names == {"i-1", "i-2"}

    @given(st.data())
    def test_newest_received_announcement_wins_in_any_order(self, data):
        starts = data.draw(st.lists(st.integers(1, 9), min_size=1, max_size=3))
        announcements = [
            state(sequence=n, version=n, started_ms=start * 1000, leaving=n == 4)
            for start in set(starts)
            for n in range(1, 5)
        ]
        received = data.draw(
            st.lists(st.sampled_from(announcements), min_size=1, max_size=20)
        )
        table, registry = TargetTable(6000), TargetRegistry()
        for item in received:
            table.update(item, 0.0)
            registry.update([item], 0.0)
        newest = max(received, key=lambda item: (item.started_ms, item.sequence))
        assert table.records["i-1"].state == newest
        assert registry.targets["i-1"].state == newest


class TestForeignAnnouncement:
    def test_another_service_or_address_changes_nothing(self):
        table, registry = TargetTable(6000), TargetRegistry()
        table.update(state(), 0.0)
        registry.update([state()], 0.0)
        foreign = state(sequence=1 << 40)._replace(service="other")
        moved = state(sequence=1 << 40, address="10.9.9.9:1")
        for announcement in (foreign, moved):
            assert not table.update(announcement, 1.0)
            registry.update([announcement], 1.0)
        assert table.records["i-1"].state == state()
        assert registry.targets["i-1"].state == state()


class TestTargetRegistry:
    def candidates(self, registry, now_s):
        return [t.target_id for t in registry.candidates("s", now_s)]

    def test_leaving_target_is_no_candidate(self):
        registry = TargetRegistry()
        registry.update([state()], 0.0)
        assert self.candidates(registry, 0.1) == ["i-1"]
        registry.update([state(sequence=2, leaving=True)], 0.2)
        assert self.candidates(registry, 0.3) == []

    def test_unresponsive_target_is_no_candidate_while_others_respond(self):
        registry = TargetRegistry()
        registry.update([state()], 0.0)
        later = HEARTBEAT_TIMEOUT_S + 1
        registry.update([state("i-2", address="10.0.0.2:80")], later)
        assert self.candidates(registry, later) == ["i-2"]

    def test_targets_stay_candidates_without_any_announcements(self):
        registry = TargetRegistry()
        registry.update([state()], 0.0)
        assert self.candidates(registry, 60.0) == ["i-1"]

    def test_new_incarnation_takes_the_address(self):
        registry = TargetRegistry()
        registry.update([state()], 0.0)
        registry.update([state("i-2")], 1.0)
        assert self.candidates(registry, 1.0) == ["i-2"]

    def test_late_announcement_of_the_earlier_incarnation(self):
        registry = TargetRegistry()
        registry.update([state("i-2")], 5.0)
        registry.update([state("i-1", age_ms=3000)], 6.0)
        assert self.candidates(registry, 6.0) == ["i-2"]

    def test_unreachable_target_is_retried_after_a_pause(self):
        registry = TargetRegistry()
        registry.update([state()], 0.0)
        registry.targets["i-1"].record_unreachable(1.0)
        assert self.candidates(registry, 1.0 + INITIAL_BACKOFF_S / 2) == []
        assert self.candidates(registry, 1.1 + INITIAL_BACKOFF_S) == ["i-1"]

    def test_target_that_alone_fails_is_ejected(self):
        registry = TargetRegistry()
        registry.update(
            [state(f"i-{n}", address=f"10.0.0.{n}:80") for n in (1, 2, 3)], 0
        )
        for _ in range(8):
            registry.record_outcome(registry.targets["i-1"], True, 1.0)
            registry.record_outcome(registry.targets["i-2"], False, 1.0)
            registry.record_outcome(registry.targets["i-3"], False, 1.0)
        assert self.candidates(registry, 1.1) == ["i-2", "i-3"]
        assert len(self.candidates(registry, 1.1 + EJECTION_S)) == 3

    def test_targets_are_not_ejected_when_all_fail(self):
        registry = TargetRegistry()
        registry.update(
            [state(f"i-{n}", address=f"10.0.0.{n}:80") for n in (1, 2, 3)], 0
        )
        for _ in range(8):
            for name in ("i-1", "i-2", "i-3"):
                registry.record_outcome(registry.targets[name], True, 1.0)
        assert len(self.candidates(registry, 1.1)) >= 2


class TestColdness:
    """Targets state with each announcement how much longer they are cold."""

    def cold(self, sequence, cold_ms, **more):
        return state(sequence=sequence, cold_ms=cold_ms, **more)

    def cold_ms_at(self, table, now_ms):
        (known,) = table.states(now_ms)
        return known.cold_ms - known.age_ms

    def test_counting_down_is_no_change(self):
        table = TargetTable(6000)
        assert table.update(self.cold(1, 3000), 0.0)
        for sequence, now_ms in ((2, 1000.0), (3, 2100.0), (4, 3200.0), (5, 4200.0)):
            left_ms = max(0, 3000 - int(now_ms))
            assert not table.update(self.cold(sequence, left_ms), now_ms)

    def test_turning_cold_again_is_a_change(self):
        table = TargetTable(6000)
        table.update(self.cold(1, 0), 0.0)
        assert table.update(self.cold(2, 2000), 1000.0) is Change.COLDNESS
        assert table.update(self.cold(3, 5000), 1500.0) is Change.COLDNESS

    def test_turning_warm_early_is_a_change(self):
        table = TargetTable(6000)
        table.update(self.cold(1, 3000), 0.0)
        assert table.update(self.cold(2, 0), 1000.0) is Change.COLDNESS
        assert self.cold_ms_at(table, 1000.0) == 0

    def test_restart_and_end_stay_changes_of_membership(self):
        table = TargetTable(6000)
        table.update(self.cold(1, 0, started_ms=1), 0.0)
        restarted = self.cold(1, 3000, started_ms=2)
        assert table.update(restarted, 10.0) is Change.MEMBERSHIP

    def test_heartbeats_do_not_prolong_it(self):
        """Another instance repeats that the target is alive, without its time."""
        table = TargetTable(6000)
        table.update(self.cold(1, 3000), 0.0)
        assert table.record_heartbeat(TargetBeat("i-1", 0, 1, False, 0), 2000.0)
        assert self.cold_ms_at(table, 2500.0) == 500
        table.record_heartbeat(TargetBeat("i-1", 0, 1, False, 0), 5000.0)
        assert self.cold_ms_at(table, 5000.0) == 0

    def test_instance_that_hears_of_it_later_knows_the_same_end(self):
        first, second = TargetTable(6000), TargetTable(6000)
        first.update(self.cold(1, 3000), 0.0)
        second.update(next(first.states(1000.0)), 1000.0)
        assert self.cold_ms_at(second, 2000.0) == 1000

    def test_entry_knows_it_from_the_first_announcement(self):
        registry = TargetRegistry()
        registry.update([self.cold(1, 3000, age_ms=500)], 10.0)
        assert registry.targets["i-1"].cold_left_s(11.0) == pytest.approx(1.5)
