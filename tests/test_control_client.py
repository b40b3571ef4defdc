"""What a node holds of the control plane, against stand-in instances."""

import asyncio

import msgspec
import pytest

from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.control.client import (
    ISOLATED_STATE,
    ISOLATED_TIMEOUT_S,
    ControlClient,
)
from wisteriapulley.control.commands import ReleasePermit
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.forward import (
    FORWARD_TIMEOUT_S,
    LEADER_CHECK_INTERVAL_S,
    forward,
)
from wisteriapulley.errors import ResultCode, WireError, WisteriapulleyError
from wisteriapulley.settings import Address, EntrySettings
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity

KEY = b"k" * 32


def identity(name, role):
    return Identity(name, role, "d", 1, KEY)


class Instance:
    """A control instance that answers watches and has no quorum."""

    def __init__(self, name, revision, fresh):
        self.image = CatalogueImage(revision, {})
        self.fresh = fresh
        self.state = "follower"
        self.server = LinkServer(
            identity(name, "control"), self.handle, self.heartbeat, 20, 60_000
        )

    def heartbeat(self):
        return messages.Heartbeat(self.image.revision, False, self.state)

    async def handle(self, link, frame):
        if isinstance(frame.message, messages.Propose):
            raise no_quorum("isolated")
        if isinstance(frame.message, messages.Watch):
            content = msgspec.msgpack.encode(self.image)
            update = messages.CatalogueUpdate(self.image.revision, self.fresh, content)
            link.post(update, reply_to=frame.id)

    async def start(self):
        return await self.server.start(Address("127.0.0.1", 0))


def run(scenario, *instances):
    async def go():
        settings = EntrySettings(
            node_id="n",
            failure_domain="d",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            control=tuple([await instance.start() for instance in instances]),
            heartbeat_ms=20,
            silence_ms=60_000,
        )
        client = ControlClient(
            settings,
            identity("n", "entry"),
            (),
            messages.Heartbeat,
            lambda: None,
            lambda: None,
        )
        client.start()
        try:
            async with asyncio.timeout(30):
                await scenario(client)
        finally:
            await client.stop()
            for instance in instances:
                await instance.server.stop()

    asyncio.run(go())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


class TestControlClient:
    def test_want_of_a_quorum_is_answered(self):
        """Regression: the failure was dropped and the node waited in vain."""

        async def scenario(client):
            await until(lambda: client.keeper.open_link)
            with pytest.raises(WisteriapulleyError) as caught:
                await client.propose(ReleasePermit("n"))
            assert caught.value.code == ResultCode.NO_QUORUM
            assert "isolated" in caught.value.message

        run(scenario, Instance("c1", 1, True))

    def test_pulls_when_a_heartbeat_is_ahead(self):
        """Regression: a lost push was never made up for."""
        instance = Instance("c1", 1, True)

        async def scenario(client):
            await until(lambda: client.catalogue.revision == 1)
            instance.image = CatalogueImage(2, {})
            await until(lambda: client.catalogue.revision == 2)

        run(scenario, instance)

    def test_leaves_an_isolated_instance_for_another(self, monkeypatch):
        monkeypatch.setattr(
            "wisteriapulley.control.client.ISOLATED_TIMEOUT_S", ISOLATED_TIMEOUT_S / 100
        )
        isolated, healthy = Instance("c1", 9, False), Instance("c2", 5, True)
        isolated.state = ISOLATED_STATE

        async def scenario(client):
            await until(lambda: client.catalogue.confirmed)
            assert client.catalogue.revision == 5
            assert client.keeper.link.peer_id == "c2"
            await until(lambda: client.isolated_timeout_s == ISOLATED_TIMEOUT_S / 100)

        run(scenario, isolated, healthy)


class Unanswered:
    """A link to a frozen leader: no reply ever comes."""

    def __init__(self):
        self.waits = 0
        self.open = True

    def call(self, message):
        return self

    async def reply(self, timeout_s):
        self.waits += 1
        raise WireError(ResultCode.LINK_TIMEOUT, "frozen")

    def close(self):
        self.open = False


class TestForward:
    def test_stops_waiting_once_another_leads(self):
        """Regression: a frozen leader held each forwarded claim for 3.5 s."""
        link = Unanswered()
        with pytest.raises(WireError):
            asyncio.run(forward(link, messages.Propose(), lambda: link.waits < 3))
        assert (link.waits, link.open) == (3, False)

    def test_gives_up_on_a_leader_that_never_answers(self):
        link = Unanswered()
        with pytest.raises(WireError):
            asyncio.run(forward(link, messages.Propose(), lambda: True))
        assert link.waits == int(FORWARD_TIMEOUT_S / LEADER_CHECK_INTERVAL_S)
