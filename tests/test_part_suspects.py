"""Parts of prompts that are suspected of crashing targets."""

import itertools
import random

import pytest

from wisteriapulley.policy import part_suspects, recent_ends
from wisteriapulley.policy.begun_parts import BegunParts
from wisteriapulley.policy.crash_suspects import MAX_PART_ENDS, CrashSuspects
from wisteriapulley.policy.fingerprint import DIGEST_BYTES, PART_PREFIX
from wisteriapulley.policy.part_suspects import (
    MIN_SHARE,
    QUARANTINE_RANK,
    SINGLE_SEND_RANK,
    culprit,
    incarnations,
    rank_of,
    ranked_end,
)
from wisteriapulley.policy.recent_ends import WINDOW_S, RecentEnds
from wisteriapulley.wire.messages import Suspect


def part(name):
    return PART_PREFIX + name.encode().ljust(DIGEST_BYTES, b".")


CULPRIT, FIRST, OTHER = part("culprit"), part("first"), part("other")


class Fleet:
    """Records of one instance that knows of each end before the next prompt is sent."""

    def __init__(self):
        self.suspects = CrashSuspects()
        self.ends = itertools.count()

    def crash(self, *digests, known=None, share=1.0):
        """Let one target end under a prompt, which was sent with `known` records."""
        known = dict(self.suspects.records) if known is None else known
        incarnation = f"i-{next(self.ends)}"
        for digest in digests:
            self.suspects.record_part_crash(
                digest, incarnation, known.get(digest), float(next(self.ends)), share
            )

    def begin(self, *digests):
        for digest in digests:
            self.suspects.record_answer(digest, float(next(self.ends)))

    def refuses(self, *digests):
        return culprit(self.suspects.records, digests) is not None

    def rank(self, digest):
        return rank_of(self.suspects.records.get(digest))


class TestRank:
    def test_rises_with_each_end_that_was_known_before(self):
        fleet = Fleet()
        for rank in range(1, 5):
            fleet.crash(CULPRIT)
            assert fleet.rank(CULPRIT) == rank

    def test_is_one_for_targets_that_are_lost_together(self):
        fleet = Fleet()
        for _ in range(MAX_PART_ENDS + 5):
            fleet.crash(FIRST, known={})
        assert fleet.rank(FIRST) == 1

    def test_begins_again_after_clearing(self):
        fleet = Fleet()
        fleet.crash(FIRST)
        known = dict(fleet.suspects.records)
        fleet.begin(FIRST)
        fleet.crash(FIRST, known=known)
        assert fleet.rank(FIRST) == 1

    def test_survives_the_limit_of_an_instance_that_keeps_four_ends(self):
        """Instances of earlier versions keep the first ones."""
        ends = [ranked_end(1, f"i-{n}") for n in range(9)] + [ranked_end(2, "i-9")]
        record = CrashSuspects()
        record.merge_updates([Suspect(CULPRIT, 0, tuple(sorted(ends)[:4]))], 0.0)
        assert rank_of(record.records[CULPRIT]) == 2

    @pytest.mark.parametrize("ended", [(), ("",), ("i-1",), ("x/i-1",)])
    def test_is_none_for_ends_without_one(self, ended):
        suspects = CrashSuspects()
        suspects.merge_updates([Suspect(CULPRIT, 0, ended)], 0.0)
        assert rank_of(suspects.records.get(CULPRIT)) == 0


