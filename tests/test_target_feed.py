"""Distribution of target updates by one control instance to followers and peers."""

import asyncio
import random

import pytest

from tests.fakes.links import RecordingLink
from wisteriapulley.control import target_feed
from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.target_feed import (
    BATCH_DELAY_S,
    HEARTBEAT_INTERVAL_S,
    TargetFeed,
)
from wisteriapulley.control.targets import Change, TargetTable
from wisteriapulley.direct.registry import HEARTBEAT_TIMEOUT_S, TargetRegistry
from wisteriapulley.regions import Regions
from wisteriapulley.wire import messages
from wisteriapulley.wire.messages import TargetState

HEARTBEAT_S = 1.2


def state(number, sequence=1, **more):
    address = f"10.0.0.{number}:80"
    return TargetState(f"i-{number}", "s", address, "z", sequence=sequence, **more)


class Instance:
    """The feed of one control instance, on a simulated clock."""

    def __init__(self, monkeypatch):
        self.now_ms = 0.0
        monkeypatch.setattr(target_feed, "steady_ms", lambda: self.now_ms)
        self.sent_to_peers = []
        self.followers = Followers("z", Regions({}))
        self.feed = TargetFeed(
            TargetTable(7200), self.followers, self.sent_to_peers.append
        )

    def follower(self, role, lossy=None):
        link = RecordingLink(role, lossy)
        self.followers.add(link)
        return link


def run_scenario(scenario, monkeypatch):
    async def run():
        await scenario(Instance(monkeypatch))

    asyncio.run(run())


