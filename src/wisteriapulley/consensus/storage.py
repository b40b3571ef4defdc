"""Durable state of a control instance: identity, snapshot and log.

Data is synced before it is acknowledged, voted for or applied. After each sync, a sync
mark is appended to the log without a sync; it records how far the file was synced. At
the start, invalid data before a mark is corruption and not a torn write, so the
instance refuses to start. See docs/design/control-quorum.md, "Storage".
"""

import contextlib
import os
import secrets
import zlib
from pathlib import Path

import msgspec

from wisteriapulley.consensus import frames
from wisteriapulley.consensus.files import Files, write_error
from wisteriapulley.consensus.log import Log
from wisteriapulley.consensus.types import (
    HardState,
    Members,
    Record,
    Snapshot,
    SnapshotInfo,
)
from wisteriapulley.errors import DiskFullError, ResultCode, StorageError

LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity.json"
LOCK_NAME = "lock"


class DiskIdentity(msgspec.Struct, frozen=True):
    """Identity of a data folder.

    Attributes
    ----------
    node_id : str
        Node id of the control instance.
    identity : str
        Identity of this disk, generated once.
    members : Members
        Initial configuration of the log: only this disk for the founding instance,
        empty for a disk that joins.
    """

    node_id: str
    identity: str
    members: Members


def new_identity() -> str:
    """Generate the identity of a new disk."""
    return secrets.token_hex(8)


def write_identity(folder: str, identity: DiskIdentity, files: Files) -> None:
    """Write and sync the folder's identity.

    Raises
    ------
    StorageError
        IDENTITY_MISMATCH: the folder already holds the state of a control instance.
    """
    home = Path(folder)
    for name in (IDENTITY_NAME, LOG_NAME, SNAPSHOT_NAME):
        if (home / name).exists():
            raise StorageError(
                ResultCode.IDENTITY_MISMATCH,
                f"{home / name}: expected an empty data folder, got one in use; start"
                " the instance, or empty the folder and join",
            )
    files.replace(home / IDENTITY_NAME, msgspec.json.encode(identity))


def read_identity(folder: str) -> DiskIdentity:
    """Read the folder's identity.

    Raises
    ------
    StorageError
        DATA_FOLDER_MISSING: the folder has no identity, so it is not initialised.
    """
    path = Path(folder) / IDENTITY_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=DiskIdentity)
    except (OSError, msgspec.DecodeError) as error:
        raise StorageError(
            ResultCode.DATA_FOLDER_MISSING,
            f"{path}: expected an identity file; run `wisteriapulley control init` on"
            " the founding instance, `control join` on any other",
        ) from error


class SnapshotHeader(msgspec.Struct, frozen=True):
    """First frame of the snapshot file; the bytes of the state follow it."""

    last_index: int
    last_term: int
    members: Members
    total: int
    crc: int


class LogBase(msgspec.Struct, frozen=True, array_like=True):
    """First frame of a truncated log file: index and term of the record before it."""

    index: int
    term: int


