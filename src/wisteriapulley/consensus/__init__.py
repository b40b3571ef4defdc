"""The replicated log: a pure replica and its durable storage."""

from wisteriapulley.consensus.replica import Ready, Replica, Timing
from wisteriapulley.consensus.storage import Storage
from wisteriapulley.consensus.types import HardState, Members, Record, RecordKind

__all__ = [
    "HardState",
    "Members",
    "Ready",
    "Record",
    "RecordKind",
    "Replica",
    "Storage",
    "Timing",
]
