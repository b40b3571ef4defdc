"""ControlClient against fake control instances, and forwarding to the leader."""

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


class FakeInstance:
    """A fake control instance that answers watch requests and has no quorum."""

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
    def test_proposal_without_quorum_fails(self):
        """Regression: the failure reply was dropped, and the node kept waiting."""

        async def scenario(client):
            await until(lambda: client.connection.open_link)
            with pytest.raises(WisteriapulleyError) as caught:
                await client.propose(ReleasePermit("n"))
            assert caught.value.code == ResultCode.NO_QUORUM
            assert "isolated" in caught.value.message

        run(scenario, FakeInstance("c1", 1, True))

    def test_pulls_if_heartbeat_has_newer_revision(self):
        """Regression: a node never caught up after a lost push."""
        instance = FakeInstance("c1", 1, True)

        async def scenario(client):
            await until(lambda: client.catalogue.revision == 1)
            instance.image = CatalogueImage(2, {})
            await until(lambda: client.catalogue.revision == 2)

        run(scenario, instance)

    def test_switches_from_isolated_to_healthy_instance(self, monkeypatch):
        monkeypatch.setattr(
            "wisteriapulley.control.client.ISOLATED_TIMEOUT_S", ISOLATED_TIMEOUT_S / 100
        )
        isolated, healthy = FakeInstance("c1", 9, False), FakeInstance("c2", 5, True)
        isolated.state = ISOLATED_STATE

        async def scenario(client):
            await until(lambda: client.catalogue.confirmed)
            assert client.catalogue.revision == 5
            assert client.connection.link.peer_id == "c2"
            await until(lambda: client.isolated_timeout_s == ISOLATED_TIMEOUT_S / 100)

        run(scenario, isolated, healthy)


class FrozenLeaderLink:
    """A link to a frozen leader, which never replies."""

    def __init__(self):
        self.calls = 0
        self.open = True

    def call(self, message):
        return self

    async def reply(self, timeout_s):
        self.calls += 1
        raise WireError(ResultCode.LINK_TIMEOUT, "frozen")

    def close(self):
        self.open = False


class TestForward:
    def test_stops_waiting_after_leader_change(self):
        """Regression: a frozen leader delayed each forwarded claim by 3.5 s."""
        link = FrozenLeaderLink()
        with pytest.raises(WireError):
            asyncio.run(forward(link, messages.Propose(), lambda: link.calls < 3))
        assert (link.calls, link.open) == (3, False)

    def test_times_out_if_leader_never_replies(self):
        link = FrozenLeaderLink()
        with pytest.raises(WireError):
            asyncio.run(forward(link, messages.Propose(), lambda: True))
        assert link.calls == int(FORWARD_TIMEOUT_S / LEADER_CHECK_INTERVAL_S)
