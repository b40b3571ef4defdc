"""News of targets from one control instance to its followers and the others."""

import asyncio
import random

import pytest

from tests.fakes.links import WrittenLink
from wisteriapulley.control import target_feed
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.target_feed import BATCH_S, BEATS_S, TargetFeed
from wisteriapulley.control.targets import Change, TargetTable
from wisteriapulley.direct.registry import SILENCE_S, TargetRegistry
from wisteriapulley.regions import Regions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

HEARTBEAT_S = 1.2


def state(number, sequence=1, **more):
    address = f"10.0.0.{number}:80"
    return TargetState(f"i-{number}", "s", address, "z", sequence=sequence, **more)


class Instance:
    """One control instance's feed on a clock of the test's own."""

    def __init__(self, monkeypatch):
        self.now_ms = 0.0
        monkeypatch.setattr(target_feed, "steady_ms", lambda: self.now_ms)
        self.told = []
        self.followers = Followers("z", Regions({}))
        self.feed = TargetFeed(TargetTable(7200), self.followers, self.told.append)

    def follower(self, role, lossy=None):
        link = WrittenLink(role, lossy)
        self.followers.add(link)
        return link


def play(scenario, monkeypatch):
    async def run():
        await scenario(Instance(monkeypatch))

    asyncio.run(run())


class TestTargetFeed:
    def test_starts_that_come_together_go_out_in_one_frame(self, monkeypatch):
        async def scenario(instance):
            entry, sidecar = instance.follower("entry"), instance.follower("sidecar")
            for number in range(60):
                instance.feed.announced(state(number))
            await asyncio.sleep(2 * BATCH_S)
            for link in (entry, sidecar):
                (news,) = link.taken
                assert len(news.targets) == 60
            (news,) = instance.told
            assert len(news.targets) == 60

        play(scenario, monkeypatch)

    def test_change_of_weights_is_no_news_to_sidecars(self, monkeypatch):
        async def scenario(instance):
            instance.feed.announced(state(1))
            await asyncio.sleep(2 * BATCH_S)
            entry, sidecar = instance.follower("entry"), instance.follower("sidecar")
            assert instance.feed.announced(state(1, 2, version=2)) is Change.STATE
            await asyncio.sleep(2 * BATCH_S)
            assert entry.taken[0].targets[0].version == 2
            assert sidecar.taken == []

        play(scenario, monkeypatch)

    def test_what_a_target_costs_does_not_grow_with_its_heartbeats(self, monkeypatch):
        """100 targets that only say that they live: one frame a second a follower."""

        async def scenario(instance):
            for number in range(100):
                instance.feed.announced(state(number))
            await asyncio.sleep(2 * BATCH_S)
            links = [instance.follower("entry") for _ in range(38)]
            instance.told.clear()
            for second in range(1, 11):
                instance.now_ms = second * BEATS_S * 1000
                for number in range(100):
                    instance.feed.announced(state(number, 1 + second))
                await asyncio.sleep(0)
                instance.feed.beat_if_due(instance.now_ms)
            assert [len(link.taken) for link in links] == [10] * 38
            assert len(instance.told) == 10

        play(scenario, monkeypatch)

    def test_instances_do_not_echo_what_they_tell_each_other(self, monkeypatch):
        async def scenario(instance):
            instance.feed.told([state(1)])
            instance.now_ms = 1000.0
            beat = messages.TargetBeat("i-1", 0, 1, False, 10)
            instance.feed.take_beats(
                messages.TargetBeats((beat,)), WrittenLink("control")
            )
            instance.feed.beat_if_due(1000.0)
            await asyncio.sleep(2 * BATCH_S)
            assert instance.told == []

        play(scenario, monkeypatch)

    def test_missed_news_are_asked_for(self, monkeypatch):
        async def scenario(instance):
            link = WrittenLink("control")
            beats = (
                messages.TargetBeat("i-1", 0, 4, False, 0),
                messages.TargetBeat("i-2", 0, 4, False, 0),
            )
            instance.feed.told([state(2, 4)])
            instance.feed.take_beats(messages.TargetBeats(beats), link)
            assert link.taken == [messages.TargetQuery(("i-1",))]

        play(scenario, monkeypatch)

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_frames_leave_views_apart_for_two_beats_at_most(
        self, seed, monkeypatch
    ):
        """A third of the frames are lost, until the last two seconds."""

        async def scenario(instance):
            rng = random.Random(seed)
            registry = TargetRegistry()
            link = instance.follower("entry", rng)
            sequences = dict.fromkeys(range(20), 0)
            for second in range(1, 9):
                instance.now_ms = second * 1000.0
                if second > 6:
                    link.lossy = None
                for number in sequences:
                    sequences[number] += 1
                    version = rng.randrange(2) if second <= 6 else 0
                    instance.feed.announced(
                        state(number, sequences[number], version=version)
                    )
                if second == 5:
                    instance.feed.ended("i-0")
                instance.feed.flush()
                instance.feed.beat_if_due(instance.now_ms)
                self.take(registry, link, instance, second)
                self.take(registry, link, instance, second)
            assert registry.targets.pop("i-0").state.gone
            known = {t.target_id: t.state.version for t in registry.targets.values()}
            assert known == dict.fromkeys((f"i-{n}" for n in range(1, 20)), 0)

        play(scenario, monkeypatch)

    def take(self, registry, link, instance, now_s):
        taken, link.taken = link.taken, []
        for message in taken:
            if isinstance(message, messages.TargetNews):
                registry.take(message.targets, now_s)
            else:
                missed = registry.take_beats(message.beats, now_s)
                instance.feed.answer(messages.TargetQuery(tuple(missed)), link)


class TestBeats:
    def test_beat_of_another_instance_keeps_a_target(self):
        table = TargetTable(6000)
        table.update(state(1), 0.0)
        assert table.record_heartbeat(
            messages.TargetBeat("i-1", 0, 1, False, 100), 5000.0
        )
        table.sweep(10_000.0)
        assert "i-1" in table.records
        table.sweep(10_901.0)
        assert not table.records

    def test_gone_target_is_not_brought_back(self):
        table = TargetTable(6000)
        table.update(state(1), 0.0)
        table.mark_gone("i-1", 1.0)
        assert table.record_heartbeat(messages.TargetBeat("i-1", 0, 1, False, 0), 2.0)
        assert table.records["i-1"].state.gone

    def test_end_that_was_missed_is_told_again(self):
        table, registry = TargetTable(6000), TargetRegistry()
        table.update(state(1), 0.0)
        registry.take([state(1)], 0.0)
        table.mark_gone("i-1", 1000.0)
        beats = tuple(table.heartbeats(2000.0, 1500.0))
        assert registry.take_beats(beats, 2.0) == ["i-1"]

    def test_beats_keep_a_target_a_candidate(self):
        registry = TargetRegistry()
        registry.take([state(1)], 0.0)
        now_s = 0.0
        for _ in range(10):
            now_s += HEARTBEAT_S
            beat = messages.TargetBeat("i-1", 0, 1, False, 200)
            assert registry.take_beats([beat], now_s) == []
        assert len(registry.candidates("s", now_s)) == 1
        other = messages.TargetBeat("i-2", 0, 1, False, 0)
        assert registry.take_beats([other], now_s + SILENCE_S) == ["i-2"]
        assert registry.candidates("s", now_s + SILENCE_S) == []
