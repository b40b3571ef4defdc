import random

import pytest
from specs.cluster import Cluster, Disk

from wisteriapulley.consensus import Members, Replica
from wisteriapulley.consensus.replica import MAX_UNCOMMITTED_RECORDS
from wisteriapulley.consensus.replication import MAX_INFLIGHT_APPENDS
from wisteriapulley.consensus.types import OBSERVER_PREFIX
from wisteriapulley.errors import ResultCode, StorageError
from wisteriapulley.wire.messages import (
    AppendRequest,
    JoinRequest,
    LogRecord,
    TimeoutNow,
)


class ReliableCluster(Cluster):
    """A cluster whose network loses, delays and repeats no messages."""

    def __init__(self, **options):
        super().__init__(**options)
        self.advance_ms(3000)

    def advance_ms(self, duration_ms):
        self.run(duration_ms, random.Random(0), 0)

    @property
    def leader(self):
        return self.leaders()[0]

    @property
    def followers(self):
        return [n for n in self.running_nodes() if not n.replica.is_leader]

    def commit(self, count=1):
        for _ in range(count):
            self.propose()
        self.advance_ms(500)


@pytest.fixture
def cluster():
    return ReliableCluster()


def revisions(cluster):
    return [node.state.revision for node in cluster.running_nodes()]


class TestStartWithoutLeader:
    """Records known as committed before a restart are applied before an election."""

    def test_committed_records_are_applied_at_once(self, cluster):
        cluster.commit(3)
        for name in "abc":
            cluster.crash(name)
        cluster.start_node("a")
        cluster.advance_ms(25)
        assert not cluster.leaders()
        assert revisions(cluster)[0] >= 2

    def test_uncommitted_synced_record_is_not_applied(self, cluster):
        cluster.commit(2)
        leader = cluster.leader
        cluster.isolated.add(leader.node_id)
        committed_revision = leader.state.revision
        leader.replica.propose(b"x")
        cluster.run_turn(leader)
        assert leader.disk.log.last_index > leader.replica.commit_index
        cluster.crash(leader.node_id)
        cluster.start_node(leader.node_id)
        cluster.run_turn(leader)
        assert leader.replica.commit_index < leader.disk.log.last_index
        assert leader.state.revision <= committed_revision


class TestReplication:
    def test_command_is_applied_on_all_nodes(self, cluster):
        cluster.commit()
        assert revisions(cluster) == [1, 1, 1]

    def test_new_leader_keeps_committed_records(self, cluster):
        cluster.commit()
        first = cluster.leader.node_id
        cluster.crash(first)
        cluster.advance_ms(6000)
        cluster.commit()
        cluster.start_node(first)
        cluster.advance_ms(3000)
        assert revisions(cluster) == [2, 2, 2]

    def test_single_voter_commits_only_after_its_sync(self):
        replica = Replica("a", "disk", Members({"a": "disk"}))
        replica.tick(0)
        index = replica.propose(b"x")
        ready = replica.ready()
        assert replica.take_committed() == []
        replica.synced(ready)
        assert [r.index for r in replica.take_committed()] == [1, index]

    def test_inflight_appends_are_limited(self, cluster):
        leader = cluster.leader.replica
        for _ in range(3 * MAX_INFLIGHT_APPENDS):
            leader.propose(b"x")
            leader.flush_if_pending()
            leader.synced(leader.ready())
        inflight = [len(p.inflight) for p in leader.progress.values()]
        assert inflight == [MAX_INFLIGHT_APPENDS, MAX_INFLIGHT_APPENDS]
        cluster.advance_ms(1000)
        cluster.commit()
        assert {n.replica.last_index for n in cluster.running_nodes()} == {
            leader.last_index
        }

    def test_proposals_beyond_the_uncommitted_limit_are_refused(self, cluster):
        leader = cluster.leader.replica
        indices = [leader.propose(b"x") for _ in range(MAX_UNCOMMITTED_RECORDS + 2)]
        assert indices[MAX_UNCOMMITTED_RECORDS - 1] is not None
        assert indices[MAX_UNCOMMITTED_RECORDS:] == [None, None]

    def test_conflict_with_a_committed_record_raises_identity_mismatch(self, cluster):
        cluster.commit()
        follower = cluster.followers[0].replica
        record = LogRecord(99, follower.commit_index, 1, b"other")
        before = follower.log.between(1, follower.commit_index)[-2]
        message = AppendRequest(99, "z", before.index, before.term, 0, (record,), 1)
        with pytest.raises(StorageError) as caught:
            follower.step(cluster.now_ms, message)
        assert caught.value.code == ResultCode.IDENTITY_MISMATCH


