"""Invariants of the replicated log; a violation raises `ViolationError`.

`History` records the events of all replicas, which no single replica sees.
"""

import zlib
from typing import NamedTuple

from wisteriapulley.consensus import Members, Record, RecordKind


class ViolationError(AssertionError):
    """Raised when an invariant does not hold; the message begins with its name."""


class CommittedRecord(NamedTuple):
    """The record that the cluster committed at one index.

    Attributes
    ----------
    record : Record
        The record.
    digest : int
        Digest of all committed records up to this one.
    revision : int
        Number of commands among them.
    """

    record: Record
    digest: int
    revision: int


def require(holds: bool, invariant: str, detail: str) -> None:
    """Raise `ViolationError` unless the invariant holds."""
    if not holds:
        raise ViolationError(f"{invariant}: {detail}")


class History:
    """All leaders, saved records and committed records of a run."""

    def __init__(self):
        self.leaders: dict[int, tuple[str, int]] = {}
        self.saved_records: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.committed: dict[int, CommittedRecord] = {}
        self.last_index = 0
        self.members: Members | None = None
        self.checks = 0

    def record_leader(self, node, term: int) -> None:
        """Check that a leader is alone in its term and holds all committed records."""
        self.checks += 1
        name = (node.node_id, node.starts)
        first = self.leaders.setdefault(term, name)
        require(first == name, "election_safety", f"term {term}: {first} and {name}")
        log = node.replica.log
        for index, committed in self.committed.items():
            is_held = index <= log.base_index or log.holds(index, committed.record.term)
            require(is_held, "leader_completeness", f"{name} leads without {index}")

    def record_saved(self, record: Record, previous_term: int) -> None:
        """Check that term and index always identify the same record and predecessor."""
        self.checks += 1
        content = (record.data, previous_term)
        first = self.saved_records.setdefault((record.term, record.index), content)
        require(first == content, "log_matching", f"{record.index}@{record.term}")

    def record_applied(self, record: Record) -> CommittedRecord:
        """Check that all replicas apply the same record at an index."""
        self.checks += 1
        committed = self.committed.get(record.index)
        if committed is None:
            committed = self.record_commit(record)
        require(
            committed.record == record,
            "no_commit_lost",
            f"{record.index}: {committed.record} was committed, got {record}",
        )
        return committed

    def record_commit(self, record: Record) -> CommittedRecord:
        """Record a record that is committed for the first time."""
        require(
            record.index == self.last_index + 1,
            "no_commit_lost",
            f"{record.index} was committed after {self.last_index}",
        )
        before = self.committed.get(self.last_index)
        digest = zlib.crc32(record.data, before.digest if before else 0)
        command = record.kind == RecordKind.COMMAND
        revision = (before.revision if before else 0) + command
        committed = CommittedRecord(record, digest, revision)
        self.committed[record.index] = committed
        self.last_index = record.index
        return committed
