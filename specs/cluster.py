"""Real replicas over disks, clocks and a network that a checker rules.

Nothing here takes time or chance of its own: the caller gives a seeded `rng`.
"""

import random

import msgspec

from specs.invariants import Truth, require
from wisteriapulley.catalogue.catalogue import CatalogueImage
from wisteriapulley.consensus import (
    HardState,
    Log,
    Members,
    Record,
    RecordKind,
    Replica,
    Snapshot,
    SnapshotInfo,
)
from wisteriapulley.control.client import LocalCatalogue
from wisteriapulley.wire.messages import CatalogueUpdate, JoinRequest, SnapshotPart

STEP_MS = 25
# Small, so that a transfer takes several parts and can be cut between them.
PART_BYTES = 6
JOIN_MS = 200
# Clocks run this much apart; the lease's margin is made for more.
RATES = (0.9, 1.0, 1.1, 1.0)
NAMES = ("a", "b", "c", "d")
FOUNDERS = ("a", "b", "c")


class Disk:
    """What is synced of one node."""

    def __init__(self, identity: str, members: Members):
        self.identity = identity
        self.members = members
        self.hard_state = HardState()
        self.log = Log()
        self.snapshot: Snapshot | None = None
        # Noted without a sync: a loss of power may leave an older note.
        self.committed = 0

    def copy_log(self) -> Log:
        """Return the log for a replica to change in memory."""
        return Log(self.log.base_index, self.log.base_term, self.log.records)


class State(msgspec.Struct, array_like=True):
    """Replicated state: a digest of the history and its revision."""

    digest: int = 0
    revision: int = 0


class Node:
    """One instance: a disk, and a replica while it runs."""

    def __init__(self, node_id: str, rate: float, disk: Disk | None):
        self.node_id = node_id
        self.rate = rate
        self.disk = disk
        self.replica: Replica | None = None
        self.state = State()
        self.boots = 0
        self.frozen = False
        self.next_join_ms = 0.0
        self.led_term = 0


