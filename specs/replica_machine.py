"""Hypothesis state machine that runs a cluster of real replicas through faults.

Most rules combine faults, proposals and time, and end with a recovery, so that
a long run does not end in a cluster that stays down.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from specs.cluster import NODE_IDS, Cluster


def crash(cluster: Cluster, name: str) -> None:
    """Stop a node but keep its disk."""
    cluster.crash(name)


def crash_before_sync(cluster: Cluster, name: str) -> None:
    """Stop a node after its early messages are sent and before its sync."""
    node = cluster.nodes[name]
    if node.replica is not None:
        cluster.propose()
        cluster.begin_turn(node)
        cluster.crash(name)


def restart(cluster: Cluster, name: str) -> None:
    """Restart a node that has a disk."""
    if cluster.nodes[name].disk is not None:
        cluster.start_node(name)


def lose_disk(cluster: Cluster, name: str) -> None:
    """Replace a node's disk if earlier losses are repaired; may start the spare."""
    if cluster.can_lose_disk():
        cluster.replace_disk(name)


def isolate(cluster: Cluster, name: str) -> None:
    """Isolate a node from the nodes that are not isolated."""
    cluster.isolated.add(name)


def freeze(cluster: Cluster, name: str) -> None:
    """Freeze a node: its clock advances but the node does nothing."""
    cluster.nodes[name].frozen = True


def compact(cluster: Cluster, name: str) -> None:
    """Replace the applied records of a node's log by a snapshot."""
    cluster.compact(name)


def remove_member(cluster: Cluster, name: str) -> None:
    """Remove a member if there are more than two voters."""
    for node in cluster.leaders():
        if len(node.replica.members.voters) > 2:
            node.replica.remove_member(name)


def restart_watcher(cluster: Cluster, name: str) -> None:
    """Restart the watcher of the catalogue; `name` is ignored."""
    cluster.restart_watcher()


FAULTS = (
    crash,
    crash_before_sync,
    restart,
    lose_disk,
    isolate,
    freeze,
    compact,
    remove_member,
    restart_watcher,
)
names = st.sampled_from(NODE_IDS)
durations = st.sampled_from([100, 400, 1300, 3000])
faults = st.lists(st.tuples(st.sampled_from(FAULTS), names), max_size=3)


class ReplicaMachine(RuleBasedStateMachine):
    """Rules are the events; `Cluster` checks the invariants."""

    options: dict = {}
    steps = 0
    checks = 0

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(**self.options)
        self.cluster.run(2500, random.Random(0), 0)

    def teardown(self):
        """Add the counts of the example to the totals."""
        type(self).steps += self.cluster.steps
        type(self).checks += self.cluster.history.checks

    @rule(
        faults=faults,
        duration_ms=st.sampled_from([25, 100, 400, 1300, 3000]),
        loss=st.sampled_from([0, 0, 0.1, 0.3]),
        seed=st.integers(0, 1 << 16),
        recovers=st.sampled_from([True, True, False]),
    )
    def episode(self, faults, duration_ms, loss, seed, recovers):
        """Inject several faults, then let time pass."""
        cluster, rng = self.cluster, random.Random(seed)
        cluster.propose()
        for fault, name in faults:
            fault(cluster, name)
            if rng.random() < 0.5:
                cluster.deliver(rng, loss)
        cluster.propose()
        cluster.run(duration_ms, rng, loss)
        for name in rng.sample(NODE_IDS, len(NODE_IDS)):
            cluster.update_watcher(name)
        if recovers:
            cluster.recover()

    @rule(duration_ms=st.sampled_from([400, 1300, 3000]))
    def quiet(self, duration_ms):
        """Recover, then let time pass without faults."""
        self.cluster.recover()
        self.cluster.run(duration_ms, random.Random(duration_ms), 0)

    @rule(
        crashes=st.sets(names, max_size=2),
        leader_crashes=st.booleans(),
        duration_ms=durations,
    )
    def slow_sync(self, crashes, leader_crashes, duration_ms):
        """Deliver messages while leaders sync, and crash nodes before their sync."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        for leader in cluster.leaders():
            cluster.propose()
            ready = cluster.begin_turn(leader)
            self.crash_before_syncs(leader, crashes - {leader.node_id})
            cluster.deliver(rng, 0, without_turn=leader)
            cluster.apply_committed(leader)
            if leader_crashes:
                cluster.crash(leader.node_id)
            else:
                cluster.finish_turn(leader, ready)
                cluster.isolated = {leader.node_id}
        for name in crashes:
            restart(cluster, name)
        cluster.run(duration_ms, rng, 0)
        cluster.recover()

    def crash_before_syncs(self, leader, crashes):
        """Deliver all messages, send the early replies and crash some followers."""
        cluster = self.cluster
        pending, cluster.network = cluster.network, []
        for sender, receiver, message in pending:
            cluster.deliver_message(sender, receiver, message)
        for name in crashes:
            if cluster.nodes[name].replica is not None:
                cluster.begin_turn(cluster.nodes[name])
                cluster.crash(name)

    @rule(
        first=names,
        second=names,
        crashed=st.sets(names, max_size=2),
        duration_ms=st.sampled_from([1300, 3000]),
    )
    def partition_moves(self, first, second, crashed, duration_ms):
        """Isolate one node, then another; some restart, the first one campaigns."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        cluster.isolated = {first}
        cluster.run(duration_ms, rng, 0)
        for name in crashed:
            restart(cluster, name)
        cluster.isolated = {second}
        self.campaign({first})
        cluster.run(400, rng, 0)
        cluster.recover()

    @rule(candidates=st.sets(names, min_size=2), seed=st.integers(0, 1 << 16))
    def rival_campaigns(self, candidates, seed):
        """Let several nodes campaign at once after losing contact with the leader."""
        cluster, rng = self.cluster, random.Random(seed)
        for leader in cluster.leaders():
            cluster.isolated.add(leader.node_id)
        cluster.run(1200, rng, 0)
        self.campaign(candidates)
        cluster.run(400, rng, rng.choice([0, 0.2]))
        cluster.recover()

    def campaign(self, candidates):
        """Let the nodes that hear from no leader campaign without a pre-vote."""
        for node in self.cluster.running_nodes():
            replica = node.replica
            replica.now_ms = self.cluster.clock(node)
            idle = replica.role.state in ("follower", "candidate")
            if node.node_id in candidates and idle and not replica.has_recent_leader():
                replica.campaign(pre_vote=False)

    @rule(disconnect_leaders=st.booleans(), duration_ms=durations)
    def leadership_transfer(self, disconnect_leaders, duration_ms):
        """Transfer leadership, and isolate the old leaders once they have asked."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        cluster.run(100, rng, 0)
        leaders = cluster.leaders()
        for node in leaders:
            node.replica.transfer_leadership()
        cluster.deliver(rng, 0)
        if disconnect_leaders:
            cluster.isolated = {node.node_id for node in leaders}
        cluster.run(duration_ms, rng, 0)
        cluster.recover()

    @rule(
        removed=st.lists(names, min_size=1, max_size=3),
        disconnect_leader=st.booleans(),
        duration_ms=durations,
    )
    def shrink_membership(self, removed, disconnect_leader, duration_ms):
        """Remove several members in a row, with the leader isolated or not."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        for leader in cluster.leaders():
            if disconnect_leader:
                cluster.isolated = {leader.node_id}
            for name in removed:
                leader.replica.remove_member(name)
        cluster.propose()
        cluster.run(duration_ms, rng, 0)
        cluster.recover()
