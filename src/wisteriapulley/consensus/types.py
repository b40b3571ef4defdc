"""Data of the replicated log."""

from enum import IntEnum
from typing import NamedTuple

import msgspec


class RecordKind(IntEnum):
    """What a log record holds."""

    EMPTY = 0
    COMMAND = 1
    MEMBERS = 2


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One record of the log."""

    term: int
    index: int
    kind: int
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What must be synced before a vote or an acknowledgement leaves."""

    term: int = 0
    voted_for: str = ""


class Members(msgspec.Struct, frozen=True):
    """Who takes part: disk identity by node id.

    Attributes
    ----------
    voters : dict
        Node id to disk identity; these make quorums.
    learners : dict
        Node id to disk identity; these copy the log and don't vote.
    """

    voters: dict[str, str]
    learners: dict[str, str] = {}

    def everyone(self) -> tuple[str, ...]:
        """Return the node ids of voters and learners."""
        return (*self.voters, *self.learners)

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, frozen=True):
    """State after `last_index`, in place of the records up to it."""

    last_index: int
    last_term: int
    members: Members
    data: bytes


class Timing(NamedTuple):
    """Timeouts of a replica, in milliseconds."""

    election_ms: int = 1000
    lease_ms: int = 700
    heartbeat_ms: int = 150


class Ready(NamedTuple):
    """Effects of a step, in the order they must happen.

    Attributes
    ----------
    hard_state : HardState or None
        To sync, when it changed.
    records : tuple of Record
        To append and sync; one at or below the last index cuts the tail first.
    messages : tuple of (str, tuple)
        Receiver and message, to send after the sync.
    committed : tuple of Record
        To apply, in order.
    """

    hard_state: HardState | None
    records: tuple[Record, ...]
    messages: tuple[tuple[str, tuple], ...]
    committed: tuple[Record, ...]