class TestCulprit:
    def test_is_the_part_in_all_crashed_prompts(self):
        fleet = Fleet()
        for number in range(QUARANTINE_RANK):
            fleet.crash(part(f"first-{number}"), CULPRIT, part(f"third-{number}"))
        assert fleet.refuses(FIRST, CULPRIT)
        assert not fleet.refuses(part("first-0"), part("third-0"))
        assert fleet.suspects.quarantined() == [CULPRIT]

    def test_is_no_part_that_a_target_has_begun_to_answer(self):
        fleet = Fleet()
        for _ in range(QUARANTINE_RANK):
            fleet.crash(FIRST, CULPRIT)
            fleet.begin(FIRST)
        assert fleet.refuses(CULPRIT)
        assert not fleet.refuses(FIRST)

    def test_is_not_known_before_the_third_rank(self):
        fleet = Fleet()
        for _ in range(QUARANTINE_RANK - 1):
            fleet.crash(CULPRIT)
        assert not fleet.refuses(CULPRIT)

    def test_is_no_part_of_targets_that_are_lost_together(self):
        """Neither the loss of many targets nor one more end quarantines."""
        fleet = Fleet()
        for _ in range(24):
            fleet.crash(FIRST, OTHER, known={})
        assert not fleet.refuses(FIRST, OTHER)
        fleet.crash(FIRST, OTHER)
        assert not fleet.refuses(FIRST, OTHER)

    def test_parts_of_the_same_prompts_are_refused_together_only(self):
        """A prompt with one of them alone shows which it is."""
        fleet = Fleet()
        for _ in range(QUARANTINE_RANK):
            fleet.crash(FIRST, CULPRIT)
        assert fleet.refuses(FIRST, CULPRIT, OTHER)
        assert not fleet.refuses(FIRST, OTHER)
        assert not fleet.refuses(CULPRIT, OTHER)
        # Both are kept over a restart.
        assert set(fleet.suspects.quarantined()) == {FIRST, CULPRIT}

    @pytest.mark.parametrize("result", ["begins", "crashes"])
    def test_prompt_with_one_of_them_decides(self, result):
        fleet = Fleet()
        for _ in range(QUARANTINE_RANK):
            fleet.crash(FIRST, CULPRIT)
        if result == "begins":
            fleet.begin(FIRST)
        else:
            fleet.crash(CULPRIT)
        assert fleet.refuses(CULPRIT, OTHER)
        assert not fleet.refuses(FIRST, OTHER)

    def test_two_at_once_are_both_found(self):
        fleet, second = Fleet(), part("second")
        for _ in range(QUARANTINE_RANK):
            fleet.crash(FIRST, CULPRIT)
            fleet.crash(FIRST, second)
            fleet.begin(FIRST)
        assert fleet.refuses(CULPRIT) and fleet.refuses(second)
        assert not fleet.refuses(FIRST)

    def test_neighbour_at_some_of_the_targets_is_none(self):
        """The culprit explains all ends of its part."""
        fleet = Fleet()
        for _ in range(2):
            fleet.crash(CULPRIT)
        for _ in range(QUARANTINE_RANK):
            fleet.crash(CULPRIT, OTHER)
        assert fleet.rank(OTHER) == QUARANTINE_RANK
        assert fleet.refuses(CULPRIT) and not fleet.refuses(OTHER)
        assert fleet.suspects.quarantined() == [CULPRIT]

    def test_neighbour_at_all_trials_takes_one_more(self):
        fleet = Fleet()
        fleet.crash(CULPRIT)
        for _ in range(QUARANTINE_RANK):
            fleet.crash(CULPRIT, OTHER)
        assert fleet.refuses(CULPRIT, OTHER)
        assert not fleet.refuses(CULPRIT) and not fleet.refuses(OTHER)
        fleet.crash(CULPRIT)
        assert fleet.refuses(CULPRIT) and not fleet.refuses(OTHER)

    def test_earlier_end_of_another_part_does_not_blame_it(self):
        """It may have had any reason, and its prompts would never clear the part."""
        fleet = Fleet()
        fleet.crash(FIRST)
        fleet.crash(CULPRIT)
        for _ in range(QUARANTINE_RANK):
            fleet.crash(FIRST, CULPRIT)
        assert fleet.refuses(FIRST, CULPRIT) and not fleet.refuses(FIRST)
        fleet.begin(FIRST)
        assert fleet.refuses(CULPRIT) and not fleet.refuses(FIRST)

    def test_is_none_while_most_targets_end_for_other_reasons(self):
        fleet = Fleet()
        for _ in range(9):
            fleet.crash(FIRST, share=MIN_SHARE - 0.01)
        assert fleet.rank(FIRST) == 1
        for rank in (2, 3):
            fleet.crash(FIRST, share=MIN_SHARE)
            assert fleet.rank(FIRST) == rank

    def test_is_not_explained_by_a_request(self):
        """Ids of targets may look like ranked ends."""
        fleet = Fleet()
        for _ in range(QUARANTINE_RANK):
            fleet.crash(CULPRIT)
        request = b"r" * DIGEST_BYTES
        for end in fleet.suspects.records[CULPRIT].ended + ("0/i-9",):
            fleet.suspects.record_crash(request, end, 9.0)
        assert fleet.refuses(CULPRIT)

    def test_is_looked_for_only_among_parts_of_its_rank(self, monkeypatch):
        """Each change of a suspect asks for all that is quarantined."""
        fleet, looks = Fleet(), []
        for number in range(200):
            fleet.crash(part(f"rare-{number}"), known={})
        for _ in range(QUARANTINE_RANK):
            fleet.crash(CULPRIT)
        suspects_of = part_suspects.suspects_of

        def look(records, min_rank):
            looks.append(min_rank)
            return suspects_of(records, min_rank)

        monkeypatch.setattr(part_suspects, "suspects_of", look)
        assert fleet.suspects.quarantined() == [CULPRIT]
        assert len(looks) == 1

    def test_is_suspected_at_a_lower_rank(self):
        fleet = Fleet()
        for _ in range(SINGLE_SEND_RANK):
            fleet.crash(CULPRIT)
        assert culprit(fleet.suspects.records, [CULPRIT], SINGLE_SEND_RANK) == CULPRIT


