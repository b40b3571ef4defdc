"""What a process has done since its start, as its files and the kernel show it."""

import contextlib
import os
import signal
from pathlib import Path
from typing import NamedTuple

SIGTERM_BIT = 1 << (signal.SIGTERM - 1)


class FileState(NamedTuple):
    """Size of a log, and the files of a data folder with their times of change."""

    log_bytes: int
    data: frozenset[tuple[str, int, int]]

    @classmethod
    def of(cls, log: Path, data: Path) -> "FileState":
        """Return the state of the files now."""
        stats = [(path, path.stat()) for path in data.rglob("*")]
        return cls(
            log.stat().st_size if log.exists() else 0,
            frozenset((str(p), s.st_mtime_ns, s.st_size) for p, s in stats),
        )


def has_run_a_line(pid: int) -> bool:
    """Return whether a process has run a line of the program, or holds a socket.

    The first line of the program sets the handler of the stop signal. True also for a
    process that the kernel does not show, which proves nothing.
    """
    folder = Path(f"/proc/{pid}")
    try:
        (caught,) = (
            int(line.split()[1], 16)
            for line in (folder / "status").read_text().splitlines()
            if line.startswith("SigCgt:")
        )
        return bool(caught & SIGTERM_BIT) or holds_socket(folder / "fd")
    except (OSError, ValueError):
        return True


def holds_socket(descriptors: Path) -> bool:
    """Return whether a socket is among the descriptors of a process."""
    for path in descriptors.iterdir():
        # The interpreter closes files while it starts.
        with contextlib.suppress(FileNotFoundError):
            if os.readlink(path).startswith("socket:"):
                return True
    return False
