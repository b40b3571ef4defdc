"""Hypothesis drives a cluster of real replicas through faults of every kind.

A rule is an episode: some faults together, proposals, time, and mostly a
recovery, so that long runs do not end in a cluster that is down for good.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from specs.cluster import NAMES, Cluster


def crash(cluster: Cluster, name: str) -> None:
    """Stop a node; it keeps its disk."""
    cluster.crash(name)


def crash_before_sync(cluster: Cluster, name: str) -> None:
    """Stop a node after its early messages left and before its sync."""
    node = cluster.nodes[name]
    if node.replica is not None:
        cluster.propose()
        cluster.begin(node)
        cluster.crash(name)


def bounce(cluster: Cluster, name: str) -> None:
    """Restart a node at once."""
    if cluster.nodes[name].disk is not None:
        cluster.boot(name)


def lose_disk(cluster: Cluster, name: str) -> None:
    """Replace a disk, when the last loss is repaired; or start the spare."""
    if cluster.may_lose_disk():
        cluster.replace_disk(name)


def cut(cluster: Cluster, name: str) -> None:
    """Cut a node off from those that are not cut."""
    cluster.cut.add(name)


def freeze(cluster: Cluster, name: str) -> None:
    """Freeze a node: its clock goes on, it does nothing."""
    cluster.nodes[name].frozen = True


def compact(cluster: Cluster, name: str) -> None:
    """Cut a node's log."""
    cluster.compact(name)


def remove(cluster: Cluster, name: str) -> None:
    """Take a member out, when more than two vote."""
    for node in cluster.leaders():
        if len(node.replica.members.voters) > 2:
            node.replica.remove_member(name)


def restart_watcher(cluster: Cluster, name: str) -> None:
    """Restart the watcher of the catalogue."""
    cluster.restart_watcher()


FAULTS = (
    crash,
    crash_before_sync,
    bounce,
    lose_disk,
    cut,
    freeze,
    compact,
    remove,
    restart_watcher,
)
names = st.sampled_from(NAMES)
durations = st.sampled_from([100, 400, 1300, 3000])
faults = st.lists(st.tuples(st.sampled_from(FAULTS), names), max_size=3)


class ReplicaMachine(RuleBasedStateMachine):
    """Rules are the events; the invariants are checked inside the cluster."""

    options: dict = {}
    steps = 0
    checks = 0

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(**self.options)
        self.cluster.run(2500, random.Random(0), 0)

    def teardown(self):
        """Add up what was done."""
        type(self).steps += self.cluster.steps
        type(self).checks += self.cluster.truth.checks

    @rule(
        faults=faults,
        duration_ms=st.sampled_from([25, 100, 400, 1300, 3000]),
        loss=st.sampled_from([0, 0, 0.1, 0.3]),
        seed=st.integers(0, 1 << 16),
        recovers=st.sampled_from([True, True, False]),
    )
    def episode(self, faults, duration_ms, loss, seed, recovers):
        """Let faults come together, and time pass."""
        cluster, rng = self.cluster, random.Random(seed)
        cluster.propose()
        for fault, name in faults:
            fault(cluster, name)
            if rng.random() < 0.5:
                cluster.deliver(rng, loss)
        cluster.propose()
        cluster.run(duration_ms, rng, loss)
        for name in rng.sample(NAMES, len(NAMES)):
            cluster.watch(name)
        if recovers:
            cluster.recover()

    @rule(duration_ms=st.sampled_from([400, 1300, 3000]))
    def quiet(self, duration_ms):
        """Recover, and let time pass without faults."""
        self.cluster.recover()
        self.cluster.run(duration_ms, random.Random(duration_ms), 0)

    @rule(
        crashes=st.sets(names, max_size=2),
        leader_crashes=st.booleans(),
        duration_ms=durations,
    )
    def slow_sync(self, crashes, leader_crashes, duration_ms):
        """Let messages pass while a leader syncs, and lose what is not synced."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        for leader in cluster.leaders():
            cluster.propose()
            ready = cluster.begin(leader)
            self.lose_syncs(leader, crashes - {leader.node_id})
            cluster.deliver(rng, 0, apart=leader)
            cluster.apply(leader)
            if leader_crashes:
                cluster.crash(leader.node_id)
            else:
                cluster.finish(leader, ready)
                cluster.cut = {leader.node_id}
        for name in crashes:
            bounce(cluster, name)
        cluster.run(duration_ms, rng, 0)
        cluster.recover()

    def lose_syncs(self, leader, crashes):
        """Let followers hear a leader, answer what they may, and crash."""
        cluster = self.cluster
        pending, cluster.network = cluster.network, []
        for sender, receiver, message in pending:
            cluster.hand_in(sender, receiver, message)
        for name in crashes:
            if cluster.nodes[name].replica is not None:
                cluster.begin(cluster.nodes[name])
                cluster.crash(name)

    @rule(
        first=names,
        second=names,
        bounced=st.sets(names, max_size=2),
        duration_ms=st.sampled_from([1300, 3000]),
    )
    def partition_moves(self, first, second, bounced, duration_ms):
        """Cut one node off, then another; some restart, the first campaigns."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        cluster.cut = {first}
        cluster.run(duration_ms, rng, 0)
        for name in bounced:
            bounce(cluster, name)
        cluster.cut = {second}
        self.campaign({first})
        cluster.run(400, rng, 0)
        cluster.recover()

    @rule(candidates=st.sets(names, min_size=2), seed=st.integers(0, 1 << 16))
    def race(self, candidates, seed):
        """Let several campaign at once, after a silence."""
        cluster, rng = self.cluster, random.Random(seed)
        for leader in cluster.leaders():
            cluster.cut.add(leader.node_id)
        cluster.run(1200, rng, 0)
        self.campaign(candidates)
        cluster.run(400, rng, rng.choice([0, 0.2]))
        cluster.recover()

    def campaign(self, candidates):
        """Let voters that hear no leader campaign without a pre-vote."""
        for node in self.cluster.up():
            replica = node.replica
            replica.now_ms = self.cluster.clock(node)
            idle = replica.role.state in ("follower", "candidate")
            if node.node_id in candidates and idle and not replica.has_recent_leader():
                replica.campaign(pre_vote=False)

    @rule(cuts=st.booleans(), duration_ms=durations)
    def hand_over(self, cuts, duration_ms):
        """Let leaders hand over, and cut them off as soon as they asked."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        cluster.run(100, rng, 0)
        leaders = cluster.leaders()
        for node in leaders:
            node.replica.transfer_leadership()
        cluster.deliver(rng, 0)
        if cuts:
            cluster.cut = {node.node_id for node in leaders}
        cluster.run(duration_ms, rng, 0)
        cluster.recover()

    @rule(
        removed=st.lists(names, min_size=1, max_size=3),
        apart=st.booleans(),
        duration_ms=durations,
    )
    def shrink(self, removed, apart, duration_ms):
        """Take members out in a row, with the leader cut off or not."""
        cluster, rng = self.cluster, random.Random(duration_ms)
        for leader in cluster.leaders():
            if apart:
                cluster.cut = {leader.node_id}
            for name in removed:
                leader.replica.remove_member(name)
        cluster.propose()
        cluster.run(duration_ms, rng, 0)
        cluster.recover()
