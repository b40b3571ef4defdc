"""Data types of the replicated log."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

# Removed disk identities that a configuration keeps, newest last. A removed instance
# that still asks to join is refused while its identity is kept; operators have stopped
# it long before 64 more disks are removed.
MAX_REMOVED = 64


class RecordKind(IntEnum):
    """Kind of a log record."""

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
    """State that must be synced before a vote or an acknowledgement is sent."""

    term: int = 0
    voted_for: str = ""


# Identity prefix of disks that never vote: their data does not outlive the process.
OBSERVER_PREFIX = "observer-"


class Members(msgspec.Struct, frozen=True):
    """Configuration of the cluster: disk identities by node id.

    While a replaced disk catches up, its node id is in both groups: the lost disk is
    the voter, the new one the learner.

    Attributes
    ----------
    voters : dict
        Node id to disk identity of the disks that form quorums.
    learners : dict
        Node id to disk identity of the disks that replicate the log without a vote.
    removed : tuple of str
        Disk identities that may not join again.
    """

    voters: dict[str, str]
    learners: dict[str, str] = {}
    removed: tuple[str, ...] = ()

    def node_ids(self) -> tuple[str, ...]:
        """Return the node ids of all voters and learners without duplicates."""
        return tuple(dict.fromkeys((*self.voters, *self.learners)))

    def quorum_size(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def holds(self, node_id: str, identity: str) -> bool:
        """Return whether this disk is the voter or learner of `node_id`."""
        return identity in (self.voters.get(node_id), self.learners.get(node_id))

    def with_learner(self, node_id: str, identity: str) -> "Members":
        """Return a configuration with one more learner."""
        learners = {**self.learners, node_id: identity}
        return msgspec.structs.replace(self, learners=learners)

    def promoted(self, node_id: str) -> "Members":
        """Return a configuration in which the learner is a voter."""
        voters = {**self.voters, node_id: self.learners[node_id]}
        learners = {k: v for k, v in self.learners.items() if k != node_id}
        return msgspec.structs.replace(self, voters=voters, learners=learners)

    def demoted(self, node_id: str) -> "Members":
        """Return a configuration in which the voter is a learner on the same disk."""
        voters = {k: v for k, v in self.voters.items() if k != node_id}
        learners = {**self.learners, node_id: self.voters[node_id]}
        return msgspec.structs.replace(self, voters=voters, learners=learners)

    def without_voter(self, node_id: str) -> "Members":
        """Return a configuration without the voter; its disk may not join again."""
        voters = {k: v for k, v in self.voters.items() if k != node_id}
        removed = (*self.removed, self.voters[node_id])[-MAX_REMOVED:]
        return msgspec.structs.replace(self, voters=voters, removed=removed)

    def without_learner(self, node_id: str) -> "Members":
        """Return a configuration without the learner; its disk may not join again."""
        learners = {k: v for k, v in self.learners.items() if k != node_id}
        removed = (*self.removed, self.learners[node_id])[-MAX_REMOVED:]
        return msgspec.structs.replace(self, learners=learners, removed=removed)


class Snapshot(msgspec.Struct, frozen=True):
    """State after `last_index`, which replaces the records up to it."""

    last_index: int
    last_term: int
    members: Members
    data: bytes


class SnapshotInfo(NamedTuple):
    """Description of a snapshot on the disk; `total` is its size in bytes."""

    last_index: int
    last_term: int
    members: Members
    total: int

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "SnapshotInfo":
        """Return the description of a snapshot."""
        return cls(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            len(snapshot.data),
        )


class Timing(NamedTuple):
    """Timeouts of a replica, in milliseconds.

    A lease starts when the leader sends a round; the election timeout of a voter starts
    when it receives it. The difference between `lease_ms` and `election_ms` is the
    margin for clocks of different speed: 700 of 1000 tolerates a clock that is 30 %
    slow.
    """

    election_ms: int = 1000
    lease_ms: int = 700
    heartbeat_ms: int = 150


class Ready(NamedTuple):
    """Effects of a step, in the order in which the driver must carry them out.

    Attributes
    ----------
    early_messages : tuple of (str, tuple)
        Receiver and message, to send before the sync: a leader's records in a term
        that is already synced.
    hard_state : HardState or None
        To sync, if it changed.
    records : tuple of Record
        To append and sync. A record at or below the last index first truncates the
        log from that index on.
    snapshot : Snapshot or None
        Received from the leader, to sync and restore; it replaces the log.
    late_messages : tuple of (str, tuple)
        Receiver and message, to send after the sync.
    """

    early_messages: tuple[tuple[str, tuple], ...]
    hard_state: HardState | None
    records: tuple[Record, ...]
    snapshot: Snapshot | None
    late_messages: tuple[tuple[str, tuple], ...]
