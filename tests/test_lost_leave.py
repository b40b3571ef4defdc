"""Leaves that are acknowledged outlive the control instance that did so."""

import asyncio
import json
from functools import partial
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest

from tests.fakes.links import RecordingLink
from tests.fleet import free_hosts, free_port
from tests.test_platform_path import KEY, MAX_WAIT_S, settings_file
from wisteriapulley.clocks import steady_ms
from wisteriapulley.consensus.types import Members
from wisteriapulley.control import leave_confirmation
from wisteriapulley.control.control_api import ControlApi
from wisteriapulley.control.followers import Followers
from wisteriapulley.control.leave_confirmation import LeaveConfirmer
from wisteriapulley.control.leaves import KnownLeaves, Leave, includes_leave
from wisteriapulley.control.target_feed import (
    BATCH_DELAY_S,
    HEARTBEAT_INTERVAL_S,
    TargetFeed,
)
from wisteriapulley.control.targets import TargetTable
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.platform import names
from wisteriapulley.platform.daemons import new_control, new_entry
from wisteriapulley.platform.settings import Tolerance
from wisteriapulley.regions import Regions
from wisteriapulley.wire.messages import (
    TargetBeats,
    TargetNews,
    TargetQuery,
    TargetState,
)

TARGET = "i-1"
# Time limit of a confirmation that can't come.
SHORT_S = 0.1


def state(target_id=TARGET, sequence=1, **more):
    return TargetState(target_id, "s", "10.0.0.1:80", "z", sequence=sequence, **more)


class Network:
    """Control instances that reach each other, but for those that are cut off.

    Attributes
    ----------
    deaf : set of str
        Instances that get no messages.
    unlinked : set of str
        Instances to which no link is open.
    """

    def __init__(self, *node_ids, voters=None):
        self.members = Members({node: f"disk-{node}" for node in voters or node_ids})
        self.deaf = set()
        self.unlinked = set()
        self.frames = []
        self.instances = {node_id: Instance(node_id, self) for node_id in node_ids}

    def links_of(self, node_id):
        return [
            SimpleNamespace(peer_id=other, silent=asyncio.Event())
            for other in self.instances
            if other != node_id and other not in self.unlinked
        ]

    def send(self, sender, message, receivers=None):
        self.frames.append((sender, message))
        loop = asyncio.get_running_loop()
        for node_id in receivers or self.instances:
            if node_id != sender and node_id not in self.unlinked:
                loop.call_soon(self.deliver, sender, node_id, message)

    def deliver(self, sender, receiver, message):
        if receiver not in self.deaf:
            self.instances[receiver].receive(message, sender)


class Instance:
    """A control instance's targets, with one entry that follows it."""

    def __init__(self, node_id, network):
        self.node_id = node_id
        self.network = network
        followers = Followers("z", Regions({}))
        self.entry = RecordingLink("entry")
        followers.add(self.entry)
        self.feed = TargetFeed(
            TargetTable(7200), followers, lambda m: network.send(node_id, m)
        )
        self.leaves = LeaveConfirmer(
            node_id,
            self.feed,
            lambda: network.links_of(node_id),
            lambda: network.members,
        )
        publisher = SimpleNamespace(target_feed=self.feed)
        service = SimpleNamespace(publisher=publisher, leaves=self.leaves)
        self.api = ControlApi(service)

    def receive(self, message, sender):
        link = SimpleNamespace(
            post=lambda m: self.network.send(self.node_id, m, [sender])
        )
        if isinstance(message, TargetQuery):
            self.feed.answer_query(message, link)
        elif isinstance(message, TargetNews):
            self.feed.observe_peer_update(message.targets, sender)
            self.leaves.observe(message.targets, sender)
        elif isinstance(message, TargetBeats):
            self.feed.observe_heartbeats(message, link)

    def knows_leave(self, target_id=TARGET):
        return self.leaves.leaves.leave_of(target_id) is not None

    def has_told_entry(self, target_id=TARGET):
        news = (m for m in self.entry.written if isinstance(m, TargetNews))
        return any(
            s.target_id == target_id and s.leaving for m in news for s in m.targets
        )


