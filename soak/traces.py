"""What a process has done since its start, as its files and the kernel show it."""

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

    The first line of the program sets the handler of the stop signal. False also for a
    process that has ended.
    """
    folder = Path(f"/proc/{pid}")
    try:
        (caught,) = (
            int(line.split()[1], 16)
            for line in (folder / "status").read_text().splitlines()
            if line.startswith("SigCgt:")
        )
        links = [os.readlink(path) for path in (folder / "fd").iterdir()]
    except (OSError, ValueError):
        return False
    return bool(caught & SIGTERM_BIT) or any(
        link.startswith("socket:") for link in links
    )
