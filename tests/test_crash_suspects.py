"""Requests that are suspected of crashing targets."""

import itertools
import random
from typing import NamedTuple

import pytest

from wisteriapulley.policy.crash_suspects import (
    MAX_SUSPECTS_PER_FRAME,
    MIN_ENDED_ALONE,
    CrashSuspects,
    SuspectRecord,
)
from wisteriapulley.policy.fingerprint import PART_PREFIX
from wisteriapulley.wire.messages import Suspect

ONE, OTHER, CULPRIT = b"1" * 16, b"2" * 16, b"3" * 16
PART = PART_PREFIX + b"p" * 16


def crashed(*ended, digest=ONE, **options):
    """Return suspects after targets ended under a request."""
    suspects = CrashSuspects(**options)
    for at_s, start in enumerate(ended):
        suspects.record_crash(digest, start, float(at_s))
    return suspects


def crashed_together(ones, others):
    """Return suspects after targets ended under two requests."""
    suspects = crashed(*ones)
    for start in others:
        suspects.record_crash(OTHER, start, 3.0)
    return suspects


class TestCrashSuspects:
    def test_quarantined_after_third_target(self):
        suspects = crashed("a", "b")
        assert not suspects.is_quarantined(ONE)
        suspects.record_crash(ONE, "c", 3.0)
        assert suspects.is_quarantined(ONE)
        assert not suspects.is_quarantined(OTHER)

    def test_requests_with_same_targets_may_be_sent_once_more(self):
        suspects = crashed_together("abc", "abc")
        assert suspects.quarantined() == []
        suspects.record_crash(ONE, "d", 4.0)
        assert suspects.quarantined() == [ONE]

    def test_answer_of_the_other_request_exonerates_it(self):
        suspects = crashed_together("abc", "abc")
        suspects.record_answer(OTHER, 4.0)
        assert suspects.quarantined() == [ONE]

    def test_subset_of_a_quarantined_request_is_not_quarantined(self):
        assert crashed_together("abcd", "bcd").quarantined() == [ONE]

    def test_different_targets_quarantine_both(self):
        assert sorted(crashed_together("abc", "bcd").quarantined()) == [ONE, OTHER]

    def test_same_incarnation_counts_once(self):
        suspects = crashed("a", "a", "b", "b", "a")
        assert not suspects.is_quarantined(ONE)

    def test_complete_answer_clears(self):
        suspects = crashed("a", "b")
        assert suspects.record_answer(ONE, 5.0)
        assert not suspects.record_answer(ONE, 5.0)
        for start in ("c", "d"):
            suspects.record_crash(ONE, start, 6.0)
            assert not suspects.is_quarantined(ONE)

    def test_answer_of_another_request_clears_nothing(self):
        suspects = crashed("a", "b", "c")
        assert not suspects.record_answer(OTHER, 5.0)
        assert suspects.is_quarantined(ONE)

    def test_stale_update_after_clearing_is_ignored(self):
        suspects, late = (
            crashed("a", "b"),
            tuple(crashed("a", "b", "c").updates(3.0, [ONE])),
        )
        suspects.record_answer(ONE, 5.0)
        assert suspects.merge_updates(late, 6.0) == []
        assert not suspects.is_quarantined(ONE)

    def test_removed_after_retention(self):
        suspects = crashed("a", "b", "c", retention_s=100.0)
        suspects.remove_expired(102.0)
        assert suspects.is_quarantined(ONE)
        suspects.remove_expired(102.1)
        assert not suspects.records

    def test_quarantined_records_are_evicted_last(self):
        """Above `max_records`, the least important records are evicted first."""
        suspects = crashed("a", "b", "c", max_records=3)
        suspects.record_crash(OTHER, "a", 4.0)
        for number in range(50):
            suspects.record_crash(bytes([number]) * 16, "z", 5.0 + number)
        assert len(suspects.records) == 3
        assert suspects.is_quarantined(ONE)
        assert OTHER not in suspects.records

    def test_top_suspects_are_sent_on_a_new_link(self):
        suspects = crashed("a", "b", "c")
        for number in range(2 * MAX_SUSPECTS_PER_FRAME):
            suspects.record_crash(number.to_bytes(16, "little"), "z", 5.0)
        suspects.record_crash(OTHER, "z", 6.0)
        suspects.record_answer(OTHER, 7.0)
        sent = suspects.top_suspects()
        assert len(sent) == MAX_SUSPECTS_PER_FRAME
        assert sent[0] == ONE and OTHER not in sent

    def test_least_important_suspect_is_evicted(self):
        """All other records hold more ended targets than the new one."""
        suspects = crashed("a", "b", "c", max_records=1)
        record = suspects.record_crash(OTHER, "d", 9.0)
        assert record.ended == ("d",)
        assert list(suspects.records) == [ONE]

    def test_updates_carry_age(self):
        updates = tuple(crashed("a", "b").updates(11.9, [ONE]))
        assert updates == (Suspect(ONE, 0, ("a", "b"), 10),)


class TestNeighboursOfCrashingPart:
    """Requests that were in progress where a part of other prompts crashed targets."""

    def crashed(self, *ended, part=("a", "b", "c")):
        """Return suspects after targets ended under a request, and under a part."""
        suspects = crashed(*ended)
        for start in part:
            known = suspects.records.get(PART)
            suspects.record_part_crash(PART, start, known, 3.0)
        return suspects

    def test_are_not_quarantined(self):
        assert self.crashed("a", "b", "c").quarantined() == [PART]

    def test_are_quarantined_after_three_other_targets(self):
        suspects = self.crashed("a", "d", "e")
        assert suspects.quarantined() == [PART]
        suspects.record_crash(ONE, "f", 9.0)
        assert sorted(suspects.quarantined()) == sorted([ONE, PART])

    def test_are_quarantined_if_no_part_is_to_blame(self):
        suspects = self.crashed("a", "b", "c", part=("a", "b"))
        assert suspects.quarantined() == [ONE]


