"""From a request's id to its cause, by log lines alone."""

import json
import random

import pytest

from wisteriapulley.cli import main
from wisteriapulley.explain import explain, parse


def line(at_s, message, node="entry-1", **more):
    clock = f"2026-01-01 10:00:{at_s:06.3f}".replace(".", ",")
    return json.dumps({"asctime": clock, "node": node, "message": message, **more})


def placed(request_id, at_s, target="i-1", send=1, waited_ms=2):
    return line(
        at_s,
        "placed",
        request_id=request_id,
        target=target,
        address="10.0.0.1:80",
        send=send,
        waited_ms=waited_ms,
    )


def refused_under_load(name):
    yield line(
        1.0, "refused", request_id=name, kind="overloaded", reason="no place in time"
    )


def cut_by_a_death(name):
    yield placed(name, 1.0)
    yield line(1.5, "stream broke off", request_id=name, target="i-1", reason="reset")
    yield line(1.6, "answer cut", request_id=name, reason="no target")
    yield line(1.7, "target changed", node="control-1", target="i-1", gone=True)


def went_on(name):
    yield placed(name, 1.0)
    yield line(2.6, "stream broke off", request_id=name, target="i-1", reason="x")
    yield placed(name, 2.7, "i-2", 2)
    yield line(3.0, "answered", request_id=name, target="i-2", status=200, took_ms=2000)


def target_failed(name):
    yield placed(name, 1.0)
    yield line(1.1, "answered", request_id=name, target="i-1", status=500, took_ms=9)


def entry_ended(name):
    yield placed(name, 1.0)
    yield line(1.2, "started", role="entry")


def late_in_a_change(name):
    yield placed(name, 1.0, waited_ms=390)
    yield line(1.0, "places closed", node="entry-1", version=1)
    yield line(1.7, "answered", request_id=name, target="i-1", status=200, took_ms=700)


def turned_away_once(name):
    yield placed(name, 1.0)
    yield line(
        1.01, "target turned a request away", request_id=name, target="i-1", rest_s=3.0
    )
    yield placed(name, 1.02, "i-2", 2)
    yield line(1.2, "answered", request_id=name, target="i-2", status=200, took_ms=200)


CAUSES = {
    turned_away_once: "turned away by i-1",
    refused_under_load: "refused (overloaded): no place in time",
    cut_by_a_death: "cut in mid-answer: i-1 broke off",
    went_on: "i-1 broke off and i-2 went on",
    target_failed: "i-1 itself answered 500",
    entry_ended: "the entry entry-1 ended",
    late_in_a_change: "engines changed their weights",
}


class TestExplain:
    @pytest.mark.parametrize("fault", CAUSES, ids=lambda f: f.__name__)
    def test_cause(self, fault):
        found = explain(parse(fault("r-1")), "r-1")
        assert CAUSES[fault] in found.cause

    def test_injected_causes_among_many_requests(self):
        rng = random.Random(7)
        faults = {f"r-{n}": rng.choice(list(CAUSES)) for n in range(40)}
        texts = [text for name, fault in faults.items() for text in fault(name)]
        rng.shuffle(texts)
        texts += ["not ours", "{broken", '{"asctime": "x"}']
        lines = list(parse(texts))
        named = sum(
            CAUSES[fault] in explain(lines, name).cause
            for name, fault in faults.items()
        )
        assert named >= 36

    def test_unknown_id(self):
        found = explain(parse(went_on("r-1")), "r-2")
        assert found.lines == () and "no line names it" in found.cause

    def test_command(self, tmp_path, capsys):
        file = tmp_path / "a.log"
        file.write_text("\n".join(cut_by_a_death("r-1")))
        assert main(["explain", "r-1", str(file)]) == 0
        assert "target changed" in capsys.readouterr().out
        assert main(["explain", "r-1", str(tmp_path / "none")]) == 1
        assert "WP100" in capsys.readouterr().err
