"""Explain the outcome of a request from log lines only."""

import json
import random

import pytest

from wisteriapulley.cli import main
from wisteriapulley.explain import explain, parse


def log_line(at_s, message, node="entry-1", **more):
    clock = f"2026-01-01 10:00:{at_s:06.3f}".replace(".", ",")
    return json.dumps({"asctime": clock, "node": node, "message": message, **more})


def placed(request_id, at_s, target="i-1", send=1, waited_ms=2):
    return log_line(
        at_s,
        "placed",
        request_id=request_id,
        target=target,
        address="10.0.0.1:80",
        send=send,
        waited_ms=waited_ms,
    )


def overloaded(name):
    yield log_line(
        1.0, "refused", request_id=name, kind="overloaded", reason="no slot in time"
    )


def target_died_mid_stream(name):
    yield placed(name, 1.0)
    yield log_line(
        1.5, "stream broke off", request_id=name, target="i-1", reason="reset"
    )
    yield log_line(1.6, "answer cut", request_id=name, reason="no target")
    yield log_line(1.7, "target changed", node="control-1", target="i-1", gone=True)


def resumed_at_another_target(name):
    yield placed(name, 1.0)
    yield log_line(2.6, "stream broke off", request_id=name, target="i-1", reason="x")
    yield placed(name, 2.7, "i-2", 2)
    yield log_line(
        3.0, "answered", request_id=name, target="i-2", status=200, took_ms=2000
    )


def target_answered_500(name):
    yield placed(name, 1.0)
    yield log_line(
        1.1, "answered", request_id=name, target="i-1", status=500, took_ms=9
    )


def entry_restarted(name):
    yield placed(name, 1.0)
    yield log_line(1.2, "started", role="entry")


def slow_during_version_switch(name):
    yield placed(name, 1.0, waited_ms=390)
    yield log_line(1.0, "places closed", node="entry-1", version=1)
    yield log_line(
        1.7, "answered", request_id=name, target="i-1", status=200, took_ms=700
    )


def rejected_by_one_target(name):
    yield placed(name, 1.0)
    yield log_line(
        1.01, "target turned a request away", request_id=name, target="i-1", rest_s=3.0
    )
    yield placed(name, 1.02, "i-2", 2)
    yield log_line(
        1.2, "answered", request_id=name, target="i-2", status=200, took_ms=200
    )


def target_fell_silent(name):
    yield placed(name, 1.0)
    yield log_line(2.6, "target silent", request_id=name, target="i-1", silent_ms=1600)
    yield log_line(
        3.0, "silent target went on", request_id=name, target="i-1", silent_ms=2000
    )
    yield log_line(
        3.1, "answered", request_id=name, target="i-1", status=200, took_ms=2100
    )


def entry_failed(name):
    yield placed(name, 1.0)
    yield log_line(1.1, "request ended by an internal error", request_id=name)


CAUSES = {
    target_fell_silent: "silent: i-1 (2000 ms)",
    entry_failed: "an error of the entry entry-1 itself",
    rejected_by_one_target: "rejected by i-1",
    overloaded: "refused (overloaded): no slot in time",
    target_died_mid_stream: "response truncated: the stream of i-1 broke off",
    resumed_at_another_target: "the stream of i-1 broke off and i-2 resumed it",
    target_answered_500: "i-1 itself returned status 500",
    entry_restarted: "the entry entry-1 ended",
    slow_during_version_switch: "engines switched weights",
}


class TestExplain:
    @pytest.mark.parametrize("scenario", CAUSES, ids=lambda f: f.__name__)
    def test_cause(self, scenario):
        explanation = explain(parse(scenario("r-1")), "r-1")
        assert CAUSES[scenario] in explanation.cause

    def test_causes_among_interleaved_requests(self):
        rng = random.Random(7)
        scenarios = {f"r-{n}": rng.choice(list(CAUSES)) for n in range(40)}
        texts = [
            text for name, scenario in scenarios.items() for text in scenario(name)
        ]
        rng.shuffle(texts)
        texts += ["not ours", "{broken", '{"asctime": "x"}']
        lines = list(parse(texts))
        explained = sum(
            CAUSES[scenario] in explain(lines, name).cause
            for name, scenario in scenarios.items()
        )
        assert explained >= 36

    def test_unknown_request_id(self):
        explanation = explain(parse(resumed_at_another_target("r-1")), "r-2")
        assert (
            explanation.lines == ()
            and "no log line has this request id" in explanation.cause
        )

    def test_explain_command(self, tmp_path, capsys):
        file = tmp_path / "a.log"
        file.write_text("\n".join(target_died_mid_stream("r-1")))
        assert main(["explain", "r-1", str(file)]) == 0
        assert "target changed" in capsys.readouterr().out
        assert main(["explain", "r-1", str(tmp_path / "none")]) == 1
        assert "WP100" in capsys.readouterr().err
