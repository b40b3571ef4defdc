"""Connects the pure replica to its disk, its peers and the replicated state."""

import asyncio
import logging
import random
import time

from wisteriapulley.clocks import STARTED_MS, steady_ms, steady_s
from wisteriapulley.consensus import (
    HardState,
    Ready,
    Record,
    RecordKind,
    Replica,
    Storage,
    Timing,
)
from wisteriapulley.consensus.log import Log
from wisteriapulley.consensus.storage import DiskIdentity, read_identity
from wisteriapulley.control.append_times import AppendTimes
from wisteriapulley.control.commands import Command, Result, encode
from wisteriapulley.control.seeds import file_operations
from wisteriapulley.control.state import ControlState, stamp
from wisteriapulley.errors import (
    DiskFullError,
    ResultCode,
    StorageError,
    WireError,
)
from wisteriapulley.errors import (
    WisteriapulleyError as Error,
)
from wisteriapulley.logs import fields
from wisteriapulley.settings import ControlSettings
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

# Shortest delay between two ticks of the replica.
MIN_TICK_S = 0.02
# A leader whose disk takes longer for one sync steps down: it can't acknowledge
# anything, and the others elect a leader within two seconds.
MAX_SYNC_MS = 600.0
# Upper bound of a tick, since a deadline may move nearer while the driver sleeps.
MAX_TICK_S = 0.1
PROPOSE_TIMEOUT_S = 3.0
# Interval of the small writes that tell whether a full disk has room again. Meanwhile
# the quorum works without this instance.
DISK_RETRY_MS = 250.0
RETRY_AFTER_MS = 1000
# Interval at which an instance that is not a member yet requests to join.
JOIN_RETRY_S = 0.2
# Interval at which the commit index is saved: one write for all commits of a tenth of
# a second, which is far below the time of an election after a start.
COMMIT_SAVE_INTERVAL_MS = 100.0
# Size of one snapshot message: it takes a follower's disk a few milliseconds, so that
# a transfer never delays heartbeats for long.
SNAPSHOT_PART_BYTES = 1 << 18
# A leadership transfer takes a round trip or two; after this time the others elect a
# leader by themselves.
TRANSFER_TIMEOUT_S = 1.0
STOPPED = "this instance has stopped"

REPLICA_MESSAGES = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotPart,
    messages.SnapshotReply,
    messages.TimeoutNow,
    messages.JoinRequest,
)


def unix_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


