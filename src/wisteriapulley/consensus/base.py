"""Base class of a Raft replica: its state, its log and its outbox."""

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
# Minimum delay of the first pre-vote after a start, as a fraction of the election
# timeout. Gives the links to the other replicas time to open.
FIRST_PRE_VOTE_DELAY_FRACTION = 0.15
# The same for real votes, which take longer: each voter syncs its disk first.
FIRST_VOTE_DELAY_FRACTION = 0.5
# Random extra delay, as a fraction of the election timeout, so that replicas that
# start together do not split the vote.
FIRST_ELECTION_JITTER_FRACTION = 0.3


class Progress:
    """Replication state that a leader keeps for one follower.

    Parameters
    ----------
    next_index : int
        Index of the next record to send.

    Attributes
    ----------
    identity : str
        Identity of the disk that `match_index` applies to.
    match_index : int
        Last index up to which that disk's synced log matches the leader's.
    inflight : list of int
        Last index of each append that is not yet acknowledged.
    acked_round : int
        Newest round that the follower acknowledged.
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
        """Record that the follower's log matches up to `index`."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.inflight = [last for last in self.inflight if last > index]

    def retry_from(self, index: int) -> None:
        """Resend from `index`, skipping the records that already match."""
        self.next_index = max(index, self.match_index + 1)
        self.inflight = []


class ReplicaBase:
    """State of one member of the quorum; see `Replica` for its behaviour.

    Parameters
    ----------
    node_id : str
        Node id of this member.
    identity : str
        Identity of its disk.
    members : Members
        Configuration before the first record. Ignored if there is a snapshot, which
        has its own.
    hard_state : HardState
        Last synced hard state.
    log : Log
        The synced log.
    snapshot : SnapshotInfo
        The synced snapshot, if there is one.
    timing : Timing
        Timeouts.
    rng : random.Random
        Randomizes election timeouts; seeded in tests.
    now_ms : float
        Current reading of the monotonic clock, in milliseconds.
    started_ms : float, optional
        Reading of the same clock when the process started; `now_ms` by default.
    committed : int, default=0
        Index up to which the log was known to be committed before the start.

    Attributes
    ----------
    desired_voters : int
        Number of disks that should vote. Further disks are learners and replace a
        voter that becomes unresponsive. With 0, every disk votes.
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
        # The time of the last message from the leader is lost in a restart, but the
        # leader may still hold a lease that this replica acknowledged before. The
        # latest possible time of that acknowledgement is the start of the process.
        started_ms = now_ms if started_ms is None else started_ms
        self.leader_contact_ms = started_ms if self.term else NEVER_MS
        self.has_seen_leader = False
        self.election_at_ms = 0.0
        self.reset_election_timeout()
        if self.term or started_ms < now_ms:
            self.schedule_early_election()
        self.refresh_role()

    # -- public state ----------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self.role.state == "leader"

    @property
    def members(self) -> Members:
        """The newest configuration in the log, committed or not."""
        return self.configurations[-1][1]

    @property
    def is_member(self) -> bool:
        """Whether this disk is a voter or learner in the newest configuration."""
        return self.members.holds(self.node_id, self.identity)

    @property
    def is_voter(self) -> bool:
        """Whether this disk is a voter in the newest configuration."""
        return self.members.voters.get(self.node_id) == self.identity

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.log.last_index

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.log.last_term

    # -- shared by the subclasses ----------------------------------------

    def reset_election_timeout(self) -> None:
        """Start a new randomized election timeout."""
        if self.is_voter and len(self.members.voters) == 1:
            # The only voter need not wait for another leader.
            self.election_at_ms = self.now_ms
            return
        factor = 1 + self.rng.random()
        self.election_at_ms = self.now_ms + self.timing.election_ms * factor

    def schedule_early_election(
        self, delay_fraction: float = FIRST_PRE_VOTE_DELAY_FRACTION
    ) -> None:
        """Schedule an election soon after a start, before a full election timeout.

        After an outage of all instances there is no leader, and a full timeout would
        add to the restart time. The other instances started at about the same time
        and refuse votes until any lease that they acknowledged has expired, so the
        election is not scheduled before that. If there is a leader, the pre-vote is
        refused and has no effect.

        Parameters
        ----------
        delay_fraction : float
            Minimum delay from now, as a fraction of the election timeout.
        """
        earliest_ms = self.now_ms + self.timing.election_ms * delay_fraction
        lease_end_ms = self.leader_contact_ms + self.timing.election_ms
        jitter_ms = (
            self.timing.election_ms * FIRST_ELECTION_JITTER_FRACTION * self.rng.random()
        )
        self.election_at_ms = min(
            self.election_at_ms, max(earliest_ms, lease_end_ms) + jitter_ms
        )

    def suspend(self) -> None:
        """Stop taking part: no votes, no leadership, no acknowledgements.

        The state in memory may be newer than the state on the disk, so this replica
        can't resume: a new one that is read from the disk replaces it.
        """
        self.leader = ""
        self.role.fire("suspend")

    def refresh_role(self) -> None:
        """Switch between learner and follower as this disk gains or loses its vote."""
        if self.is_voter and self.role.state == "learner":
            self.role.fire("promote")
        elif not self.is_voter and self.role.state == "follower":
            self.role.fire("learn")

    def step_down(self) -> None:
        """Become a follower if this replica is leader or candidate."""
        if self.role.state in ("leader", "candidate"):
            self.role.fire("step_down")
        self.leader = ""
        self.pre_voting = False
        self.transferring_leadership = False
        self.reset_election_timeout()
        self.refresh_role()

    def store(self, record: Record) -> None:
        """Store a record at its index and truncate the log from that index on.

        Raises
        ------
        StorageError
            IDENTITY_MISMATCH: a committed record would be overwritten, so the sender
            belongs to another cluster.
        """
        if record.index <= self.commit_index:
            raise StorageError(
                ResultCode.IDENTITY_MISMATCH,
                f"expected no change up to the committed index {self.commit_index},"
                f" got record {record.index} of term {record.term}: two clusters were"
                " founded; empty the data folders of the newer one and join",
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
        """Apply a configuration as soon as it is in the log, committed or not."""
        if record.kind == RecordKind.MEMBERS:
            members = msgspec.msgpack.decode(record.data, type=Members)
            self.configurations.append((record.index, members))

    def peer_ids(self) -> list[str]:
        """Return the node ids of all other voters and learners."""
        return [node for node in self.members.node_ids() if node != self.node_id]

    def other_voters(self) -> list[str]:
        """Return the node ids of all other voters."""
        return [node for node in self.members.voters if node != self.node_id]

    def send(self, node_id: str, message: tuple) -> None:
        """Queue a message; `Replica.ready` decides whether it waits for a sync."""
        self.outbox.append((node_id, message))


def can_send_before_sync(message: tuple) -> bool:
    """Return whether a message acknowledges nothing and so need not wait for a sync."""
    return isinstance(message, AppendRequest | SnapshotPart)
