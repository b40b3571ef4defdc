"""Rates that targets advertise in their responses."""

import pytest

from tests.test_direct_dispatch import FakeAnswer, events, serve
from wisteriapulley.platform.signal_parsing import parse_rate
from wisteriapulley.policy.advertised_rate import (
    MIN_RATE_PER_S,
    AdvertisedRate,
    RateTracker,
)
from wisteriapulley.policy.response_signals import ResponseSignals

NO_RATE = AdvertisedRate()


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
    def test_valid(self, texts, per_s):
        assert parse_rate(texts).per_s == per_s

    @pytest.mark.parametrize(
        "text", ["", "-1", "nan", "inf", "1e3", "1_0", "1,2", "many", "9" * 400, "１"]
    )
    def test_invalid(self, text):
        assert parse_rate([text]) == AdvertisedRate(None, text)


class TestRateTracker:
    def observe_all(self, *responses):
        tracker = RateTracker()
        changes = [tracker.observe(*response) for response in responses]
        return tracker, changes

    def test_follows_responses(self):
        tracker, changes = self.observe_all(
            (NO_RATE, 0.0, 0.1),
            (AdvertisedRate(2.0), 1.0, 1.1),
            (AdvertisedRate(2.0), 2.0, 2.1),
            (AdvertisedRate(1.5), 3.0, 3.1),
            (NO_RATE, 4.0, 4.1),
        )
        assert changes == [False, True, True, True, True]
        assert tracker.per_s is None and tracker.observed_s == 4.1

    def test_response_out_of_order_does_not_clear(self):
        tracker, changes = self.observe_all(
            (AdvertisedRate(2.0), 1.0, 1.5), (NO_RATE, 1.2, 1.6)
        )
        assert changes == [True, False]
        assert tracker.per_s == 2.0

    def test_zero_is_raised_to_the_minimum(self):
        tracker, _ = self.observe_all((AdvertisedRate(0.0), 1.0, 1.1))
        assert tracker.per_s == MIN_RATE_PER_S

    def test_invalid_text_changes_nothing_and_is_reported_once(self):
        bad = AdvertisedRate(None, "many")
        tracker, changes = self.observe_all(
            (bad, 0.0, 0.1), (AdvertisedRate(2.0), 1.0, 1.1), (bad, 2.0, 2.1)
        )
        assert changes == [False, True, False]
        assert tracker.per_s == 2.0
        assert [tracker.is_first_invalid(bad) for _ in range(2)] == [True, False]


class TestLogs:
    """Log lines show which rate an entry observed, and when."""

    def lines(self, caplog, message):
        return [r for r in caplog.records if r.message == message]

    def test_rate_is_logged_with_its_target(self, caplog):
        caplog.set_level("INFO")
        serve(
            FakeAnswer(
                [events(1, 2)], signals=ResponseSignals(rate=AdvertisedRate(1.5))
            )
        )
        (line,) = self.lines(caplog, "target states a rate")
        assert (line.target, line.per_s) == ("i-0", 1.5)

    def test_invalid_rate_is_logged(self, caplog):
        serve(
            FakeAnswer(
                [events(1, 2)],
                signals=ResponseSignals(rate=AdvertisedRate(None, "x" * 500)),
            )
        )
        (line,) = self.lines(caplog, "cannot parse advertised rate")
        assert len(line.got) < 100

    def test_response_of_another_instance_is_ignored(self, caplog):
        caplog.set_level("INFO")
        other = FakeAnswer(
            status=421,
            other_instance=True,
            not_run=True,
            signals=ResponseSignals(rate=AdvertisedRate(1.0)),
        )
        serve(other, FakeAnswer([events(1, 2)]))
        assert not self.lines(caplog, "target states a rate")
