"""What every part of a replica shares: its state, its log and its outbox."""

import random

import msgspec

from wisteriapulley.consensus.log import Log
from wisteriapulley.consensus.types import (
    HardState,
    Members,
    Record,
    RecordKind,
    Snapshot,
    SnapshotInfo,
    Timing,
)
from wisteriapulley.errors import ResultCode, StorageError
from wisteriapulley.statechart import StateChart
from wisteriapulley.wire.messages import AppendRequest, SnapshotPart

NEVER_MS = float("-inf")
# Of an election timeout, the least that a replica waits after its start: time for
# its links to open.
FIRST_PRE_VOTE_DELAY_FRACTION = 0.15
# The same for votes in force, which wait for a sync of each voter's disk.
FIRST_VOTE_DELAY_FRACTION = 0.5
# Of an election timeout, over which those that start together spread.
FIRST_ELECTION_JITTER_FRACTION = 0.3


class Progress:
    """What a leader knows of one follower.

    Parameters
    ----------
    next_index : int
        First record to send.

    Attributes
    ----------
    identity : str
        Disk that `match_index` speaks of.
    match_index : int
        How far that disk's synced log matches.
    inflight : list of int
        Last index of each append that is not yet answered.
    acked_round : int
        Newest round that was answered.
    """

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.identity = ""
        self.match_index = 0
        self.inflight: list[int] = []
        self.acked_round = 0
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.snapshot_total = 0
        self.part_sent_ms = NEVER_MS

    def record_match(self, index: int) -> None:
        """Note that the log matches up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.inflight = [last for last in self.inflight if last > index]

    def retry_from(self, index: int) -> None:
        """Send again from `index`, but nothing that matches already."""
        self.next_index = max(index, self.match_index + 1)
        self.inflight = []


class ReplicaBase:
    """State of one member of the quorum; `Replica` says what it does.

    Parameters
    ----------
    node_id : str
        This member.
    identity : str
        Identity of its disk.
    members : Members
        Configuration before the first record, or the snapshot's.
    hard_state : HardState
        As last synced.
    log : Log
        The synced log.
    snapshot : SnapshotInfo
        The synced snapshot, if there is one.
    timing : Timing
        Timeouts.
    rng : random.Random
        Spreads elections; seeded in tests.
    now_ms : float
        The monotonic clock's reading now.
    started_ms : float, optional
        Its reading when the process started; now, if it is not known.
    committed : int, default=0
        Index up to which the log was known to be committed before the start.

    Attributes
    ----------
    desired_voters : int
        How many disks vote; further ones learn, and take the place of a voter
        that falls silent. 0 lets every disk vote.
    """

    def __init__(
        self,
        node_id: str,
        identity: str,
        members: Members,
        hard_state: HardState | None = None,
        log: Log | None = None,
        snapshot: SnapshotInfo | None = None,
        timing: Timing | None = None,
        rng: random.Random | None = None,
        now_ms: float = 0.0,
        started_ms: float | None = None,
        committed: int = 0,
    ):
        self.node_id = node_id
        self.identity = identity
        self.saved_hard_state = hard_state or HardState()
        self.term = self.saved_hard_state.term
        self.voted_for = self.saved_hard_state.voted_for
        self.log = log if log is not None else Log()
        self.snapshot = snapshot
        self.timing = timing or Timing()
        self.rng = rng or random.Random(node_id)
        self.now_ms = now_ms
        self.role = StateChart("replica")
        self.leader = ""
        start = snapshot.last_index if snapshot is not None else 0
        self.commit_index = max(start, min(committed, self.log.last_index))
        self.applied_index = start
        self.synced_index = self.log.last_index
        self.votes: set[str] = set()
        self.pre_voting = False
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_ms: dict[int, float] = {}
        self.quorum_contact_ms = NEVER_MS
        self.next_heartbeat_ms = 0.0
        self.elected_ms = 0.0
        self.term_start = 0
        self.transferring_leadership = False
        self.join_requests: dict[str, str] = {}
        self.desired_voters = 0
        self.incoming_snapshot: tuple[int, int, int] = (0, 0, 0)
        self.snapshot_buffer = bytearray()
        self.installed_snapshot: Snapshot | None = None
        self.unsaved_records: list[Record] = []
        self.outbox: list[tuple[str, tuple]] = []
        base = snapshot.members if snapshot is not None else members
        self.configurations: list[tuple[int, Members]] = [(start, base)]
        for record in self.log.between(start + 1, self.log.last_index):
            self.adopt_members(record)
        # A restart forgets when the leader was heard, but the leader may hold
        # a lease on this replica's word, given at the latest when the process
        # started: it counts as heard then.
        started_ms = now_ms if started_ms is None else started_ms
        self.leader_contact_ms = started_ms if self.term else NEVER_MS
        self.has_seen_leader = False
        self.election_at_ms = 0.0
        self.reset_election_timeout()
        if self.term or started_ms < now_ms:
            self.schedule_early_election()
        self.refresh_role()

    # -- what others read ------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader role."""
        return self.role.state == "leader"

    @property
    def members(self) -> Members:
        """The newest configuration in the log, committed or not."""
        return self.configurations[-1][1]

    @property
    def is_member(self) -> bool:
        """Whether this disk votes or learns in the newest configuration."""
        return self.members.holds(self.node_id, self.identity)

    @property
    def is_voter(self) -> bool:
        """Whether this disk votes in the newest configuration."""
        return self.members.voters.get(self.node_id) == self.identity

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.log.last_index

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.log.last_term

    # -- shared by the parts ---------------------------------------------

    def reset_election_timeout(self) -> None:
        """Start a new random election timeout."""
        if self.is_voter and len(self.members.voters) == 1:
            # Nobody else can lead, so there is nobody to wait for.
            self.election_at_ms = self.now_ms
            return
        spread = 1 + self.rng.random()
        self.election_at_ms = self.now_ms + self.timing.election_ms * spread

    def schedule_early_election(
        self, delay_fraction: float = FIRST_PRE_VOTE_DELAY_FRACTION
    ) -> None:
        """Ask for votes soon after a start, long before a whole timeout.

        After a loss of all instances nobody leads, and a whole timeout would pass
        on top of the start. The others started at about the same time and give no
        vote before a lease on their word has ended, so asking sooner is in vain.
        Where somebody leads, a request for a pre-vote is refused and changes
        nothing.
        """
        first_ms = self.now_ms + self.timing.election_ms * delay_fraction
        free_ms = self.leader_contact_ms + self.timing.election_ms
        spread_ms = (
            self.timing.election_ms * FIRST_ELECTION_JITTER_FRACTION * self.rng.random()
        )
        self.election_at_ms = min(
            self.election_at_ms, max(first_ms, free_ms) + spread_ms
        )

    def suspend(self) -> None:
        """Take no part any more: no vote, no lead, no acknowledgement.

        What is in memory may be newer than the disk, so a replica that is read
        from the disk again takes its place.
        """
        self.leader = ""
        self.role.fire("suspend")

    def refresh_role(self) -> None:
        """Be a learner exactly while this disk has no vote."""
        if self.is_voter and self.role.state == "learner":
            self.role.fire("promote")
        elif not self.is_voter and self.role.state == "follower":
            self.role.fire("learn")

    def step_down(self) -> None:
        """Leave the leader's or candidate's role."""
        if self.role.state in ("leader", "candidate"):
            self.role.fire("step_down")
        self.leader = ""
        self.pre_voting = False
        self.transferring_leadership = False
        self.reset_election_timeout()
        self.refresh_role()

    def store(self, record: Record) -> None:
        """Put a record at its index, cutting what stood there and after.

        Raises
        ------
        StorageError
            A committed record would be cut: the sender's cluster is another.
        """
        if record.index <= self.commit_index:
            raise StorageError(
                ResultCode.IDENTITY_MISMATCH,
                f"expected nothing below the committed index {self.commit_index} to"
                f" change, got record {record.index} of term {record.term}: two"
                " clusters were founded; empty the newer one's folders and join",
            )
        self.log.put(record)
        self.synced_index = min(self.synced_index, record.index - 1)
        while len(self.configurations) > 1 and (
            self.configurations[-1][0] >= record.index
        ):
            del self.configurations[-1]
        self.unsaved_records.append(record)
        self.adopt_members(record)
        self.refresh_role()

    def adopt_members(self, record: Record) -> None:
        """Use a configuration as soon as it stands in the log."""
        if record.kind == RecordKind.MEMBERS:
            members = msgspec.msgpack.decode(record.data, type=Members)
            self.configurations.append((record.index, members))

    def peer_ids(self) -> list[str]:
        """Return every node id that a leader sends to."""
        return [node for node in self.members.node_ids() if node != self.node_id]

    def other_voters(self) -> list[str]:
        """Return every other voter."""
        return [node for node in self.members.voters if node != self.node_id]

    def send(self, node_id: str, message: tuple) -> None:
        """Queue a message until the state it speaks of is synced."""
        self.outbox.append((node_id, message))


def can_send_before_sync(message: tuple) -> bool:
    """Tell whether a message acknowledges nothing, so needs no sync before."""
    return isinstance(message, AppendRequest | SnapshotPart)