class TestMerging:
    """Records of all entries, in any order and any number of times."""

    @pytest.mark.parametrize("seed", range(20))
    def test_merge_order_does_not_matter(self, seed):
        rng = random.Random(seed)
        updates = [
            Suspect(ONE, rng.randrange(2), tuple(rng.sample("abcd", 2)), 0)
            for _ in range(4)
        ]
        outcomes = set()
        for order in itertools.permutations(updates):
            suspects = CrashSuspects()
            suspects.merge_updates(order, 0.0)
            suspects.merge_updates(rng.choices(updates, k=3), 0.0)
            record = suspects.records[ONE]
            outcomes.add((record.cleared, record.ended))
        assert len(outcomes) == 1

    def test_only_changes_are_returned(self):
        suspects = crashed("a")
        assert suspects.merge_updates([Suspect(ONE, 0, ("a",))], 9.0) == []
        assert suspects.merge_updates([Suspect(ONE, 0, ("b",))], 9.0) == [ONE]
        assert suspects.merge_updates([Suspect(OTHER, 3, ())], 9.0) == []
        assert suspects.merge_updates([Suspect(ONE, 1, ())], 9.0) == [ONE]

    def test_incarnations_beyond_the_maximum_are_ignored(self):
        suspects = crashed("d", "c", "b", "a")
        assert suspects.merge_updates([Suspect(ONE, 0, ("e", "f"))], 9.0) == []
        assert suspects.records[ONE] == SuspectRecord(0, ("a", "b", "c", "d"), 3.0)


class Run(NamedTuple):
    """One request at one target."""

    digest: bytes
    target: int
    until_s: float
    sends: int
    caller_retries: int


class Simulation:
    """Targets that run innocent requests, and one request that crashes them repeatedly.

    A request whose target ends is sent to another one, `SENDS` times for each
    attempt; a caller whose attempt failed retries once.
    """

    TARGETS = 8
    SLOTS = 12
    RUN_S = 1.2
    RESTART_S = 3.0
    SENDS = 2
    CALLER_RETRIES = 1
    STEP_S = 0.05

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.suspects = CrashSuspects()
        self.now_s = 0.0
        self.up_from_s = [0.0] * self.TARGETS
        self.starts = itertools.count()
        self.start = [str(next(self.starts)) for _ in self.up_from_s]
        self.running = []
        self.refused = self.answered = self.ended = 0

    def simulate(self, seconds, crash_every_s):
        next_s = 1.0
        while self.now_s < seconds:
            self.now_s += self.STEP_S
            for run in self.finished():
                self.end_run(run)
            while len(self.running) < self.TARGETS * self.SLOTS * 0.8:
                self.send(self.rng.randbytes(16), self.SENDS, self.CALLER_RETRIES)
            if self.now_s >= next_s:
                next_s += crash_every_s
                self.send(CULPRIT, self.SENDS, 0)

    def finished(self):
        done = [run for run in self.running if run.until_s <= self.now_s]
        self.running = [run for run in self.running if run.until_s > self.now_s]
        return done

    def end_run(self, run):
        if run.digest == CULPRIT:
            self.running.append(run)
            self.end(run.target)
        else:
            self.answered += 1
            self.suspects.record_answer(run.digest, self.now_s)

    def send(self, digest, sends, caller_retries):
        if self.suspects.is_quarantined(digest):
            self.refused += digest != CULPRIT
            return
        up = [n for n, at_s in enumerate(self.up_from_s) if at_s <= self.now_s]
        begins_s = self.now_s + self.rng.uniform(0.1, 0.4)
        run_s = 0.1 if digest == CULPRIT else self.rng.uniform(0.2, 2 * self.RUN_S)
        until_s = begins_s + run_s
        run = Run(digest, self.rng.choice(up), until_s, sends - 1, caller_retries)
        self.running.append(run)

    def end(self, target):
        self.ended += 1
        start, self.start[target] = self.start[target], str(next(self.starts))
        self.up_from_s[target] = self.now_s + self.RESTART_S
        broken = [run for run in self.running if run.target == target]
        self.running = [run for run in self.running if run.target != target]
        for run in broken:
            self.suspects.record_crash(run.digest, start, self.now_s)
        for run in broken:
            if run.sends:
                self.send(run.digest, run.sends, run.caller_retries)
            elif run.caller_retries:
                self.send(run.digest, self.SENDS, run.caller_retries - 1)


class TestInnocentRequests:
    """Targets are full, so that all their requests are suspects when one ends."""

    # Allowed by the requirements: three targets, and three later sends.
    MAX_ENDED_TARGETS = 6
    # At most one in this many requests may be refused for good without need.
    MIN_REQUESTS_PER_REFUSAL = 500

    def test_are_rarely_refused_while_culprit_is_found(self):
        answered = refused = 0
        for seed in range(60):
            simulation = Simulation(seed)
            simulation.simulate(seconds=12.0, crash_every_s=0.8)
            assert MIN_ENDED_ALONE <= simulation.ended <= self.MAX_ENDED_TARGETS
            answered += simulation.answered
            refused += simulation.refused
        assert refused * self.MIN_REQUESTS_PER_REFUSAL <= answered
