"""Real replicas over simulated disks, clocks and a simulated network.

A run is deterministic: time is simulated, and the caller passes a seeded `rng`.
"""

import random

import msgspec

from specs.invariants import History, require
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

TICK_MS = 25
# Small, so that a transfer takes several parts and can be interrupted between them.
SNAPSHOT_PART_BYTES = 6
JOIN_RETRY_MS = 200
# The margin of the lease allows for a larger difference of the clock rates.
CLOCK_RATES = (0.9, 1.0, 1.1, 1.0)
NODE_IDS = ("a", "b", "c", "d")
FOUNDING_NODE_IDS = ("a", "b", "c")


class Disk:
    """The synced state of one node."""

    def __init__(self, identity: str, members: Members):
        self.identity = identity
        self.members = members
        self.hard_state = HardState()
        self.log = Log()
        self.snapshot: Snapshot | None = None
        # Saved without a sync: after a power failure, an older value may be read.
        self.committed_index = 0

    def copy_log(self) -> Log:
        """Return a copy of the log that a replica can change in memory."""
        return Log(self.log.base_index, self.log.base_term, self.log.records)


class ReplicatedState(msgspec.Struct, array_like=True):
    """Replicated state: digest of the records and number of commands among them."""

    digest: int = 0
    revision: int = 0


class Node:
    """One instance: its disk, and its replica while it runs."""

    def __init__(self, node_id: str, clock_rate: float, disk: Disk | None):
        self.node_id = node_id
        self.clock_rate = clock_rate
        self.disk = disk
        self.replica: Replica | None = None
        self.state = ReplicatedState()
        self.starts = 0
        self.frozen = False
        self.next_join_ms = 0.0
        self.last_led_term = 0


