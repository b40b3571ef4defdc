"""A target that leaves says so in all its answers."""

import asyncio

import pytest

from tests import plain_fleet, test_platform_path
from tests.fakes.plain import PlainTarget
from tests.fakes.platform import EVENTS
from tests.plain_fleet import Fleet
from tests.test_cooldown import insist
from tests.test_response_signals import registry_of, state_of
from wisteriapulley.policy.response_signals import ResponseSignals
from wisteriapulley.rollout.engine import EngineReport

# After so long a target that said that it leaves gets nothing any more.
DRAIN_S = 2.0
LEAVES = ResponseSignals(leaving=True)


class TestPlainTargets:
    def test_one_that_leaves_gets_no_more_and_costs_no_caller(self, tmp_path):
        leaving, other = PlainTarget(0), PlainTarget(1)

        async def scenario(fleet):
            leaving.arrivals.clear()
            leaving.leaving = True
            answers = await insist(
                lambda name: fleet.ask(0, name.encode()), DRAIN_S + 0.5
            )
            told_s = leaving.arrivals[0]
            assert [at_s for at_s in leaving.arrivals if at_s > told_s + DRAIN_S] == []
            assert {status for status, _ in answers} == {200}

        plain_fleet.play(Fleet(tmp_path, [leaving, other]), scenario)

    def test_last_one_that_leaves_gets_no_more(self, tmp_path):
        target = PlainTarget(0)

        async def scenario(fleet):
            target.leaving = True
            assert (await fleet.ask(0, b"told"))[0] == 200
            sends = len(target.arrivals)
            status, wait = await fleet.ask(0, b"more")
            assert (status, len(target.arrivals)) == (503, sends)
            assert float(wait) > 0

        plain_fleet.play(Fleet(tmp_path, [target]), scenario)


class TestEngine:
    def test_sidecar_of_one_that_leaves_grants_nothing(self, tmp_path):
        async def scenario(whole):
            whole.engine.leaving = True
            places = whole.sidecar.admission.slots

            async def closed():
                return not places.open

            await whole.until(closed)
            # No answer to a request has said so yet: the sidecar denies.
            status, _, _ = await whole.ask()
            assert (status, whole.engine.runs) == (503, [])

        test_platform_path.play(tmp_path, scenario)

    def test_streams_in_progress_go_on_to_their_end(self, tmp_path):
        async def scenario(whole):
            whole.engine.event_s = 0.1
            streams = [
                asyncio.create_task(whole.ask(id=f"request-{number}"))
                for number in range(3)
            ]

            async def running():
                return len(whole.engine.runs) == 3

            await whole.until(running)
            whole.engine.leaving = True
            for status, body, _ in await asyncio.gather(*streams):
                assert (status, body) == (200, EVENTS)

        test_platform_path.play(tmp_path, scenario)

    @pytest.mark.parametrize("states_its_start", [True, False])
    def test_next_start_is_granted_again(self, tmp_path, states_its_start):
        """It may be back before its sidecar misses a report."""

        async def scenario(whole):
            whole.engine.leaving = True
            places = whole.sidecar.admission.slots

            async def closed():
                return not places.open

            await whole.until(closed)
            whole.engine.leaving = False
            whole.engine.version = 0
            whole.engine.born += states_its_start

            async def is_open():
                return places.open

            await whole.until(is_open)

        test_platform_path.play(tmp_path, scenario)


class TestReports:
    HELD = EngineReport({"m": 1})

    def test_leaving_holds_for_the_start_that_said_so(self):
        leaving = self.HELD._replace(leaving=True)
        assert self.HELD.merged_with(leaving).leaving
        assert leaving.merged_with(self.HELD).leaving

    def test_engine_without_weights_has_started_again(self):
        """It may be back before a report is missed, and need not say when it began."""
        leaving = self.HELD._replace(leaving=True)
        started = EngineReport({}).merged_with(leaving)
        assert not started.leaving
        assert not self.HELD.merged_with(started).leaving


class TestTarget:
    def test_no_later_word_ends_it(self):
        registry = registry_of("a", "b")
        target = registry.targets["a"]
        assert target.record_signals(LEAVES, 0.9, 1.0).leaving
        assert not target.record_signals(LEAVES, 1.0, 1.1).leaving
        target.record_signals(ResponseSignals(), 1.2, 1.3)
        registry.update([state_of("a", sequence=2), state_of("b", sequence=2)], 2.0)
        assert [t.target_id for t in registry.candidates("s", 2.0)] == ["b"]

    def test_sweep_does_not_forget_it(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(LEAVES, 0.9, 1.0)
        registry.last_update_s = 40.0
        registry.sweep(40.0)
        registry.update([state_of("a", sequence=2)], 40.0)
        assert registry.candidates("s", 40.0) == []

    def test_later_start_does_not_leave(self):
        registry = registry_of("a")
        registry.targets["a"].record_signals(LEAVES, 0.9, 1.0)
        registry.update([state_of("a", sequence=0, started_ms=2)], 2.0)
        assert [t.target_id for t in registry.candidates("s", 2.0)] == ["a"]
