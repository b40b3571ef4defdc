"""File operations of the storage; each failure raises a coded error.

Tests replace `Files` to make single operations fail.
"""

import errno
import fcntl
import logging
import os
from pathlib import Path

from wisteriapulley.errors import DiskFullError, ResultCode, StorageError

log = logging.getLogger(__name__)

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
# File written to test whether a full disk has free space again; larger than a batch of
# records.
PROBE_NAME = "room"
PROBE_BYTES = 1 << 16


class Files:
    """Write and sync files; a failed write or sync raises a `StorageError`."""

    def write(self, descriptor: int, data: bytes) -> int:
        """Write once; return the number of bytes written."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Sync the file or folder of a descriptor."""
        os.fsync(descriptor)

    def write_all(self, path: Path, descriptor: int, data: bytes) -> None:
        """Write every byte.

        Raises
        ------
        DiskFullError
            DISK_FULL: a part of the data may follow the synced data.
        StorageError
            FSYNC_FAILED: the content of the file is unknown.
        """
        remaining = memoryview(data)
        try:
            while remaining:
                remaining = remaining[self.write(descriptor, remaining) :]
        except OSError as error:
            raise write_error(path, "writing", error) from error

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to `size` bytes.

        Raises
        ------
        DiskFullError, StorageError
            As for `write_all`.
        """
        try:
            os.truncate(path, size)
        except OSError as error:
            raise write_error(path, "truncating", error) from error

    def has_free_space(self, folder: Path) -> bool:
        """Test whether the disk of a folder accepts writes."""
        probe = folder / PROBE_NAME
        try:
            probe.write_bytes(bytes(PROBE_BYTES))
            probe.unlink()
        except OSError as error:
            log.info("disk does not accept writes yet: %s: %s", probe, error)
            return False
        return True

    def sync(self, path: Path, descriptor: int) -> None:
        """Sync a file; a failed sync must not be retried.

        After a failed sync the kernel may drop the dirty pages and report success the
        next time, so nothing more may be acknowledged.

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
        """Sync a folder, so that its directory entries are durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(folder, descriptor)
        finally:
            os.close(descriptor)

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file atomically: write and sync a new file, rename, sync folder."""
        new_path = path.with_name(f"{path.name}.new")
        descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_all(new_path, descriptor, data)
            self.sync(new_path, descriptor)
        finally:
            os.close(descriptor)
        os.rename(new_path, path)
        self.sync_folder(path.parent)

    def lock(self, path: Path) -> int:
        """Lock a file until its descriptor is closed or the process ends.

        Raises
        ------
        StorageError
            FOLDER_LOCKED: another process holds the lock.
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


def write_error(path: Path, operation: str, error: OSError) -> StorageError:
    """Return the error for a failed write."""
    text = f"{path}: {operation}: {error}"
    if error.errno in DISK_FULL_ERRNOS:
        return DiskFullError(ResultCode.DISK_FULL, text)
    return StorageError(ResultCode.FSYNC_FAILED, text)


class VolatileFiles(Files):
    """File operations in a temporary folder that is deleted with the process.

    The data does not outlive a crash, so nothing is synced. Files are written in place,
    because the temporary folder of the platform does not support renames. It does not
    support locks either: an instance that requests one fails at every start. No lock is
    needed, because the process creates the folder under a unique name.
    """

    def fsync(self, descriptor: int) -> None:
        """Sync nothing."""

    def sync_folder(self, folder: Path) -> None:
        """Sync nothing."""

    def replace(self, path: Path, data: bytes) -> None:
        """Overwrite a file in place."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write_all(path, descriptor, data)
        finally:
            os.close(descriptor)

    def lock(self, path: Path) -> int:
        """Open the lock file without locking it."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
