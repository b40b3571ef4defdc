"""Replicated log (Raft): a replica without I/O and its durable storage."""

from wisteriapulley.consensus.log import Log
from wisteriapulley.consensus.replica import Replica
from wisteriapulley.consensus.storage import Storage
from wisteriapulley.consensus.types import (
    HardState,
    Members,
    Ready,
    Record,
    RecordKind,
    Snapshot,
    SnapshotInfo,
    Timing,
)

__all__ = [
    "HardState",
    "Log",
    "Members",
    "Ready",
    "Record",
    "RecordKind",
    "Replica",
    "Snapshot",
    "SnapshotInfo",
    "Storage",
    "Timing",
]
