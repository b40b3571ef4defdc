"""What targets say of themselves in the heads of their answers."""

import pytest
from multidict import CIMultiDict

from tests.test_direct_dispatch import FakeAnswer, events, serve
from wisteriapulley.platform.statements import (
    MOST_REST_S,
    parse_rest,
    parse_statements,
)
from wisteriapulley.policy.statements import StatedRest, Statements, TargetLoad

DATE = "Thu, 03 Dec 2026 12:00:00 GMT"


def rest(*texts, status=503, date=DATE):
    headers = CIMultiDict([("Retry-After", text) for text in texts])
    if date:
        headers["Date"] = date
    return parse_rest(status, headers)


class TestParseRest:
    @pytest.mark.parametrize(
        ("texts", "seconds"),
        [
            ((), 0.0),
            (("3",), 3.0),
            (("0.25",), 0.25),
            (("0",), 0.0),
            (("3", "7"), 7.0),
            (("3", "soon"), 3.0),
            (("Thu, 03 Dec 2026 12:00:04 GMT",), 4.0),
            (("Thu, 03 Dec 2026 11:59:00 GMT",), 0.0),
            (("86400",), MOST_REST_S),
            (("31536000",), MOST_REST_S),
            (("9" * 400,), MOST_REST_S),
        ],
    )
    def test_readable(self, texts, seconds):
        assert rest(*texts).seconds == seconds

    @pytest.mark.parametrize(
        "text",
        ["", "-1", "+3", "nan", "inf", "1e3", "1_0", "1,2", "soon", "３"]
        + ["Thu, 99 Dec 2026 12:00:04 GMT", "1 Jan 1 0:0:0 +9999999999999999999"],
    )
    def test_unreadable(self, text):
        assert rest(text) == StatedRest(0.0, text)

    def test_date_without_the_answers_own_is_unreadable(self):
        assert rest(DATE, date="").unreadable == DATE

    @pytest.mark.parametrize("status", [200, 421, 429, 500])
    def test_other_statuses_say_nothing_of_the_target(self, status):
        assert rest("3", status=status) == StatedRest()


class TestParseStatements:
    def test_all_of_one_answer(self):
        headers = {
            "X-Server-Load": "3,0,8",
            "Server-Limit": "1.5",
            "Retry-After": "3",
            "Server-Leaving": "1",
        }
        says = parse_statements(503, CIMultiDict(headers))
        assert says.load == TargetLoad(3, 0, 8)
        assert says.rate.per_s == 1.5
        assert says.rest.seconds == 3.0
        assert says.leaving

    def test_answer_that_says_nothing(self):
        assert parse_statements(200, CIMultiDict()) == Statements()

    @pytest.mark.parametrize("text", ["", "0", "no", "-1", "11"])
    def test_only_a_clear_word_means_leaving(self, text):
        headers = CIMultiDict({"Server-Leaving": text})
        assert not parse_statements(200, headers).leaving


class TestLogs:
    def test_request_that_was_turned_away_is_told_with_what_the_target_said(
        self, caplog
    ):
        caplog.set_level("INFO")
        says = Statements(rest=StatedRest(3.0))
        away = FakeAnswer(status=503, not_run=True, says=says)
        serve(away, FakeAnswer([events(1, 2)]))
        (line,) = [
            r for r in caplog.records if r.message == "target turned a request away"
        ]
        assert (line.target, line.status, line.rest_s) == ("i-0", 503, 3.0)
