import asyncio
import errno
import os

import pytest

from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.consensus import Storage
from wisteriapulley.consensus.files import Files, write_error
from wisteriapulley.consensus.setup import init_folder, join_folder
from wisteriapulley.control import driver as driver_module
from wisteriapulley.control.commands import PutClaim
from wisteriapulley.control.driver import Driver, unix_ms
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode, StorageError, WisteriapulleyError
from wisteriapulley.settings import Address, ControlSettings
from wisteriapulley.wire.messages import VoteRequest


class CountingFiles(Files):
    """Counts syncs, and fails them on demand."""

    def __init__(self):
        self.syncs = 0
        self.failure = 0

    def fsync(self, descriptor):
        self.syncs += 1
        if self.failure:
            raise OSError(self.failure, os.strerror(self.failure))
        super().fsync(descriptor)


class SingleNode:
    """A driver of a cluster with one member, in this process."""

    def __init__(self, folder, monkeypatch, **more):
        self.settings = ControlSettings(
            node_id="a",
            failure_domain="galway",
            http_listen=Address("127.0.0.1", 0),
            fleet_key_file="",
            wire_listen=Address("127.0.0.1", 0),
            data_folder=str(folder),
            operators_file="",
            **more,
        )
        self.files = CountingFiles()
        files = self.files
        monkeypatch.setattr(
            driver_module.Storage,
            "open",
            classmethod(lambda cls, folder, others: real_open(folder, files)),
        )
        self.fatal = []

    def open(self):
        self.state = ControlState()
        self.driver = Driver(
            self.settings, self.state, {}, lambda result: None, self.fatal.append
        )
        return self.driver

    async def start(self):
        driver = self.open()
        driver.start()
        while driver.own_lease() is None:
            await asyncio.sleep(0.01)
        return driver

    async def wait_commit_index_saved(self):
        """Wait until the commit index on the disk covers all that is applied."""
        while self.driver.storage.committed < self.driver.replica.applied_index:
            await asyncio.sleep(0.01)


real_open = Storage.open


def command(number):
    claim = Claim(b"body", "t", 1, 1, unix_ms() + 300_000)
    return PutClaim(ClaimKey("lettercraft", f"letter-{number}"), claim, 0)


@pytest.fixture
def node(tmp_path, monkeypatch):
    node = SingleNode(tmp_path, monkeypatch)
    init_folder(node.settings)
    return node


class FullDisk(CountingFiles):
    """While full, accepts a few bytes of a write and then fails."""

    def __init__(self):
        super().__init__()
        self.full = False

    def write(self, descriptor, data):
        if self.full:
            os.write(descriptor, bytes(data)[:7])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(descriptor, data)

    def truncate(self, path, size):
        if self.full:
            raise write_error(path, "truncating", OSError(errno.ENOSPC, "full"))
        super().truncate(path, size)

    def has_free_space(self, folder):
        return not self.full


class TestFullDisk:
    """The disk refuses every write for some seconds while commands are proposed."""

    @pytest.fixture
    def node(self, node, monkeypatch):
        monkeypatch.setattr(driver_module, "DISK_RETRY_MS", 20.0)
        monkeypatch.setattr(driver_module, "PROPOSE_TIMEOUT_S", 0.3)
        node.files = files = FullDisk()
        monkeypatch.setattr(
            driver_module.Storage,
            "open",
            classmethod(lambda cls, folder, others: real_open(folder, files)),
        )
        return node

    async def assert_refused(self, driver, number):
        with pytest.raises(WisteriapulleyError) as caught:
            await driver.propose(command(number))
        assert caught.value.code == ResultCode.NO_QUORUM

    def test_gives_up_its_vote_and_rejoins(self, node):
        async def run():
            driver = await node.start()
            await driver.propose(command(1))
            node.files.full = True
            await self.assert_refused(driver, 2)
            assert driver.suspended and driver.own_lease() is None
            await self.assert_refused(driver, 3)
            applied = len(node.state.claims.claims)
            node.files.full = False
            while driver.own_lease() is None:
                await asyncio.sleep(0.01)
            await driver.propose(command(4))
            await driver.stop()
            return applied

        assert asyncio.run(run()) == 1
        assert node.fatal == []
        assert len(node.state.claims.claims) == 2

    def test_no_acknowledged_command_is_lost(self, node):
        async def run():
            driver = await node.start()
            for number in range(3):
                await driver.propose(command(number))
                node.files.full = True
                await self.assert_refused(driver, 100 + number)
                node.files.full = False
                while driver.own_lease() is None:
                    await asyncio.sleep(0.01)
            await driver.stop()

        asyncio.run(run())
        driver = node.open()
        driver.replica.commit_index = driver.replica.last_index
        driver.apply_committed()
        held = {key.key for key in node.state.claims.claims}
        assert {f"letter-{number}" for number in range(3)} <= held
        asyncio.run(driver.stop())

    def test_start_on_a_full_disk_restores_what_was_committed(self, node):
        async def run():
            driver = await node.start()
            await driver.propose(command(1))
            await node.wait_commit_index_saved()
            node.files.full = True
            await self.assert_refused(driver, 2)
            await driver.stop()
            driver = node.open()
            driver.start()
            await asyncio.sleep(0.1)
            assert driver.suspended and driver.own_lease() is None
            applied = len(node.state.claims.claims)
            node.files.full = False
            while driver.own_lease() is None:
                await asyncio.sleep(0.01)
            await driver.stop()
            return applied

        assert asyncio.run(run()) == 1
        assert node.fatal == []

    def test_ignores_messages_while_the_disk_is_full(self, node):
        async def run():
            driver = await node.start()
            node.files.full = True
            await self.assert_refused(driver, 1)
            term = driver.replica.term
            driver.receive(VoteRequest(term + 5, "b", 99, term + 4))
            await asyncio.sleep(0.05)
            assert driver.replica.term == term
            assert not driver.replica.outbox
            await driver.stop()

        asyncio.run(run())


