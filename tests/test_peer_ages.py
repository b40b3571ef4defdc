"""Control instances that ask each other how old a version of weights is."""

import asyncio
import functools
import json
import random
from types import SimpleNamespace

import pytest
from bench.turned_away import VirtualLoop
from msgspec import structs

from tests.fakes.links import LateLink
from tests.fleet import TOKENS
from tests.test_control_publisher import Instance, models_of
from wisteriapulley.control.assumed_ages import with_assumed
from wisteriapulley.control.commands import PutWeights, encode
from wisteriapulley.control.peer_ages import PeerAges
from wisteriapulley.control.service import ControlService
from wisteriapulley.settings import Address
from wisteriapulley.wire import LinkServer, codec, connect, messages
from wisteriapulley.wire.handshake import Identity

PLAY_S = 12.0
# Longer than any way of these tests takes there and back.
MAX_WAY_S = 0.4


class PeerLink(LateLink):
    """Link to another control instance; each query takes another time."""

    def __init__(self, publisher, rng):
        super().__init__(publisher)
        self.rng = rng

    def post(self, message, reply_to=0, body=b""):
        self.way_s = self.rng.uniform(0.0, MAX_WAY_S / 2)
        self.ways_back_s = [self.rng.uniform(0.0, MAX_WAY_S / 2)]
        return super().post(message, reply_to, body)

    def answer(self, frame_id, way_back_s):
        reply = codec.Frame(1, frame_id, self.publisher.models_for_peers())
        asyncio.get_running_loop().call_later(way_back_s, self.receive, reply)


def ask_over(instance, open_links):
    """Let an instance ask its peers over some links."""
    publisher = instance.publisher
    ages = PeerAges(open_links, publisher.observe_reply, publisher.versions.is_assumed)
    publisher.ask_peers = ages.ask


class TestManyInstances:
    @pytest.fixture(autouse=True)
    def virtual_clock(self, monkeypatch):
        for module in ("age_queries", "publisher"):
            monkeypatch.setattr(
                f"wisteriapulley.control.{module}.steady_s",
                lambda: asyncio.get_running_loop().time(),
            )

    def accepted_s(self, count, seed):
        """Return when each believes that a version was accepted; it was at 0 s."""
        rng = random.Random(seed)

        async def hear(instance):
            await asyncio.sleep(rng.uniform(0.0, MAX_WAY_S))
            instance.publisher.observe_models(models_of(2))

        async def play():
            instances = [Instance() for _ in range(count)]
            for one in instances:
                links = [
                    PeerLink(other.publisher, rng)
                    for other in instances
                    if other is not one
                ]
                ask_over(one, lambda links=links: links)
            instances[0].publisher.observe_models(models_of(2))
            await asyncio.gather(*map(hear, instances[1:]))
            await asyncio.sleep(PLAY_S)
            return [one.publisher.versions.accepted_at("m", 2) for one in instances]

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(play())

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("count", [3, 6, 13])
    def test_age_grows_by_one_way_only_however_many_ask(self, count, seed):
        """Each would pass on what it took off, and the old version end early."""
        accepted_s = self.accepted_s(count, seed)
        assert min(accepted_s) >= -MAX_WAY_S - 0.01

    @pytest.mark.parametrize("seed", range(3))
    def test_no_instance_believes_a_later_time(self, seed):
        assert max(self.accepted_s(13, seed)) <= 0.0


class TestRestartAfterALateRecord:
    """An instance read the record of a version late, and asked one that knew better."""

    LATE_S = 2.0

    @pytest.mark.parametrize("way_s", [0.0, 0.05])
    def test_restarted_instance_does_not_count_from_the_reading(
        self, monkeypatch, way_s
    ):
        """The one that knew better is gone by then."""

        def loop_time_s():
            return asyncio.get_running_loop().time()

        for module in ("age_queries", "publisher"):
            monkeypatch.setattr(
                f"wisteriapulley.control.{module}.steady_s", loop_time_s
            )

        def follow(instance, peer):
            link = LateLink(peer.publisher, way_s, [way_s] * 9)
            link.answer = functools.partial(PeerLink.answer, link)
            ask_over(instance, lambda: [link])

        async def scenario():
            true, late, restarted = Instance(), Instance(), Instance()
            true.publisher.observe_models(models_of(2))
            await asyncio.sleep(self.LATE_S)
            follow(late, true)
            late.state.apply(1, encode(PutWeights("m", 2)), loop_time_s())
            late.publisher.publish_changes()
            await asyncio.sleep(1.0)
            follow(restarted, late)
            restarted.state.weights["m"] = 2
            restarted.publisher.publish_restored()
            greeting = late.publisher.models_for_peers()
            restarted.publisher.observe_models(greeting, "late", may_ask=True)
            await asyncio.sleep(1.0)
            return restarted.publisher.versions.accepted_at("m", 2)

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            accepted_s = runner.run(scenario())
        assert -way_s - 0.01 <= accepted_s <= way_s