class Cluster:
    """Four nodes: three that are founded and a spare that may join.

    Parameters
    ----------
    replica_class : type
        `Replica`, or a mutant of it.
    holder_class : type
        `LocalCatalogue` of the watchers, or a mutant of it.
    keeps_identity : bool
        Mutant: an emptied disk comes back under its old identity.
    forgets_vote : bool
        Mutant: the hard state is not synced.
    notes_uncommitted : bool
        Mutant: what is synced is noted as committed.
    """

    def __init__(
        self,
        replica_class: type = Replica,
        holder_class: type = LocalCatalogue,
        keeps_identity: bool = False,
        forgets_vote: bool = False,
        notes_uncommitted: bool = False,
    ):
        self.replica_class = replica_class
        self.keeps_identity = keeps_identity
        self.forgets_vote = forgets_vote
        self.notes_uncommitted = notes_uncommitted
        self.now_ms = 0.0
        self.network: list[tuple[str, str, tuple]] = []
        self.cut: set[str] = set()
        self.truth = Truth()
        self.steps = 0
        self.commands = 0
        self.disks = 0
        self.holder_class = holder_class
        self.holder = holder_class()
        self.in_force = 0
        # A node that a quorum once confirmed: one that none did takes nothing
        # in, and the check of its revisions would be empty.
        self.holder.confirmed = True
        self.nodes = {
            name: Node(name, rate, None)
            for name, rate in zip(NAMES, RATES, strict=True)
        }
        self.found()

    def found(self) -> None:
        """Start from a cluster of three whose configuration is committed."""
        identities = {name: self.new_identity() for name in FOUNDERS}
        for name in FOUNDERS:
            self.nodes[name].disk = Disk(identities[name], Members(identities))
            self.boot(name)

    def new_identity(self) -> str:
        """Name a new disk."""
        self.disks += 1
        return f"disk-{self.disks}"

    # -- nodes -----------------------------------------------------------

    def clock(self, node: Node) -> float:
        """Read a node's own monotonic clock."""
        return self.now_ms * node.rate

    def boot(self, name: str) -> None:
        """Start a node from its disk."""
        node = self.nodes[name]
        disk = node.disk
        node.boots += 1
        node.frozen = False
        info = None
        node.state = State()
        if disk.snapshot is not None:
            info = SnapshotInfo.from_snapshot(disk.snapshot)
            node.state = msgspec.msgpack.decode(disk.snapshot.data, type=State)
        node.replica = self.replica_class(
            name,
            disk.identity,
            disk.members,
            HardState() if self.forgets_vote else disk.hard_state,
            disk.copy_log(),
            info,
            rng=random.Random(f"{name}{node.boots}"),
            now_ms=self.clock(node),
            committed=disk.committed,
        )

    def up(self) -> list[Node]:
        """Return the nodes that run."""
        return [n for n in self.nodes.values() if n.replica and not n.frozen]

    def crash(self, name: str) -> None:
        """Stop a node; only what is synced stays."""
        self.nodes[name].replica = None

    def may_lose_disk(self) -> bool:
        """Tell whether every earlier loss is repaired: three disks vote."""
        voters = (self.truth.members or self.nodes["a"].disk.members).voters
        present = {n.disk.identity for n in self.nodes.values() if n.disk}
        return len(voters) >= 3 and set(voters.values()) <= present

    def replace_disk(self, name: str) -> None:
        """Lose a node's disk for good and start it on an empty one."""
        node = self.nodes[name]
        old = node.disk
        if self.keeps_identity and old is not None:
            node.disk = Disk(old.identity, old.members)
        else:
            node.disk = Disk(self.new_identity(), Members({}))
        self.boot(name)

    # -- a driver's turn -------------------------------------------------

    def turn(self, node: Node) -> None:
        """Do what the driver does: send early, sync, send, apply."""
        self.finish(node, self.begin(node))

    def begin(self, node: Node):
        """Send what may leave before the sync."""
        replica = node.replica
        self.ask_to_join(node)
        replica.flush_if_pending()
        self.check_lead(node)
        ready = replica.ready()
        self.post(node, ready.early_messages)
        return ready

    def finish(self, node: Node, ready) -> None:
        """Sync, send the rest, apply."""
        self.sync(node, ready)
        node.replica.synced(ready)
        self.post(node, ready.late_messages)
        self.apply(node)

    def apply(self, node: Node) -> None:
        """Apply what is committed; also right in a gap before a sync."""
        for record in node.replica.take_committed():
            entry = self.truth.applied(record)
            node.state = State(entry.digest, entry.revision)
            if record.kind == RecordKind.MEMBERS and record.index == self.truth.last:
                self.truth.members = msgspec.msgpack.decode(record.data, type=Members)
        self.note_committed(node)

    def note_committed(self, node: Node) -> None:
        """Note how far the log is committed, on each second index only."""
        applied = node.replica.applied_index
        if self.notes_uncommitted:
            node.disk.committed = node.disk.log.last_index
        elif applied % 2 == 0:
            node.disk.committed = applied

    def sync(self, node: Node, ready) -> None:
        """Put effects on the disk."""
        disk = node.disk
        disk.hard_state = ready.hard_state or disk.hard_state
        for record in ready.records:
            before = record.index - 1
            if before <= disk.log.last_index and before >= disk.log.base_index:
                self.truth.saved(record, disk.log.term_at(before))
            disk.log.put(record)
            if record.kind == RecordKind.MEMBERS and node.replica.is_leader:
                self.check_voters(node, record)
        if ready.snapshot is not None:
            node.state = msgspec.msgpack.decode(ready.snapshot.data, type=State)
            entry = self.truth.committed[ready.snapshot.last_index]
            same = (entry.digest, entry.revision) == (
                node.state.digest,
                node.state.revision,
            )
            require(same, "no_commit_lost", "a snapshot differs from the history")
            self.save_snapshot(node, ready.snapshot)

    def save_snapshot(self, node: Node, snapshot: Snapshot) -> None:
        """Put a snapshot and the log that follows it on the disk."""
        log = node.replica.log
        node.disk.snapshot = snapshot
        node.disk.log = Log(log.base_index, log.base_term, log.records)

    def check_voters(self, leader: Node, record: Record) -> None:
        """Check that a disk with a new vote holds every commit."""
        members = msgspec.msgpack.decode(record.data, type=Members)
        for name, identity in members.voters.items():
            disk = self.nodes[name].disk
            if disk is None or disk.identity != identity or name == leader.node_id:
                continue
            earlier = [
                m for at, m in leader.replica.configurations if at < record.index
            ]
            if not earlier or identity in earlier[-1].voters.values():
                continue
            for index in range(
                disk.log.base_index + 1, leader.replica.commit_index + 1
            ):
                term = self.truth.committed[index].record.term
                held = disk.log.holds(index, term)
                require(held, "voter_holds_commits", f"{name} lacks {index}")

    def check_lead(self, node: Node) -> None:
        """Check a leader once a term."""
        replica = node.replica
        if replica.is_leader and node.led_term != replica.term:
            node.led_term = replica.term
            self.truth.led(node, replica.term)

    def ask_to_join(self, node: Node) -> None:
        """Ask to be taken in, as the driver does."""
        replica = node.replica
        if replica.is_member or replica.identity in replica.members.removed:
            return
        if self.now_ms >= node.next_join_ms:
            node.next_join_ms = self.now_ms + JOIN_MS
            message = JoinRequest(0, node.node_id, replica.identity)
            self.post(node, [(n, message) for n in NAMES if n != node.node_id])

    def post(self, node: Node, messages) -> None:
        """Put messages on the network."""
        for receiver, message in messages:
            if isinstance(message, SnapshotPart):
                data = node.disk.snapshot.data
                part = data[message.offset : message.offset + PART_BYTES]
                message = message._replace(data=part)
            self.network.append((node.node_id, receiver, message))

    # -- time and the network --------------------------------------------

    def run(self, duration_ms: int, rng: random.Random, loss: float) -> None:
        """Let time pass; messages are lost, repeated and late at rate `loss`."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for node in self.up():
                node.replica.tick(self.clock(node))
                self.turn(node)
            self.deliver(rng, loss)
            self.check_leases()

    def deliver(
        self, rng: random.Random, loss: float, apart: Node | None = None
    ) -> None:
        """Deliver what is on the network, and what that causes, once.

        `apart` hears messages but does not take its turn.
        """
        for _ in range(2):
            pending, self.network = self.network, []
            if loss:
                rng.shuffle(pending)
            for sender, receiver, message in pending:
                draw = rng.random()
                if draw < loss:
                    continue
                if draw < 2 * loss:
                    self.network.append((sender, receiver, message))
                    if draw < 1.5 * loss:
                        continue
                self.hand_in(sender, receiver, message)
            for node in self.up():
                if node is not apart:
                    self.turn(node)

    def hand_in(self, sender: str, receiver: str, message: tuple) -> None:
        """Give one message to its receiver, unless it is cut off or down."""
        node = self.nodes.get(receiver)
        if (sender in self.cut) != (receiver in self.cut) or node is None:
            return
        if node.replica is not None and not node.frozen:
            self.steps += 1
            node.replica.step(self.clock(node), message)
            self.check_lead(node)

    def check_leases(self) -> None:
        """Check that no two replicas hold a lease, frozen ones included."""
        self.truth.checks += 1
        holders = [
            node.node_id
            for node in self.nodes.values()
            if node.replica and node.replica.lease_left_ms(self.clock(node)) > 0
        ]
        require(len(holders) < 2, "one_lease_holder", f"{holders} at {self.now_ms}")

    # -- users -----------------------------------------------------------

    def leaders(self) -> list[Node]:
        """Return the running nodes that believe they lead."""
        return [node for node in self.up() if node.replica.is_leader]

    def recover(self) -> None:
        """Start, thaw and join every node; a removed one gets a new disk."""
        self.cut.clear()
        members = self.truth.members
        for node in self.nodes.values():
            node.frozen = False
            if node.disk is None:
                continue
            if members is not None and node.disk.identity in members.removed:
                self.replace_disk(node.node_id)
            elif node.replica is None:
                self.boot(node.node_id)

    def propose(self) -> None:
        """Propose a command at every replica that believes it leads."""
        for node in self.leaders():
            self.commands += 1
            node.replica.propose(f"command-{self.commands}".encode())

    def watch(self, name: str) -> None:
        """Let the watcher hear an instance, which may be cut off or lag.

        A leader that holds a lease and has applied what it committed confirms.
        What a watcher has in force goes down neither while it runs nor when it
        restarts.
        """
        node = self.nodes[name]
        if node.replica is None:
            return
        leased = node.replica.lease_left_ms(self.clock(node)) > 0
        fresh = leased and node.replica.applied_index >= node.replica.commit_index
        content = msgspec.msgpack.encode(CatalogueImage(node.state.revision, {}))
        self.holder.apply_update(CatalogueUpdate(node.state.revision, fresh, content))
        if self.holder.confirmed:
            before, self.in_force = self.in_force, self.holder.revision
            detail = f"{before} became {self.in_force}"
            require(self.in_force >= before, "no_revision_reverts", detail)

    def restart_watcher(self) -> None:
        """Let the watcher forget what it had in force."""
        self.holder = self.holder_class()

    def compact(self, name: str) -> None:
        """Replace a node's log by a snapshot, keeping a record or none."""
        node = self.nodes[name]
        if node.replica is None or node.replica.applied_index == 0:
            return
        self.turn(node)
        snapshot = node.replica.compact(msgspec.msgpack.encode(node.state))
        node.replica.log.compact(node.replica.applied_index)
        self.save_snapshot(node, snapshot)
