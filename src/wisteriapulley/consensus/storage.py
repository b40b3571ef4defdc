"""Durable state of a control instance: identity, snapshot and log.

Everything is synced before it is acknowledged, voted or applied. After each
sync the log gets a mark, itself not synced, that says how far the file was
synced: damage before the mark is damage, not an unfinished write, and stops
the start. See docs/design/control-quorum.md, "Storage".
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
from wisteriapulley.errors import NoRoomError, ResultCode, StorageError

LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity.json"
LOCK_NAME = "lock"


class DiskIdentity(msgspec.Struct, frozen=True):
    """Whose folder this is.

    Attributes
    ----------
    node_id : str
        The control instance.
    identity : str
        Identity of this disk, made once.
    members : Members
        Configuration that the log starts from: only itself for the founder,
        nobody for a disk that joins.
    """

    node_id: str
    identity: str
    members: Members


def new_identity() -> str:
    """Make the identity of a new disk."""
    return secrets.token_hex(8)


def write_identity(folder: str, identity: DiskIdentity, files: Files) -> None:
    """Write and sync the folder's identity.

    Raises
    ------
    StorageError
        The folder holds state of a control instance already.
    """
    home = Path(folder)
    for name in (IDENTITY_NAME, LOG_NAME, SNAPSHOT_NAME):
        if (home / name).exists():
            raise StorageError(
                ResultCode.IDENTITY_MISMATCH,
                f"{home / name}: expected an empty folder, got one that is in use;"
                " start the instance, or empty the folder and join",
            )
    files.replace(home / IDENTITY_NAME, msgspec.json.encode(identity))


def read_identity(folder: str) -> DiskIdentity:
    """Read the folder's identity.

    Raises
    ------
    StorageError
        The folder has none, so it never was initialised here.
    """
    path = Path(folder) / IDENTITY_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=DiskIdentity)
    except (OSError, msgspec.DecodeError) as error:
        raise StorageError(
            ResultCode.DATA_FOLDER_MISSING,
            f"{path}: expected an identity; run `wisteriapulley control init` on the"
            " founding instance, `control join` on any other",
        ) from error


class SnapshotHeader(msgspec.Struct, frozen=True):
    """First frame of the snapshot file; the state's bytes follow it."""

    last_index: int
    last_term: int
    members: Members
    total: int
    crc: int


class LogBase(msgspec.Struct, frozen=True, array_like=True):
    """First frame of a log file that was cut: what it follows."""

    index: int
    term: int


