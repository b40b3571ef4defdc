"""Records that the fakes keep of what really happened, one JSON line each."""

import json
import time
from pathlib import Path


class Records:
    """Appends to a file; a line is whole once written.

    Parameters
    ----------
    path : str
        File to append to.
    """

    def __init__(self, path: str):
        self.path = Path(path)
        self.file = open(path, "a", buffering=1)

    def add(self, event: str, **values: object) -> None:
        """Write one event with the wall clock's time in seconds."""
        line = {"event": event, "at": time.time(), **values}
        self.file.write(json.dumps(line) + "\n")


def read_records(path: str) -> list[dict]:
    """Read every whole line of a records file."""
    if not Path(path).exists():
        return []
    lines = Path(path).read_text().splitlines()
    return [json.loads(line) for line in lines if line.endswith("}")]