class TestMerging:
    """Records of all entries, in any order and any number of times."""

    @pytest.mark.parametrize("seed", range(20))
    def test_order_does_not_matter(self, seed):
        rng = random.Random(seed)
        updates = [
            Suspect(
                CULPRIT,
                rng.randrange(2),
                tuple(
                    ranked_end(rng.randrange(1, 5), f"i-{rng.randrange(40)}")
                    for _ in range(MAX_PART_ENDS)
                ),
            )
            for _ in range(4)
        ]
        outcomes = set()
        for order in itertools.permutations(updates):
            suspects = CrashSuspects()
            suspects.merge_updates(order, 0.0)
            suspects.merge_updates(rng.choices(updates, k=3), 0.0)
            outcomes.add(suspects.records[CULPRIT][:2])
        assert len(outcomes) == 1


class TestRecentEnds:
    def test_share_is_that_of_recent_ends(self):
        ends = RecentEnds()
        ends.record(("old",), 0.0)
        ends.record("abcd", WINDOW_S)
        # News of an end may be repeated.
        ends.record(("old", "a"), WINDOW_S + 1)
        assert ends.share_of({"old", "a", "b"}, WINDOW_S + 1) == 0.5
        assert RecentEnds().share_of({"a"}, 1.0) == 0.0

    def test_are_forgotten(self):
        ends = RecentEnds()
        ends.record(("a",), 0.0)
        ends.remove_expired(recent_ends.RETENTION_S)
        assert ends.ended_s
        ends.remove_expired(recent_ends.RETENTION_S + 1)
        assert not ends.ended_s


