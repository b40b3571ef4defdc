"""One replica of the log: a pure state machine.

Messages, ticks and proposals go in; `Ready` comes out. It has no clock, no
sockets and no disk of its own, so that a test can drive it through any order
of events. Roles follow ``charts/replica.json``.

A driver's turn is: `ready`, send what may leave early, sync, `synced`, send the
rest, then apply what `take_committed` returns.
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

# Records that are not committed yet. While the disks of a majority stall, what
# callers send would pile up in memory and be answered too late: beyond some
# seconds of the peak's 3,700 claims a second it is refused at once.
MAX_UNCOMMITTED_RECORDS = 8192


class Replica(Membership):
    """One member of the quorum; see `ReplicaBase` for the parameters."""

    # -- inputs ----------------------------------------------------------

    def tick(self, now_ms: float) -> None:
        """Advance the clock: beat, campaign or step down when it is time."""
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
            Its index, or None when this replica does not lead, hands over, or
            has too much that is not committed yet.
        """
        if not self.is_leader or self.transferring_leadership:
            return None
        if self.last_index - self.commit_index >= MAX_UNCOMMITTED_RECORDS:
            return None
        return self.append(RecordKind.COMMAND, data)

    def flush_if_pending(self) -> None:
        """Send proposed records now rather than with the next heartbeat."""
        if self.is_leader and self.unsaved_records:
            self.broadcast()

    def step(self, now_ms: float, message: tuple) -> None:
        """Take in one message of another member."""
        self.now_ms = now_ms
        if message.term > self.term and not self.has_tentative_term(message):
            self.adopt_term(message.term)
        self.receive(message)

    def has_tentative_term(self, message: tuple) -> bool:
        """Tell whether the message's term is only asked about, not in force."""
        if isinstance(message, VoteRequest):
            return message.pre_vote or (
                self.has_recent_leader() and not message.transfer
            )
        return isinstance(message, VoteReply) and message.pre_vote

    # -- effects ---------------------------------------------------------

    def ready(self) -> Ready:
        """Return the effects since the last call, and forget them."""
        hard_state = HardState(self.term, self.voted_for)
        changed = hard_state if hard_state != self.saved_hard_state else None
        self.saved_hard_state = hard_state
        records, self.unsaved_records = tuple(self.unsaved_records), []
        installed, self.installed_snapshot = self.installed_snapshot, None
        outbox, self.outbox = self.outbox, []
        # Under a term that is not synced, a leader that restarts could use the
        # same term again for other records: then nothing leaves early.
        hold = changed is not None
        early = tuple(x for x in outbox if not hold and can_send_before_sync(x[1]))
        late = tuple(x for x in outbox if hold or not can_send_before_sync(x[1]))
        return Ready(early, changed, records, installed, late)

    def synced(self, ready: Ready) -> None:
        """Note that the disk holds what `ready` told to save."""
        for record in ready.records[-1:]:
            if self.log.holds(record.index, record.term):
                self.synced_index = max(self.synced_index, record.index)
        self.advance_commit()

    def take_committed(self) -> list[Record]:
        """Return the records to apply now: committed, and synced here."""
        last = min(self.commit_index, self.synced_index)
        committed = self.log.between(self.applied_index + 1, last)
        self.applied_index = max(self.applied_index, last)
        return committed

    # -- messages --------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Take in a message, by its kind."""
        raise TypeError(f"no replica message: {message!r}")

    @receive.register
    def receive_vote_request(self, message: VoteRequest) -> None:
        """Handle the message `VoteRequest`."""
        self.handle_vote_request(message)

    @receive.register
    def receive_vote_reply(self, message: VoteReply) -> None:
        """Handle the message `VoteReply`."""
        self.handle_vote_reply(message)

    @receive.register
    def receive_append(self, message: AppendRequest) -> None:
        """Handle the message `AppendRequest`."""
        self.handle_append_request(message)

    @receive.register
    def receive_append_reply(self, message: AppendReply) -> None:
        """Handle the message `AppendReply`."""
        self.handle_append_reply(message)

    @receive.register
    def receive_part(self, message: SnapshotPart) -> None:
        """Handle the message `SnapshotPart`."""
        self.handle_snapshot_part(message)

    @receive.register
    def receive_part_reply(self, message: SnapshotReply) -> None:
        """Handle the message `SnapshotReply`."""
        self.handle_snapshot_reply(message)

    @receive.register
    def receive_timeout_now(self, message: TimeoutNow) -> None:
        """Handle the message `TimeoutNow`."""
        self.handle_timeout_now(message)

    @receive.register
    def receive_join(self, message: JoinRequest) -> None:
        """Handle the message `JoinRequest`."""
        self.handle_join_request(message)
