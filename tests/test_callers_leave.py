"""Callers that leave while their request is at a target."""

import logging

import pytest

from tests.test_direct_dispatch import events
from tests.test_silent_targets import NEVER_S, Entry, PacedAnswer


def logged(caplog, message):
    """Return the records of a message."""
    return [record for record in caplog.records if record.getMessage() == message]


class TestGivenUp:
    """What is recorded of a request that is cancelled at a target."""

    @pytest.mark.parametrize(
        ("answer", "begun", "silent_ms"),
        [
            (PacedAnswer(head_s=NEVER_S), "no", 2500),
            (PacedAnswer((0.5, events(1, 1)), (NEVER_S, events(2, 2))), "yes", 2000),
        ],
        ids=["no_event", "events"],
    )
    def test_silence_of_the_target_is_logged(self, caplog, answer, begun, silent_ms):
        caplog.set_level(logging.INFO)
        entry = Entry(answer, targets=1)
        entry.serve(leaves_s=2.5)
        (line,) = logged(caplog, "request given up at target")
        assert (line.request_id, line.target) == ("id", "i-0")
        assert line.silent_ms == pytest.approx(silent_ms, abs=1)
        assert line.sent_ms == line.waited_ms == pytest.approx(2500, abs=1)
        assert entry.dispatcher.metrics.given_up.get({"begun": begun}) == 1

    def test_answered_request_is_not_given_up(self, caplog):
        caplog.set_level(logging.INFO)
        Entry(PacedAnswer((0.5, events(1, 4))), targets=1).serve()
        assert not logged(caplog, "request given up at target")
