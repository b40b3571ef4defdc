"""One Raft replica of the log: a pure state machine.

Its inputs are messages, clock ticks and proposals; its output is `Ready`. It has no
clock, sockets or disk of its own, so that a test can drive it through any order of
events. Its roles follow ``charts/replica.json``.

In each turn, a driver calls `ready`, sends the early messages, syncs the disk, calls
`synced`, sends the late messages and applies the records that `take_committed`
returns.
"""

from functools import singledispatchmethod

from wisteriapulley.consensus.base import can_send_before_sync
from wisteriapulley.consensus.membership import Membership
from wisteriapulley.consensus.types import HardState, Ready, Record, RecordKind
from wisteriapulley.wire.messages import (
    AppendReply,
    AppendRequest,
    JoinRequest,
    SnapshotPart,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

# Limit of uncommitted records: about two seconds of the peak load of 3,700 claims/s.
# While the disks of a majority stall, proposals would otherwise queue up in memory and
# be answered too late; beyond the limit they are refused at once.
MAX_UNCOMMITTED_RECORDS = 8192


class Replica(Membership):
    """One member of the quorum; see `ReplicaBase` for the parameters."""

    # -- inputs ----------------------------------------------------------

    def tick(self, now_ms: float) -> None:
        """Advance the clock; send a heartbeat, campaign or step down if due."""
        self.now_ms = now_ms
        if self.is_leader:
            self.check_quorum()
        if self.is_leader:
            self.manage_members()
            if now_ms >= self.next_heartbeat_ms:
                self.broadcast()
        elif now_ms >= self.election_at_ms:
            self.campaign(pre_vote=True)

    def propose(self, data: bytes) -> int | None:
        """Append a command.

        Returns
        -------
        int or None
            Its index, or None if this replica is not the leader, is transferring
            leadership, or has too many uncommitted records.
        """
        if not self.is_leader or self.transferring_leadership:
            return None
        if self.last_index - self.commit_index >= MAX_UNCOMMITTED_RECORDS:
            return None
        return self.append(RecordKind.COMMAND, data)

    def flush_if_pending(self) -> None:
        """Send proposed records now instead of with the next heartbeat."""
        if self.is_leader and self.unsaved_records:
            self.broadcast()

    def step(self, now_ms: float, message: tuple) -> None:
        """Handle one message of another member."""
        self.now_ms = now_ms
        if message.term > self.term and not self.has_tentative_term(message):
            self.adopt_term(message.term)
        self.receive(message)

    def has_tentative_term(self, message: tuple) -> bool:
        """Return whether the message's term must not be adopted.

        The term of a pre-vote is not in use yet. A vote request that comes while a
        leader is in contact is refused, and adopting its term would depose that leader.
        """
        if isinstance(message, VoteRequest):
            return message.pre_vote or (
                self.has_recent_leader() and not message.transfer
            )
        return isinstance(message, VoteReply) and message.pre_vote

    # -- effects ---------------------------------------------------------

    def ready(self) -> Ready:
        """Return the effects since the last call and clear them."""
        hard_state = HardState(self.term, self.voted_for)
        changed = hard_state if hard_state != self.saved_hard_state else None
        self.saved_hard_state = hard_state
        records, self.unsaved_records = tuple(self.unsaved_records), []
        installed, self.installed_snapshot = self.installed_snapshot, None
        outbox, self.outbox = self.outbox, []
        # With an unsynced term, a leader that restarts could use the same term again
        # for other records, so nothing may be sent before the sync.
        hold = changed is not None
        early = tuple(x for x in outbox if not hold and can_send_before_sync(x[1]))
        late = tuple(x for x in outbox if hold or not can_send_before_sync(x[1]))
        return Ready(early, changed, records, installed, late)

    def synced(self, ready: Ready) -> None:
        """Record that the effects of `ready` are synced to the disk."""
        for record in ready.records[-1:]:
            if self.log.holds(record.index, record.term):
                self.synced_index = max(self.synced_index, record.index)
        self.advance_commit()

    def take_committed(self) -> list[Record]:
        """Return the records to apply: committed, and synced on this disk."""
        last = min(self.commit_index, self.synced_index)
        committed = self.log.between(self.applied_index + 1, last)
        self.applied_index = max(self.applied_index, last)
        return committed

    # -- messages --------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Handle a message according to its type."""
        raise TypeError(f"expected a replica message, got {message!r}")

    @receive.register
    def receive_vote_request(self, message: VoteRequest) -> None:
        """Grant or refuse a vote."""
        self.handle_vote_request(message)

    @receive.register
    def receive_vote_reply(self, message: VoteReply) -> None:
        """Count a vote."""
        self.handle_vote_reply(message)

    @receive.register
    def receive_append(self, message: AppendRequest) -> None:
        """Store records from the leader."""
        self.handle_append_request(message)

    @receive.register
    def receive_append_reply(self, message: AppendReply) -> None:
        """Record the progress of a follower."""
        self.handle_append_reply(message)

    @receive.register
    def receive_part(self, message: SnapshotPart) -> None:
        """Store a part of a snapshot from the leader."""
        self.handle_snapshot_part(message)

    @receive.register
    def receive_part_reply(self, message: SnapshotReply) -> None:
        """Continue or finish a snapshot transfer."""
        self.handle_snapshot_reply(message)

    @receive.register
    def receive_timeout_now(self, message: TimeoutNow) -> None:
        """Campaign at once on the request of the leader."""
        self.handle_timeout_now(message)

    @receive.register
    def receive_join(self, message: JoinRequest) -> None:
        """Record the request of a disk to join."""
        self.handle_join_request(message)