class Prompts:
    """Callers' prompts at targets, some of which crash, in steps of a model."""

    TARGETS = 12
    STEP_S = 0.1
    RESTART_STEPS = 20
    PER_STEP = 4
    SENDS = 2

    def __init__(
        self, seed, steps_per_crash=0, killed_per_step=0.0, wait_steps=3, waves=()
    ):
        self.rng = random.Random(seed)
        self.steps_per_crash = steps_per_crash
        self.killed_per_step = killed_per_step
        self.wait_steps = wait_steps
        # Pairs of a step in each 50 and the share of targets that end then.
        self.waves = dict(waves)
        self.suspects = CrashSuspects()
        self.begun = BegunParts()
        self.recent_ends = RecentEnds()
        self.up_from = [0] * self.TARGETS
        self.waiting = []
        self.step = self.ended = self.sound = self.refused = 0
        self.crashing_sends = []

    def prompt(self, is_crashing):
        """Return shared parts, of which some are rare."""
        rng = self.rng
        first = part(f"first-{int(rng.paretovariate(0.8)) % 40}")
        third = part(f"third-{int(rng.paretovariate(0.8)) % 200}")
        return (first, CULPRIT, third) if is_crashing else (first, third)

    def run(self, steps):
        for self.step in range(steps):
            self.finish()
            for target in range(self.TARGETS):
                ends = self.waves.get(self.step % 50, self.killed_per_step)
                if self.rng.random() < ends:
                    self.end(target)
            for _ in range(self.PER_STEP):
                self.send(self.prompt(False), self.SENDS)
            if self.steps_per_crash and self.step % self.steps_per_crash == 0:
                self.send(self.prompt(True), self.SENDS)
        return self

    def send(self, parts, sends):
        up = [n for n, step in enumerate(self.up_from) if step <= self.step]
        is_first = sends == self.SENDS
        rank = QUARANTINE_RANK if is_first else SINGLE_SEND_RANK
        refused = culprit(self.suspects.records, parts, rank) is not None
        if CULPRIT not in parts:
            self.sound += 1
            self.refused += refused
        if refused or not up or not sends:
            return
        if CULPRIT in parts:
            self.crashing_sends.append((self.step, self.ended))
        known = {d: r for d, r in self.suspects.records.items() if d in parts}
        begins = self.step + 1 + self.rng.randrange(self.wait_steps)
        self.waiting.append((begins, self.rng.choice(up), parts, known, sends - 1))

    def finish(self):
        due = [each for each in self.waiting if each[0] <= self.step]
        for each in due:
            if each not in self.waiting:
                continue
            if CULPRIT in each[2]:
                self.end(each[1])
                continue
            self.waiting.remove(each)
            self.begun.record("", each[2], self.now_s)
            for digest in each[2]:
                self.suspects.record_answer(digest, float(self.step))

    @property
    def now_s(self):
        return self.step * self.STEP_S

    def end(self, target):
        if self.up_from[target] > self.step:
            return
        self.ended += 1
        incarnation = f"i-{target}-{self.up_from[target]}"
        self.up_from[target] = self.step + self.RESTART_STEPS
        self.recent_ends.record((incarnation,), self.now_s)
        broken = [each for each in self.waiting if each[1] == target]
        self.waiting = [each for each in self.waiting if each[1] != target]
        for _, _, parts, known, _ in broken:
            for digest in parts:
                self.record_end(digest, incarnation, known.get(digest))
        for _, _, parts, _, sends in broken:
            self.send(parts, sends)

    def record_end(self, digest, incarnation, known):
        if self.begun.contains("", digest, self.now_s):
            return
        record = self.suspects.records.get(digest)
        ended = {incarnation, *(incarnations(record) if record else ())}
        share = self.recent_ends.share_of(ended, self.now_s)
        self.suspects.record_part_crash(
            digest, incarnation, known, float(self.step), share
        )


class TestSoundPrompts:
    """They share all parts but one with the prompts that crash targets."""

    # At most one in this many may be refused without need.
    MIN_PROMPTS_PER_REFUSAL = 500
    SEEDS = 40

    def total(self, **options):
        runs = [Prompts(seed, **options).run(steps=150) for seed in range(self.SEEDS)]
        refused = sum(run.refused for run in runs)
        assert refused * self.MIN_PROMPTS_PER_REFUSAL <= sum(run.sound for run in runs)
        return runs

    # Permitted are three sends later than this many steps after the fifth end.
    MAX_ENDED, MAX_LATER_SENDS, NEWS_STEPS = 5, 3, 30

    @pytest.mark.parametrize("steps_per_crash", [1, 4, 20])
    def test_are_served_while_the_culprit_is_found(self, steps_per_crash):
        for run in self.total(steps_per_crash=steps_per_crash):
            after = [
                step for step, ended in run.crashing_sends if ended >= self.MAX_ENDED
            ]
            late = [step for step in after if step > after[0] + self.NEWS_STEPS]
            assert len(late) <= self.MAX_LATER_SENDS
            assert run.ended >= QUARANTINE_RANK

    def test_are_served_while_targets_end_for_other_reasons(self):
        runs = self.total(killed_per_step=0.03)
        assert sum(run.ended for run in runs) > 20 * self.SEEDS

    @pytest.mark.parametrize("wait_steps", [3, 10, 20])
    def test_are_served_while_most_targets_are_lost_piece_by_piece(self, wait_steps):
        """A prompt may meet several ends in a row before a target begins it."""
        waves = ((25, 0.7), (28, 0.4), (31, 0.4), (34, 0.4))
        runs = self.total(killed_per_step=0.01, wait_steps=wait_steps, waves=waves)
        assert sum(run.ended for run in runs) > 30 * self.SEEDS

    def test_are_served_while_the_culprit_is_found_beside_losses(self):
        waves = ((25, 0.7), (28, 0.4))
        runs = self.total(steps_per_crash=3, waves=waves)
        assert all(run.suspects.is_quarantined(CULPRIT) for run in runs)
