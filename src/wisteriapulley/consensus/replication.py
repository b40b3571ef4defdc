"""Raft log replication: appends in flight, the commit index, and snapshots."""

import msgspec

from wisteriapulley.consensus.base import NEVER_MS, Progress
from wisteriapulley.consensus.election import Election
from wisteriapulley.consensus.types import (
    Members,
    Record,
    RecordKind,
    Snapshot,
    SnapshotInfo,
)
from wisteriapulley.wire.messages import (
    AppendReply,
    AppendRequest,
    LogRecord,
    SnapshotPart,
    SnapshotReply,
)

# Limits of one append, which a follower syncs at once; far below the frame limit.
MAX_RECORDS_PER_APPEND = 512
MAX_APPEND_BYTES = 1 << 20
# Unacknowledged appends per follower: enough to fill a link with a few milliseconds
# of latency, and at most 16 MB of memory for a stalled follower.
MAX_INFLIGHT_APPENDS = 16
# Rounds whose send time is kept: more than are sent during one lease.
MAX_TRACKED_ROUNDS = 4096
# Records kept in the log although a snapshot covers them, so that a follower that
# lags a little gets records instead of the complete state.
RECORDS_KEPT_BEHIND_SNAPSHOT = 256


class Replication(Election):
    """How a leader sends records and snapshots, and how followers receive them."""

    def append(self, kind: RecordKind, data: bytes) -> int:
        """Append a record of the current term to this leader's log."""
        record = Record(self.term, self.last_index + 1, int(kind), data)
        self.store(record)
        return record.index

    def broadcast(self) -> None:
        """Start a new round: send every follower a heartbeat or its missing records."""
        self.round += 1
        self.round_sent_ms[self.round] = self.now_ms
        self.round_sent_ms.pop(self.round - MAX_TRACKED_ROUNDS, None)
        self.next_heartbeat_ms = self.now_ms + self.timing.heartbeat_ms
        for node_id in self.peer_ids():
            self.send_append(node_id, heartbeat=True)

    def progress_of(self, node_id: str) -> Progress:
        """Return the progress of a follower; a new one starts at the end of the log."""
        if node_id not in self.progress:
            self.progress[node_id] = Progress(self.last_index + 1)
        return self.progress[node_id]

    def send_append(self, node_id: str, heartbeat: bool = False) -> bool:
        """Send one follower the records from its `next_index` on.

        Returns
        -------
        bool
            Whether the message held records.
        """
        progress = self.progress_of(node_id)
        first = progress.next_index
        if first <= self.log.base_index:
            self.send_snapshot(node_id, progress)
            return False
        records: tuple[Record, ...] = ()
        if len(progress.inflight) < MAX_INFLIGHT_APPENDS:
            records = self.log.batch(first, MAX_RECORDS_PER_APPEND, MAX_APPEND_BYTES)
        if not records and not heartbeat:
            return False
        self.send(node_id, self.append_request(first, records))
        if records:
            progress.next_index = first + len(records)
            progress.inflight.append(progress.next_index - 1)
        return bool(records)

    def append_request(self, first: int, records: tuple[Record, ...]) -> AppendRequest:
        """Build the append message for `records`, which start at index `first`."""
        return AppendRequest(
            self.term,
            self.node_id,
            first - 1,
            self.log.term_at(first - 1),
            self.commit_index,
            tuple(LogRecord(r.term, r.index, r.kind, r.data) for r in records),
            self.round,
        )

    def advance_commit(self) -> None:
        """Advance the commit index to what a majority has synced.

        Only a record of the current term is committed by counting its copies; earlier
        records are committed with it.
        """
        if not self.is_leader:
            return
        matches = sorted(map(self.match_index_of, self.members.voters), reverse=True)
        index = matches[self.members.quorum_size() - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def match_index_of(self, node_id: str) -> int:
        """Return the last synced matching index of a voter; may be this replica."""
        if node_id == self.node_id:
            return self.synced_index if self.is_voter else 0
        progress = self.progress.get(node_id)
        if progress is None or progress.identity != self.members.voters[node_id]:
            return 0
        return progress.match_index

    # -- follower --------------------------------------------------------

    def follow_leader(self, leader: str) -> None:
        """Record a message from the leader of the current term."""
        if self.role.state == "candidate":
            self.step_down()
        self.leader = leader
        self.has_seen_leader = True
        self.leader_contact_ms = self.now_ms
        self.reset_election_timeout()

    def handle_append_request(self, message: AppendRequest) -> None:
        """Store the records of an append, or reply from where to resend."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        if self.is_leader:
            # A term has one leader per cluster, so the sender is in another cluster.
            return
        self.follow_leader(message.leader)
        previous = message.previous_index
        if previous > self.last_index:
            self.reply_append(message, False, self.last_index)
            return
        if previous >= self.log.base_index and not self.log.holds(
            previous, message.previous_term
        ):
            # Committed records always match, so the leader can resend from there
            # instead of probing backwards.
            self.reply_append(message, False, self.commit_index)
            return
        for item in message.records:
            if item.index > self.log.base_index and not self.log.holds(
                item.index, item.term
            ):
                self.store(Record(item.term, item.index, item.kind, item.data))
        match = previous + len(message.records)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        self.reply_append(message, True, match)

    def reply_append(self, message: AppendRequest, success: bool, index: int) -> None:
        """Reply to an append with the matching index or a hint where to resend."""
        self.send(
            message.leader,
            AppendReply(
                self.term,
                self.node_id,
                success,
                index if success else 0,
                0 if success else index,
                message.round,
                self.identity,
            ),
        )

    def handle_snapshot_part(self, message: SnapshotPart) -> None:
        """Collect a part of a snapshot and install the snapshot once it is complete."""
        received_bytes = 0
        if message.term >= self.term and not self.is_leader:
            self.follow_leader(message.leader)
            received_bytes = self.collect_snapshot_part(message)
        self.send(
            message.leader,
            SnapshotReply(
                self.term,
                self.node_id,
                message.last_index,
                received_bytes,
                message.round,
                self.identity,
            ),
        )

    def collect_snapshot_part(self, message: SnapshotPart) -> int:
        """Append the next part to the buffer; return the number of bytes received."""
        if message.last_index <= self.commit_index:
            return message.total
        key = (message.last_index, message.last_term, message.total)
        if key != self.incoming_snapshot:
            self.incoming_snapshot, self.snapshot_buffer = key, bytearray()
        if message.offset == len(self.snapshot_buffer):
            self.snapshot_buffer += message.data
        received_bytes = len(self.snapshot_buffer)
        if received_bytes >= message.total:
            self.install_snapshot(message, bytes(self.snapshot_buffer))
            self.incoming_snapshot, self.snapshot_buffer = (0, 0, 0), bytearray()
        return received_bytes

    def install_snapshot(self, message: SnapshotPart, data: bytes) -> None:
        """Replace the log up to a complete snapshot by the snapshot."""
        members = msgspec.msgpack.decode(message.members, type=Members)
        self.installed_snapshot = Snapshot(
            message.last_index, message.last_term, members, data
        )
        self.snapshot = SnapshotInfo.from_snapshot(self.installed_snapshot)
        self.log.reset(message.last_index, message.last_term)
        self.unsaved_records = [
            r for r in self.unsaved_records if r.index > message.last_index
        ]
        if not self.log.records:
            self.unsaved_records = []
        self.configurations = [(message.last_index, members)]
        for record in self.log.records:
            self.adopt_members(record)
        self.commit_index = self.applied_index = message.last_index
        self.synced_index = max(
            message.last_index, min(self.synced_index, self.last_index)
        )
        self.refresh_role()

    # -- leader ----------------------------------------------------------

    def record_reply(self, node_id: str, identity: str, round: int) -> Progress | None:
        """Record the round of a reply; return None if the disk is not a member."""
        if not self.members.holds(node_id, identity):
            return None
        progress = self.progress_of(node_id)
        if progress.identity != identity:
            # The node id has a new disk, so the progress of the old one is void.
            progress = self.progress[node_id] = Progress(self.last_index + 1)
            progress.identity = identity
        progress.acked_round = max(progress.acked_round, round)
        self.update_quorum_contact()
        return progress

    def handle_append_reply(self, message: AppendReply) -> None:
        """Record the progress of a follower and send it the missing records."""
        if not self.is_leader or message.term != self.term:
            return
        progress = self.record_reply(message.follower, message.identity, message.round)
        if progress is None:
            return
        if message.success:
            progress.record_match(message.match_index)
        else:
            progress.retry_from(message.hint + 1)
        while self.send_append(message.follower):
            pass
        self.advance_commit()

    def send_snapshot(self, node_id: str, progress: Progress) -> None:
        """Send the next part of the newest snapshot, one part at a time.

        An unacknowledged part is sent again with the next heartbeat. The message has
        no data: the driver reads the bytes from the disk, so that the snapshot is
        not kept in memory.
        """
        info = self.snapshot
        if progress.snapshot_index != info.last_index:
            progress.snapshot_index = info.last_index
            progress.snapshot_total = info.total
            progress.snapshot_offset = 0
            progress.part_sent_ms = NEVER_MS
        if self.now_ms - progress.part_sent_ms < self.timing.heartbeat_ms:
            return
        progress.part_sent_ms = self.now_ms
        self.send(
            node_id,
            SnapshotPart(
                self.term,
                self.node_id,
                info.last_index,
                info.last_term,
                progress.snapshot_offset,
                info.total,
                b"",
                msgspec.msgpack.encode(info.members),
                self.round,
            ),
        )

    def handle_snapshot_reply(self, message: SnapshotReply) -> None:
        """Send the next part, or the records that follow a completed snapshot."""
        if not self.is_leader or message.term != self.term:
            return
        progress = self.record_reply(message.follower, message.identity, message.round)
        if progress is None or message.last_index != progress.snapshot_index:
            return
        if message.offset >= progress.snapshot_total:
            progress.record_match(message.last_index)
            self.advance_commit()
        else:
            progress.snapshot_offset = message.offset
        progress.part_sent_ms = NEVER_MS
        self.send_append(message.follower)

    def compact(self, data: bytes) -> Snapshot:
        """Replace the applied records by a snapshot of the state.

        Parameters
        ----------
        data : bytes
            The encoded state as of `applied_index`.

        Returns
        -------
        Snapshot
            Must be synced before the log file is truncated.
        """
        index = self.applied_index
        members = [m for at, m in self.configurations if at <= index][-1]
        later = [(at, m) for at, m in self.configurations if at > index]
        snapshot = Snapshot(index, self.log.term_at(index), members, data)
        self.snapshot = SnapshotInfo.from_snapshot(snapshot)
        self.configurations = [(index, members), *later]
        self.log.compact(max(self.log.base_index, index - RECORDS_KEPT_BEHIND_SNAPSHOT))
        return snapshot