class TestSnapshots:
    def test_follower_behind_the_compacted_log_gets_a_snapshot(self, cluster):
        behind = cluster.followers[0]
        cluster.crash(behind.node_id)
        for _ in range(4):
            cluster.commit(100)
        cluster.compact(cluster.leader.node_id)
        assert cluster.leader.replica.log.records == []
        cluster.start_node(behind.node_id)
        cluster.advance_ms(3000)
        assert revisions(cluster) == [400, 400, 400]
        assert behind.disk.snapshot is not None

    def test_snapshot_transfer_restarts_with_a_newer_snapshot(self, cluster):
        behind, leader = cluster.followers[0], cluster.leader
        cluster.crash(behind.node_id)
        cluster.commit(20)
        cluster.compact(leader.node_id)
        cluster.start_node(behind.node_id)
        while not behind.replica.snapshot_buffer:
            cluster.advance_ms(25)
        cluster.propose()
        commit_index = leader.replica.commit_index
        while leader.replica.commit_index == commit_index:
            cluster.advance_ms(25)
        cluster.compact(leader.node_id)
        cluster.advance_ms(3000)
        assert revisions(cluster) == [21, 21, 21]

    def test_restart_from_snapshot_and_log_tail(self, cluster):
        cluster.commit(10)
        name = cluster.followers[0].node_id
        cluster.compact(name)
        cluster.commit(5)
        cluster.start_node(name)
        assert cluster.nodes[name].state.revision == 10
        cluster.advance_ms(3000)
        assert revisions(cluster) == [15, 15, 15]


class TestLease:
    def test_isolated_leader_loses_its_lease_then_steps_down(self, cluster):
        first = cluster.leader
        cluster.isolated = {first.node_id}
        cluster.advance_ms(900)
        assert first.replica.lease_left_ms(cluster.clock(first)) == 0
        cluster.advance_ms(1000)
        assert not first.replica.is_leader

    def test_leader_holds_no_lease_after_a_freeze(self, cluster):
        first = cluster.leader
        assert first.replica.lease_left_ms(cluster.clock(first)) > 0
        first.frozen = True
        cluster.advance_ms(4000)
        # A frozen replica can't step down; only the clock shows that the lease expired.
        assert first.replica.is_leader
        assert first.replica.lease_left_ms(cluster.clock(first)) == 0

    def test_restarted_voter_waits_for_a_lease_it_may_have_acknowledged(self, cluster):
        voter = cluster.followers[0]
        cluster.start_node(voter.node_id)
        voter.replica.now_ms = cluster.clock(voter) + 900
        assert voter.replica.has_recent_leader()

    def test_start_time_of_the_process_counts_toward_the_wait(self, cluster):
        voter = cluster.followers[0]
        disk, now_ms = voter.disk, cluster.clock(voter)
        restarted = Replica(
            voter.node_id,
            disk.identity,
            disk.members,
            disk.hard_state,
            disk.copy_log(),
            now_ms=now_ms,
            started_ms=now_ms - 1000,
        )
        assert not restarted.has_recent_leader()
        assert restarted.election_at_ms < now_ms + restarted.timing.election_ms

    def test_election_is_fast_after_an_outage_of_all_instances(self, cluster):
        cluster.commit()
        for node in cluster.running_nodes():
            cluster.crash(node.node_id)
        cluster.advance_ms(500)
        for name in ("a", "b", "c"):
            cluster.start_node(name)
            replica = cluster.nodes[name].replica
            replica.leader_contact_ms -= 2000
            replica.schedule_early_election()
        cluster.advance_ms(700)
        assert cluster.leaders()

    def test_refused_pre_vote_after_a_start_is_retried_soon(self, cluster):
        """Instances that start 0.3 s apart elect a leader without a further timeout.

        The one that starts later refuses the first pre-vote, as it waits for a lease
        that it may have acknowledged. If the candidate then waited for a full election
        timeout, the election would take 0.68 s on average after the end of that wait,
        instead of 0.15 s.
        """
        cluster.commit()
        delays_ms = []
        for _ in range(20):
            for node in cluster.running_nodes():
                cluster.crash(node.node_id)
            cluster.start_node("a")
            cluster.advance_ms(300)
            cluster.start_node("b")
            cluster.advance_ms(1000)
            start_ms = cluster.now_ms
            while not cluster.leaders():
                cluster.advance_ms(25)
            delays_ms.append(cluster.now_ms - start_ms)
        assert sum(delays_ms) / len(delays_ms) < 250

    def test_leadership_transfer_ends_the_lease_and_needs_no_timeout(self, cluster):
        first = cluster.leader
        assert first.replica.transfer_leadership()
        assert first.replica.lease_left_ms(cluster.clock(first)) == 0
        cluster.advance_ms(100)
        assert cluster.leader is not first

    def test_timeout_now_of_an_older_term_is_ignored(self, cluster):
        follower = cluster.followers[0].replica
        term = follower.term
        follower.step(cluster.now_ms, TimeoutNow(term - 1, "a"))
        assert (follower.role.state, follower.term) == ("follower", term)