class Storage:
    """The files of one control instance.

    Parameters
    ----------
    folder : str
        The data folder.
    files : Files
        File operations.

    Attributes
    ----------
    hard_state : HardState
        As last synced.
    log : Log
        The records, as found at the start; the replica goes on with it.
    snapshot : SnapshotInfo or None
        The newest snapshot.
    committed : int
        Index up to which the log is known to be committed. It is noted without
        a sync, so it may be older than what was known before a loss of power.
    appended_bytes : int
        Bytes written since the log was last cut.
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
        """Lock the folder, read it, cut a torn tail, and open for appending.

        Raises
        ------
        StorageError
            Another process is in the folder; the snapshot or the log is
            damaged; or the disk fails.
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

    # -- the start -------------------------------------------------------

    def open_to_append(self) -> None:
        """Read the log and open it; without room it can only be read.

        A full disk then is a `failure` from the start: nothing is saved, and the
        instance goes on with what is synced.
        """
        try:
            self.recover()
            self.open_log()
        except NoRoomError as error:
            self.failure = error

    def has_free_space(self) -> bool:
        """Tell whether the disk takes writes again after it was full."""
        return self.files.has_free_space(self.folder)

    def read_snapshot(self) -> bytes:
        """Read and check the snapshot; return the state's bytes."""
        if not self.snapshot_path.exists():
            return b""
        content = self.snapshot_path.read_bytes()
        frame = frames.frame_at(content, 0)
        if frame is None or frame.kind != frames.KIND_SNAPSHOT:
            raise self.damage_error(self.snapshot_path, 0)
        head = msgspec.msgpack.decode(frame.payload, type=SnapshotHeader)
        data = content[frame.end :]
        if len(data) != head.total or zlib.crc32(data) != head.crc:
            raise self.damage_error(self.snapshot_path, frame.end)
        self.snapshot = SnapshotInfo(
            head.last_index, head.last_term, head.members, head.total
        )
        self.snapshot_offset = frame.end
        return data

    def recover(self) -> None:
        """Replay the log file; cut what an unfinished write left."""
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
        """Take one frame of the log file in."""
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
        """Let the log follow the snapshot, which may be newer after a crash."""
        if self.snapshot is not None:
            if not self.log.holds(self.snapshot.last_index, self.snapshot.last_term):
                self.log = Log(self.snapshot.last_index, self.snapshot.last_term)
        elif self.log.base_index:
            raise StorageError(
                ResultCode.LOG_DAMAGED,
                f"{self.snapshot_path}: expected the snapshot that the log follows",
            )

    def open_log(self) -> None:
        """Open for appending; what was found is synced before it is used."""
        self.descriptor = os.open(
            self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        self.files.sync(self.path, self.descriptor)
        self.files.sync_folder(self.folder)
        self.write_sync_mark()

    def damage_error(self, path: Path, offset: int) -> StorageError:
        """Make the error for damage that no unfinished write explains."""
        return StorageError(
            ResultCode.LOG_DAMAGED,
            f"{path}: checksum fails at byte {offset}, in data that was synced;"
            " replace the disk and rejoin: docs/operators/lost-disk.md",
        )

    # -- running ---------------------------------------------------------

    def save(
        self,
        hard_state: HardState | None,
        records: tuple[Record, ...],
        grouped: bool = True,
    ) -> None:
        """Append and sync; returns only when all lasts.

        Parameters
        ----------
        hard_state : HardState or None
            To save, when it changed.
        records : tuple of Record
            To append.
        grouped : bool
            Whether all share one sync, rather than a sync each.

        Raises
        ------
        StorageError
            The disk is full or failed; nothing may be acknowledged any more.
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
        """Write, without a sync, how far the log is committed.

        Load: all instances are killed and start again. Harm prevented: without the
        note, what the log holds counts as committed only once a leader has been
        elected and heard, half a second later, and until then entries know no
        route and engines no version that they may serve.
        """
        with self.stop_after_failure():
            note = frames.pack_committed_index(index)
            self.files.write_all(self.path, self.descriptor, note)
            self.log_size += len(note)
            self.committed = index

    def write_sync_mark(self) -> None:
        """Write, without a sync, how far the file is synced."""
        mark = frames.pack_sync_mark(self.log_size)
        self.files.write_all(self.path, self.descriptor, mark)
        self.log_size += len(mark)

    @contextlib.contextmanager
    def stop_after_failure(self):
        """Let nothing be saved after a failure.

        Raises
        ------
        StorageError
            This operation failed, or an earlier one did.
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
        """Put a snapshot in place, then cut the log to what follows its base.

        A crash in between leaves a snapshot newer than the log's base, which
        `join_snapshot` joins.
        """
        head = SnapshotHeader(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            len(snapshot.data),
            zlib.crc32(snapshot.data),
        )
        start = frames.pack(frames.KIND_SNAPSHOT, msgspec.msgpack.encode(head))
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
        """Read bytes of the snapshot's state, to send them."""
        with open(self.snapshot_path, "rb") as file:
            file.seek(self.snapshot_offset + offset)
            return file.read(max_bytes)

    def close(self) -> None:
        """Close the log and let go of the folder."""
        for descriptor in (self.descriptor, self.lock_descriptor):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock_descriptor = -1


def pack_hard_state(hard_state: HardState) -> bytes:
    """Pack the frame of a hard state."""
    return frames.pack(frames.KIND_HARD_STATE, msgspec.msgpack.encode(hard_state))


def pack_record(record: Record) -> bytes:
    """Pack the frame of a record."""
    return frames.pack(frames.KIND_RECORD, msgspec.msgpack.encode(record))
