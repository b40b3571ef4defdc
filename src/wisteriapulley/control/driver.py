"""Joins the pure replica to its disk, its peers and the replicated state."""

import asyncio
import logging
import random
import time

from wisteriapulley.clocks import STARTED_MS, steady_ms
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
from wisteriapulley.control.commands import Command, Result, encode
from wisteriapulley.control.seeds import files_of
from wisteriapulley.control.state import ControlState, stamp
from wisteriapulley.errors import NoRoomError, ResultCode, StorageError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.logs import fields
from wisteriapulley.settings import ControlSettings
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

MIN_TICK_S = 0.02
# A leader whose disk takes longer for one sync gives up its lead: it could
# acknowledge nothing, and the others elect a leader within two seconds.
MAX_SYNC_MS = 600.0
# A deadline may move nearer while the driver sleeps: it looks this often.
MAX_TICK_S = 0.1
PROPOSE_TIMEOUT_S = 3.0
# A full disk is tried again this often: a small write, and the others do without
# this instance meanwhile.
DISK_RETRY_MS = 250.0
RETRY_AFTER_MS = 1000
# A disk that is no member yet asks this often to be taken in.
JOIN_RETRY_S = 0.2
# A commit is noted on the disk this often: one write for all commits of a tenth of a
# second, which is far below the time that an election takes after a start.
COMMIT_SAVE_INTERVAL_MS = 100.0
# Of a snapshot in one message: a few milliseconds of a follower's disk, so that
# a transfer never holds heartbeats up for long.
SNAPSHOT_PART_BYTES = 1 << 18
# Handing the lead over takes a round trip or two; past this time the others
# elect a leader by themselves.
TRANSFER_TIMEOUT_S = 1.0

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
    """Read the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


class Driver:
    """Runs one replica.

    Parameters
    ----------
    settings : ControlSettings
        Timing and data folder.
    state : ControlState
        What committed commands drive.
    peers : dict
        Link keeper by node id.
    on_applied : callable
        Called with the result of each applied command.
    on_fatal : callable
        Called when the disk fails: nothing may be acknowledged any more.

    Attributes
    ----------
    suspended : bool
        Whether the disk is full. The instance goes on with what it knows, without
        a vote, and takes part again by itself when there is room.
    """

    def __init__(
        self,
        settings: ControlSettings,
        state: ControlState,
        peers: dict[str, LinkKeeper],
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
        self.storage = Storage.open(settings.data_folder, files_of(identity))
        if self.storage.snapshot is not None:
            state.restore(self.storage.read_snapshot())
        self.replica = self.new_replica(identity, STARTED_MS)
        self.next_join_ms = 0.0
        self.next_commit_save_ms = 0.0
        self.pending: dict[int, tuple[int, asyncio.Future]] = {}
        self.applied = asyncio.Condition()
        self.wakeup = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.failed = False
        self.suspended = False
        self.next_disk_retry_ms = 0.0
        if self.storage.failure is not None:
            self.suspend(self.storage.failure)
        self.syncing_since_ms: float | None = None
        # Newest link that a peer opened to this instance, by node id: it may
        # stand before this instance's own keeper has connected.
        self.accepted_links: dict[str, Link] = {}

    def new_replica(self, identity: DiskIdentity, since_ms: float) -> Replica:
        """Make the replica from what the disk holds.

        Until `since_ms` an earlier one may have given its word to a leader.
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
        replica.voters_wanted = self.settings.voters
        return replica

    def start(self) -> None:
        """Start ticking; what is known to be committed is applied at once."""
        self.wakeup.set()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run()), loop.create_task(self.tick())]

    async def tick(self) -> None:
        """Wake the replica when its next deadline comes."""
        while True:
            await asyncio.sleep(self.tick_delay_s())
            self.step_down_if_stalled()
            self.wakeup.set()

    def step_down_if_stalled(self) -> None:
        """Give up the lead while the disk answers nothing."""
        since_ms = self.syncing_since_ms
        if since_ms is None or not self.replica.is_leader:
            return
        if steady_ms() - since_ms > MAX_SYNC_MS:
            log.warning("the disk stalls: giving up the lead")
            self.replica.step_down()

    def tick_delay_s(self) -> float:
        """Return how long the replica has nothing to do by itself.

        A fixed pace of TICK_S took most of an idle instance's processor time.
        """
        replica = self.replica
        deadline_ms = (
            replica.next_beat_ms if replica.is_leader else (replica.election_at_ms)
        )
        if self.commit_index_unsaved and not self.suspended:
            # Without this an idle instance notes a commit only at its next tick,
            # up to IDLE_S late, and a stop until then loses the note.
            deadline_ms = min(deadline_ms, self.next_commit_save_ms)
        pause_s = (deadline_ms - steady_ms()) / 1000
        return min(max(pause_s, MIN_TICK_S), MAX_TICK_S)

    @property
    def commit_index_unsaved(self) -> bool:
        """Whether more is applied than the disk's note says is committed."""
        return self.replica.applied_index > self.storage.committed

    async def run(self) -> None:
        """Take effects one batch at a time: sync, send, apply.

        Every proposal and message that came since the last batch shares one
        fsync: that is the group commit.
        """
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            try:
                await self.run_batch()
            except NoRoomError as error:
                self.suspend(error)
            except StorageError as error:
                self.fail(error)
                return

    async def run_batch(self) -> None:
        """Take the effects of one batch, or wait for room on a full disk."""
        if self.suspended:
            self.apply_committed()
            await self.resume_if_writable()
            return
        self.replica.tick(steady_ms())
        self.request_join()
        await self.process_ready()

    def suspend(self, error: StorageError) -> None:
        """Take no part in the quorum while the disk is full.

        Ending the process would not help: its next start would meet the same disk,
        and meanwhile nobody would hear targets or answer followers here.
        """
        log.error("the disk is full, no vote until there is room: %s", error)
        self.suspended = True
        self.replica.suspend()
        for _, future in self.pending.values():
            if not future.done():
                future.set_exception(no_quorum("the disk is full"))

    async def resume_if_writable(self) -> None:
        """Read the disk again, and take part, once it takes writes.

        What was in memory only was never acknowledged, and is forgotten.
        """
        now_ms = steady_ms()
        if now_ms < self.next_disk_retry_ms:
            return
        self.next_disk_retry_ms = now_ms + DISK_RETRY_MS
        if not await self.run_on_disk(self.storage.has_room):
            return
        self.storage.close()
        folder = self.settings.data_folder
        identity = read_identity(folder)
        self.storage = Storage.open(folder, files_of(identity))
        applied = self.replica.applied_index
        self.replica = self.new_replica(identity, now_ms)
        self.replica.commit_index = max(self.replica.commit_index, applied)
        self.replica.applied_index = max(self.replica.applied_index, applied)
        if self.storage.failure is not None:
            self.replica.suspend()
            return
        self.suspended = False
        log.warning("the disk has room again", extra=fields(applied=applied))
        self.wakeup.set()

    def fail(self, error: StorageError) -> None:
        """Stop for good: the disk, or the cluster, is not what it should be."""
        log.error("this instance stops: %s", error)
        self.failed = True
        self.replica.step_down()
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()
        self.on_fatal(error)

    async def process_ready(self) -> None:
        """Send what needs no sync, sync, send the rest, then apply."""
        self.replica.flush_if_pending()
        ready = self.replica.ready()
        for node_id, message in ready.early:
            self.send(node_id, message)
        if ready.early and ready.records:
            # The transport writes at the end of this turn of the loop: let it,
            # so that the followers' syncs run at the same time as this one.
            await asyncio.sleep(0)
        await self.persist(ready)
        for node_id, message in ready.messages:
            self.send(node_id, message)
        committed = self.apply_committed()
        await self.compact_if_due()
        await self.save_commit_index()
        if committed or ready.snapshot is not None:
            async with self.applied:
                self.applied.notify_all()

    def apply_committed(self) -> list[Record]:
        """Apply what is committed and synced; return it."""
        committed = self.replica.take_committed()
        for record in committed:
            self.apply(record)
        return committed

    async def persist(self, ready: Ready) -> None:
        """Make the effects last, in a thread: a disk may stall for seconds.

        Replica messages that come meanwhile only add to the next batch.
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
            self.fail_pending(ready.snapshot.last_index)
        self.replica.synced(ready)

    async def run_on_disk(self, operation, *arguments: object) -> object:
        """Run one disk operation in a thread and note how long it takes."""
        self.syncing_since_ms = steady_ms()
        try:
            return await asyncio.to_thread(operation, *arguments)
        finally:
            self.syncing_since_ms = None

    def copy_log(self) -> Log:
        """Copy the log for the disk's thread, as the replica goes on with it."""
        held = self.replica.log
        return Log(held.base_index, held.base_term, held.records)

    def hard_state(self) -> HardState:
        """Return the hard state in memory, as new as what is synced or newer."""
        return HardState(self.replica.term, self.replica.voted_for)

    async def save_commit_index(self) -> None:
        """Note on the disk how far the log is committed, but not each time."""
        now_ms = steady_ms()
        if not self.commit_index_unsaved or now_ms < self.next_commit_save_ms:
            return
        self.next_commit_save_ms = now_ms + COMMIT_SAVE_INTERVAL_MS
        await self.run_on_disk(self.storage.note_committed, self.replica.applied_index)

    async def compact_if_due(self) -> None:
        """Replace the log by a snapshot when it has outgrown the state.

        At the least `snapshot_bytes` of log, and at the least as much log as
        the last snapshot was long, so that snapshots cost no more disk than the
        log itself.
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
        """Ask every peer to be taken in, while this disk is no member."""
        replica = self.replica
        if replica.is_member or replica.identity in replica.members.removed:
            return
        if replica.now_ms >= self.next_join_ms:
            self.next_join_ms = replica.now_ms + JOIN_RETRY_S * 1000
            message = messages.JoinRequest(0, replica.node_id, replica.identity)
            for node_id in self.peers:
                self.send(node_id, message)

    def send(self, node_id: str, message: tuple) -> None:
        """Send to a peer; what can't be sent is lost, and sent again later."""
        if isinstance(message, messages.SnapshotPart):
            if message.last_index != self.storage.snapshot.last_index:
                return
            data = self.storage.snapshot_part(message.offset, SNAPSHOT_PART_BYTES)
            message = message._replace(data=data)
        link = self.link_to(node_id)
        if link is not None:
            link.post(message)

    def link_to(self, node_id: str) -> Link | None:
        """Return an open link to a peer, whoever opened it."""
        keeper = self.peers.get(node_id)
        link = keeper.open_link if keeper is not None else None
        if link is not None:
            return link
        accepted = self.accepted_links.get(node_id)
        if accepted is None or accepted.closed.is_set():
            return None
        return accepted

    def receive(self, message: tuple) -> None:
        """Take in a replica message."""
        if self.failed or self.suspended:
            return
        try:
            self.replica.step(steady_ms(), message)
        except StorageError as error:
            self.fail(error)
            return
        self.wakeup.set()

    def fail_pending(self, index: int) -> None:
        """Answer proposals that a snapshot covers: their outcome is not known."""
        for waiting in [i for i in self.pending if i <= index]:
            _, future = self.pending.pop(waiting)
            if not future.done():
                future.set_exception(no_quorum("another leader took over"))

    def apply(self, record: Record) -> None:
        """Apply one committed record and answer who proposed it."""
        result = None
        if record.kind == RecordKind.COMMAND:
            result = self.state.apply(record.index, record.data)
            self.on_applied(result)
        term, future = self.pending.pop(record.index, (0, None))
        if future is None or future.done():
            return
        if term == record.term:
            future.set_result(result)
        else:
            future.set_exception(no_quorum("another leader took over"))

    async def propose(self, command: Command) -> Result:
        """Commit a command, here or at the leader.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: the outcome is not known to be committed.
        """
        if self.replica.is_leader:
            return await self.propose_here(command)
        raise no_quorum("this instance does not lead")

    async def propose_here(self, command: Command) -> Result:
        """Commit a command as the leader."""
        data = encode(stamp(command, unix_ms()))
        return await self.wait_committed(self.replica.propose(data))

    async def wait_committed(self, index: int | None) -> Result | None:
        """Wait until the record at `index` of this leader's term is applied."""
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
        """Wait until what a majority had accepted at the call is applied here.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: no leader with a lease answers.
        """
        lease = await self.lease()
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            async with self.applied:
                await self.applied.wait_for(
                    lambda: self.replica.applied_index >= lease.index
                )

    async def lease(self) -> messages.Lease:
        """Return the leader's lease, asked of it when another leads."""
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
        """Ready when a leader is known and this disk has its vote."""
        return bool(self.replica.leader) and self.replica.is_voter

    async def transfer_leadership(self) -> None:
        """Give the lead to another voter, so that nobody waits for a timeout."""
        deadline_ms = steady_ms() + TRANSFER_TIMEOUT_S * 1000
        if not (self.replica.is_leader and self.replica.other_voters()):
            return
        self.replica.handing_over = True
        while self.replica.is_leader and steady_ms() < deadline_ms:
            asked = self.replica.hand_over()
            self.wakeup.set()
            await asyncio.sleep(MIN_TICK_S)
            if asked:
                return
        self.replica.handing_over = False

    async def stop(self) -> None:
        """Hand the lead over, stop ticking and close the disk."""
        if not self.failed:
            await self.transfer_leadership()
        for task in self.tasks:
            task.cancel()
        self.storage.close()


def no_quorum(why: str) -> Error:
    """Make the error for want of a quorum."""
    return WireError(
        ResultCode.NO_QUORUM, f"{why}; resend the same request", RETRY_AFTER_MS
    )
