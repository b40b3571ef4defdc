"""Which requests ended the targets that ran them."""

import itertools
import random
from typing import NamedTuple

import pytest

from wisteriapulley.policy.crash_suspects import (
    MAX_INITIAL_SUSPECTS,
    MIN_ENDED_ALONE,
    CrashSuspects,
    SuspectRecord,
)
from wisteriapulley.wire.messages import Suspect

ONE, OTHER, CULPRIT = b"1" * 16, b"2" * 16, b"3" * 16


def after(*ended, digest=ONE, **options):
    """Return suspects after targets ended under a request."""
    suspects = CrashSuspects(**options)
    for at_s, start in enumerate(ended):
        suspects.record_crash(digest, start, float(at_s))
    return suspects


def shared(ones, others):
    """Return suspects after targets ended under two requests."""
    suspects = after(*ones)
    for start in others:
        suspects.record_crash(OTHER, start, 3.0)
    return suspects


class TestCrashSuspects:
    def test_quarantined_with_the_third_target(self):
        suspects = after("a", "b")
        assert not suspects.is_quarantined(ONE)
        suspects.record_crash(ONE, "c", 3.0)
        assert suspects.is_quarantined(ONE)
        assert not suspects.is_quarantined(OTHER)

    def test_those_that_share_all_targets_may_be_sent_once_more(self):
        suspects = shared("abc", "abc")
        assert suspects.quarantined() == []
        suspects.record_crash(ONE, "d", 4.0)
        assert suspects.quarantined() == [ONE]

    def test_answer_of_the_neighbour_decides(self):
        suspects = shared("abc", "abc")
        suspects.record_answer(OTHER, 4.0)
        assert suspects.quarantined() == [ONE]

    def test_neighbour_of_the_quarantined_goes_free(self):
        assert shared("abcd", "bcd").quarantined() == [ONE]

    def test_other_targets_are_no_excuse(self):
        assert sorted(shared("abc", "bcd").quarantined()) == [ONE, OTHER]

    def test_one_end_counts_once_whoever_tells_it(self):
        suspects = after("a", "a", "b", "b", "a")
        assert not suspects.is_quarantined(ONE)

    def test_whole_answer_clears(self):
        suspects = after("a", "b")
        assert suspects.record_answer(ONE, 5.0)
        assert not suspects.record_answer(ONE, 5.0)
        for start in ("c", "d"):
            suspects.record_crash(ONE, start, 6.0)
            assert not suspects.is_quarantined(ONE)

    def test_answer_of_another_request_clears_nothing(self):
        suspects = after("a", "b", "c")
        assert not suspects.record_answer(OTHER, 5.0)
        assert suspects.is_quarantined(ONE)

    def test_ends_told_after_the_clearing_are_not_counted_again(self):
        suspects, late = (
            after("a", "b"),
            tuple(after("a", "b", "c").updates(3.0, [ONE])),
        )
        suspects.record_answer(ONE, 5.0)
        assert suspects.merge_updates(late, 6.0) == []
        assert not suspects.is_quarantined(ONE)

    def test_forgotten_in_time(self):
        suspects = after("a", "b", "c", retention_s=100.0)
        suspects.remove_expired(102.0)
        assert suspects.is_quarantined(ONE)
        suspects.remove_expired(102.1)
        assert not suspects.records

    def test_holds_the_quarantined_longest(self):
        """More suspects than can be held: those that tell least go first."""
        suspects = after("a", "b", "c", max_records=3)
        suspects.record_crash(OTHER, "a", 4.0)
        for number in range(50):
            suspects.record_crash(bytes([number]) * 16, "z", 5.0 + number)
        assert len(suspects.records) == 3
        assert suspects.is_quarantined(ONE)
        assert OTHER not in suspects.records

    def test_new_link_is_told_of_the_heaviest(self):
        suspects = after("a", "b", "c")
        for number in range(2 * MAX_INITIAL_SUSPECTS):
            suspects.record_crash(number.to_bytes(16, "little"), "z", 5.0)
        suspects.record_crash(OTHER, "z", 6.0)
        suspects.record_answer(OTHER, 7.0)
        told = suspects.top_suspects()
        assert len(told) == MAX_INITIAL_SUSPECTS
        assert told[0] == ONE and OTHER not in told

    def test_suspect_that_tells_least_is_not_held(self):
        """All that is held tells more than one more request under one target."""
        suspects = after("a", "b", "c", max_records=1)
        record = suspects.record_crash(OTHER, "d", 9.0)
        assert record.ended == ("d",)
        assert list(suspects.records) == [ONE]

    def test_news_say_how_long_ago(self):
        news = tuple(after("a", "b").updates(11.9, [ONE]))
        assert news == (Suspect(ONE, 0, ("a", "b"), 10),)