class TestMembership:
    def test_replaced_disk_is_a_learner_before_it_votes(self, cluster):
        cluster.commit(5)
        lost = cluster.followers[0]
        old = lost.replica.identity
        cluster.replace_disk(lost.node_id)
        assert lost.replica.role.state == "learner"
        cluster.advance_ms(5000)
        members = cluster.leader.replica.members
        assert members.voters[lost.node_id] == lost.replica.identity != old
        assert members.removed == (old,)
        assert revisions(cluster) == [5, 5, 5]

    def test_second_instance_is_lost_right_after_the_first_repair(self, cluster):
        cluster.commit(5)
        first, second = cluster.followers
        cluster.replace_disk(first.node_id)
        while not first.replica.is_voter or not cluster.can_lose_disk():
            cluster.advance_ms(25)
        cluster.crash(second.node_id)
        cluster.commit()
        assert revisions(cluster) == [6, 6]
        cluster.replace_disk(second.node_id)
        cluster.advance_ms(5000)
        assert revisions(cluster) == [6, 6, 6]

    def with_spare(self, cluster):
        """Start a fourth instance in a cluster with three desired voters."""
        cluster.replace_disk("d")
        for node in cluster.running_nodes():
            node.replica.desired_voters = 3
        cluster.advance_ms(3000)
        return cluster

    def test_spare_is_a_learner_while_all_voters_are_responsive(self, cluster):
        self.with_spare(cluster).commit(3)
        members = cluster.leader.replica.members
        assert set(members.voters) == {"a", "b", "c"}
        assert set(members.learners) == {"d"}
        assert revisions(cluster) == [3, 3, 3, 3]

    def test_spare_replaces_an_unresponsive_voter(self, cluster):
        self.with_spare(cluster).commit(3)
        lost = cluster.followers[0].node_id
        if lost == "d":
            lost = cluster.followers[1].node_id
        cluster.crash(lost)
        cluster.advance_ms(8000)
        members = cluster.leader.replica.members
        assert "d" in members.voters and lost not in members.voters
        # Its disk identity is kept, so that it may come back as a learner.
        assert lost in members.learners
        cluster.start_node(lost)
        cluster.nodes[lost].replica.desired_voters = 3
        cluster.advance_ms(3000)
        cluster.commit()
        assert revisions(cluster) == [4, 4, 4, 4]

    def test_observer_never_votes(self, cluster):
        """A restart of an instance without durable storage loses its votes."""
        self.with_spare(cluster)
        leader = cluster.leader.replica
        leader.handle_join_request(JoinRequest(0, "x", OBSERVER_PREFIX + "1"))
        cluster.advance_ms(500)
        assert leader.members.learners["x"] == OBSERVER_PREFIX + "1"
        # Neither to replace an unresponsive voter nor while voters are missing.
        leader.progress["x"].identity = OBSERVER_PREFIX + "1"
        leader.progress["x"].match_index = leader.commit_index
        leader.is_responsive = lambda node_id: True
        leader.is_replaceable = lambda node_id: node_id != leader.node_id
        assert not leader.should_promote("x")
        leader.desired_voters = 5
        assert not leader.should_promote("x")

    def test_removed_member_neither_deposes_the_leader_nor_rejoins(self, cluster):
        removed = cluster.followers[0]
        leader = cluster.leader
        leader.replica.remove_member(removed.node_id)
        cluster.advance_ms(5000)
        term = leader.replica.term
        cluster.advance_ms(10_000)
        assert cluster.leader is leader
        assert leader.replica.term == term
        assert removed.node_id not in leader.replica.members.node_ids()

    def test_change_waits_for_the_previous_one_and_needs_a_majority(self, cluster):
        leader, (first, second) = cluster.leader, cluster.followers
        cluster.isolated = {leader.node_id}
        assert leader.replica.remove_member(first.node_id)
        assert leader.replica.remove_member(second.node_id) is None
        cluster.advance_ms(1500)
        cluster.isolated = set()
        cluster.advance_ms(5000)
        cluster.crash(first.node_id)
        cluster.advance_ms(1500)
        # Of the two remaining voters one would be down, so the change could not commit.
        assert cluster.leader.replica.remove_member(second.node_id) is None

    def test_uncommitted_change_is_reverted_with_its_record(self, cluster):
        leader = cluster.leader
        before = leader.replica.members
        cluster.isolated = {leader.node_id}
        leader.replica.remove_member(cluster.followers[0].node_id)
        assert leader.replica.members != before
        cluster.advance_ms(4000)
        cluster.isolated = set()
        cluster.advance_ms(4000)
        assert leader.replica.members == before

    def test_vote_of_an_emptied_disk_under_its_old_node_id_is_not_counted(
        self, cluster
    ):
        first, second = cluster.followers
        cluster.crash(second.node_id)
        cluster.crash(cluster.leader.node_id)
        first.disk, old_disk = Disk("empty", Members({})), first.disk
        cluster.start_node(first.node_id)
        cluster.advance_ms(10_000)
        assert cluster.leaders() == []
        cluster.start_node(second.node_id)
        cluster.advance_ms(10_000)
        assert cluster.leaders() == []
        first.disk = old_disk
        cluster.start_node(first.node_id)
        cluster.advance_ms(6000)
        assert len(cluster.leaders()) == 1
