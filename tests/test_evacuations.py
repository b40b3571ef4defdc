"""Evacuation orders in the replicated state, and their spread to followers."""

import asyncio
import random
import types

import msgspec
import pytest

from tests.fakes.links import RecordingLink
from tests.test_control_publisher import Instance
from wisteriapulley.control.commands import (
    AcquirePermit,
    PutClaim,
    PutRouting,
    PutWeights,
    ReleasePermit,
    VersionResult,
    encode,
    order_evacuation,
)
from wisteriapulley.control.control_api import ControlApi
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.evacuations import EvacuationOrder
from wisteriapulley.control.state import ControlState, StateImage
from wisteriapulley.errors import CatalogueError, ResultCode, WisteriapulleyError
from wisteriapulley.wire import codec, messages


class EarlierRouting(msgspec.Struct, frozen=True, tag="routing"):
    """`PutRouting` of the release before evacuations."""

    version: int
    table: bytes
    original: bytes


class EarlierResult(msgspec.Struct, frozen=True):
    """`VersionResult` of the release before evacuations."""

    version: int


EarlierCommand = EarlierRouting | PutClaim | AcquirePermit | ReleasePermit | PutWeights
EARLIER_COMMANDS = msgspec.msgpack.Decoder(EarlierCommand)
EARLIER_IMAGE_FIELDS = (
    "index",
    "catalogue",
    "history",
    "claims",
    "claims_now_ms",
    "permits",
    "routing",
    "weights",
)
EarlierImage = msgspec.defstruct(
    "EarlierImage",
    [
        (field.name, EarlierRouting if field.name == "routing" else field.type)
        for field in msgspec.structs.fields(StateImage)
        if field.name in EARLIER_IMAGE_FIELDS
    ],
)


def order(state, domain, evacuated=True, known=None):
    """Apply an order that was given on the current state, or on revision `known`."""
    if known is None:
        known = state.evacuations.state_of(domain).revision
    command = order_evacuation(EvacuationOrder(domain, evacuated, known))
    return state.apply(state.index + 1, encode(command)).evacuated


def new_instance(message_set=1):
    """Return an instance that has published its models to a follower."""
    instance = Instance()
    instance.link.peer = instance.link.peer._replace(message_set=message_set)
    instance.publisher.publish_changes()
    instance.link.written.clear()
    instance.sent_to_peers.clear()
    return instance


class TestEvacuationOrders:
    def test_order_is_idempotent_and_withdrawn(self):
        state = ControlState()
        assert order(state, "z") and order(state, "z", known=0)
        assert state.evacuations.evacuated == ("z",)
        assert state.evacuations.revision == 1
        assert not order(state, "z", False)
        assert state.evacuations.evacuated == ()
        assert state.evacuations.revision == 3

    def test_delayed_copy_does_not_evacuate_again_after_the_withdrawal(self):
        """The first copy of an order was stuck in a link while a second one won."""
        state = ControlState()
        order(state, "z", known=0)
        order(state, "z", False)
        assert not order(state, "z", known=0)
        assert state.evacuations.evacuated == ()
        assert order(state, "z")

    def test_orders_for_other_domains_do_not_conflict(self):
        state = ControlState()
        assert order(state, "y", known=0) and order(state, "z", known=0)
        assert state.evacuations.evacuated == ("y", "z")

    def test_order_does_not_change_the_routing_table(self):
        state = ControlState()
        state.apply(1, encode(PutRouting(4, b"t", b"o")))
        order(state, "z")
        assert state.routing == PutRouting(4, b"t", b"o")

    def test_replicas_agree_under_random_orders(self):
        rng = random.Random(5)
        state, replica = ControlState(), ControlState()
        for index in range(1, 400):
            known = rng.randrange(index)
            command = encode(
                order_evacuation(
                    EvacuationOrder(rng.choice("xyz"), rng.random() < 0.5, known)
                )
            )
            state.apply(index, command)
            replica.apply(index, command)
            if rng.random() < 0.1:
                image, replica = replica.snapshot(), ControlState()
                replica.restore(image)
        assert replica.snapshot() == state.snapshot()