class Storage:
    """The files of one control instance.

    Parameters
    ----------
    folder : str
        Path of the data folder.
    files : Files
        File operations.

    Attributes
    ----------
    hard_state : HardState
        Last synced hard state.
    log : Log
        The records found at the start. The replica takes over this object.
    snapshot : SnapshotInfo or None
        The newest snapshot.
    committed : int
        Index up to which the log is known to be committed. It is written without a
        sync, so an older value may be found after a power failure.
    appended_bytes : int
        Bytes written since the log was last truncated.
    """

    def __init__(self, folder: str, files: Files):
        self.folder = Path(folder)
        self.files = files
        self.path = self.folder / LOG_NAME
        self.snapshot_path = self.folder / SNAPSHOT_NAME
        self.hard_state = HardState()
        self.log = Log()
        self.snapshot: SnapshotInfo | None = None
        self.snapshot_offset = 0
        self.committed = 0
        self.appended_bytes = 0
        self.log_size = 0
        self.failure: StorageError | None = None
        self.descriptor = -1
        self.lock_descriptor = -1

    @classmethod
    def open(cls, folder: str, files: Files | None = None) -> "Storage":
        """Lock and read the folder, drop a torn tail, and open the log to append.

        Raises
        ------
        StorageError
            Another process uses the folder, the snapshot or the log is damaged, or the
            disk fails.
        """
        storage = cls(folder, files or Files())
        storage.lock_descriptor = storage.files.lock(storage.folder / LOCK_NAME)
        try:
            storage.read_snapshot()
            storage.open_to_append()
        except BaseException:
            storage.close()
            raise
        return storage

    # -- start -----------------------------------------------------------

    def open_to_append(self) -> None:
        """Read the log and open it to append; on a full disk, only read it.

        A full disk sets `failure` from the start: nothing is saved, and the instance
        continues with the synced state.
        """
        try:
            self.recover()
            self.open_log()
        except DiskFullError as error:
            self.failure = error

    def has_free_space(self) -> bool:
        """Return whether the disk, after it was full, accepts writes again."""
        return self.files.has_free_space(self.folder)

    def read_snapshot(self) -> bytes:
        """Read and verify the snapshot; return the bytes of the state."""
        if not self.snapshot_path.exists():
            return b""
        content = self.snapshot_path.read_bytes()
        frame = frames.frame_at(content, 0)
        if frame is None or frame.kind != frames.KIND_SNAPSHOT:
            raise self.damage_error(self.snapshot_path, 0)
        header = msgspec.msgpack.decode(frame.payload, type=SnapshotHeader)
        data = content[frame.end :]
        if len(data) != header.total or zlib.crc32(data) != header.crc:
            raise self.damage_error(self.snapshot_path, frame.end)
        self.snapshot = SnapshotInfo(
            header.last_index, header.last_term, header.members, header.total
        )
        self.snapshot_offset = frame.end
        return data

    def recover(self) -> None:
        """Replay the log file and truncate a torn write at its end."""
        data = self.path.read_bytes() if self.path.exists() else b""
        end = 0
        for frame in frames.scan(data):
            self.replay(frame.kind, frame.payload)
            end = frame.end
        if end < len(data):
            if frames.is_marked_synced(data, end) or not frames.is_torn_write(
                data, end
            ):
                raise self.damage_error(self.path, end)
        self.log_size = end
        self.align_log_with_snapshot()
        if end < len(data):
            self.files.truncate(self.path, end)

    def replay(self, kind: int, payload: bytes) -> None:
        """Apply one frame of the log file to the state in memory."""
        if kind == frames.KIND_HARD_STATE:
            self.hard_state = msgspec.msgpack.decode(payload, type=HardState)
        elif kind == frames.KIND_BASE:
            base = msgspec.msgpack.decode(payload, type=LogBase)
            self.log = Log(base.index, base.term)
        elif kind == frames.KIND_COMMITTED:
            self.committed = frames.UINT64.unpack(payload)[0]
        elif kind == frames.KIND_RECORD:
            record = msgspec.msgpack.decode(payload, type=Record)
            if not self.log.base_index < record.index <= self.log.last_index + 1:
                raise StorageError(
                    ResultCode.LOG_DAMAGED,
                    f"{self.path}: expected record {self.log.last_index + 1}, got"
                    f" {record.index}; replace the disk and rejoin",
                )
            self.log.put(record)

    def align_log_with_snapshot(self) -> None:
        """Make the log start at the snapshot, which may be newer after a crash."""
        if self.snapshot is not None:
            if not self.log.holds(self.snapshot.last_index, self.snapshot.last_term):
                self.log = Log(self.snapshot.last_index, self.snapshot.last_term)
        elif self.log.base_index:
            raise StorageError(
                ResultCode.LOG_DAMAGED,
                f"{self.snapshot_path}: expected a snapshot up to the base of the log",
            )

    def open_log(self) -> None:
        """Open the log to append; sync the data found in it before it is used."""
        self.descriptor = os.open(
            self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        self.files.sync(self.path, self.descriptor)
        self.files.sync_folder(self.folder)
        self.write_sync_mark()

    def damage_error(self, path: Path, offset: int) -> StorageError:
        """Return the error for invalid data that is not a torn write."""
        return StorageError(
            ResultCode.LOG_DAMAGED,
            f"{path}: checksum mismatch at byte {offset} in data that was synced;"
            " replace the disk and rejoin: docs/operators/lost-disk.md",
        )

    # -- operation -------------------------------------------------------

    def save(
        self,
        hard_state: HardState | None,
        records: tuple[Record, ...],
        grouped: bool = True,
    ) -> None:
        """Append to the log and sync; return only when everything is durable.

        Parameters
        ----------
        hard_state : HardState or None
            To save, if it changed.
        records : tuple of Record
            To append.
        grouped : bool
            Whether to sync once for everything instead of once per item.

        Raises
        ------
        StorageError
            The disk is full or failed; nothing more may be acknowledged.
        """
        parts = []
        if hard_state is not None:
            parts.append(pack_hard_state(hard_state))
        parts += map(pack_record, records)
        if not parts:
            return
        for batch in [b"".join(parts)] if grouped else parts:
            with self.stop_after_failure():
                self.files.write_all(self.path, self.descriptor, batch)
                self.files.sync(self.path, self.descriptor)
                self.log_size += len(batch)
                self.appended_bytes += len(batch)
                self.write_sync_mark()

    def record_committed_index(self, index: int) -> None:
        """Write the commit index to the log without a sync.

        After all instances were killed and started again, each one can apply the log up
        to this index at once. Without it, records would count as committed only after
        the election of a leader and its first message, half a second later; until
        then entries would have no routes and engines no version to serve.
        """
        with self.stop_after_failure():
            frame = frames.pack_committed_index(index)
            self.files.write_all(self.path, self.descriptor, frame)
            self.log_size += len(frame)
            self.committed = index

    def write_sync_mark(self) -> None:
        """Write a mark for the synced size of the file, without a sync."""
        mark = frames.pack_sync_mark(self.log_size)
        self.files.write_all(self.path, self.descriptor, mark)
        self.log_size += len(mark)

    @contextlib.contextmanager
    def stop_after_failure(self):
        """Guard a write: after the first failure, every further write fails too.

        Raises
        ------
        StorageError
            This write or an earlier one failed.
        """
        if self.failure is not None:
            raise self.failure
        try:
            yield
        except OSError as error:
            self.failure = write_error(self.folder, "opening", error)
            raise self.failure from error
        except StorageError as error:
            self.failure = error
            raise

    def save_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, log: Log
    ) -> None:
        """Write a snapshot, then truncate the log to the records after its base.

        After a crash in between, the snapshot is newer than the base of the log;
        `align_log_with_snapshot` handles this at the next start.
        """
        header = SnapshotHeader(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            len(snapshot.data),
            zlib.crc32(snapshot.data),
        )
        start = frames.pack(frames.KIND_SNAPSHOT, msgspec.msgpack.encode(header))
        base = LogBase(log.base_index, log.base_term)
        parts = [frames.pack(frames.KIND_BASE, msgspec.msgpack.encode(base))]
        parts.append(pack_hard_state(hard_state))
        parts += map(pack_record, log.records)
        parts.append(frames.pack_committed_index(self.committed))
        content = b"".join(parts)
        with self.stop_after_failure():
            self.files.replace(self.snapshot_path, start + snapshot.data)
            self.snapshot = SnapshotInfo.from_snapshot(snapshot)
            self.snapshot_offset = len(start)
            self.files.replace(self.path, content)
            os.close(self.descriptor)
            self.descriptor = -1
            self.log_size = len(content)
            self.open_log()
        self.appended_bytes = 0

    def read_snapshot_part(self, offset: int, max_bytes: int) -> bytes:
        """Read up to `max_bytes` of the state in the snapshot, from `offset` on."""
        with open(self.snapshot_path, "rb") as file:
            file.seek(self.snapshot_offset + offset)
            return file.read(max_bytes)

    def close(self) -> None:
        """Close the log and unlock the folder."""
        for descriptor in (self.descriptor, self.lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock_descriptor = -1


def pack_hard_state(hard_state: HardState) -> bytes:
    """Encode a hard state as a frame."""
    return frames.pack(frames.KIND_HARD_STATE, msgspec.msgpack.encode(hard_state))


def pack_record(record: Record) -> bytes:
    """Encode a record as a frame."""
    return frames.pack(frames.KIND_RECORD, msgspec.msgpack.encode(record))