class TestAcknowledgement:
    """A leave is acknowledged once a majority of the instances knows it."""

    @pytest.fixture(autouse=True)
    def set_time_limit(self, monkeypatch):
        """Wait for as long as a busy machine needs, unless a test sets a limit."""
        set_limit = partial(
            monkeypatch.setattr, leave_confirmation, "CONFIRM_TIMEOUT_S"
        )
        set_limit(MAX_WAIT_S)
        return set_limit

    def run(self, network, scenario):
        async def play():
            try:
                await scenario(*network.instances.values())
            finally:
                for instance in network.instances.values():
                    instance.feed.stop()
                    instance.leaves.stop()

        asyncio.run(play())

    @pytest.mark.parametrize("draining", [False, True])
    def test_leave_is_not_lost_with_the_instance_that_acknowledged_it(self, draining):
        # Guards against requests that reach a target long after its acknowledged leave.
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state())
            await asyncio.sleep(2 * BATCH_DELAY_S)
            if draining:
                await a.api.observe_target(state(sequence=2, leaving=True))
            else:
                await a.api.remove_target(TARGET)
            # From here on, nothing more is heard of the first instance.
            network.unlinked.add("a")
            assert a.has_told_entry()
            told = [i for i in (b, c) if i.knows_leave() and i.has_told_entry()]
            assert told

        self.run(network, scenario)

    def test_one_instance_that_does_not_answer_delays_nothing(self):
        network = Network("a", "b", "c")
        network.deaf.add("c")

        async def scenario(a, b, c):
            await a.api.remove_target(TARGET)
            assert b.knows_leave()
            assert not c.knows_leave()

        self.run(network, scenario)

    def test_single_instance_acknowledges_what_its_followers_were_told(self):
        async def scenario(a):
            await a.api.remove_target(TARGET)
            assert a.has_told_entry()

        self.run(Network("a"), scenario)

    def test_instance_without_a_vote_needs_a_majority_of_those_with_one(
        self, set_time_limit
    ):
        network = Network("observer", "a", "b", "c", voters=["a", "b", "c"])
        network.deaf.update("bc")

        async def scenario(observer, a, b, c):
            set_time_limit(SHORT_S)
            with pytest.raises(WisteriapulleyError):
                await observer.api.remove_target(TARGET)
            set_time_limit(MAX_WAIT_S)
            network.deaf.discard("b")
            await observer.api.remove_target(TARGET)
            assert a.knows_leave()
            assert b.knows_leave()

        self.run(network, scenario)

    def test_without_a_reachable_majority_it_is_refused_at_once(self):
        network = Network("a", "b", "c")
        network.unlinked.update("bc")

        async def scenario(a, b, c):
            leave = asyncio.create_task(a.api.remove_target(TARGET))
            await asyncio.sleep(0)
            assert leave.done()
            assert leave.exception().code == ResultCode.NO_QUORUM
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert a.has_told_entry()

        self.run(network, scenario)

    def test_refused_if_others_do_not_answer(self, set_time_limit):
        set_time_limit(SHORT_S)
        network = Network("a", "b", "c")
        network.deaf.update("bc")

        async def scenario(a, b, c):
            with pytest.raises(WisteriapulleyError, match="i-1 leaves"):
                await a.api.remove_target(TARGET)
            # The same instance has recorded the leave, and still acknowledges nothing.
            with pytest.raises(WisteriapulleyError):
                await a.api.remove_target(TARGET)
            set_time_limit(MAX_WAIT_S)
            network.deaf.clear()
            await a.api.remove_target(TARGET)
            assert b.knows_leave()

        self.run(network, scenario)

    def test_asks_again_if_a_message_was_lost(self):
        network = Network("a", "b", "c")
        network.deaf.update("bc")

        async def scenario(a, b, c):
            loop = asyncio.get_running_loop()
            loop.call_later(3 * BATCH_DELAY_S, network.deaf.clear)
            await a.api.remove_target(TARGET)
            assert b.knows_leave()

        self.run(network, scenario)

    def test_second_instance_acknowledges_what_the_first_has_recorded(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.remove_target(TARGET)
            await b.api.remove_target(TARGET)
            assert b.has_told_entry()

        self.run(network, scenario)

    def test_instance_that_missed_the_leave_hears_of_it_from_any_other(self):
        # Guards against a leave that is unknown where a lost machine had not sent it.
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state())
            await asyncio.sleep(2 * BATCH_DELAY_S)
            network.deaf.add("c")
            await a.api.remove_target(TARGET)
            network.deaf.clear()
            network.unlinked.add("a")
            b.feed.send_heartbeats_if_due(steady_ms() + HEARTBEAT_INTERVAL_S * 1000)
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert c.knows_leave()
            assert c.has_told_entry()

        self.run(network, scenario)

    def test_repeated_reports_of_a_confirmed_leave_cause_no_messages(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state(sequence=2, leaving=True))
            sent = len(network.frames)
            for sequence in range(3, 9):
                await a.api.observe_target(state(sequence=sequence, leaving=True))
            assert len(network.frames) == sent

        self.run(network, scenario)

    def test_end_after_draining_is_confirmed_by_itself(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state(sequence=2, leaving=True))
            await a.api.remove_target(TARGET)
            assert b.feed.targets.records[TARGET].state.gone

        self.run(network, scenario)

    def test_leaves_of_many_targets_share_frames(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            targets = [f"i-{number}" for number in range(60)]
            await asyncio.gather(*map(a.api.remove_target, targets))
            assert all(map(b.knows_leave, targets))
            # The leaves, the query, and one answer of each peer.
            assert len(network.frames) <= 4

        self.run(network, scenario)

    def test_target_that_is_back_waits_for_nothing(self):
        network = Network("a", "b", "c")
        network.deaf.update("bc")

        async def scenario(a, b, c):
            await a.api.observe_target(state(started_ms=1000))
            leave = asyncio.create_task(a.api.remove_target(TARGET))
            await asyncio.sleep(0)
            await a.api.observe_target(state(started_ms=2000))
            await leave

        self.run(network, scenario)

    def test_report_that_was_overtaken_by_the_leave_changes_nothing(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state())
            await a.api.remove_target(TARGET)
            await c.api.observe_target(state(sequence=9))
            await asyncio.sleep(2 * BATCH_DELAY_S)
            for instance in (a, b, c):
                assert instance.feed.targets.records[TARGET].state.gone

        self.run(network, scenario)

    def test_restarted_instance_learns_of_the_leave_that_it_acknowledged(self):
        network = Network("a", "b", "c")

        async def scenario(a, b, c):
            await a.api.observe_target(state())
            await a.api.remove_target(TARGET)
            a = network.instances["a"] = Instance("a", network)
            # A report that was sent before the leave reaches the new process first.
            await a.api.observe_target(state(sequence=2))
            for peer in (b, c):
                a.receive(peer.feed.full_update(), peer.node_id)
            assert a.knows_leave()
            await asyncio.sleep(2 * BATCH_DELAY_S)
            assert b.feed.targets.records[TARGET].state.gone
            a.feed.stop()

        self.run(network, scenario)


class TestKnownLeaves:
    @pytest.mark.parametrize(
        ("told", "leave", "includes"),
        [
            (state(), Leave(TARGET, 0, True), False),
            (state(leaving=True), Leave(TARGET, 0, True), False),
            (state(leaving=True), Leave(TARGET, 0, False), True),
            (state(leaving=True, gone=True), Leave(TARGET, 0, False), True),
            (state(started_ms=2000), Leave(TARGET, 0, True), False),
            (state(started_ms=2000), Leave(TARGET, 1000, True), True),
            (state(started_ms=1000, gone=True), Leave(TARGET, 2000, True), False),
            (state(gone=True), Leave(TARGET, 2000, True), False),
        ],
    )
    def test_what_a_peer_must_tell(self, told, leave, includes):
        assert includes_leave(told, leave) is includes

    def test_leaves_are_forgotten_with_their_targets(self):
        table = TargetTable(6000)
        known = KnownLeaves(table)
        table.mark_gone(TARGET, steady_ms())
        known.observe([state(gone=True, leaving=True)], "b")
        known.sweep()
        (leave,) = known.known_by
        assert known.knowers(leave) == {"b"}
        table.update(state(started_ms=2000), steady_ms())
        known.sweep()
        assert known.known_by == {}


class Fleet:
    """Three control instances and an entry on loopback."""

    def __init__(self, folder):
        self.folder = folder
        self.hosts = free_hosts(4)
        self.base = free_port()
        self.services = []

    async def start(self):
        (self.folder / "key").write_text(KEY)
        for host in self.hosts:
            make = new_control if host in self.hosts[:3] else new_entry
            self.services.append(await self.start_service(make, host))
        *self.controls, self.entry = self.services
        self.session = aiohttp.ClientSession()

    async def start_service(self, make, host):
        folder = self.folder / host
        folder.mkdir()
        own = msgspec.structs.replace(
            settings_file(str(folder), host, self.base),
            seed_nodes=[f"{seed}:{self.base + 10}" for seed in self.hosts[:3]],
            fault_tolerance=Tolerance(machines=1),
        )
        service = make(own, str(self.folder / "key"))
        service.fatal = asyncio.get_running_loop().create_future()
        await service.start()
        return service

    async def stop(self):
        await self.session.close()
        await asyncio.gather(*(service.stop() for service in self.services))

    async def post(self, host, path, body=b""):
        url = f"http://{host}:{self.base + 10}{path.format(target_id=TARGET)}"
        async with self.session.post(url, data=body) as response:
            return response.status

    async def until(self, check):
        async with asyncio.timeout(MAX_WAIT_S):
            while not check():
                await asyncio.sleep(0.02)

    async def report(self, host):
        report = {
            "service": "plain",
            "address": "127.0.0.1:9",
            "zone": "palermo",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
        }
        body = json.dumps(report).encode()
        assert await self.post(host, names.HEARTBEAT_CALL, body) == 200


def kill(control):
    """End a control instance without anything more being sent."""
    control.publisher.target_feed.stop()
    control.leaves.stop()
    control.sweep_task.cancel()
    control.server.server.close()
    peers = (connection.link for connection in control.peers.values())
    for link in [*control.server.links, *filter(None, peers)]:
        link.transport.abort()
    for connection in control.peers.values():
        connection.task.cancel()


class TestProcesses:
    def test_entry_hears_of_a_leave_whose_acknowledger_dies(
        self, tmp_path, monkeypatch
    ):
        """The platform's call is answered by real instances over real links."""
        monkeypatch.setattr(leave_confirmation, "CONFIRM_TIMEOUT_S", MAX_WAIT_S)

        async def scenario():
            fleet = Fleet(tmp_path)
            try:
                await fleet.start()
                await fleet.until(lambda: all(c.is_ready() for c in fleet.controls))
                acknowledger = fleet.controls[0]
                await fleet.report(fleet.hosts[0])
                targets = fleet.entry.registry.targets
                await fleet.until(lambda: TARGET in targets)
                for peer in fleet.controls[1:]:
                    table = peer.publisher.targets.records
                    await fleet.until(lambda table=table: TARGET in table)
                path = names.LEAVE_CALL
                assert await fleet.post(fleet.hosts[0], path) == 200
                kill(acknowledger)
                await fleet.until(lambda: targets[TARGET].state.gone)
            finally:
                await fleet.stop()

        asyncio.run(scenario())
