"""Load that targets state in their responses, and who is asked because of it."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from tests.test_direct_dispatch import SETTINGS, FakeAnswer, events, serve
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.slot_allocation import SlotAllocator
from wisteriapulley.platform.signal_parsing import parse_load
from wisteriapulley.policy.response_signals import ResponseSignals, TargetLoad
from wisteriapulley.policy.stated_load import HALF_LIFE_S, LoadTracker
from wisteriapulley.weights.desired_versions import DesiredVersions
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import TargetState


def stating(running, waiting=0, slots=6, pace=0.0):
    return ResponseSignals(TargetLoad(running, waiting, slots, pace))


class TestParseLoad:
    @pytest.mark.parametrize(
        ("text", "load"),
        [
            ("3,0,8", TargetLoad(3, 0, 8)),
            ("3,0,8,100", TargetLoad(3, 0, 8, 100.0)),
            ("3, 0, 8, 112.5", TargetLoad(3, 0, 8, 112.5)),
            ("3,0,8,250,more,9", TargetLoad(3, 0, 8, 250.0)),
        ],
    )
    def test_valid(self, text, load):
        assert parse_load(text) == (load, "")

    def test_none_is_not_invalid(self):
        assert parse_load("") == (None, "")

    @pytest.mark.parametrize("text", ["3,0", "3,0,-8", "a,b,c", "3,,8,100", "３,0,8"])
    def test_without_three_counts_there_is_no_load(self, text):
        assert parse_load(text) == (None, text)

    @pytest.mark.parametrize("pace", ["", "-5", "nan", "inf", "fast", "9" * 400])
    def test_invalid_pace_keeps_the_counts(self, pace):
        text = f"3,0,8,{pace}"
        assert parse_load(text) == (TargetLoad(3, 0, 8), text)


class TestLoadTracker:
    def test_own_requests_are_counted_once(self):
        tracker = LoadTracker()
        tracker.observe(stating(5, 2), 3, 1.0)
        assert tracker.outstanding(3, 1.0) == 7
        assert tracker.outstanding(4, 1.0) == 8

    def test_requests_of_others_fade(self):
        tracker = LoadTracker()
        tracker.observe(stating(6, 2), 0, 0.0)
        assert tracker.outstanding(0, HALF_LIFE_S) == 4.0

    def test_response_without_load_changes_nothing(self):
        tracker = LoadTracker()
        tracker.observe(stating(6), 0, 1.0)
        tracker.observe(ResponseSignals(), 0, 1.0)
        assert tracker.outstanding(0, 1.0) == 6

    def test_without_statements_only_own_requests_count(self):
        assert LoadTracker().outstanding(2, 5.0) == 2


def plain_fleet(now_s, count=3, name="e"):
    registry = TargetRegistry()
    states = [
        TargetState(f"i-{n}", "s", f"10.0.0.{n}:80", "z", sequence=1, slots=6)
        for n in range(count)
    ]
    registry.update(states, now_s)
    follower = SimpleNamespace(versions=DesiredVersions(), open_links=list)
    return registry, SlotAllocator(
        SETTINGS, Identity(name, "entry", "z", 1, b"k" * 40), registry, follower
    )


async def allocate(allocator, registry, now_s):
    targets = registry.candidates("s", now_s)
    return await allocator.allocate_plain(targets, now_s, False)


class TestPlainTargets:
    def test_target_that_others_fill_is_asked_last(self):
        async def run():
            now_s = asyncio.get_running_loop().time()
            registry, allocator = plain_fleet(now_s)
            registry.targets["i-0"].record_signals(stating(6, 3), now_s, now_s)
            slots = [await allocate(allocator, registry, now_s) for _ in range(8)]
            return [slot.target.target_id for slot in slots]

        assert "i-0" not in asyncio.run(run())

    def test_restarted_target_is_not_judged_by_its_predecessor(self):
        async def run():
            now_s = asyncio.get_running_loop().time()
            registry, allocator = plain_fleet(now_s, count=1)
            registry.targets["i-0"].record_signals(stating(6, 3), now_s, now_s)
            state = registry.targets["i-0"].state
            registry.update([state._replace(started_ms=5, sequence=0)], now_s)
            return registry.targets["i-0"].load.outstanding(0, now_s)

        assert asyncio.run(run()) == 0

    def test_entries_ask_a_full_target_only_until_it_states_its_load(self):
        """Three entries; requests of others fill the first two targets."""

        async def run(states_load):
            now_s = asyncio.get_running_loop().time()
            entries = [plain_fleet(now_s, count=6, name=f"e-{n}") for n in range(3)]
            busy = {f"i-{n}": 6 if n < 2 else 0 for n in range(6)}
            rng = random.Random(1)
            for _ in range(24):
                registry, allocator = rng.choice(entries)
                slot = await allocate(allocator, registry, now_s)
                name = slot.target.target_id
                busy[name] += 1
                if states_load:
                    slot.target.record_signals(stating(busy[name]), now_s, now_s)
            return busy["i-0"] + busy["i-1"] - 12

        assert asyncio.run(run(True)) == 2 * 3
        assert asyncio.run(run(False)) > 2 * 3


class TestLogs:
    def test_invalid_load_is_logged_once(self, caplog):
        signals = ResponseSignals(TargetLoad(3, 0, 8), invalid_load="3,0,8," + "x" * 99)
        serve(
            FakeAnswer(status=503, not_run=True, signals=signals),
            FakeAnswer([events(1, 2)], signals=signals),
            targets=2,
        )
        lines = [r for r in caplog.records if r.message == "cannot parse load"]
        assert len({line.target for line in lines}) == len(lines) == 2
        assert all(len(line.got) == 40 for line in lines)

    def test_second_invalid_load_of_a_target_is_not_logged(self):
        tracker = LoadTracker()
        invalid = ResponseSignals(invalid_load="x")
        assert [tracker.is_first_invalid(invalid) for _ in range(2)] == [True, False]
