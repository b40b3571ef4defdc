"""The rate that a target states in its answers."""

import pytest

from tests.test_direct_dispatch import FakeAnswer, events, serve
from wisteriapulley.platform.statements import parse_rate
from wisteriapulley.policy.advertised_rate import (
    MIN_RATE_PER_S,
    AdvertisedRate,
    RateTracker,
)
from wisteriapulley.policy.response_signals import ResponseSignals

NONE = AdvertisedRate()


class TestParseRate:
    @pytest.mark.parametrize(
        ("texts", "per_s"),
        [
            ([], None),
            (["1.5"], 1.5),
            (["3"], 3.0),
            ([".5"], 0.5),
            (["0"], 0.0),
            (["1" + "0" * 30], 1e30),
            (["4", "1.5"], 1.5),
            (["4", "many"], 4.0),
        ],
    )
    def test_readable(self, texts, per_s):
        assert parse_rate(texts).per_s == per_s

    @pytest.mark.parametrize(
        "text", ["", "-1", "nan", "inf", "1e3", "1_0", "1,2", "many", "9" * 400, "１"]
    )
    def test_unreadable(self, text):
        assert parse_rate([text]) == AdvertisedRate(None, text)


class TestKnownRate:
    def heard(self, *words):
        known = RateTracker()
        changes = [known.observe(*word) for word in words]
        return known, changes

    def test_begins_changes_and_ends_with_the_answers(self):
        known, changes = self.heard(
            (NONE, 0.0, 0.1),
            (AdvertisedRate(2.0), 1.0, 1.1),
            (AdvertisedRate(2.0), 2.0, 2.1),
            (AdvertisedRate(1.5), 3.0, 3.1),
            (NONE, 4.0, 4.1),
        )
        assert changes == [False, True, True, True, True]
        assert known.per_s is None and known.observed_s == 4.1

    def test_answer_that_was_overtaken_ends_nothing(self):
        known, changes = self.heard((AdvertisedRate(2.0), 1.0, 1.5), (NONE, 1.2, 1.6))
        assert changes == [True, False]
        assert known.per_s == 2.0

    def test_nothing_at_all_is_asked_for_now_and_then(self):
        known, _ = self.heard((AdvertisedRate(0.0), 1.0, 1.1))
        assert known.per_s == MIN_RATE_PER_S

    def test_what_is_no_rate_changes_nothing_and_is_told_once(self):
        bad = AdvertisedRate(None, "many")
        known, changes = self.heard(
            (bad, 0.0, 0.1), (AdvertisedRate(2.0), 1.0, 1.1), (bad, 2.0, 2.1)
        )
        assert changes == [False, True, False]
        assert known.per_s == 2.0
        assert [known.is_first_invalid(bad) for _ in range(2)] == [True, False]


class TestLogs:
    """What tells afterwards which limit an entry was told, and when."""

    def lines(self, caplog, message):
        return [r for r in caplog.records if r.message == message]

    def test_rate_is_told_with_its_target(self, caplog):
        caplog.set_level("INFO")
        serve(
            FakeAnswer([events(1, 2)], says=ResponseSignals(rate=AdvertisedRate(1.5)))
        )
        (line,) = self.lines(caplog, "target states a rate")
        assert (line.target, line.per_s) == ("i-0", 1.5)

    def test_unreadable_rate_is_told(self, caplog):
        serve(
            FakeAnswer(
                [events(1, 2)],
                says=ResponseSignals(rate=AdvertisedRate(None, "x" * 500)),
            )
        )
        (line,) = self.lines(caplog, "rate can't be read")
        assert len(line.got) < 100

    def test_other_instance_says_nothing_of_the_target(self, caplog):
        caplog.set_level("INFO")
        other = FakeAnswer(
            status=421,
            other_instance=True,
            not_run=True,
            says=ResponseSignals(rate=AdvertisedRate(1.0)),
        )
        serve(other, FakeAnswer([events(1, 2)]))
        assert not self.lines(caplog, "target states a rate")