class TestMixedFleet:
    def test_earlier_release_reads_an_order_as_a_table_that_is_never_newest(self):
        command = encode(order_evacuation(EvacuationOrder("z", True)))
        assert EARLIER_COMMANDS.decode(command) == EarlierRouting(0, b"", b"")

    def test_order_kept_by_an_earlier_release_in_its_log_applies_after_the_upgrade(
        self,
    ):
        command = encode(order_evacuation(EvacuationOrder("z", True)))
        EARLIER_COMMANDS.decode(command)
        state = ControlState()
        state.apply(7, command)
        assert state.evacuations.evacuated == ("z",)

    def test_earlier_release_opens_a_snapshot(self):
        state = ControlState()
        state.apply(1, encode(PutRouting(4, b"t", b"o")))
        order(state, "z")
        image = msgspec.msgpack.decode(state.snapshot(), type=EarlierImage)
        assert image.routing == EarlierRouting(4, b"t", b"o")
        assert image.index == 2

    def test_snapshot_of_an_earlier_release_is_opened(self):
        state = ControlState()
        order(state, "y")
        newer = msgspec.msgpack.decode(state.snapshot(), type=EarlierImage)
        order(state, "z")
        state.restore(msgspec.msgpack.encode(newer))
        assert state.evacuations.evacuated == ()
        assert state.index == 1

    def test_result_of_an_earlier_leader_is_no_acknowledgement(self):
        data = msgspec.msgpack.encode(EarlierResult(4))
        assert msgspec.msgpack.decode(data, type=VersionResult).evacuated is None

    def test_process_of_an_earlier_release_gets_no_unknown_message(self):
        instance = new_instance(message_set=0)
        order(instance.state, "z")
        instance.publisher.publish_changes()
        assert instance.link.written == []

    def test_hello_of_an_earlier_release_knows_no_evacuations(self):
        frame = codec.encode(codec.Frame(0, 0, messages.Hello(1, "e", "entry")))
        decoded = codec.decode(frame[codec.HEADER.size :]).message
        assert decoded.message_set == 0


class TestPublisher:
    def test_committed_order_is_pushed_to_followers_and_peers(self):
        instance = new_instance()
        order(instance.state, "z")
        instance.publisher.publish_changes()
        expected = messages.EvacuationNews(1, ("z",))
        assert instance.link.written == [expected]
        assert instance.sent_to_peers == [expected]
        instance.publisher.publish_changes()
        assert len(instance.link.written) == 1

    def test_follower_gets_the_set_of_a_peer_before_the_own_log_has_it(self):
        instance = new_instance()
        news = messages.EvacuationNews(5, ("z",))
        assert instance.publisher.record_evacuations(news)
        assert not instance.publisher.record_evacuations(news)
        assert instance.link.written == [news]
        assert instance.sent_to_peers == []

    def test_follower_without_room_in_its_link_gets_the_set(self):
        """Under load a link may be full, and nothing would send the set again."""
        instance = new_instance()
        instance.link.write_buffer_bytes = lambda: 1 << 30
        order(instance.state, "z")
        instance.publisher.publish_changes()
        assert instance.link.written == [messages.EvacuationNews(1, ("z",))]

    def test_older_set_of_a_peer_is_not_published(self):
        instance = new_instance()
        order(instance.state, "z")
        order(instance.state, "z", False)
        instance.publisher.publish_changes()
        instance.publisher.record_evacuations(messages.EvacuationNews(1, ("z",)))
        assert instance.link.written == [messages.EvacuationNews(2, ())]

    def follow(self, instance, on_barrier):
        """Follow an instance; return what was sent before the confirming reply."""
        sent = []

        class FollowingLink(RecordingLink):
            def post(self, message, reply_to=0):
                sent.append(message)

            def write(self, data):
                sent.append(codec.decode(data[codec.HEADER.size :]).message)

        async def read_barrier():
            on_barrier()

        link = FollowingLink()
        link.peer = link.peer._replace(message_set=1)
        instance.publisher.driver = types.SimpleNamespace(
            read_barrier=read_barrier,
            replica=types.SimpleNamespace(
                members=types.SimpleNamespace(node_ids=lambda: ())
            ),
        )
        frame = codec.Frame(1, 0, messages.Follow())
        asyncio.run(instance.publisher.answer_follow(frame.message, link, frame))
        assert sent[-1] == messages.RoutingNews(0, True, b"")
        return sent

    def test_follower_gets_the_set_before_the_targets(self):
        instance = Instance()
        order(instance.state, "z")
        sent = self.follow(instance, lambda: None)
        assert sent[0] == messages.EvacuationNews(1, ("z",))
        assert isinstance(sent[1], messages.TargetNews)

    def test_follower_gets_the_confirmed_set_before_it_is_ready(self):
        """The instance lags: the read barrier brings an order that it had not seen."""
        instance = Instance()
        sent = self.follow(instance, lambda: order(instance.state, "z"))
        news = [m for m in sent if isinstance(m, messages.EvacuationNews)]
        assert news == [messages.EvacuationNews(1, ("z",))]

    def test_nothing_is_sent_without_any_order(self):
        sent = self.follow(Instance(), lambda: None)
        assert not any(isinstance(m, messages.EvacuationNews) for m in sent)