class TestTargetFeed:
    def test_concurrent_announcements_share_one_frame(self, monkeypatch):
        async def scenario(instance):
            entry, sidecar = instance.follower("entry"), instance.follower("sidecar")
            for number in range(60):
                instance.feed.observe_announcement(state(number))
            await asyncio.sleep(2 * BATCH_DELAY_S)
            for link in (entry, sidecar):
                (update,) = link.written
                assert len(update.targets) == 60
            (update,) = instance.sent_to_peers
            assert len(update.targets) == 60

        run_scenario(scenario, monkeypatch)

    def test_version_changes_are_not_sent_to_sidecars(self, monkeypatch):
        async def scenario(instance):
            instance.feed.observe_announcement(state(1))
            await asyncio.sleep(2 * BATCH_DELAY_S)
            entry, sidecar = instance.follower("entry"), instance.follower("sidecar")
            assert (
                instance.feed.observe_announcement(state(1, 2, version=2))
                is Change.STATE
            )
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert entry.written[0].targets[0].version == 2
            assert sidecar.written == []

        run_scenario(scenario, monkeypatch)

    def test_leave_is_sent_over_a_link_without_room(self, monkeypatch):
        # Guards against requests to a target that left while other traffic fills links.
        async def scenario(instance):
            links = [instance.follower(role) for role in ("entry", "sidecar")]
            for link in links:
                link.write_buffer_bytes = lambda: MAX_BUFFERED_BYTES
            instance.feed.observe_announcement(state(1))
            instance.feed.observe_announcement(state(2))
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert [link.written for link in links] == [[], []]
            instance.feed.observe_announcement(state(1, 2, leaving=True))
            instance.feed.record_end("i-2")
            await asyncio.sleep(2 * BATCH_DELAY_S)
            for link in links:
                (update,) = link.written
                assert {s.target_id for s in update.targets} == {"i-1", "i-2"}

        run_scenario(scenario, monkeypatch)

    def test_heartbeats_of_many_targets_share_one_frame_per_follower(self, monkeypatch):
        """100 targets send only heartbeats: one frame per second and follower."""

        async def scenario(instance):
            for number in range(100):
                instance.feed.observe_announcement(state(number))
            await asyncio.sleep(2 * BATCH_DELAY_S)
            links = [instance.follower("entry") for _ in range(38)]
            instance.sent_to_peers.clear()
            for second in range(1, 11):
                instance.now_ms = second * HEARTBEAT_INTERVAL_S * 1000
                for number in range(100):
                    instance.feed.observe_announcement(state(number, 1 + second))
                await asyncio.sleep(0)
                instance.feed.send_heartbeats_if_due(instance.now_ms)
            assert [len(link.written) for link in links] == [10] * 38
            assert len(instance.sent_to_peers) == 10

        run_scenario(scenario, monkeypatch)

    def test_updates_of_other_instances_are_not_sent_back(self, monkeypatch):
        async def scenario(instance):
            instance.feed.observe_peer_update([state(1)], "c-2")
            instance.now_ms = 1000.0
            heartbeat = messages.TargetBeat("i-1", 0, 1, False, 10)
            instance.feed.observe_heartbeats(
                messages.TargetBeats((heartbeat,)), RecordingLink("control")
            )
            instance.feed.send_heartbeats_if_due(1000.0)
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert instance.sent_to_peers == []

        run_scenario(scenario, monkeypatch)

    def test_missed_announcements_are_requested(self, monkeypatch):
        async def scenario(instance):
            link = RecordingLink("control")
            heartbeats = (
                messages.TargetBeat("i-1", 0, 4, False, 0),
                messages.TargetBeat("i-2", 0, 4, False, 0),
            )
            instance.feed.observe_peer_update([state(2, 4)], "c-2")
            instance.feed.observe_heartbeats(messages.TargetBeats(heartbeats), link)
            assert link.written == [messages.TargetQuery(("i-1",))]

        run_scenario(scenario, monkeypatch)

    @pytest.mark.parametrize("seed", range(5))
    def test_views_converge_within_two_heartbeats_after_lost_frames(
        self, seed, monkeypatch
    ):
        """Frames are lost, three of ten, until the last two seconds."""

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
                    instance.feed.observe_announcement(
                        state(number, sequences[number], version=version)
                    )
                if second == 5:
                    instance.feed.record_end("i-0")
                instance.feed.flush()
                instance.feed.send_heartbeats_if_due(instance.now_ms)
                self.deliver(registry, link, instance, second)
                self.deliver(registry, link, instance, second)
            assert registry.targets.pop("i-0").state.gone
            versions = {t.target_id: t.state.version for t in registry.targets.values()}
            assert versions == dict.fromkeys((f"i-{n}" for n in range(1, 20)), 0)

        run_scenario(scenario, monkeypatch)

    def deliver(self, registry, link, instance, now_s):
        received, link.written = link.written, []
        for message in received:
            if isinstance(message, messages.TargetNews):
                registry.update(message.targets, now_s)
            else:
                missed = registry.record_heartbeats(message.beats, now_s)
                instance.feed.answer_query(messages.TargetQuery(tuple(missed)), link)


class TestHeartbeats:
    def test_heartbeat_from_another_instance_keeps_a_target(self):
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

    def test_missed_end_is_repeated(self):
        table, registry = TargetTable(6000), TargetRegistry()
        table.update(state(1), 0.0)
        registry.update([state(1)], 0.0)
        table.mark_gone("i-1", 1000.0)
        heartbeats = tuple(table.heartbeats(2000.0, 1500.0))
        assert registry.record_heartbeats(heartbeats, 2.0) == ["i-1"]

    def test_heartbeats_keep_a_target_a_candidate(self):
        registry = TargetRegistry()
        registry.update([state(1)], 0.0)
        now_s = 0.0
        for _ in range(10):
            now_s += HEARTBEAT_S
            heartbeat = messages.TargetBeat("i-1", 0, 1, False, 200)
            assert registry.record_heartbeats([heartbeat], now_s) == []
        assert len(registry.candidates("s", now_s)) == 1
        other = messages.TargetBeat("i-2", 0, 1, False, 0)
        assert registry.record_heartbeats([other], now_s + HEARTBEAT_TIMEOUT_S) == [
            "i-2"
        ]
        assert registry.candidates("s", now_s + HEARTBEAT_TIMEOUT_S) == []
