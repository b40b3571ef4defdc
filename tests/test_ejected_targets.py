"""Outlier ejection of targets that stand still for a moment with requests in flight."""

import asyncio
import itertools

import pytest
from bench.turned_away import VirtualLoop

from tests.test_direct_dispatch import FakeCaller, events
from tests.test_silent_targets import (
    LIMIT_S,
    NEVER_S,
    SILENT_S,
    Entry,
    PacedAnswer,
)
from wisteriapulley.direct.registry import EJECTION_S, TargetRegistry
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.silence import STREAM_SILENCE_S
from wisteriapulley.wire.messages import TargetState

IN_FLIGHT = 12
# When the first request is answered by another target.
LEFT_S = STREAM_SILENCE_S + 0.1


def with_targets(count):
    registry = TargetRegistry()
    registry.update(
        [
            TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=4)
            for n in range(count)
        ],
        0.0,
    )
    return registry


def play(silent_s, second_sends):
    """Let one of four targets stand still; return it and when all were answered.

    Only some of its requests find room at another target.
    """
    silent = [
        PacedAnswer((0.0, events(1, 2)), (silent_s, events(3, 4)))
        for _ in range(IN_FLIGHT)
    ]
    others = [PacedAnswer((0.1, events(3, 4))) for _ in range(second_sends)]
    entry = Entry(*silent, *others, targets=4)
    budget = itertools.count(1)
    entry.dispatcher.retry_budget("s").spend = lambda now_s: (
        next(budget) <= second_sends
    )

    async def ask(number):
        caller = FakeCaller()
        request = CallerRequest(
            f"id-{number}",
            *("POST", "/x", "h", "/x", (), b"", "", 0.0),
            *(LIMIT_S, 100, 50),
        )
        await entry.dispatcher.serve(request, caller)
        return caller

    async def run():
        callers = await asyncio.gather(*(ask(n) for n in range(IN_FLIGHT)))
        return callers, asyncio.get_running_loop().time()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        callers, ended_s = runner.run(run())
    whole = [caller.body == events(1, 4) for caller in callers]
    return entry.registry.targets["i-0"], whole, ended_s


class TestOneTarget:
    def test_target_that_went_on_is_not_put_aside(self):
        target, whole, ended_s = play(SILENT_S, second_sends=2)
        assert all(whole)
        assert ended_s == pytest.approx(SILENT_S)
        assert target.wait_s(ended_s) == 0.0

    def test_target_that_stays_silent_is_put_aside(self):
        target, whole, ended_s = play(NEVER_S, second_sends=2)
        assert sum(whole) == 2
        assert target.wait_s(LEFT_S) == pytest.approx(EJECTION_S)

    def test_requests_of_before_an_ejection_do_not_prolong_it(self):
        registry = with_targets(4)
        target = registry.targets["i-0"]
        for number in range(IN_FLIGHT):
            registry.record_outcome(target, True, 1.0 + number / 10)
        ejected_s = target.ejected_until_s - EJECTION_S
        assert ejected_s == pytest.approx(1.3)
        registry.record_outcome(target, False, target.ejected_until_s)
        assert target.failure_rate == 0.0

    def test_answers_do_not_end_an_ejection_for_failures(self):
        registry = with_targets(4)
        target = registry.targets["i-0"]
        for _ in range(4):
            registry.record_outcome(target, True, 1.0)
        registry.record_outcome(target, False, 1.1)
        registry.record_resumed(target, 1.2)
        assert target.wait_s(1.2) > 0


class TestManyTargets:
    @pytest.mark.parametrize("paused", [6, 3, 2])
    def test_pause_of_many_leaves_room(self, paused):
        """A failure domain or all targets stand still, with many requests in flight."""
        registry = with_targets(6)
        targets = [registry.targets[f"i-{n}"] for n in range(paused)]
        for target in targets * IN_FLIGHT:
            registry.record_silence(target, 1.0)
        assert len(registry.candidates("s", 1.0)) >= 4
        for target in targets:
            registry.record_resumed(target, 1.5)
        assert len(registry.candidates("s", 1.5)) == 6