class FakeService:
    """A control service whose commands are committed at once, or fail."""

    def __init__(self):
        self.instance = Instance()
        self.state = self.instance.state
        self.publisher = self.instance.publisher
        self.settings = self.publisher.settings
        self.members_complete = True
        self.members = types.SimpleNamespace(view={})
        self.driver = self
        self.proposed = 0
        self.has_quorum = True
        # Called between the commit of a command and its acknowledgement.
        self.on_committed = lambda: None

    async def read_barrier(self):
        if not self.has_quorum:
            raise no_quorum("isolated")

    async def propose(self, command):
        self.proposed += 1
        result = self.state.apply(self.state.index + 1, encode(command))
        self.on_committed()
        return encode(result)


def raise_lost():
    raise no_quorum("the leader's reply was lost")


class TestControlApi:
    def test_resend_is_acknowledged_without_another_commit(self):
        service = FakeService()
        api = ControlApi(service)
        for _ in range(3):
            asyncio.run(api.evacuate("z"))
        assert service.proposed == 1
        assert asyncio.run(api.read_evacuated()) == ("z",)
        for _ in range(3):
            asyncio.run(api.end_evacuation("z"))
        assert service.proposed == 2
        assert asyncio.run(api.read_evacuated()) == ()

    def test_withdrawal_of_a_domain_that_is_not_evacuated_is_acknowledged(self):
        service = FakeService()
        asyncio.run(ControlApi(service).end_evacuation("z"))
        assert service.proposed == 0

    def test_leader_lost_between_commit_and_acknowledgement(self):
        """The order is kept, and the resend is acknowledged."""
        service = FakeService()
        service.on_committed = raise_lost
        api = ControlApi(service)
        with pytest.raises(WisteriapulleyError) as caught:
            asyncio.run(api.evacuate("z"))
        assert caught.value.code == ResultCode.NO_QUORUM
        asyncio.run(api.evacuate("z"))
        assert service.proposed == 1

    def test_without_quorum_nothing_is_acknowledged(self):
        """Not even a domain that is evacuated already: it may have been withdrawn."""
        service = FakeService()
        api = ControlApi(service)
        asyncio.run(api.evacuate("z"))
        service.has_quorum = False
        with pytest.raises(WisteriapulleyError) as caught:
            asyncio.run(api.evacuate("z"))
        assert caught.value.code == ResultCode.NO_QUORUM

    def test_leader_of_an_earlier_release_is_no_acknowledgement(self):
        service = FakeService()

        async def propose(command):
            return msgspec.msgpack.encode(EarlierResult(0))

        service.propose = propose
        with pytest.raises(WisteriapulleyError) as caught:
            asyncio.run(ControlApi(service).evacuate("z"))
        assert caught.value.code == ResultCode.NO_QUORUM

    def test_unknown_domain_is_refused_with_the_known_ones(self):
        service = FakeService()
        target = messages.TargetState("t", "s", "10.0.0.2:80", "y", sequence=1)
        service.publisher.targets.update(target, 0.0)
        with pytest.raises(CatalogueError) as caught:
            asyncio.run(ControlApi(service).evacuate("elsewhere"))
        assert caught.value.code == ResultCode.FAILURE_DOMAIN_UNKNOWN
        assert "'elsewhere'" in str(caught.value) and "y, z" in str(caught.value)
        asyncio.run(ControlApi(service).evacuate("y"))

    def test_instance_that_just_started_refuses_no_domain_for_good(self):
        service = FakeService()
        service.members_complete = False
        with pytest.raises(WisteriapulleyError) as caught:
            asyncio.run(ControlApi(service).evacuate("y"))
        assert caught.value.code == ResultCode.NO_QUORUM