class Driver:
    """Runs one replica.

    Parameters
    ----------
    settings : ControlSettings
        Timing and data folder.
    state : ControlState
        State machine that committed commands are applied to.
    peers : dict
        Connection to each peer by node id.
    on_applied : callable
        Called with the result of each applied command.
    on_fatal : callable
        Called when the disk fails: nothing may be acknowledged after that.

    Attributes
    ----------
    suspended : bool
        Whether the disk is full. The instance keeps serving its current state,
        without a vote, and rejoins the quorum by itself when there is space.
    stopped : bool
        Whether nothing is committed or applied here any more.
    """

    def __init__(
        self,
        settings: ControlSettings,
        state: ControlState,
        peers: dict[str, ReconnectingLink],
        on_applied,
        on_fatal,
    ):
        self.settings = settings
        self.state = state
        self.peers = peers
        self.on_applied = on_applied
        self.on_fatal = on_fatal
        identity = read_identity(settings.data_folder)
        if identity.node_id != settings.node_id:
            raise StorageError(
                ResultCode.IDENTITY_MISMATCH,
                f"{settings.data_folder}: belongs to {identity.node_id!r}, settings"
                f" say {settings.node_id!r}",
            )
        self.storage = Storage.open(settings.data_folder, file_operations(identity))
        if self.storage.snapshot is not None:
            state.restore(self.storage.read_snapshot())
        self.replica = self.new_replica(identity, STARTED_MS)
        self.next_join_ms = 0.0
        self.next_commit_save_ms = 0.0
        self.pending: dict[int, tuple[int, asyncio.Future]] = {}
        self.append_times = AppendTimes()
        self.applied = asyncio.Condition()
        self.wakeup = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.failed = False
        self.stopped = False
        self.suspended = False
        self.next_disk_retry_ms = 0.0
        if self.storage.failure is not None:
            self.suspend(self.storage.failure)
        self.syncing_since_ms: float | None = None
        # Newest link that a peer opened to this instance, by node id. It may be open
        # before this instance's own connection to the peer is.
        self.accepted_links: dict[str, Link] = {}

    def new_replica(self, identity: DiskIdentity, since_ms: float) -> Replica:
        """Return a replica with the state that is on the disk.

        Until `since_ms` an earlier replica may have granted a lease to a leader.
        """
        replica = Replica(
            self.settings.node_id,
            identity.identity,
            identity.members,
            self.storage.hard_state,
            self.storage.log,
            self.storage.snapshot,
            Timing(
                self.settings.election_ms,
                self.settings.lease_ms,
                self.settings.raft_heartbeat_ms,
            ),
            random.Random(f"{self.settings.node_id}{identity.identity}"),
            steady_ms(),
            since_ms,
            self.storage.committed,
        )
        replica.desired_voters = self.settings.voters
        return replica

    def start(self) -> None:
        """Start ticking, and apply at once what is known to be committed."""
        self.wakeup.set()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run()), loop.create_task(self.tick())]

    async def tick(self) -> None:
        """Wake the replica at its next deadline."""
        while True:
            await asyncio.sleep(self.tick_delay_s())
            self.step_down_if_stalled()
            self.wakeup.set()

    def step_down_if_stalled(self) -> None:
        """Step down as leader while a disk operation does not complete."""
        since_ms = self.syncing_since_ms
        if since_ms is None or not self.replica.is_leader:
            return
        if steady_ms() - since_ms > MAX_SYNC_MS:
            log.warning("the disk stalls: stepping down as leader")
            self.replica.step_down()

    def tick_delay_s(self) -> float:
        """Return the delay until the replica's next deadline.

        A fixed interval of `MIN_TICK_S` would take most of an idle instance's processor
        time.
        """
        replica = self.replica
        deadline_ms = (
            replica.next_heartbeat_ms if replica.is_leader else (replica.election_at_ms)
        )
        if self.commit_index_unsaved and not self.suspended:
            # Otherwise an idle instance saves the commit index only at its next tick,
            # up to MAX_TICK_S late, and a stop before that loses it.
            deadline_ms = min(deadline_ms, self.next_commit_save_ms)
        delay_s = (deadline_ms - steady_ms()) / 1000
        return min(max(delay_s, MIN_TICK_S), MAX_TICK_S)

    @property
    def commit_index_unsaved(self) -> bool:
        """Whether more is applied than the commit index on the disk covers."""
        return self.replica.applied_index > self.storage.committed

    async def run(self) -> None:
        """Process effects one batch at a time: sync, send, apply.

        All proposals and messages that arrived since the last batch share one fsync
        (group commit).
        """
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            try:
                await self.run_batch()
            except DiskFullError as error:
                self.suspend(error)
            except StorageError as error:
                self.fail(error)
                return

    async def run_batch(self) -> None:
        """Process the effects of one batch, or wait for space on a full disk."""
        if self.suspended:
            self.apply_committed()
            await self.resume_if_writable()
            return
        self.replica.tick(steady_ms())
        self.request_join()
        await self.process_ready()

    def suspend(self, error: StorageError) -> None:
        """Leave the quorum while the disk is full.

        Ending the process would not help: its next start would find the same disk, and
        meanwhile targets and followers would get no response from this instance.
        """
        log.error("the disk is full, no vote until there is space: %s", error)
        self.suspended = True
        self.replica.suspend()
        self.fail_proposals("the disk is full")

    async def resume_if_writable(self) -> None:
        """Reload the state from the disk and rejoin once writes succeed.

        State that was only in memory was never acknowledged, and is discarded.
        """
        now_ms = steady_ms()
        if now_ms < self.next_disk_retry_ms:
            return
        self.next_disk_retry_ms = now_ms + DISK_RETRY_MS
        if not await self.run_on_disk(self.storage.has_free_space):
            return
        self.storage.close()
        folder = self.settings.data_folder
        identity = read_identity(folder)
        self.storage = Storage.open(folder, file_operations(identity))
        applied = self.replica.applied_index
        self.replica = self.new_replica(identity, now_ms)
        self.replica.commit_index = max(self.replica.commit_index, applied)
        self.replica.applied_index = max(self.replica.applied_index, applied)
        if self.storage.failure is not None:
            self.replica.suspend()
            return
        self.suspended = False
        log.warning("the disk has space again", extra=fields(applied=applied))
        self.wakeup.set()

    def fail(self, error: StorageError) -> None:
        """Stop for good, because of a fault of the disk or of the cluster."""
        log.error("this instance stops: %s", error)
        self.failed = True
        self.replica.step_down()
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.on_fatal(error)

    async def process_ready(self) -> None:
        """Send what needs no sync, sync, send the rest, and apply."""
        self.replica.flush_if_pending()
        ready = self.replica.ready()
        for node_id, message in ready.early_messages:
            self.send(node_id, message)
        if ready.early_messages and ready.records:
            # The transport writes at the end of this iteration of the event loop.
            # Yield, so that the followers sync at the same time as this instance.
            await asyncio.sleep(0)
        await self.persist(ready)
        for node_id, message in ready.late_messages:
            self.send(node_id, message)
        committed = self.apply_committed()
        await self.compact_if_due()
        await self.save_commit_index()
        if committed or ready.snapshot is not None:
            async with self.applied:
                self.applied.notify_all()

    def apply_committed(self) -> list[Record]:
        """Apply the records that are committed and synced; return them."""
        committed = self.replica.take_committed()
        for record in committed:
            self.apply(record)
        return committed

    async def persist(self, ready: Ready) -> None:
        """Sync the effects in a thread, since a disk may stall for seconds.

        Replica messages that arrive meanwhile only add to the next batch.
        """
        if ready.hard_state is not None or ready.records:
            await self.run_on_disk(
                self.storage.save,
                ready.hard_state,
                ready.records,
                self.settings.group_commit,
            )
        if ready.snapshot is not None:
            await self.run_on_disk(
                self.storage.save_snapshot,
                ready.snapshot,
                self.hard_state(),
                self.copy_log(),
            )
            self.state.restore(ready.snapshot.data)
            self.append_times.forget(ready.snapshot.last_index)
            self.fail_pending(ready.snapshot.last_index)
        self.replica.synced(ready)

    async def run_on_disk(self, operation, *arguments: object) -> object:
        """Run one disk operation in a thread and record when it started."""
        self.syncing_since_ms = steady_ms()
        try:
            return await asyncio.to_thread(operation, *arguments)
        finally:
            self.syncing_since_ms = None

    def copy_log(self) -> Log:
        """Return a copy of the log for the disk thread; the replica changes its own."""
        log_now = self.replica.log
        return Log(log_now.base_index, log_now.base_term, log_now.records)

    def hard_state(self) -> HardState:
        """Return the hard state in memory, which is at least as new as the synced."""
        return HardState(self.replica.term, self.replica.voted_for)

    async def save_commit_index(self) -> None:
        """Save the commit index, at most once per interval."""
        now_ms = steady_ms()
        if not self.commit_index_unsaved or now_ms < self.next_commit_save_ms:
            return
        self.next_commit_save_ms = now_ms + COMMIT_SAVE_INTERVAL_MS
        await self.run_on_disk(
            self.storage.record_committed_index, self.replica.applied_index
        )

    async def compact_if_due(self) -> None:
        """Replace the log by a snapshot when it has outgrown the state.

        The log has at least `snapshot_bytes` and at least the size of the last
        snapshot, so that snapshots write no more to the disk than the log itself.
        """
        last = self.storage.snapshot.total if self.storage.snapshot else 0
        if self.storage.appended_bytes < max(self.settings.snapshot_bytes, last):
            return
        snapshot = self.replica.compact(self.state.snapshot())
        await self.run_on_disk(
            self.storage.save_snapshot,
            snapshot,
            self.hard_state(),
            self.copy_log(),
        )

    def request_join(self) -> None:
        """Request membership from every peer while this disk is not a member."""
        replica = self.replica
        if replica.is_member or replica.identity in replica.members.removed:
            return
        if replica.now_ms >= self.next_join_ms:
            self.next_join_ms = replica.now_ms + JOIN_RETRY_S * 1000
            message = messages.JoinRequest(0, replica.node_id, replica.identity)
            for node_id in self.peers:
                self.send(node_id, message)

    def send(self, node_id: str, message: tuple) -> None:
        """Send a message to a peer; without a link it is lost, and sent again later."""
        if isinstance(message, messages.SnapshotPart):
            if message.last_index != self.storage.snapshot.last_index:
                return
            data = self.storage.read_snapshot_part(message.offset, SNAPSHOT_PART_BYTES)
            message = message._replace(data=data)
        link = self.link_to(node_id)
        if link is not None:
            link.post(message)

    def link_to(self, node_id: str) -> Link | None:
        """Return an open link to a peer, in whichever direction it was opened."""
        connection = self.peers.get(node_id)
        link = connection.open_link if connection is not None else None
        if link is not None:
            return link
        accepted = self.accepted_links.get(node_id)
        if accepted is None or accepted.closed.is_set():
            return None
        return accepted

    def receive(self, message: tuple) -> None:
        """Handle a replica message."""
        if self.failed or self.suspended:
            return
        unsaved = len(self.replica.unsaved_records)
        try:
            self.replica.step(steady_ms(), message)
        except StorageError as error:
            self.fail(error)
            return
        if isinstance(message, messages.AppendRequest):
            self.append_times.record(
                self.replica.unsaved_records[unsaved:],
                message.term,
                message.commit,
                steady_s(),
            )
        self.wakeup.set()

    def fail_proposals(self, why: str) -> None:
        """Fail all proposals in progress: their outcome is unknown."""
        for _, future in self.pending.values():
            if not future.done():
                future.set_exception(no_quorum(why))

    def fail_pending(self, index: int) -> None:
        """Fail proposals that a snapshot covers: their outcome is unknown."""
        for covered in [i for i in self.pending if i <= index]:
            _, future = self.pending.pop(covered)
            if not future.done():
                future.set_exception(no_quorum("another leader took over"))

    def apply(self, record: Record) -> None:
        """Apply one committed record and complete its proposal."""
        result = None
        appended_s = self.append_times.take(record)
        if record.kind == RecordKind.COMMAND:
            result = self.state.apply(record.index, record.data, appended_s)
            self.on_applied(result)
        term, future = self.pending.pop(record.index, (0, None))
        if future is None or future.done():
            return
        if term == record.term:
            future.set_result(result)
        else:
            future.set_exception(no_quorum("another leader took over"))

    async def propose(self, command: Command) -> Result:
        """Commit a command as the leader.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: this instance does not lead, or the outcome is unknown.
        """
        if self.replica.is_leader:
            return await self.propose_here(command)
        raise no_quorum("this instance does not lead")

    async def propose_here(self, command: Command) -> Result:
        """Append a command to the log with the leader's time, and commit it."""
        data = encode(stamp(command, unix_ms()))
        index = self.replica.propose(data)
        if index is not None:
            self.append_times.record(
                self.replica.unsaved_records[-1:], self.replica.term, 0, steady_s()
            )
        return await self.wait_committed(index)

    async def wait_committed(self, index: int | None) -> Result | None:
        """Wait until the record at `index` of this leader's term is applied."""
        if self.stopped:
            raise no_quorum(STOPPED)
        if index is None:
            raise no_quorum("this instance does not lead, or may not change it now")
        future = asyncio.get_running_loop().create_future()
        self.pending[index] = (self.replica.term, future)
        self.wakeup.set()
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                return await future
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        finally:
            self.pending.pop(index, None)

    @property
    def leader_link(self):
        """Open link to the leader, if another instance leads."""
        return self.link_to(self.replica.leader)

    async def read_barrier(self) -> None:
        """Wait until everything that was committed at the call is applied here.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: no leader with a lease responds.
        """
        lease = await self.lease()
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            async with self.applied:
                await self.applied.wait_for(
                    lambda: self.replica.applied_index >= lease.index
                )

    async def lease(self) -> messages.Lease:
        """Return the leader's lease; request it if another instance leads."""
        own = self.own_lease()
        if own is not None:
            return own
        link = self.leader_link
        if link is None:
            raise no_quorum("no leader is known")
        frame = await link.request(messages.LeaseQuery(), 1.0)
        return frame.message

    def own_lease(self) -> messages.Lease | None:
        """Return this leader's lease, if it holds one."""
        left = self.replica.lease_left_ms(steady_ms())
        if left <= 0:
            return None
        return messages.Lease(
            self.replica.term,
            self.settings.node_id,
            int(left),
            self.replica.commit_index,
        )

    def is_ready(self) -> bool:
        """Return whether a leader is known and this disk has a vote."""
        return bool(self.replica.leader) and self.replica.is_voter

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another voter, to avoid an election timeout."""
        deadline_ms = steady_ms() + TRANSFER_TIMEOUT_S * 1000
        if not (self.replica.is_leader and self.replica.other_voters()):
            return
        self.replica.transferring_leadership = True
        while self.replica.is_leader and steady_ms() < deadline_ms:
            requested = self.replica.transfer_leadership()
            self.wakeup.set()
            await asyncio.sleep(MIN_TICK_S)
            if requested:
                return
        self.replica.transferring_leadership = False

    async def stop(self) -> None:
        """Transfer leadership, stop ticking and close the disk.

        What is not committed by then fails at once: the callers wait for a result, and
        nothing completes it any more.
        """
        if not self.failed:
            await self.transfer_leadership()
        for task in self.tasks:
            task.cancel()
        self.stopped = True
        self.fail_proposals(STOPPED)
        self.storage.close()


def no_quorum(why: str) -> Error:
    """Return the error for a missing quorum."""
    return WireError(
        ResultCode.NO_QUORUM, f"{why}; resend the same request", RETRY_AFTER_MS
    )
