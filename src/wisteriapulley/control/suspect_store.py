"""Stores quarantined requests so that they survive a restart of all processes."""

import asyncio
import logging
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

from wisteriapulley.consensus.files import Files
from wisteriapulley.errors import StorageError
from wisteriapulley.wire.messages import Suspect

log = logging.getLogger(__name__)

FILE_NAME = "quarantined"


class StoredSuspect(msgspec.Struct, frozen=True, array_like=True):
    """One suspect on disk; see `wire.messages.Suspect`.

    `at_s` is the Unix time at which the last target ended.
    """

    digest: bytes
    cleared: int
    ended: tuple[str, ...]
    at_s: float


class SuspectStore:
    """Stores suspects in a small file in a control instance's data folder.

    Entries and other instances hold the same suspects, and this file is the last copy
    only if all of them end at the same time. So a failed write is only logged, and
    nothing waits for a write.

    Parameters
    ----------
    folder : Path
        The data folder.
    files : Files
        File operations.
    """

    def __init__(self, folder: Path, files: Files | None = None):
        self.path = folder / FILE_NAME
        self.files = files or Files()
        self.pending_content: bytes | None = None
        self.write_task: asyncio.Task | None = None

    def load(self) -> tuple[Suspect, ...]:
        """Read the stored suspects; return none if the file can't be read."""
        try:
            stored = msgspec.msgpack.decode(
                self.path.read_bytes(), type=tuple[StoredSuspect, ...]
            )
        except FileNotFoundError:
            return ()
        except (OSError, msgspec.MsgspecError) as error:
            log.error("quarantined requests can't be read: %s: %s", self.path, error)
            return ()
        now_s = time.time()
        return tuple(
            Suspect(s.digest, s.cleared, s.ended, max(0, int(now_s - s.at_s)))
            for s in stored
        )

    def save(self, suspects: Iterable[Suspect]) -> None:
        """Schedule a write; during a write only the newest content is kept pending."""
        now_s = time.time()
        stored = tuple(
            StoredSuspect(s.digest, s.cleared, s.ended, now_s - s.age_s)
            for s in suspects
        )
        self.pending_content = msgspec.msgpack.encode(stored)
        if self.write_task is None:
            self.write_task = asyncio.get_running_loop().create_task(
                self.write_pending()
            )

    async def write_pending(self) -> None:
        """Write until no content is pending, in a thread as the disk may stall."""
        try:
            while self.pending_content is not None:
                data, self.pending_content = self.pending_content, None
                await asyncio.to_thread(self.files.replace, self.path, data)
        except (OSError, StorageError) as error:
            log.error("quarantined requests not written: %s: %s", self.path, error)
        finally:
            self.write_task = None