class Cluster:
    """Four nodes: three that found the cluster and a spare that can join.

    Parameters
    ----------
    replica_class : type
        `Replica`, or a mutant of it.
    catalogue_class : type
        `LocalCatalogue` of the watcher, or a mutant of it.
    keeps_identity : bool
        Mutant: an emptied disk keeps its old identity.
    forgets_vote : bool
        Mutant: the hard state is lost in a restart.
    records_uncommitted : bool
        Mutant: the index of the last synced record is saved as committed.
    """

    def __init__(
        self,
        replica_class: type = Replica,
        catalogue_class: type = LocalCatalogue,
        keeps_identity: bool = False,
        forgets_vote: bool = False,
        records_uncommitted: bool = False,
    ):
        self.replica_class = replica_class
        self.keeps_identity = keeps_identity
        self.forgets_vote = forgets_vote
        self.records_uncommitted = records_uncommitted
        self.now_ms = 0.0
        self.network: list[tuple[str, str, tuple]] = []
        self.isolated: set[str] = set()
        self.history = History()
        self.steps = 0
        self.command_count = 0
        self.disk_count = 0
        self.catalogue_class = catalogue_class
        self.catalogue = catalogue_class()
        self.watched_revision = 0
        # Starts as if confirmed by a quorum before: an unconfirmed watcher takes no
        # update that is not fresh, so its revisions would not be checked.
        self.catalogue.confirmed = True
        self.nodes = {
            name: Node(name, clock_rate, None)
            for name, clock_rate in zip(NODE_IDS, CLOCK_RATES, strict=True)
        }
        self.found_cluster()

    def found_cluster(self) -> None:
        """Start three nodes whose configuration is already committed."""
        identities = {name: self.new_identity() for name in FOUNDING_NODE_IDS}
        for name in FOUNDING_NODE_IDS:
            self.nodes[name].disk = Disk(identities[name], Members(identities))
            self.start_node(name)

    def new_identity(self) -> str:
        """Return the identity of a new disk."""
        self.disk_count += 1
        return f"disk-{self.disk_count}"

    # -- nodes -----------------------------------------------------------

    def clock(self, node: Node) -> float:
        """Return the reading of a node's monotonic clock."""
        return self.now_ms * node.clock_rate

    def start_node(self, name: str) -> None:
        """Start or restart a node from its disk."""
        node = self.nodes[name]
        disk = node.disk
        node.starts += 1
        node.frozen = False
        info = None
        node.state = ReplicatedState()
        if disk.snapshot is not None:
            info = SnapshotInfo.from_snapshot(disk.snapshot)
            node.state = msgspec.msgpack.decode(
                disk.snapshot.data, type=ReplicatedState
            )
        node.replica = self.replica_class(
            name,
            disk.identity,
            disk.members,
            HardState() if self.forgets_vote else disk.hard_state,
            disk.copy_log(),
            info,
            rng=random.Random(f"{name}{node.starts}"),
            now_ms=self.clock(node),
            committed=disk.committed_index,
        )

    def running_nodes(self) -> list[Node]:
        """Return the nodes that run and are not frozen."""
        return [n for n in self.nodes.values() if n.replica and not n.frozen]

    def crash(self, name: str) -> None:
        """Stop a node; only its synced state remains."""
        self.nodes[name].replica = None

    def can_lose_disk(self) -> bool:
        """Return whether all earlier disk losses are repaired.

        They are if three disks vote and the disk of every voter is present.
        """
        voters = (self.history.members or self.nodes["a"].disk.members).voters
        present = {n.disk.identity for n in self.nodes.values() if n.disk}
        return len(voters) >= 3 and set(voters.values()) <= present

    def replace_disk(self, name: str) -> None:
        """Replace a node's disk by an empty one and start the node."""
        node = self.nodes[name]
        old = node.disk
        if self.keeps_identity and old is not None:
            node.disk = Disk(old.identity, old.members)
        else:
            node.disk = Disk(self.new_identity(), Members({}))
        self.start_node(name)

    # -- a driver's turn -------------------------------------------------

    def run_turn(self, node: Node) -> None:
        """Run one turn of the driver: send early, sync, send late, apply."""
        self.finish_turn(node, self.begin_turn(node))

    def begin_turn(self, node: Node):
        """Send the messages that need not wait for the sync."""
        replica = node.replica
        self.request_join(node)
        replica.flush_if_pending()
        self.check_leader(node)
        ready = replica.ready()
        self.send(node, ready.early_messages)
        return ready

    def finish_turn(self, node: Node, ready) -> None:
        """Sync, send the remaining messages and apply the committed records."""
        self.sync(node, ready)
        node.replica.synced(ready)
        self.send(node, ready.late_messages)
        self.apply_committed(node)

    def apply_committed(self, node: Node) -> None:
        """Apply the committed records; may also be called before a sync."""
        for record in node.replica.take_committed():
            committed = self.history.record_applied(record)
            node.state = ReplicatedState(committed.digest, committed.revision)
            if (
                record.kind == RecordKind.MEMBERS
                and record.index == self.history.last_index
            ):
                self.history.members = msgspec.msgpack.decode(record.data, type=Members)
        self.record_committed_index(node)

    def record_committed_index(self, node: Node) -> None:
        """Save the committed index, but only if it is even, so that it may be old."""
        applied = node.replica.applied_index
        if self.records_uncommitted:
            node.disk.committed_index = node.disk.log.last_index
        elif applied % 2 == 0:
            node.disk.committed_index = applied

    def sync(self, node: Node, ready) -> None:
        """Save the effects of `ready` to the disk and check the saved records."""
        disk = node.disk
        disk.hard_state = ready.hard_state or disk.hard_state
        for record in ready.records:
            before = record.index - 1
            if before <= disk.log.last_index and before >= disk.log.base_index:
                self.history.record_saved(record, disk.log.term_at(before))
            disk.log.put(record)
            if record.kind == RecordKind.MEMBERS and node.replica.is_leader:
                self.check_new_voters(node, record)
        if ready.snapshot is not None:
            node.state = msgspec.msgpack.decode(
                ready.snapshot.data, type=ReplicatedState
            )
            committed = self.history.committed[ready.snapshot.last_index]
            is_same = (committed.digest, committed.revision) == (
                node.state.digest,
                node.state.revision,
            )
            require(
                is_same,
                "no_commit_lost",
                "installed snapshot differs from the committed records",
            )
            self.save_snapshot(node, ready.snapshot)

    def save_snapshot(self, node: Node, snapshot: Snapshot) -> None:
        """Save a snapshot and the log after it to the disk."""
        log = node.replica.log
        node.disk.snapshot = snapshot
        node.disk.log = Log(log.base_index, log.base_term, log.records)

    def check_new_voters(self, leader: Node, record: Record) -> None:
        """Check that the disk of a new voter holds all committed records."""
        members = msgspec.msgpack.decode(record.data, type=Members)
        for name, identity in members.voters.items():
            disk = self.nodes[name].disk
            if disk is None or disk.identity != identity or name == leader.node_id:
                continue
            earlier_members = [
                m for at, m in leader.replica.configurations if at < record.index
            ]
            if not earlier_members or identity in earlier_members[-1].voters.values():
                continue
            for index in range(
                disk.log.base_index + 1, leader.replica.commit_index + 1
            ):
                term = self.history.committed[index].record.term
                is_held = disk.log.holds(index, term)
                require(is_held, "voter_holds_commits", f"{name} lacks {index}")

    def check_leader(self, node: Node) -> None:
        """Check a leader once in each term."""
        replica = node.replica
        if replica.is_leader and node.last_led_term != replica.term:
            node.last_led_term = replica.term
            self.history.record_leader(node, replica.term)

    def request_join(self, node: Node) -> None:
        """Ask to join the cluster, as the driver does."""
        replica = node.replica
        if replica.is_member or replica.identity in replica.members.removed:
            return
        if self.now_ms >= node.next_join_ms:
            node.next_join_ms = self.now_ms + JOIN_RETRY_MS
            message = JoinRequest(0, node.node_id, replica.identity)
            self.send(node, [(n, message) for n in NODE_IDS if n != node.node_id])

    def send(self, node: Node, messages) -> None:
        """Queue messages on the network."""
        for receiver, message in messages:
            if isinstance(message, SnapshotPart):
                data = node.disk.snapshot.data
                part = data[message.offset : message.offset + SNAPSHOT_PART_BYTES]
                message = message._replace(data=part)
            self.network.append((node.node_id, receiver, message))

    # -- time and the network --------------------------------------------

    def run(self, duration_ms: int, rng: random.Random, loss: float) -> None:
        """Let time pass; messages are lost, repeated and delayed at rate `loss`."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for node in self.running_nodes():
                node.replica.tick(self.clock(node))
                self.run_turn(node)
            self.deliver(rng, loss)
            self.check_leases()

    def deliver(
        self, rng: random.Random, loss: float, without_turn: Node | None = None
    ) -> None:
        """Deliver the queued messages, and once the messages that they cause.

        The node `without_turn` receives messages but does not run its turn.
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
                self.deliver_message(sender, receiver, message)
            for node in self.running_nodes():
                if node is not without_turn:
                    self.run_turn(node)

    def deliver_message(self, sender: str, receiver: str, message: tuple) -> None:
        """Deliver a message unless its receiver is isolated, down or frozen."""
        node = self.nodes.get(receiver)
        if (sender in self.isolated) != (receiver in self.isolated) or node is None:
            return
        if node.replica is not None and not node.frozen:
            self.steps += 1
            node.replica.step(self.clock(node), message)
            self.check_leader(node)

    def check_leases(self) -> None:
        """Check that at most one replica holds a lease, frozen replicas included."""
        self.history.checks += 1
        holders = [
            node.node_id
            for node in self.nodes.values()
            if node.replica and node.replica.lease_left_ms(self.clock(node)) > 0
        ]
        require(len(holders) < 2, "one_lease_holder", f"{holders} at {self.now_ms}")

    # -- users -----------------------------------------------------------

    def leaders(self) -> list[Node]:
        """Return the running nodes whose replica is in the role of leader."""
        return [node for node in self.running_nodes() if node.replica.is_leader]

    def recover(self) -> None:
        """Connect, resume and start every node; a removed one gets a new disk."""
        self.isolated.clear()
        members = self.history.members
        for node in self.nodes.values():
            node.frozen = False
            if node.disk is None:
                continue
            if members is not None and node.disk.identity in members.removed:
                self.replace_disk(node.node_id)
            elif node.replica is None:
                self.start_node(node.node_id)

    def propose(self) -> None:
        """Propose a command at every replica in the role of leader."""
        for node in self.leaders():
            self.command_count += 1
            node.replica.propose(f"command-{self.command_count}".encode())

    def update_watcher(self, name: str) -> None:
        """Send the catalogue of an instance to the watcher and check its revision.

        The instance may be isolated or lag. The update is fresh, and so confirms the
        watcher, if the instance is a leader that holds its lease and has applied all
        committed records. The revision in force at the watcher must never decrease,
        not even across a restart of the watcher.
        """
        node = self.nodes[name]
        if node.replica is None:
            return
        leased = node.replica.lease_left_ms(self.clock(node)) > 0
        fresh = leased and node.replica.applied_index >= node.replica.commit_index
        content = msgspec.msgpack.encode(CatalogueImage(node.state.revision, {}))
        self.catalogue.apply_update(
            CatalogueUpdate(node.state.revision, fresh, content)
        )
        if self.catalogue.confirmed:
            before, self.watched_revision = (
                self.watched_revision,
                self.catalogue.revision,
            )
            detail = f"{before} became {self.watched_revision}"
            require(self.watched_revision >= before, "no_revision_reverts", detail)

    def restart_watcher(self) -> None:
        """Restart the watcher without its catalogue."""
        self.catalogue = self.catalogue_class()

    def compact(self, name: str) -> None:
        """Replace a node's applied records by a snapshot; keep none in the log."""
        node = self.nodes[name]
        if node.replica is None or node.replica.applied_index == 0:
            return
        self.run_turn(node)
        snapshot = node.replica.compact(msgspec.msgpack.encode(node.state))
        node.replica.log.compact(node.replica.applied_index)
        self.save_snapshot(node, snapshot)
