"""Data of the replicated log."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

# Identities of removed disks that the configuration remembers, newest last. A
# removed instance that still asks to join is refused while it stands here; the
# operator has long switched it off by the time that 64 others were removed.
MAX_REMOVED = 64


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


# Identities of disks that never vote: what they sync is gone with the process.
OBSERVER_PREFIX = "observer-"


class Members(msgspec.Struct, frozen=True):
    """Who takes part: disk identity by node id.

    A node id may stand on both sides at once while a replaced disk catches up:
    the lost disk as a voter, the new one as a learner.

    Attributes
    ----------
    voters : dict
        Node id to disk identity; these make quorums.
    learners : dict
        Node id to disk identity; these copy the log and don't vote.
    removed : tuple of str
        Disk identities that must not come back.
    """

    voters: dict[str, str]
    learners: dict[str, str] = {}
    removed: tuple[str, ...] = ()

    def node_ids(self) -> tuple[str, ...]:
        """Return the node ids of voters and learners, each once."""
        return tuple(dict.fromkeys((*self.voters, *self.learners)))

    def quorum_size(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def holds(self, node_id: str, identity: str) -> bool:
        """Tell whether this disk votes or learns under `node_id`."""
        return identity in (self.voters.get(node_id), self.learners.get(node_id))

    def with_learner(self, node_id: str, identity: str) -> "Members":
        """Return members with a learner more."""
        learners = {**self.learners, node_id: identity}
        return msgspec.structs.replace(self, learners=learners)

    def promoted(self, node_id: str) -> "Members":
        """Return members in which a learner votes."""
        voters = {**self.voters, node_id: self.learners[node_id]}
        learners = {k: v for k, v in self.learners.items() if k != node_id}
        return msgspec.structs.replace(self, voters=voters, learners=learners)

    def demoted(self, node_id: str) -> "Members":
        """Return members in which a voter only learns; its disk stays known."""
        voters = {k: v for k, v in self.voters.items() if k != node_id}
        learners = {**self.learners, node_id: self.voters[node_id]}
        return msgspec.structs.replace(self, voters=voters, learners=learners)

    def without_voter(self, node_id: str) -> "Members":
        """Return members without a voter; its disk may not come back."""
        voters = {k: v for k, v in self.voters.items() if k != node_id}
        removed = (*self.removed, self.voters[node_id])[-MAX_REMOVED:]
        return msgspec.structs.replace(self, voters=voters, removed=removed)

    def without_learner(self, node_id: str) -> "Members":
        """Return members without a learner; its disk may not come back."""
        learners = {k: v for k, v in self.learners.items() if k != node_id}
        removed = (*self.removed, self.learners[node_id])[-MAX_REMOVED:]
        return msgspec.structs.replace(self, learners=learners, removed=removed)


class Snapshot(msgspec.Struct, frozen=True):
    """State after `last_index`, in place of the records up to it."""

    last_index: int
    last_term: int
    members: Members
    data: bytes


class SnapshotInfo(NamedTuple):
    """A snapshot on the disk, without its bytes; `total` counts them."""

    last_index: int
    last_term: int
    members: Members
    total: int

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> "SnapshotInfo":
        """Describe a snapshot."""
        return cls(
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            len(snapshot.data),
        )


class Timing(NamedTuple):
    """Timeouts of a replica, in milliseconds.

    A lease counts from when the leader sent, the voters' patience from when
    they heard, so `lease_ms` below `election_ms` is margin for clocks that run
    at different speeds: 700 in 1000 bears a clock that runs 30 % slow.
    """

    election_ms: int = 1000
    lease_ms: int = 700
    heartbeat_ms: int = 150


class Ready(NamedTuple):
    """Effects of a step, in the order they must happen.

    Attributes
    ----------
    early : tuple of (str, tuple)
        Receiver and message that may leave before the sync: a leader's records
        under a term that is synced already.
    hard_state : HardState or None
        To sync, when it changed.
    records : tuple of Record
        To append and sync; one at or below the last index cuts the tail first.
    snapshot : Snapshot or None
        Received from the leader; to sync and to restore, in place of the log.
    messages : tuple of (str, tuple)
        Receiver and message, to send after the sync.
    """

    early_messages: tuple[tuple[str, tuple], ...]
    hard_state: HardState | None
    records: tuple[Record, ...]
    snapshot: Snapshot | None
    late_messages: tuple[tuple[str, tuple], ...]
