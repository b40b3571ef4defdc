"""Durable log: checksummed records in one file, synced before any answer.

A record is ``crc32 | length | kind | payload``. Hard state stands in the same
file as log records, so one fsync covers both.
"""

import contextlib
import errno
import os
import secrets
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from wisteriapulley.consensus.types import HardState, Members, Record
from wisteriapulley.errors import ResultCode, StorageError

HEADER = struct.Struct("<IIB")
KIND_HARD_STATE = 1
KIND_RECORD = 2
LOG_NAME = "log"
IDENTITY_NAME = "identity.json"


class DiskIdentity(msgspec.Struct, frozen=True):
    """Whose folder this is.

    Attributes
    ----------
    node_id : str
        The control instance.
    identity : str
        Identity of this disk, made once.
    members : Members
        Configuration that the log starts from.
    """

    node_id: str
    identity: str
    members: Members


def new_identity() -> str:
    """Make the identity of a new disk."""
    return secrets.token_hex(8)


def write_identity(folder: str, identity: DiskIdentity) -> None:
    """Write and sync the folder's identity.

    Raises
    ------
    StorageError
        The folder has an identity already.
    """
    path = Path(folder) / IDENTITY_NAME
    if path.exists():
        raise StorageError(
            ResultCode.IDENTITY_MISMATCH, f"{path}: the folder has an identity already"
        )
    with open(path, "xb") as file:
        file.write(msgspec.json.encode(identity))
        sync(file.fileno())
    sync_folder(folder)


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
            f"{path}: expected an identity; run `wisteriapulley control init` or"
            " `join`",
        ) from error


def sync(descriptor: int) -> None:
    """Sync a file, or say that its content is unknown."""
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise StorageError(ResultCode.FSYNC_FAILED, str(error)) from error


def sync_folder(folder: str) -> None:
    """Sync a folder, so that a new name in it lasts."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def pack(kind: int, payload: bytes) -> bytes:
    """Pack one record of the file."""
    tail = HEADER.pack(0, len(payload), kind)[4:] + payload
    return struct.pack("<I", zlib.crc32(tail)) + tail


class Storage:
    """The log file of one control instance.

    Parameters
    ----------
    folder : str
        The data folder.

    Attributes
    ----------
    hard_state : HardState
        As last synced.
    records : list of Record
        The log, from index 1.
    """

    def __init__(self, folder: str):
        self.folder = folder
        self.path = Path(folder) / LOG_NAME
        self.hard_state = HardState()
        self.records: list[Record] = []
        self.file = None

    @classmethod
    def open(cls, folder: str) -> "Storage":
        """Read the log, cut a torn tail, and open it for appending.

        Raises
        ------
        StorageError
            The log is damaged before its tail.
        """
        storage = cls(folder)
        storage.recover()
        storage.file = open(storage.path, "ab", buffering=0)
        sync_folder(folder)
        return storage

    def recover(self) -> None:
        """Replay the file."""
        if not self.path.exists():
            return
        data = self.path.read_bytes()
        end = 0
        for kind, payload, end in self.scan(data):  # noqa: B007
            self.replay(kind, payload)
        if end < len(data):
            os.truncate(self.path, end)

    def scan(self, data: bytes) -> Iterator[tuple[int, bytes, int]]:
        """Yield kind, payload and end offset of each whole record."""
        offset = 0
        while offset + HEADER.size <= len(data):
            crc, length, kind = HEADER.unpack_from(data, offset)
            end = offset + HEADER.size + length
            if end > len(data):
                return
            if zlib.crc32(data[offset + 4 : end]) != crc:
                if end < len(data):
                    raise StorageError(
                        ResultCode.LOG_DAMAGED,
                        f"{self.path}: checksum fails at byte {offset}, before the"
                        " tail",
                    )
                return
            yield kind, data[offset + HEADER.size : end], end
            offset = end

    def replay(self, kind: int, payload: bytes) -> None:
        """Take one record of the file in."""
        if kind == KIND_HARD_STATE:
            self.hard_state = msgspec.msgpack.decode(payload, type=HardState)
            return
        record = msgspec.msgpack.decode(payload, type=Record)
        del self.records[record.index - 1 :]
        self.records.append(record)

    def save(self, hard_state: HardState | None, records: tuple[Record, ...]) -> None:
        """Append and sync; returns only when both last.

        Raises
        ------
        StorageError
            The disk is full or failed; nothing may be acknowledged.
        """
        parts = []
        if hard_state is not None:
            parts.append(pack(KIND_HARD_STATE, msgspec.msgpack.encode(hard_state)))
        parts += [
            pack(KIND_RECORD, msgspec.msgpack.encode(record)) for record in records
        ]
        if parts:
            self.write(b"".join(parts))

    def write(self, data: bytes) -> None:
        """Write and sync bytes at the end of the file."""
        try:
            written = self.file.write(data)
        except OSError as error:
            full = error.errno in (errno.ENOSPC, errno.EDQUOT)
            code = ResultCode.DISK_FULL if full else ResultCode.FSYNC_FAILED
            raise StorageError(code, f"{self.path}: {error}") from error
        if written != len(data):
            raise StorageError(
                ResultCode.DISK_FULL, f"{self.path}: {written} of {len(data)} bytes"
            )
        sync(self.file.fileno())

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError, AttributeError):
            self.file.close()
