"""What must always hold of the replicated log; a breach raises `ViolationError`.

The ledger sees every event of every replica, which no replica can.
"""

import zlib
from typing import NamedTuple

from wisteriapulley.consensus import Members, Record, RecordKind


class ViolationError(AssertionError):
    """An invariant does not hold; the message begins with its name."""


class Committed(NamedTuple):
    """What the cluster agreed on at one index.

    Attributes
    ----------
    record : Record
        The record.
    digest : int
        Of all committed records up to it.
    revision : int
        How many of them are commands.
    """

    record: Record
    digest: int
    revision: int


def require(holds: bool, invariant: str, detail: str) -> None:
    """Raise unless the invariant holds."""
    if not holds:
        raise ViolationError(f"{invariant}: {detail}")


class Truth:
    """Everything that was ever led, stored and committed."""

    def __init__(self):
        self.leaders: dict[int, tuple[str, int]] = {}
        self.stored: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.committed: dict[int, Committed] = {}
        self.last = 0
        self.members: Members | None = None
        self.checks = 0

    def led(self, node, term: int) -> None:
        """Check a new leader: alone in its term, and holding every commit."""
        self.checks += 1
        name = (node.node_id, node.boots)
        first = self.leaders.setdefault(term, name)
        require(first == name, "election_safety", f"term {term}: {first} and {name}")
        log = node.replica.log
        for index, entry in self.committed.items():
            held = index <= log.base_index or log.holds(index, entry.record.term)
            require(held, "leader_completeness", f"{name} leads without {index}")

    def saved(self, record: Record, previous_term: int) -> None:
        """Check that a term and index name one record after one history."""
        self.checks += 1
        content = (record.data, previous_term)
        first = self.stored.setdefault((record.term, record.index), content)
        require(first == content, "log_matching", f"{record.index}@{record.term}")

    def applied(self, record: Record) -> Committed:
        """Check that all apply the same record at one index."""
        self.checks += 1
        entry = self.committed.get(record.index)
        if entry is None:
            entry = self.commit(record)
        require(
            entry.record == record,
            "no_commit_lost",
            f"{record.index}: {entry.record} was committed, {record} came",
        )
        return entry

    def commit(self, record: Record) -> Committed:
        """Note the first time that a record is seen committed."""
        require(
            record.index == self.last + 1,
            "no_commit_lost",
            f"{record.index} was committed after {self.last}",
        )
        before = self.committed.get(self.last)
        digest = zlib.crc32(record.data, before.digest if before else 0)
        command = record.kind == RecordKind.COMMAND
        revision = (before.revision if before else 0) + command
        entry = Committed(record, digest, revision)
        self.committed[record.index] = entry
        self.last = record.index
        return entry
