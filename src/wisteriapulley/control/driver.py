"""Joins the pure replica to its disk, its peers and the replicated state."""

import asyncio
import logging
import random
import time

from wisteriapulley.consensus import Members, RecordKind, Replica, Storage, Timing
from wisteriapulley.consensus.storage import read_identity
from wisteriapulley.control.commands import Command, Result, encode
from wisteriapulley.control.state import ControlState, stamp
from wisteriapulley.errors import ResultCode, StorageError, WireError
from wisteriapulley.errors import WisteriapulleyError as Error
from wisteriapulley.settings import ControlSettings
from wisteriapulley.wire import messages
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

TICK_S = 0.02
PROPOSE_S = 3.0
RETRY_AFTER_MS = 1000

REPLICA_MESSAGES = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotPart,
    messages.SnapshotReply,
    messages.TimeoutNow,
)


def monotonic_ms() -> float:
    """Read the monotonic clock in milliseconds."""
    return time.monotonic() * 1000


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
        self.storage = Storage.open(settings.data_folder)
        self.replica = self.new_replica(identity.identity, identity.members)
        self.waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self.applied = asyncio.Condition()
        self.wakeup = asyncio.Event()
        self.tasks: list[asyncio.Task] = []

    def new_replica(self, identity: str, members: Members) -> Replica:
        """Make the replica from what the disk holds."""
        return Replica(
            self.settings.node_id,
            identity,
            members,
            self.storage.hard_state,
            self.storage.records,
            Timing(
                self.settings.election_ms,
                self.settings.lease_ms,
                self.settings.raft_heartbeat_ms,
            ),
            random.Random(f"{self.settings.node_id}{identity}"),
            monotonic_ms(),
        )

    def start(self) -> None:
        """Start ticking."""
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.run()), loop.create_task(self.tick())]

    async def tick(self) -> None:
        """Wake the replica at a steady pace."""
        while True:
            await asyncio.sleep(TICK_S)
            self.wakeup.set()

    async def run(self) -> None:
        """Take effects one batch at a time: sync, send, apply.

        Every proposal and message that came since the last batch shares one
        fsync: that is the group commit.
        """
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            self.replica.tick(monotonic_ms())
            try:
                await self.take_effects()
            except StorageError as error:
                log.exception("the disk failed; this instance stops")
                self.on_fatal(error)
                return

    async def take_effects(self) -> None:
        """Sync, then send, then apply."""
        self.replica.flush_if_pending()
        ready = self.replica.ready()
        self.storage.save(ready.hard_state, ready.records)
        for node_id, message in ready.messages:
            self.send(node_id, message)
        for record in ready.committed:
            self.apply(record)
        if ready.committed:
            async with self.applied:
                self.applied.notify_all()

    def send(self, node_id: str, message: tuple) -> None:
        """Send to a peer; what can't be sent is lost, and sent again later."""
        keeper = self.peers.get(node_id)
        link = keeper.open_link if keeper is not None else None
        if link is not None:
            link.post(message)

    def receive(self, message: tuple) -> None:
        """Take in a replica message."""
        self.replica.step(monotonic_ms(), message)
        self.wakeup.set()

    def apply(self, record) -> None:
        """Apply one committed record and answer who proposed it."""
        result = None
        if record.kind == RecordKind.COMMAND:
            result = self.state.apply(record.index, record.data)
            self.on_applied(result)
        term, future = self.waiting.pop(record.index, (0, None))
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
        index = self.replica.propose(data)
        future = asyncio.get_running_loop().create_future()
        self.waiting[index] = (self.replica.term, future)
        self.wakeup.set()
        try:
            async with asyncio.timeout(PROPOSE_S):
                return await future
        except TimeoutError as error:
            raise no_quorum("no majority answered in time") from error
        finally:
            self.waiting.pop(index, None)

    @property
    def leader_link(self):
        """Open link to the leader, if another instance leads."""
        keeper = self.peers.get(self.replica.leader)
        return keeper.open_link if keeper is not None else None

    async def read_barrier(self) -> None:
        """Wait until what a majority had accepted at the call is applied here.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: no leader with a lease answers.
        """
        lease = await self.lease()
        async with asyncio.timeout(PROPOSE_S):
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
        left = self.replica.lease_left_ms(monotonic_ms())
        if left <= 0:
            return None
        return messages.Lease(
            self.replica.term,
            self.settings.node_id,
            int(left),
            self.replica.commit_index,
        )

    async def stop(self) -> None:
        """Stop ticking and close the disk."""
        for task in self.tasks:
            task.cancel()
        self.storage.close()


def no_quorum(why: str) -> Error:
    """Make the error for want of a quorum."""
    return WireError(
        ResultCode.NO_QUORUM, f"{why}; resend the same request", RETRY_AFTER_MS
    )