class TestMerging:
    """Records of all entries, in any order and any number of times."""

    @pytest.mark.parametrize("seed", range(20))
    def test_all_come_to_the_same(self, seed):
        rng = random.Random(seed)
        news = [
            Suspect(ONE, rng.randrange(2), tuple(rng.sample("abcd", 2)), 0)
            for _ in range(4)
        ]
        outcomes = set()
        for order in itertools.permutations(news):
            suspects = CrashSuspects()
            suspects.merge_updates(order, 0.0)
            suspects.merge_updates(rng.choices(news, k=3), 0.0)
            record = suspects.records[ONE]
            outcomes.add((record.cleared, record.ended))
        assert len(outcomes) == 1

    def test_only_what_is_new_is_news(self):
        suspects = after("a")
        assert suspects.merge_updates([Suspect(ONE, 0, ("a",))], 9.0) == []
        assert suspects.merge_updates([Suspect(ONE, 0, ("b",))], 9.0) == [ONE]
        assert suspects.merge_updates([Suspect(OTHER, 3, ())], 9.0) == []
        assert suspects.merge_updates([Suspect(ONE, 1, ())], 9.0) == [ONE]

    def test_ends_beyond_the_most_add_nothing(self):
        suspects = after("d", "c", "b", "a")
        assert suspects.merge_updates([Suspect(ONE, 0, ("e", "f"))], 9.0) == []
        assert suspects.records[ONE] == SuspectRecord(0, ("a", "b", "c", "d"), 3.0)


class Run(NamedTuple):
    """One request at one target."""

    digest: bytes
    target: int
    until_s: float
    sends: int
    returns: int


class Neighbours:
    """Targets that run innocent requests, and one that ends them again and again.

    A request whose target ends goes on at another one, `SENDS` times for each
    attempt; a caller whose attempt failed comes back once.
    """

    TARGETS = 8
    AT_ONCE = 12
    RUN_S = 1.2
    AWAY_S = 3.0
    SENDS = 2
    RETURNS = 1
    STEP_S = 0.05

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.suspects = CrashSuspects()
        self.now_s = 0.0
        self.up_at_s = [0.0] * self.TARGETS
        self.starts = itertools.count()
        self.start = [str(next(self.starts)) for _ in self.up_at_s]
        self.running = []
        self.refused = self.answered = self.ended = 0

    def play(self, seconds, crash_every_s):
        next_s = 1.0
        while self.now_s < seconds:
            self.now_s += self.STEP_S
            for run in self.finished():
                self.end_run(run)
            while len(self.running) < self.TARGETS * self.AT_ONCE * 0.8:
                self.send(self.rng.randbytes(16), self.SENDS, self.RETURNS)
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

    def send(self, digest, sends, returns):
        if self.suspects.is_quarantined(digest):
            self.refused += digest != CULPRIT
            return
        up = [n for n, at_s in enumerate(self.up_at_s) if at_s <= self.now_s]
        begins_s = self.now_s + self.rng.uniform(0.1, 0.4)
        run_s = 0.1 if digest == CULPRIT else self.rng.uniform(0.2, 2 * self.RUN_S)
        until_s = begins_s + run_s
        run = Run(digest, self.rng.choice(up), until_s, sends - 1, returns)
        self.running.append(run)

    def end(self, target):
        self.ended += 1
        start, self.start[target] = self.start[target], str(next(self.starts))
        self.up_at_s[target] = self.now_s + self.AWAY_S
        broken = [run for run in self.running if run.target == target]
        self.running = [run for run in self.running if run.target != target]
        for run in broken:
            self.suspects.record_crash(run.digest, start, self.now_s)
        for run in broken:
            if run.sends:
                self.send(run.digest, run.sends, run.returns)
            elif run.returns:
                self.send(run.digest, self.SENDS, run.returns - 1)


class TestNeighboursOfTheCulprit:
    """Full targets, whose requests all are suspects when one ends."""

    # What the users allow: three targets, and three later sends.
    ENDED_ALLOWED = 6
    # Requests that may be refused for good without need: one in so many.
    REFUSED_ONE_IN = 500

    def test_go_free_while_it_is_found(self):
        answered = refused = 0
        for seed in range(60):
            neighbours = Neighbours(seed)
            neighbours.play(seconds=12.0, crash_every_s=0.8)
            assert MIN_ENDED_ALONE <= neighbours.ended <= self.ENDED_ALLOWED
            answered += neighbours.answered
            refused += neighbours.refused
        assert refused * self.REFUSED_ONE_IN <= answered
