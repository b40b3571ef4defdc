import errno
import itertools
import os
import subprocess
import sys
import zlib
from typing import NamedTuple

import pytest

from wisteriapulley.consensus import (
    HardState,
    Log,
    Members,
    Record,
    Snapshot,
    Storage,
    frames,
)
from wisteriapulley.consensus.files import Files
from wisteriapulley.consensus.frames import HEADER, pack_sync_mark
from wisteriapulley.consensus.storage import (
    DiskIdentity,
    read_identity,
    write_identity,
)
from wisteriapulley.errors import ResultCode, StorageError

MARK_BYTES = len(pack_sync_mark(0))
MEMBERS = Members({"a": "disk-a"})


class FaultyFiles(Files):
    """Files that fail on demand and record the order of the calls."""

    def __init__(self):
        self.calls = []
        self.fail_write = None
        self.fail_fsync = None
        self.rename_allowed = True

    def write(self, descriptor, data):
        self.calls.append("write")
        if self.fail_write is not None:
            os.write(descriptor, bytes(data[: len(data) // 2]))
            raise OSError(self.fail_write, os.strerror(self.fail_write))
        return super().write(descriptor, data)

    def fsync(self, descriptor):
        self.calls.append("fsync")
        if self.fail_fsync is not None:
            raise OSError(self.fail_fsync, os.strerror(self.fail_fsync))
        super().fsync(descriptor)


def record(index, data=b"x" * 40, term=1):
    return Record(term, index, 1, data)


def filled(folder, count=3):
    """Save `count` batches of one record; return the path of the log."""
    storage = Storage.open(str(folder))
    storage.save(HardState(1, "a"), ())
    for index in range(1, count + 1):
        storage.save(None, (record(index),))
    storage.close()
    return folder / "log"


def reopened(folder):
    storage = Storage.open(str(folder))
    storage.close()
    return storage


def open_error_code(folder):
    with pytest.raises(StorageError) as caught:
        Storage.open(str(folder))
    return caught.value.code


class TestLogFile:
    def test_reopen_keeps_the_newest_records_and_the_vote(self, tmp_path):
        storage = Storage.open(str(tmp_path))
        storage.save(HardState(3, "a"), (record(1), record(2)))
        storage.save(None, (record(2, b"z", 3),))
        storage.close()
        storage = reopened(tmp_path)
        assert storage.hard_state == HardState(3, "a")
        assert [r.data for r in storage.log.records] == [b"x" * 40, b"z"]

    def test_torn_write_is_truncated_at_every_length(self, tmp_path):
        path = filled(tmp_path)
        content = path.read_bytes()
        start = content.rindex(record(3).data) - 40
        for end in range(start, len(content) - MARK_BYTES):
            path.write_bytes(content[:end])
            indices = [r.index for r in reopened(tmp_path).log.records]
            assert indices in ([1, 2], [1, 2, 3])

    def test_append_with_a_missing_sector_is_truncated(self, tmp_path):
        path = filled(tmp_path, 2)
        end = path.stat().st_size
        storage = Storage.open(str(tmp_path))
        storage.save(None, (record(3, b"y" * 2000),))
        storage.close()
        data = bytearray(path.read_bytes()[:-MARK_BYTES])
        data[1024:1536] = bytes(512)
        path.write_bytes(data)
        assert [r.index for r in reopened(tmp_path).log.records] == [1, 2]
        assert path.stat().st_size <= end + 2 * MARK_BYTES

    def test_every_bit_flip_in_synced_bytes_prevents_the_start(self, tmp_path):
        path = filled(tmp_path)
        content = path.read_bytes()
        for position in range(len(content) - MARK_BYTES):
            data = bytearray(content)
            data[position] ^= 1 << (position % 8)
            path.write_bytes(data)
            assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED, position

    def test_bit_flip_in_the_last_record_without_its_sync_mark(self, tmp_path):
        # An acknowledged record must never be dropped silently. Its sync mark is not
        # synced itself, so a crash may leave the record without a mark.
        path = filled(tmp_path)
        content = path.read_bytes()[:-MARK_BYTES]
        for position in range(
            len(content) - len(record(3).data) - HEADER.size, len(content)
        ):
            data = bytearray(content)
            data[position] ^= 1 << (position % 8)
            path.write_bytes(data)
            assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED, position


class RecordedWrite(NamedTuple):
    """One write to the log: what was there before, and how often it was synced."""

    before: bytes
    data: bytes
    syncs: int


class RecordingFiles(Files):
    """Files that record every write to the log."""

    def __init__(self):
        self.writes = []
        self.syncs = 0

    def write_all(self, path, descriptor, data):
        if path.name == "log":
            write = RecordedWrite(path.read_bytes(), bytes(data), self.syncs)
            self.writes.append(write)
        super().write_all(path, descriptor, data)

    def sync(self, path, descriptor):
        super().sync(path, descriptor)
        self.syncs += path.name == "log"


def torn_logs(before, data):
    """Yield a log after each tear of a write, with and without the missing bytes."""
    for length in range(len(data)):
        yield before + data[:length]
        yield before + data[:length] + bytes(len(data) - length)


class TestTornWrites:
    """Guards against instances that stop for good after a loss of power.

    Each write since the last sync is present, missing or torn at any byte, and missing
    bytes before a later write read as zeros.
    """

    def write_log(self, folder):
        """Write a log; return every write to it."""
        files = RecordingFiles()
        storage = Storage.open(str(folder), files)
        storage.save(HardState(1, "a"), ())
        for index in range(1, 5):
            storage.save(None, (record(index, bytes(range(index, 256, 7))),))
            storage.record_committed_index(index)
        storage.save(HardState(2, ""), (record(5), record(6, b"")))
        storage.close()
        return files.writes

    def recover(self, folder, content):
        """Start from this log; return the index of its last record."""
        (folder / "log").write_bytes(content)
        return reopened(folder).log.last_index

    def test_every_cut_of_every_write_is_dropped(self, tmp_path):
        for write in self.write_log(tmp_path):
            for content in torn_logs(write.before, write.data):
                self.recover(tmp_path, content)

    def test_every_cut_before_a_later_write_is_dropped(self, tmp_path):
        writes = self.write_log(tmp_path)
        pairs = [p for p in itertools.pairwise(writes) if p[0].syncs == p[1].syncs]
        assert len(pairs) > 8
        for torn, later in pairs:
            for length in range(len(torn.data)):
                missing = bytes(len(torn.data) - length)
                present = torn.data[:length] + missing + later.data
                self.recover(tmp_path, torn.before + present)

    def test_records_before_the_cut_are_kept(self, tmp_path):
        *_, (before, data, _), _ = self.write_log(tmp_path)
        assert self.recover(tmp_path, before) == 4
        for content in torn_logs(before, data):
            assert self.recover(tmp_path, content) in (4, 5)

    def test_complete_write_that_changed_later_is_no_cut(self, tmp_path):
        *_, (before, data, _), _ = self.write_log(tmp_path)
        for position in range(8 * len(data)):
            changed = bytearray(data)
            changed[position // 8] ^= 1 << position % 8
            (tmp_path / "log").write_bytes(before + changed)
            assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED, position


class TestTornReplacements:
    """Files that are replaced are synced under another name first."""

    @pytest.mark.parametrize("name", ["log", "snapshot", "identity.json"])
    def test_cut_new_file_leaves_the_old_one_in_force(self, tmp_path, name):
        members = Members({"a": "disk-a"})
        write_identity(str(tmp_path), DiskIdentity("a", "disk-a", members), Files())
        TestSnapshotFile().with_snapshot(tmp_path).close()
        content = (tmp_path / name).read_bytes()
        for length in range(len(content)):
            (tmp_path / f"{name}.new").write_bytes(content[:length])
            storage = reopened(tmp_path)
            assert storage.log.last_index == 5
            assert storage.snapshot.last_index == 4
            assert read_identity(str(tmp_path)).identity == "disk-a"


def pack_without_end(kind, payload):
    """Encode a frame as earlier releases do."""
    header = HEADER.pack(0, zlib.crc32(payload), len(payload), kind)[4:]
    return zlib.crc32(header).to_bytes(4, "little") + header + payload


class TestLogOfEarlierRelease:
    @pytest.fixture(autouse=True)
    def earlier_frames(self, monkeypatch, tmp_path):
        with monkeypatch.context() as patch:
            patch.setattr(frames, "pack", pack_without_end)
            self.path = filled(tmp_path)
            self.mark_bytes = len(pack_sync_mark(0))

    def test_is_read_and_continued(self, tmp_path):
        storage = Storage.open(str(tmp_path))
        assert storage.log.last_index == 3
        storage.save(None, (record(4),))
        storage.close()
        assert reopened(tmp_path).log.last_index == 4

    def test_change_of_its_last_record_prevents_the_start(self, tmp_path):
        content = self.path.read_bytes()[: -self.mark_bytes]
        for position in range(8 * len(content)):
            data = bytearray(content)
            data[position // 8] ^= 1 << position % 8
            self.path.write_bytes(data)
            assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED, position


class TestCommittedIndex:
    def write_log(self, folder):
        storage = Storage.open(folder)
        storage.save(HardState(1, "a"), (record(1), record(2)))
        storage.record_committed_index(1)
        storage.save(None, (record(3),))
        storage.record_committed_index(3)
        storage.close()
        return folder / "log"

    def test_is_read_at_the_next_start(self, tmp_path):
        self.write_log(tmp_path)
        assert Storage.open(tmp_path).committed == 3

    def test_torn_write_leaves_the_previous_index(self, tmp_path):
        path = self.write_log(tmp_path)
        path.write_bytes(path.read_bytes()[:-3])
        storage = Storage.open(tmp_path)
        assert (storage.committed, storage.log.last_index) == (1, 3)

    def test_survives_a_snapshot(self, tmp_path):
        self.write_log(tmp_path)
        storage = Storage.open(tmp_path)
        storage.save_snapshot(
            Snapshot(2, 1, Members({}), b"s"), HardState(1, "a"), Log(2, 1, [record(3)])
        )
        storage.close()
        assert Storage.open(tmp_path).committed == 3


class TestFailingDisk:
    @pytest.mark.parametrize(
        ("kind", "number", "code"),
        [
            ("fail_write", errno.ENOSPC, ResultCode.DISK_FULL),
            ("fail_fsync", errno.ENOSPC, ResultCode.DISK_FULL),
            ("fail_write", errno.EIO, ResultCode.FSYNC_FAILED),
            ("fail_fsync", errno.EIO, ResultCode.FSYNC_FAILED),
        ],
    )
    def test_failure_is_permanent_and_synced_records_stay(
        self, tmp_path, kind, number, code
    ):
        files = FaultyFiles()
        storage = Storage.open(str(tmp_path), files)
        storage.save(None, (record(1),))
        setattr(files, kind, number)
        with pytest.raises(StorageError) as caught:
            storage.save(None, (record(2),))
        assert caught.value.code == code
        setattr(files, kind, None)
        call_count = len(files.calls)
        with pytest.raises(StorageError):
            storage.save(None, (record(3),))
        assert len(files.calls) == call_count
        storage.close()
        assert reopened(tmp_path).log.records[0] == record(1)

    def test_grouped_records_share_one_sync(self, tmp_path):
        files = FaultyFiles()
        storage = Storage.open(str(tmp_path), files)
        files.calls.clear()
        storage.save(HardState(1), (record(1), record(2)))
        assert files.calls == ["write", "fsync", "write"]
        files.calls.clear()
        storage.save(None, (record(3), record(4)), grouped=False)
        assert files.calls.count("fsync") == 2


class TestSnapshotFile:
    def with_snapshot(self, folder, files=None):
        storage = Storage.open(str(folder), files)
        storage.save(HardState(2, "b"), tuple(map(record, range(1, 6))))
        storage.log = Log(0, 0, map(record, range(1, 6)))
        storage.log.compact(3)
        snapshot = Snapshot(4, 1, MEMBERS, b"state")
        storage.save_snapshot(snapshot, HardState(2, "b"), storage.log)
        return storage

    def test_start_from_snapshot_and_log_tail(self, tmp_path):
        storage = self.with_snapshot(tmp_path)
        storage.save(None, (record(6),))
        storage.close()
        storage = Storage.open(str(tmp_path))
        assert storage.read_snapshot() == b"state"
        assert storage.read_snapshot_part(1, 3) == b"tat"
        assert storage.snapshot[:3] == (4, 1, MEMBERS)
        assert [r.index for r in storage.log.records] == [4, 5, 6]
        assert storage.hard_state == HardState(2, "b")

    @pytest.mark.parametrize("position", [3, 20, -1])
    def test_damaged_snapshot_prevents_the_start(self, tmp_path, position):
        self.with_snapshot(tmp_path).close()
        path = tmp_path / "snapshot"
        data = bytearray(path.read_bytes())
        data[position] ^= 4
        path.write_bytes(data)
        assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED

    def test_missing_snapshot_prevents_the_start(self, tmp_path):
        self.with_snapshot(tmp_path).close()
        (tmp_path / "snapshot").unlink()
        assert open_error_code(tmp_path) == ResultCode.LOG_DAMAGED

    def test_crash_between_snapshot_and_log_truncation(self, tmp_path, monkeypatch):
        storage = Storage.open(str(tmp_path))
        storage.save(HardState(2, "b"), (record(1),))
        rename = os.rename

        def crash_at_log(source, target):
            if str(target).endswith("log"):
                raise OSError(errno.EIO, "crash")
            rename(source, target)

        monkeypatch.setattr(os, "rename", crash_at_log)
        with pytest.raises(StorageError):
            storage.save_snapshot(
                Snapshot(9, 2, MEMBERS, b"state"), HardState(2, "b"), Log(9, 2)
            )
        monkeypatch.undo()
        storage.close()
        storage = reopened(tmp_path)
        assert (storage.log.base_index, storage.log.records) == (9, [])
        assert storage.hard_state == HardState(2, "b")


class TestLock:
    def test_second_process_is_refused(self, tmp_path):
        storage = Storage.open(str(tmp_path))
        done = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys; from wisteriapulley.consensus import Storage;"
                "Storage.open(sys.argv[1])",
                str(tmp_path),
            ],
            capture_output=True,
            text=True,
            check=False,
            env=dict(os.environ, PYTHONPATH="src"),
        )
        assert "WP604" in done.stderr
        storage.close()
        reopened(tmp_path)