class TestSilentPeer:
    """A restarted instance asks the only peer that knows the age of a version."""

    ANSWERS_AFTER_S = 4.0

    @pytest.fixture(autouse=True)
    def virtual_clock(self, monkeypatch):
        for module in ("age_queries", "publisher"):
            monkeypatch.setattr(
                f"wisteriapulley.control.{module}.steady_s",
                lambda: asyncio.get_running_loop().time(),
            )

    def restarted(self, link):
        """Return an instance that has restored a version and follows one peer."""
        instance = Instance()
        ask_over(instance, lambda: [link])
        instance.state.weights["m"] = 2
        instance.publisher.publish_restored()
        return instance

    def play(self, scenario):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(scenario())

    def test_peer_that_goes_on_late_is_asked_again(self):
        """Followers would refuse requests on the old version until weights come."""

        async def scenario():
            true = Instance()
            true.publisher.observe_models(models_of(2))
            link = LateLink(true.publisher, 0.0, [9.0] * 4 + [0.0])
            link.answer = functools.partial(PeerLink.answer, link)
            instance = self.restarted(link)
            for _ in range(5):
                greeting = true.publisher.models_for_peers()
                instance.publisher.observe_models(greeting, "c", may_ask=True)
            await asyncio.sleep(self.ANSWERS_AFTER_S)
            assert len(link.asked_s) == 5
            assert not link.tasks
            return instance.publisher.versions.accepted_at("m", 2)

        assert -0.01 <= self.play(scenario) <= 0.0

    def test_reply_sent_before_the_peer_learned_of_the_age_is_not_the_last(self):
        """News over the accepted link overtook it."""

        async def scenario():
            peer = Instance()
            peer.publisher.observe_models(models_of(2, 3_600_000, assumed=True))
            link = LateLink(peer.publisher)
            instance = self.restarted(link)
            early = codec.Frame(1, 1, peer.publisher.models_for_peers())
            link.answer = lambda *args: None
            instance.publisher.ask_peers(frozenset({("m", 2)}))
            await asyncio.sleep(0.1)
            peer.publisher.observe_models(models_of(2))
            news = peer.publisher.models_for_peers()
            instance.publisher.observe_models(news, "c", may_ask=True)
            link.answer = functools.partial(PeerLink.answer, link)
            link.ways_back_s = [0.0]
            link.receive(early)
            await asyncio.sleep(1.0)
            return instance.publisher.versions.accepted_at("m", 2)

        assert 0.0 <= self.play(scenario) <= 0.1


class TestPeerThatOpenedTheOnlyLink:
    """An instance does not reach the address of the one that knows the age."""

    WAIT_S = 10.0

    @pytest.fixture
    def restarted(self, tmp_path):
        """A service that has restored a version, before any link is open."""
        operators = tmp_path / "operators.json"
        operators.write_text(json.dumps(TOKENS))
        made = Instance()
        settings = structs.replace(
            made.publisher.settings, operators_file=str(operators)
        )
        service = ControlService(settings)
        service.peers, service.driver = {}, SimpleNamespace(accepted_links={})
        service.publisher.table = made.publisher.table
        service.state.weights["m"] = 2
        service.publisher.publish_restored()
        return service

    def identity(self, name):
        return Identity(name, "control", "z", 1, b"k" * 40)

    async def play(self, service, true):
        """Let the peer connect and tell the age; wait until the instance has it."""

        async def answer(link, frame):
            if isinstance(frame.message, messages.ModelQuery):
                true.publisher.answer_model_query(link, frame)

        server = LinkServer(
            self.identity("10.0.0.1"), service.handle, messages.Heartbeat, 20, 60_000
        )
        server.on_open, server.on_close = service.link_opened, None
        address = await server.start(Address("127.0.0.1", 0))
        link = await connect(
            address, self.identity("b"), answer, messages.Heartbeat, 20, 60_000
        )
        try:
            true.publisher.greet_peer(link)
            async with asyncio.timeout(self.WAIT_S):
                while service.publisher.versions.is_assumed("m", 2):
                    await asyncio.sleep(0.01)
        finally:
            link.close()
            await server.stop()

    def test_assumed_age_does_not_stay_there(self, restarted):
        """Followers would refuse requests on the old version until weights come."""
        true = Instance()
        true.publisher.observe_models(models_of(2, age_ms=500))
        asyncio.run(self.play(restarted, true))
        true_s = true.publisher.versions.accepted_at("m", 2)
        accepted_s = restarted.publisher.versions.accepted_at("m", 2)
        assert true_s - self.WAIT_S <= accepted_s <= true_s

    def test_own_link_is_asked_where_both_are_open(self, restarted):
        accepted, own, closed = LateLink(None), LateLink(None), LateLink(None)
        restarted.peer_links = {"b": accepted, "c": accepted, "d": closed}
        restarted.peers = {
            "b": SimpleNamespace(open_link=own),
            "c": SimpleNamespace(open_link=None),
            "d": SimpleNamespace(open_link=None),
        }
        closed.closed.set()
        assert restarted.links_to_peers() == [own, accepted]


class TestEarlierRelease:
    def test_age_of_its_disk_does_not_replace_a_true_one(self):
        """It has no flag for an assumed age, and the old version would end at once."""
        instance = Instance()
        instance.publisher.observe_models(models_of(3, age_ms=500))
        instance.publisher.observe_models(with_assumed(models_of(3, 3_600_000)))
        instance.publisher.observe_models(with_assumed(models_of(3, 600)))
        ((_, known),) = instance.publisher.versions.acceptances("m")
        assert not known.assumed
        (told,) = instance.publisher.models_message().models[0].named
        assert 600 <= told.age_ms < 60_000
