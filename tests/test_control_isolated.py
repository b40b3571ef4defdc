"""Leader isolation with real disks and a virtual clock."""

import asyncio

import pytest

from wisteriapulley.catalogue import Change, Entry, Put
from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.consensus import Members
from wisteriapulley.consensus.files import Files
from wisteriapulley.consensus.storage import DiskIdentity, write_identity
from wisteriapulley.control import driver as driver_module
from wisteriapulley.control.commands import AcquirePermit, ChangeCatalogue, PutClaim
from wisteriapulley.control.driver import Driver
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.settings import Address, ControlSettings

VOTERS = {name: f"disk-{name}" for name in "abc"}
STEP_MS = 25
KEY = ClaimKey("dealer-1", "bid")
VERSION = "a" * 64
CLAIM_LIFETIME_MS = 300_000


class FakePeer:
    """One direction between two instances; messages arrive in the next step."""

    def __init__(self, cluster, sender, receiver):
        self.cluster = cluster
        self.ends = {sender, receiver}
        self.receiver = receiver

    @property
    def open_link(self):
        return None if self.cluster.isolated in self.ends else self

    def post(self, message):
        self.cluster.queue.append((self, message))


class Cluster:
    """Three drivers; `isolated` names the instance that is cut off."""

    now_ms = 0.0

    def __init__(self, folder):
        self.folder = folder
        self.isolated = ""
        self.queue = []
        self.drivers = {name: self.open(folder / name, name) for name in VOTERS}

    def open(self, folder, name):
        folder.mkdir()
        identity = DiskIdentity(name, VOTERS[name], Members(VOTERS))
        write_identity(str(folder), identity, Files())
        here = Address("127.0.0.1", 0)
        settings = ControlSettings(
            node_id=name,
            failure_domain=name,
            http_listen=here,
            wire_listen=here,
            fleet_key_file="",
            data_folder=str(folder),
            operators_file="",
        )
        peers = {
            other: FakePeer(self, name, other) for other in VOTERS if other != name
        }
        fatal = pytest.fail
        return Driver(settings, ControlState(), peers, lambda result: None, fatal)

    async def advance_ms(self, duration_ms):
        end_ms = Cluster.now_ms + duration_ms
        while Cluster.now_ms < end_ms:
            Cluster.now_ms += STEP_MS
            for driver in self.drivers.values():
                driver.replica.tick(Cluster.now_ms)
                driver.request_join()
                await driver.process_ready()
            arriving, self.queue = self.queue, []
            for peer, message in arriving:
                if peer.open_link is not None:
                    self.drivers[peer.receiver].receive(message)
            await asyncio.sleep(0)

    def leader(self):
        leaders = [
            d for n, d in self.drivers.items() if n != self.isolated and d.own_lease()
        ]
        assert len(leaders) == 1
        return leaders[0]

    async def commit(self, *commands):
        leader = self.leader()
        tasks = [asyncio.ensure_future(leader.propose(c)) for c in commands]
        await self.advance_ms(500)
        return [task.result() for task in tasks]


def put_claim(target):
    # A whole run may take longer from its collection to this test.
    expires_ms = driver_module.unix_ms() + CLAIM_LIFETIME_MS
    return PutClaim(KEY, Claim(b"body", target, 1, 1, expires_ms), 0)


def acquire_permit(target):
    return AcquirePermit("s", "galway", target, 1, VERSION, True)


def catalogue():
    entry = Entry(name="e", owner="o", traffic_class="c", service="s", version=VERSION)
    return ChangeCatalogue(Change("1", "o", (Put(entry, 0),)))


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    monkeypatch.setattr(driver_module, "steady_ms", lambda: Cluster.now_ms)
    Cluster.now_ms = 0.0
    return Cluster(tmp_path)


class TestIsolatedLeader:
    def test_isolated_leader_commits_no_permit_and_no_claim(self, cluster):
        async def scenario():
            await cluster.advance_ms(4000)
            await cluster.commit(catalogue())
            isolated_leader = cluster.leader()
            cluster.isolated = isolated_leader.settings.node_id
            pending = [
                asyncio.ensure_future(isolated_leader.propose(c))
                for c in (acquire_permit("t1"), put_claim("t1"))
            ]
            await cluster.advance_ms(6000)
            assert isolated_leader.own_lease() is None
            assert (
                isolated_leader.state.permits.permits,
                isolated_leader.state.claims.claims,
            ) == ({}, {})
            with pytest.raises(WisteriapulleyError) as caught:
                await isolated_leader.propose(acquire_permit("t1"))
            assert caught.value.code == ResultCode.NO_QUORUM
            granted = await cluster.commit(acquire_permit("t2"), put_claim("t2"))
            assert [result.code for result in granted] == [ResultCode.OK] * 2
            cluster.isolated = ""
            await cluster.advance_ms(4000)
            return await asyncio.gather(*pending, return_exceptions=True)

        outcomes = asyncio.run(scenario())
        assert [o.code for o in outcomes] == [ResultCode.NO_QUORUM] * 2
        states = [driver.state for driver in cluster.drivers.values()]
        assert len({state.snapshot() for state in states}) == 1
        assert set(states[0].permits.permits) == {"t2"}
        assert states[0].claims.claims[KEY].target == "t2"

    def test_acknowledged_change_survives_isolation_of_leader(self, cluster):
        async def scenario():
            await cluster.advance_ms(4000)
            await cluster.commit(catalogue())
            cluster.isolated = cluster.leader().settings.node_id
            await cluster.advance_ms(6000)
            (result,) = await cluster.commit(catalogue())
            return result

        result = asyncio.run(scenario())
        assert (result.code, result.revision) == (ResultCode.OK, 1)
