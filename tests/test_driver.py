import asyncio
import errno
import os
import time

import pytest

from wisteriapulley.claims import Claim, ClaimKey
from wisteriapulley.clocks import steady_s
from wisteriapulley.consensus import Record, RecordKind, Storage
from wisteriapulley.consensus.files import Files, write_error
from wisteriapulley.consensus.setup import init_folder, join_folder
from wisteriapulley.control import driver as driver_module
from wisteriapulley.control.append_times import AppendTimes
from wisteriapulley.control.commands import PutClaim, PutWeights, encode
from wisteriapulley.control.driver import Driver, unix_ms
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode, StorageError, WisteriapulleyError
from wisteriapulley.settings import Address, ControlSettings
from wisteriapulley.wire.messages import AppendRequest, LogRecord, VoteRequest

TEST_TIMEOUT_S = 15.0


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


class TestAppendTimes:
    """A version of weights counts from when its record was appended here."""

    def records(self, *versions, term=3, first=1):
        return tuple(
            Record(term, index, RecordKind.COMMAND, encode(PutWeights("m", version)))
            for index, version in enumerate(versions, first)
        )

    def test_record_is_taken_with_the_time_of_its_append(self):
        times = AppendTimes()
        (record,) = self.records(2)
        times.record([record], 3, 0, 10.0)
        assert times.take(record) == 10.0
        assert times.take(record) is None

    def test_record_that_was_committed_before_is_of_unknown_time(self):
        """An instance that was cut off catches up on what was acknowledged."""
        times = AppendTimes()
        committed, new = self.records(2, 3)
        times.record([committed, new], 3, 1, 10.0)
        assert times.take(committed) is None
        assert times.take(new) == 10.0

    def test_record_of_an_earlier_leader_is_of_unknown_time(self):
        """All restarted, and the new leader has not committed anything yet."""
        times = AppendTimes()
        (record,) = self.records(2, term=2)
        times.record([record], 3, 0, 10.0)
        assert times.take(record) is None

    def test_time_of_a_replaced_record_is_not_used(self):
        times = AppendTimes()
        times.record(self.records(2, term=2), 2, 0, 10.0)
        (record,) = self.records(5, term=3)
        times.record([record], 4, 0, 12.0)
        assert times.take(record) is None

    def test_records_of_a_snapshot_are_forgotten(self):
        times = AppendTimes()
        times.record(self.records(2, 3), 3, 0, 10.0)
        times.forget(1)
        assert list(times.appended) == [2]

    def test_leader_counts_from_its_proposal(self, node):
        async def run():
            driver = await node.start()
            before_s = steady_s()
            await driver.propose(PutWeights("m", 2))
            after_s = steady_s()
            await driver.stop()
            return before_s, after_s

        before_s, after_s = asyncio.run(run())
        (named,) = node.state.take_named()
        assert before_s <= named.accepted_s <= after_s
        assert node.driver.append_times.appended == {}

    def test_version_that_is_named_again_keeps_its_first_time(self, node):
        """The acknowledgement was lost, and the operator names it elsewhere."""

        async def run():
            driver = await node.start()
            await driver.propose(PutWeights("m", 2))
            after_s = steady_s()
            first = node.state.take_named()
            await driver.propose(PutWeights("m", 2))
            await driver.stop()
            return first, after_s

        ((first,), after_s) = asyncio.run(run())
        assert first.accepted_s <= after_s
        assert node.state.take_named() == []

    def test_slow_disk_does_not_delay_the_time(self, node):
        """The record is acknowledged after the sync, and counts from before."""
        synced_s = []

        async def run():
            driver = await node.start()
            fsync = node.files.fsync

            def fsync_slowly(descriptor):
                synced_s.append(steady_s())
                time.sleep(0.05)
                fsync(descriptor)

            node.files.fsync = fsync_slowly
            await driver.propose(PutWeights("m", 2))
            await driver.stop()

        asyncio.run(run())
        (named,) = node.state.take_named()
        assert named.accepted_s <= synced_s[0]

    def test_record_on_the_disk_at_the_start_is_of_unknown_time(self, node):
        async def run():
            driver = await node.start()
            await driver.propose(PutWeights("m", 2))
            await driver.stop()
            driver = await node.start()
            await driver.stop()

        asyncio.run(run())
        assert node.state.take_named() == [("m", 2, None)]

    def follower(self, node, *requests):
        """Return the versions applied by a follower that gets requests in turn."""

        async def run():
            driver = node.open()
            for request in requests:
                driver.receive(request)
                await driver.process_ready()
            driver.storage.close()

        asyncio.run(run())
        return node.state.take_named()

    def test_follower_counts_from_the_append_and_not_from_the_commit(
        self, node, monkeypatch
    ):
        """A new leader commits it after the old one had acknowledged it."""
        times = iter((10.0, 12.0))
        monkeypatch.setattr(driver_module, "steady_s", lambda: next(times))
        records = tuple(
            LogRecord(r.term, r.index, int(r.kind), r.data)
            for r in self.records(2, term=1)
        )
        named = self.follower(
            node,
            AppendRequest(1, "b", 0, 0, 0, records, 1),
            AppendRequest(2, "c", 1, 1, 1, (), 1),
        )
        assert named == [("m", 2, 10.0)]

    def test_follower_keeps_the_time_of_a_record_that_is_sent_again(
        self, node, monkeypatch
    ):
        """Its leader did not get the reply, or a later one sends the log again."""
        times = iter((10.0, 11.0, 12.0))
        monkeypatch.setattr(driver_module, "steady_s", lambda: next(times))
        records = tuple(
            LogRecord(r.term, r.index, int(r.kind), r.data)
            for r in self.records(2, term=1)
        )
        named = self.follower(
            node,
            AppendRequest(1, "b", 0, 0, 0, records, 1),
            AppendRequest(1, "b", 0, 0, 0, records, 2),
            AppendRequest(2, "c", 0, 0, 1, records, 1),
        )
        assert named == [("m", 2, 10.0)]

    def test_follower_that_catches_up_does_not_know_the_time(self, node):
        """The record was committed before it came here."""
        records = tuple(
            LogRecord(r.term, r.index, int(r.kind), r.data)
            for r in self.records(2, term=1)
        )
        named = self.follower(node, AppendRequest(1, "b", 0, 0, 1, records, 1))
        assert named == [("m", 2, None)]


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


class TestStop:
    """Operators and entries get a result for what a stopping instance has read."""

    @pytest.fixture(autouse=True)
    def wait_for_long(self, monkeypatch):
        monkeypatch.setattr(driver_module, "PROPOSE_TIMEOUT_S", 1000.0)

    async def outcome_of(self, proposing):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with pytest.raises(WisteriapulleyError) as caught:
                await proposing
        return caught.value.code

    def test_proposal_in_progress_fails_at_once(self, node):
        async def run():
            driver = await node.start()
            proposing = asyncio.create_task(driver.propose(command(1)))
            await asyncio.sleep(0)
            assert driver.pending
            await driver.stop()
            assert await self.outcome_of(proposing) == ResultCode.NO_QUORUM

        asyncio.run(run())

    def test_proposal_after_it_fails_at_once(self, node):
        async def run():
            driver = await node.start()
            await driver.stop()
            proposing = driver.propose(command(1))
            assert await self.outcome_of(proposing) == ResultCode.NO_QUORUM

        asyncio.run(run())