class TestDriver:
    def test_only_an_empty_folder_can_be_initialized(self, node):
        with pytest.raises(StorageError) as caught:
            init_folder(node.settings)
        assert caught.value.code == ResultCode.IDENTITY_MISMATCH
        with pytest.raises(StorageError):
            join_folder(node.settings)

    def syncs_of_fifty(self, node):
        """Propose fifty commands concurrently; return how many syncs they took."""

        async def run():
            driver = await node.start()
            node.files.syncs = 0
            await asyncio.gather(*(driver.propose(command(i)) for i in range(50)))
            await driver.stop()

        asyncio.run(run())
        return node.files.syncs

    def test_concurrent_proposals_share_a_sync(self, node):
        assert self.syncs_of_fifty(node) == 1

    def test_without_group_commit_each_record_has_its_own_sync(
        self, tmp_path, monkeypatch
    ):
        node = SingleNode(tmp_path, monkeypatch, group_commit=False)
        init_folder(node.settings)
        assert self.syncs_of_fifty(node) == 50

    @pytest.mark.parametrize(
        ("number", "code"),
        [(errno.ENOSPC, ResultCode.DISK_FULL), (errno.EIO, ResultCode.FSYNC_FAILED)],
    )
    def test_failing_disk_stops_the_driver_and_nothing_is_acknowledged(
        self, node, monkeypatch, number, code
    ):
        monkeypatch.setattr(driver_module, "PROPOSE_TIMEOUT_S", 0.2)

        async def run():
            driver = await node.start()
            node.files.failure = number
            for attempt in range(2):
                with pytest.raises(WisteriapulleyError) as caught:
                    await driver.propose(command(attempt))
                assert caught.value.code == ResultCode.NO_QUORUM
            assert driver.own_lease() is None
            await driver.stop()

        asyncio.run(run())
        assert [error.code for error in node.fatal] == [code]

    def test_commit_index_is_saved_before_the_next_idle_tick(self, node, monkeypatch):
        """An instance killed 0.1 s after a commit has saved the commit index."""
        monkeypatch.setattr(driver_module, "MAX_TICK_S", 30.0)
        monkeypatch.setattr(driver_module, "steady_ms", lambda: 1000.0)

        async def run():
            driver = node.open()
            driver.replica.election_at_ms = 9000.0
            assert driver.tick_delay_s() == 8.0
            driver.replica.applied_index = driver.storage.committed + 1
            driver.next_commit_save_ms = 1000.0 + driver_module.COMMIT_SAVE_INTERVAL_MS
            due_s = driver.tick_delay_s()
            await driver.stop()
            return due_s

        assert asyncio.run(run()) == driver_module.COMMIT_SAVE_INTERVAL_MS / 1000

    def test_committed_record_is_applied_after_a_restart(self, node):
        async def run():
            driver = await node.start()
            await driver.propose(command(1))
            await node.wait_commit_index_saved()
            await driver.stop()

        asyncio.run(run())
        driver = node.open()
        assert not driver.replica.is_leader
        assert len(driver.apply_committed()) >= 2
        assert len(node.state.claims.claims) == 1
        asyncio.run(driver.stop())

    def test_restart_from_snapshot_and_log(self, tmp_path, monkeypatch):
        node = SingleNode(tmp_path, monkeypatch, snapshot_bytes=4000)
        init_folder(node.settings)

        async def run(first, last):
            driver = await node.start()
            before = len(node.state.claims.claims)
            for number in range(first, last):
                await driver.propose(command(number))
            await driver.stop()
            return before

        asyncio.run(run(0, 800))
        assert (tmp_path / "snapshot").exists()
        assert asyncio.run(run(800, 801)) == 800
        driver = node.open()
        assert driver.storage.snapshot.last_index > 400
        assert driver.replica.log.base_index > 0
        assert 400 < len(node.state.claims.claims) <= 801
        asyncio.run(driver.stop())

    def test_folder_of_another_instance_is_rejected(self, node, monkeypatch):
        node.settings = ControlSettings(
            **{
                **{
                    f: getattr(node.settings, f)
                    for f in node.settings.__struct_fields__
                },
                "node_id": "b",
            }
        )
        with pytest.raises(StorageError) as caught:
            node.open()
        assert caught.value.code == ResultCode.IDENTITY_MISMATCH
