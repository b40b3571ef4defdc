"""A leader that is cut off, driven with real disks and a virtual clock."""

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
EXPIRES_MS = driver_module.unix_ms() + 300_000


class Path:
    """One way between two instances; messages arrive with the next step."""

    def __init__(self, trio, sender, receiver):
        self.trio = trio
        self.ends = {sender, receiver}
        self.receiver = receiver

    @property
    def open_link(self):
        return None if self.trio.cut in self.ends else self

    def post(self, message):
        self.trio.queue.append((self, message))


class Trio:
    """Three drivers; `cut` names the instance that reaches nobody."""

    now_ms = 0.0

    def __init__(self, folder):
        self.cut = ""
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
        paths = {other: Path(self, name, other) for other in VOTERS if other != name}
        fatal = pytest.fail
        return Driver(settings, ControlState(), paths, lambda result: None, fatal)

    async def pass_ms(self, duration_ms):
        end_ms = Trio.now_ms + duration_ms
        while Trio.now_ms < end_ms:
            Trio.now_ms += STEP_MS
            for driver in self.drivers.values():
                driver.replica.tick(Trio.now_ms)
                await driver.process_ready()
            arriving, self.queue = self.queue, []
            for path, message in arriving:
                if path.open_link is not None:
                    self.drivers[path.receiver].receive(message)
            await asyncio.sleep(0)

    def leader(self):
        led = [d for n, d in self.drivers.items() if n != self.cut and d.own_lease()]
        assert len(led) == 1
        return led[0]

    async def commit(self, *commands):
        leader = self.leader()
        tasks = [asyncio.ensure_future(leader.propose(c)) for c in commands]
        await self.pass_ms(500)
        return [task.result() for task in tasks]


def bid(target):
    return PutClaim(KEY, Claim(b"body", target, 1, 1, EXPIRES_MS), 0)


def switch(target):
    return AcquirePermit("s", "galway", target, 1, VERSION, True)


def catalogue():
    entry = Entry(name="e", owner="o", traffic_class="c", service="s", version=VERSION)
    return ChangeCatalogue(Change("1", "o", (Put(entry, 0),)))


@pytest.fixture
def trio(tmp_path, monkeypatch):
    monkeypatch.setattr(driver_module, "steady_ms", lambda: Trio.now_ms)
    Trio.now_ms = 0.0
    return Trio(tmp_path)


class TestIsolatedLeader:
    def test_grants_no_permit_and_changes_no_claim(self, trio):
        async def scenario():
            await trio.pass_ms(4000)
            await trio.commit(catalogue())
            old = trio.leader()
            trio.cut = old.settings.node_id
            pending = [
                asyncio.ensure_future(old.propose(c)) for c in (switch("t1"), bid("t1"))
            ]
            await trio.pass_ms(6000)
            assert old.own_lease() is None
            assert (old.state.permits.permits, old.state.claims.claims) == ({}, {})
            with pytest.raises(WisteriapulleyError) as caught:
                await old.propose(switch("t1"))
            assert caught.value.code == ResultCode.NO_QUORUM
            granted = await trio.commit(switch("t2"), bid("t2"))
            assert [result.code for result in granted] == [ResultCode.OK] * 2
            trio.cut = ""
            await trio.pass_ms(4000)
            return await asyncio.gather(*pending, return_exceptions=True)

        outcomes = asyncio.run(scenario())
        assert [o.code for o in outcomes] == [ResultCode.NO_QUORUM] * 2
        states = [driver.state for driver in trio.drivers.values()]
        assert len({state.snapshot() for state in states}) == 1
        assert set(states[0].permits.permits) == {"t2"}
        assert states[0].claims.claims[KEY].target == "t2"

    def test_acknowledged_change_outlives_its_leader(self, trio):
        async def scenario():
            await trio.pass_ms(4000)
            await trio.commit(catalogue())
            trio.cut = trio.leader().settings.node_id
            await trio.pass_ms(6000)
            (again,) = await trio.commit(catalogue())
            return again

        again = asyncio.run(scenario())
        assert (again.code, again.revision) == (ResultCode.OK, 1)
