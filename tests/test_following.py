"""An entry or sidecar that follows control instances over real links."""

import asyncio

import pytest

from tests.fleet import free_port
from wisteriapulley.clocks import steady_s
from wisteriapulley.control import following
from wisteriapulley.control.client import ISOLATED_STATE
from wisteriapulley.control.following import ControlFollower
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.settings import Address
from wisteriapulley.wire import LinkServer, messages
from wisteriapulley.wire.handshake import Identity

KEY = b"k" * 40
REGIONS = {"near": "n", "far": "f"}
PATIENCE_S = 20.0


class FakeControl:
    """A control instance that answers a follower, and may seem cut off."""

    def __init__(self, host, domain, port):
        self.host, self.port = host, port
        self.identity = Identity(host, "control", domain, 1, KEY)
        self.isolated = False
        self.instances = messages.ControlNews()
        self.followers = []

    async def start(self):
        self.server = LinkServer(self.identity, self.handle, self.heartbeat, 20, 60_000)
        await self.server.start(Address(self.host, self.port))

    def heartbeat(self):
        return messages.Heartbeat(state=ISOLATED_STATE if self.isolated else "leader")

    async def handle(self, link, frame):
        if isinstance(frame.message, messages.Follow):
            self.followers.append(link)
            link.post(self.instances)
            link.post(messages.RoutingNews(0, True, b""), reply_to=frame.id)

    @property
    def is_followed(self):
        return any(not link.closed.is_set() for link in self.followers)


class Fleet:
    """Four instances: the seed is far away, as is one other; two are near."""

    def __init__(self):
        port = free_port()
        hosts = {f"127.0.0.{n}": "far" if n < 4 else "near" for n in range(2, 6)}
        self.instances = {
            host: FakeControl(host, domain, port) for host, domain in hosts.items()
        }
        news = messages.ControlNews(tuple(hosts), tuple(hosts.values()))
        for instance in self.instances.values():
            instance.instances = news
        seed = Address("127.0.0.2", port)
        settings = DirectSettings(
            node_id="entry-1",
            failure_domain="near",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            listen=Address("127.0.0.1", 0),
            ready_listen=Address("127.0.0.1", 0),
            control=(seed,),
            sidecar_port=1,
            failure_domain_regions=REGIONS,
            heartbeat_ms=20,
            silence_ms=60_000,
        )
        identity = Identity("entry-1", "entry", "near", 1, KEY)
        self.follower = ControlFollower(identity, settings, [seed], messages.Heartbeat)

    def followed(self):
        return {host for host, c in self.instances.items() if c.is_followed}

    async def until(self, hosts):
        """Wait until just these hosts are followed."""
        async with asyncio.timeout(PATIENCE_S):
            while self.followed() != hosts:
                await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(following, "CHOOSE_INTERVAL_S", 0.02)
    monkeypatch.setattr(following, "FIRST_RESPONSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(following, "UNRESPONSIVE_AFTER_S", 0.3)


NEAR = {"127.0.0.4", "127.0.0.5"}


def play(scenario):
    async def run():
        fleet = Fleet()
        for instance in fleet.instances.values():
            await instance.start()
        fleet.follower.start()
        try:
            await fleet.until(NEAR)
            await scenario(fleet)
        finally:
            await fleet.follower.stop()
            for instance in fleet.instances.values():
                await instance.server.stop()

    asyncio.run(run())


class TestControlFollower:
    def test_seed_is_left_for_nearer_instances(self):
        async def scenario(fleet):
            assert fleet.follower.fresh
            assert set(fleet.follower.followed) == NEAR

        play(scenario)

    def test_next_instance_takes_the_place_of_one_that_is_gone(self):
        async def scenario(fleet):
            await fleet.instances["127.0.0.4"].server.stop()
            async with asyncio.timeout(PATIENCE_S):
                while len(fleet.followed()) < 2:
                    await asyncio.sleep(0.01)
            assert "127.0.0.5" in fleet.followed()
            await fleet.instances["127.0.0.4"].start()
            await fleet.until(NEAR)

        play(scenario)

    def test_instances_that_are_cut_off_are_no_use_alone(self):
        """Two near ones on the small side of a cut would tell nothing new."""

        async def scenario(fleet):
            for host in NEAR:
                fleet.instances[host].isolated = True
            async with asyncio.timeout(PATIENCE_S):
                while not {"127.0.0.2", "127.0.0.3"} <= fleet.followed():
                    await asyncio.sleep(0.01)
            for host in NEAR:
                fleet.instances[host].isolated = False
            fleet.follower.avoided_until_s = dict.fromkeys(NEAR, steady_s())
            await fleet.until(NEAR)

        play(scenario)

    def test_links_end_with_the_follower(self):
        async def scenario(fleet):
            await fleet.follower.stop()
            assert fleet.follower.followed == {}
            await fleet.until(set())

        play(scenario)
