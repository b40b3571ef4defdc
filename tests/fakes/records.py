"""Records of what the fakes executed and observed, one JSON line each."""

import json
import time
from pathlib import Path


class Records:
    """Appends records to a line-buffered file, so that each is written complete.

    Parameters
    ----------
    path : str
        File to append to.
    """

    def __init__(self, path: str):
        self.path = Path(path)
        self.file = open(path, "a", buffering=1)

    def add(self, event: str, **values: object) -> None:
        """Write one event with the wall-clock time in seconds."""
        line = {"event": event, "at": time.time(), **values}
        self.file.write(json.dumps(line) + "\n")


def read_records(path: str) -> list[dict]:
    """Return the complete lines of a records file; empty if it does not exist."""
    if not Path(path).exists():
        return []
    lines = Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines if line.endswith("}")]
