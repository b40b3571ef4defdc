"""The soak: its plan, its judge, and a short run of the real programs."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from soak.fleet import SoakFleet, free_block
from soak.plan import (
    REPAIR_S,
    WEIGHTS,
    Fault,
    Kind,
    Shape,
    admissible,
    candidates,
    draw,
)
from soak.promises import (
    VERSION_S,
    ConfigurationHistory,
    Ended,
    Judge,
    Progression,
    Run,
    Sent,
)
from soak.run import FAULTS, SoakRun

from wisteriapulley.consensus.frames import pack_committed_index

SHAPE = Shape.of_size(2, 3)
SENT = Sent("id", "entry-1", "POST", "/once/", b"body", 10.0, False, 1)
RUN = Run("id", "i-1", "POST", "/once/", b"body", "account", False, 10.1)


def judge(timed=True):
    kept = Judge("account", timed)
    kept.note_sent(SENT)
    return kept


def promises(kept):
    return [finding.promise for finding in kept.findings]


class TestWhatTargetsSay:
    """Each start of a target says it to each entry by itself."""

    def judged(self, arrivals, rest_s=0.0, faults=(), sent_s=()):
        kept = Judge("account")
        kept.faults.extend(faults)
        kept.note_sent(SENT)
        kept.note_told("id", "plain-1-i1", 10.0, rest_s)
        for number, at_s in enumerate(arrivals):
            begun_s = sent_s[number] if sent_s else at_s
            sent = SENT._replace(request_id=f"r{number}", at_s=begun_s)
            kept.note_sent(sent)
            kept.note_arrival(f"r{number}", "plain-1-i1", at_s)
        return [finding.promise for finding in kept.findings]

    def test_two_requests_in_a_rest_are_allowed(self):
        assert self.judged([10.2, 10.3, 10.4, 11.0, 11.5, 13.1, 13.2], 3.0) == []
        assert self.judged([11.0, 11.5, 12.0], 3.0) == ["rest"]

    def test_entry_that_was_restarted_is_excused(self):
        fault = Fault(0.0, Kind.KILL, "entry-1", 0.1)
        assert self.judged([11.0, 11.5, 12.0], 3.0, [(fault, 10.6, 10.7)]) == []
        other = fault._replace(name="entry-2")
        assert self.judged([11.0, 11.5, 12.0], 3.0, [(other, 10.6, 10.7)]) == ["rest"]

    def test_request_sent_long_after_the_word_that_a_target_leaves(self):
        assert self.judged([11.0, 14.0], sent_s=[11.0, 12.0]) == []
        assert self.judged([13.0]) == ["leaving"]


class TestPlan:
    def test_seed_decides_all(self):
        assert draw(7, 30, SHAPE) == draw(7, 30, SHAPE)
        assert draw(7, 30, SHAPE) != draw(8, 30, SHAPE)

    def test_every_kind_can_be_drawn_and_injected(self):
        # Targets that rest are drawn apart from the others.
        assert Kind.TARGET_REST not in WEIGHTS
        assert {*WEIGHTS, Kind.TARGET_REST} == set(Kind) == set(FAULTS)
        rests = [f for f in draw(1, 60.0, SHAPE) if f.kind is Kind.TARGET_REST]
        assert {fault.name for fault in rests} > set(SHAPE.plain)
        assert all(candidates(kind, SHAPE) for kind in Kind)

    @pytest.mark.parametrize("seed", range(20))
    def test_no_second_disk_before_the_first_is_repaired(self, seed):
        wipes = [f for f in draw(seed, 300, SHAPE) if f.kind is Kind.WIPE]
        for one, other in zip(wipes, wipes[1:], strict=False):
            assert other.at_s >= one.at_s + one.for_s + REPAIR_S

    def test_what_delays_a_repair_puts_the_next_loss_off(self):
        faults = [
            Fault(0.0, Kind.WIPE, "control-1", 1.0),
            Fault(10.0, Kind.KILL_ALL, "", 3.0),
            Fault(12.0, Kind.WIPE, "control-2", 1.0),
        ]
        assert [f.kind for f in admissible(faults)] == [Kind.WIPE, Kind.KILL_ALL]


class TestJudge:
    """Each promise is found broken where it is."""

    def test_good_run_has_no_findings(self):
        kept = judge()
        kept.note_run(RUN)
        kept.note_ended(Ended("id", 10.2, 200, True, True))
        kept.close()
        assert not kept.findings and kept.checked["whole"] == 1

    @pytest.mark.parametrize(
        "run,promise",
        [
            (RUN._replace(request_id="other"), "known"),
            (RUN._replace(path="/twice/"), "unchanged"),
            (RUN._replace(body=b""), "unchanged"),
            (RUN._replace(account="other"), "account"),
            (RUN._replace(has_key=True), "key"),
        ],
    )
    def test_run_that_nobody_sent_so(self, run, promise):
        kept = judge()
        kept.note_run(run)
        assert promises(kept) == [promise]

    def test_second_run(self):
        kept = judge()
        kept.note_run(RUN)
        kept.note_run(RUN._replace(target_id="i-2"))
        assert set(promises(kept)) == {"once", "attempts"}

    def test_refused_request_that_runs_later(self):
        kept = judge()
        kept.note_ended(Ended("id", 10.2, 503, True, False))
        kept.note_run(RUN)
        kept.close()
        assert promises(kept) == ["not run"]

    def test_answer_of_another_request(self):
        kept = judge()
        kept.note_ended(Ended("id", 10.2, 200, True, False))
        assert promises(kept) == ["whole"]

    def test_answer_cut_by_planned_work_alone(self):
        kept = judge()
        kept.faults.append((Fault(0, Kind.TERM, "entry-1", 1.0), 9.9, 12.0))
        kept.note_run(RUN)
        kept.note_ended(Ended("id", 10.5, 200, False, False))
        kept.close()
        assert promises(kept) == ["cut"]

    def test_answer_cut_by_a_failure_is_allowed(self):
        kept = judge()
        kept.faults.append((Fault(0, Kind.TERM, "entry-1", 1.0), 9.9, 12.0))
        kept.faults.append((Fault(0, Kind.KILL, "entry-1", 1.0), 8.0, 9.0))
        kept.note_run(RUN)
        kept.note_ended(Ended("id", 10.5, 200, False, False))
        kept.close()
        assert not kept.findings

    def test_work_for_a_target_that_left(self):
        kept = judge()
        kept.left_s["i-1"] = 7.0
        kept.note_run(RUN)
        assert promises(kept) == ["drain"]

    def test_old_weights(self):
        kept = judge()
        kept.named_s[2] = 10.0 - VERSION_S
        kept.note_run(RUN._replace(version=1))
        assert promises(kept) == ["version"]

    def test_busy_machine_has_no_bounds_in_time(self):
        kept = judge(timed=False)
        kept.left_s["i-1"] = 7.0
        kept.named_s[2] = 0.0
        kept.note_run(RUN._replace(version=1))
        assert not kept.findings


class TestConfigurationHistory:
    def history(self):
        kept = Judge("account")
        history = ConfigurationHistory(kept)
        for version in (1, 2):
            history.note_sent(version, b"text %d" % version)
            history.note_acknowledged(version, float(version))
        return kept, history

    def test_newest_is_read(self):
        kept, history = self.history()
        history.check_read(2, b"text 2", 10.0)
        assert not kept.findings

    @pytest.mark.parametrize(
        "version,text,promise",
        [(1, b"text 1", "read newest"), (2, b"other", "read as sent")],
    )
    def test_older_or_other_is_read(self, version, text, promise):
        kept, history = self.history()
        history.check_read(version, text, 10.0)
        assert promises(kept) == [promise]

    def test_two_contents_of_one_version(self):
        kept, history = self.history()
        history.note_sent(2, b"raced")
        history.check_read(2, b"text 2", 10.0)
        history.check_read(2, b"raced", 10.0)
        assert promises(kept) == ["one content a version"]


class TestProgression:
    def test_entry_that_goes_back(self):
        kept = Judge("account")
        progression = Progression(kept)
        progression.note("entry-1/1", 3, 5, (0.0, 1.0))
        progression.note("entry-1/1", 0, 2, (0.5, 1.2))
        progression.note("entry-1/2", 0, 2, (2.0, 2.1))
        assert not kept.findings
        progression.note("entry-1/1", 0, 2, (2.0, 2.1))
        assert promises(kept) == ["monotonic"]


class TestTornLog:
    """Faults overlap: a log may be torn while its instance is down already."""

    def test_instance_that_is_down_tears_nothing_more(self, tmp_path):
        content = pack_committed_index(1) + pack_committed_index(2)
        (tmp_path / "log").write_bytes(content)
        node = SimpleNamespace(data=tmp_path, is_up=True)
        node.kill = lambda: setattr(node, "is_up", False)
        fleet = SimpleNamespace(nodes={"c": node}, rng=random.Random(1))
        SoakFleet.tear(fleet, "c")
        torn = (tmp_path / "log").read_bytes()
        assert torn.startswith(content) and len(torn) > len(content)
        SoakFleet.tear(fleet, "c")
        assert (tmp_path / "log").read_bytes() == torn


class TestNetworks:
    def test_runs_at_the_same_time_have_networks_of_their_own(self):
        blocks = [free_block(100) for _ in range(100)]
        assert len({network for network, _, _ in blocks}) == 100
        for _, _, claim in blocks:
            claim.close()


class TestShortRun:
    def test_real_programs_keep_their_promises(self, tmp_path):
        run = SoakRun(tmp_path, 20, 5.0, Shape.of_size(1, 2), timed=False)
        outcome = asyncio.run(run.play())
        assert outcome.findings == ()
        assert outcome.requests[200] > 0
