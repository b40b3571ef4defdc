"""The few file operations of the storage, each with its own error.

Tests replace `Files` to make any of them fail.
"""

import errno
import fcntl
import logging
import os
from pathlib import Path

from wisteriapulley.errors import NoRoomError, ResultCode, StorageError

log = logging.getLogger(__name__)

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
# Written to see whether a full disk has room again: more than a batch of records.
PROBE_NAME = "room"
PROBE_BYTES = 1 << 16


class Files:
    """Writes and syncs; every failure is a `StorageError`."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write once; return how many bytes the system took."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Sync a file or folder."""
        os.fsync(descriptor)

    def write_all(self, path: Path, descriptor: int, data: bytes) -> None:
        """Write every byte.

        Raises
        ------
        NoRoomError
            DISK_FULL: some of the bytes may stand behind what was synced.
        StorageError
            FSYNC_FAILED: what the file holds is unknown.
        """
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.write(descriptor, rest) :]
        except OSError as error:
            raise write_error(path, "writing", error) from error

    def truncate(self, path: Path, size: int) -> None:
        """Cut a file.

        Raises
        ------
        NoRoomError, StorageError
            As `write_all`.
        """
        try:
            os.truncate(path, size)
        except OSError as error:
            raise write_error(path, "cutting", error) from error

    def has_free_space(self, folder: Path) -> bool:
        """Try whether a folder's disk takes a write again."""
        probe = folder / PROBE_NAME
        try:
            probe.write_bytes(bytes(PROBE_BYTES))
            probe.unlink()
        except OSError as error:
            log.info("no room yet: %s: %s", probe, error)
            return False
        return True

    def sync(self, path: Path, descriptor: int) -> None:
        """Sync a file; it is never tried twice.

        The kernel may drop the pages of a failed sync and report success the
        next time, so after a failure nothing may be acknowledged any more.

        Raises
        ------
        StorageError
            DISK_FULL or FSYNC_FAILED.
        """
        try:
            self.fsync(descriptor)
        except OSError as error:
            full = error.errno in DISK_FULL_ERRNOS
            code = ResultCode.DISK_FULL if full else ResultCode.FSYNC_FAILED
            raise StorageError(code, f"{path}: fsync: {error}") from error

    def sync_folder(self, folder: Path) -> None:
        """Sync a folder, so that names in it last."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(folder, descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Put a file in place whole: write new, sync, rename, sync folder."""
        fresh = path.with_name(f"{path.name}.new")
        descriptor = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_all(fresh, descriptor, data)
            self.sync(fresh, descriptor)
        finally:
            os.close(descriptor)
        os.rename(fresh, path)
        self.sync_folder(path.parent)

    def lock(self, path: Path) -> int:
        """Lock a file for as long as this process lives.

        Raises
        ------
        StorageError
            Another process holds it.
        """
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            raise StorageError(
                ResultCode.FOLDER_LOCKED,
                f"{path}: expected no other process in the data folder, got"
                f" {error.strerror}; stop the other control instance",
            ) from error
        return descriptor


def write_error(path: Path, what: str, error: OSError) -> StorageError:
    """Make the error for a write that failed."""
    text = f"{path}: {what}: {error}"
    if error.errno in DISK_FULL_ERRNOS:
        return NoRoomError(ResultCode.DISK_FULL, text)
    return StorageError(ResultCode.FSYNC_FAILED, text)


class VolatileFiles(Files):
    """Files of a temporary folder, which ends with its process.

    Nothing there outlives a crash, so nothing is synced, and a file is written in
    its place: a temporary folder of the platform takes no renames. It takes no
    locks either, and needs none: the process made the folder under a name of its
    own. An instance that asked for the lock ended at its start, again and again.
    """

    def fsync(self, descriptor: int) -> None:
        """Sync nothing."""

    def sync_folder(self, folder: Path) -> None:
        """Sync nothing."""

    def replace(self, path: Path, data: bytes) -> None:
        """Write a file in its place."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_all(path, descriptor, data)
        finally:
            os.close(descriptor)

    def lock(self, path: Path) -> int:
        """Open the lock file without a lock."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
