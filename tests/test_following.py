"""A follower of control instances over real links."""

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
TEST_TIMEOUT_S = 20.0


class FakeControl:
    """A control instance that responds to a follower, and can report to be isolated."""

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
    """Four instances: two in the far region, one of them the seed, and two near."""

    def __init__(self):
        port = free_port()
        hosts = {f"127.0.0.{n}": "far" if n < 4 else "near" for n in range(2, 6)}
        self.instances = {
            host: FakeControl(host, domain, port) for host, domain in hosts.items()
        }
        update = messages.ControlNews(tuple(hosts), tuple(hosts.values()))
        for instance in self.instances.values():
            instance.instances = update
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

    async def wait_until_followed(self, hosts):
        """Wait until exactly these hosts are followed."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.followed() != hosts:
                await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(following, "CHOOSE_INTERVAL_S", 0.02)
    monkeypatch.setattr(following, "FIRST_RESPONSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(following, "UNRESPONSIVE_AFTER_S", 0.3)


NEAR = {"127.0.0.4", "127.0.0.5"}


def run_scenario(scenario):
    async def run():
        fleet = Fleet()
        for instance in fleet.instances.values():
            await instance.start()
        fleet.follower.start()
        try:
            await fleet.wait_until_followed(NEAR)
            await scenario(fleet)
        finally:
            await fleet.follower.stop()
            for instance in fleet.instances.values():
                await instance.server.stop()

    asyncio.run(run())


class TestControlFollower:
    def test_nearer_instances_replace_the_seed(self):
        async def scenario(fleet):
            assert fleet.follower.fresh
            assert set(fleet.follower.followed) == NEAR

        run_scenario(scenario)

    def test_next_instance_replaces_one_that_stopped(self):
        async def scenario(fleet):
            await fleet.instances["127.0.0.4"].server.stop()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while len(fleet.followed()) < 2:
                    await asyncio.sleep(0.01)
            assert "127.0.0.5" in fleet.followed()
            await fleet.instances["127.0.0.4"].start()
            await fleet.wait_until_followed(NEAR)

        run_scenario(scenario)

    def test_isolated_instances_are_not_followed_alone(self):
        """Two near instances on the minority side of a partition have no new state."""

        async def scenario(fleet):
            for host in NEAR:
                fleet.instances[host].isolated = True
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not {"127.0.0.2", "127.0.0.3"} <= fleet.followed():
                    await asyncio.sleep(0.01)
            for host in NEAR:
                fleet.instances[host].isolated = False
            fleet.follower.avoided_until_s = dict.fromkeys(NEAR, steady_s())
            await fleet.wait_until_followed(NEAR)

        run_scenario(scenario)

    def test_stop_closes_all_links(self):
        async def scenario(fleet):
            await fleet.follower.stop()
            assert fleet.follower.followed == {}
            await fleet.wait_until_followed(set())

        run_scenario(scenario)


class TestAgesOfVersions:
    def test_assumed_age_does_not_end_a_version_whose_age_is_known(self):
        """One of the followed instances started again within the grace period."""
        follower = Fleet().follower
        now_s = steady_s()
        for desired in (
            messages.VersionAge(2, 500),
            messages.VersionAge(2, 3_600_000, assumed=True),
        ):
            state = messages.ModelState("s", "m", (desired,))
            follower.receive_models(messages.ModelNews((state,)))
        assert follower.versions.superseded_at("m", 1) > now_s - 3.0

    def test_assumed_age_holds_until_the_true_one_is_told(self):
        follower = Fleet().follower
        now_s = steady_s()
        for desired, oldest_s, newest_s in (
            (messages.VersionAge(2, 3_600_000, assumed=True), 3601.0, 3599.0),
            (messages.VersionAge(2, 500), 3.0, 0.4),
        ):
            state = messages.ModelState("s", "m", (desired,))
            follower.receive_models(messages.ModelNews((state,)))
            superseded_s = follower.versions.superseded_at("m", 1)
            assert now_s - oldest_s < superseded_s < steady_s() - newest_s
