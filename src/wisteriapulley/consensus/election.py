"""Raft elections: pre-vote, votes by disk identity, lease, leadership transfer."""

from wisteriapulley.consensus.base import (
    FIRST_PRE_VOTE_DELAY_FRACTION,
    FIRST_VOTE_DELAY_FRACTION,
    NEVER_MS,
    Progress,
    ReplicaBase,
)
from wisteriapulley.consensus.types import RecordKind
from wisteriapulley.wire.messages import TimeoutNow, VoteReply, VoteRequest


class Election(ReplicaBase):
    """How a replica becomes leader, holds its lease and gives up leadership."""

    def lease_left_ms(self, now_ms: float) -> float:
        """Return the remaining time of this leader's lease; 0 without one.

        The lease starts when the newest round that a majority acknowledged was sent.
        Followers that acknowledged it refuse votes for `election_ms`, which is longer
        than `lease_ms`, so no other leader is elected before the lease expires.

        Parameters
        ----------
        now_ms : float
            The monotonic clock, read when the lease is used. With an older reading, a
            process that was frozen would take an expired lease for a valid one.
        """
        if not self.is_leader or self.transferring_leadership:
            return 0.0
        if self.commit_index < self.term_start:
            return 0.0
        if len(self.members.voters) == 1 and self.is_voter:
            return float(self.timing.lease_ms)
        return max(0.0, self.quorum_contact_ms + self.timing.lease_ms - now_ms)

    def has_recent_leader(self) -> bool:
        """Return whether a leader message came within the minimum election timeout."""
        if self.is_leader:
            return True
        return self.now_ms - self.leader_contact_ms < self.timing.election_ms

    def adopt_term(self, term: int) -> None:
        """Adopt a higher term and step down."""
        self.term = term
        self.voted_for = ""
        self.step_down()

    def campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Request votes, or pre-votes that ask whether voters would grant them."""
        self.reset_election_timeout()
        if not self.is_voter:
            return
        if not self.has_seen_leader:
            # Retry soon: a voter that started later refuses until any lease that it
            # may have acknowledged has expired, and two candidates at the same time
            # split the vote.
            fraction = (
                FIRST_PRE_VOTE_DELAY_FRACTION if pre_vote else FIRST_VOTE_DELAY_FRACTION
            )
            self.schedule_early_election(fraction)
        self.role.fire("campaign")
        self.leader = ""
        self.pre_voting = pre_vote
        self.votes = {self.node_id}
        if not pre_vote:
            self.term += 1
            self.voted_for = self.node_id
        request = VoteRequest(
            self.term + 1 if pre_vote else self.term,
            self.node_id,
            self.last_index,
            self.last_term,
            pre_vote,
            self.identity,
            transfer,
        )
        for node_id in self.other_voters():
            self.send(node_id, request)
        self.count_votes()

    def count_votes(self) -> None:
        """Start the real vote or become leader once a majority has agreed."""
        if len(self.votes) < self.members.quorum_size():
            return
        if self.pre_voting:
            self.campaign(pre_vote=False)
        else:
            self.become_leader()

    def become_leader(self) -> None:
        """Become leader and start the term with an empty record."""
        self.role.fire("win")
        self.leader = self.node_id
        self.has_seen_leader = True
        self.progress = {
            node_id: Progress(self.last_index + 1) for node_id in self.peer_ids()
        }
        self.round_sent_ms = {}
        self.quorum_contact_ms = NEVER_MS
        self.elected_ms = self.now_ms
        self.transferring_leadership = False
        self.join_requests = {}
        self.term_start = self.last_index + 1
        self.append(RecordKind.EMPTY, b"")
        self.broadcast()

    def check_quorum(self) -> None:
        """Step down if no majority has responded for an election timeout."""
        if len(self.members.voters) == 1 and self.is_voter:
            return
        last = max(self.quorum_contact_ms, self.elected_ms)
        if self.now_ms - last > self.timing.election_ms:
            self.step_down()

    def update_quorum_contact(self) -> None:
        """Renew the lease from the newest round that a majority acknowledged."""
        rounds = sorted(map(self.acked_round_of, self.other_voters()), reverse=True)
        needed = self.members.quorum_size() - 1
        if len(rounds) >= needed > 0:
            sent = self.round_sent_ms.get(rounds[needed - 1])
            if sent is not None:
                self.quorum_contact_ms = max(self.quorum_contact_ms, sent)

    def acked_round_of(self, node_id: str) -> int:
        """Return the newest round that a voter acknowledged with its current disk."""
        progress = self.progress.get(node_id)
        if progress is None or progress.identity != self.members.voters[node_id]:
            return 0
        return progress.acked_round

    # -- leadership transfer ---------------------------------------------

    def transfer_leadership(self) -> bool:
        """Ask a voter that has the complete log to campaign at once.

        This leader steps down and so gives up its lease before the request is sent.
        Whatever it granted under the lease expires with the lease at the latest, and
        it grants nothing more.

        Returns
        -------
        bool
            Whether a voter was asked. If not, call again after the next round.
        """
        if not self.is_leader or self.commit_index < self.last_index:
            return False
        successors = [
            n for n in self.other_voters() if self.match_index_of(n) == self.last_index
        ]
        if not successors:
            return False
        successor = max(successors, key=self.acked_round_of)
        self.send(successor, TimeoutNow(self.term, self.node_id))
        self.step_down()
        return True

    def handle_timeout_now(self, message: TimeoutNow) -> None:
        """Campaign at once on the request of the current leader."""
        if message.term == self.term and self.role.state == "follower":
            self.campaign(pre_vote=False, transfer=True)

    # -- votes -----------------------------------------------------------

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Grant or refuse a vote.

        The candidate need not be a member in this replica's configuration: a replica
        that lags may not have the record that added it. The candidate counts only votes
        of disk identities in its own configuration, so the vote of an emptied disk
        under an old node id is never counted.
        """
        up_to_date = (message.last_term, message.last_index) >= (
            self.last_term,
            self.last_index,
        )
        granted = up_to_date and (message.transfer or not self.has_recent_leader())
        if message.pre_vote:
            granted = granted and message.term > self.term
        else:
            granted = (
                granted
                and message.term == self.term
                and self.voted_for in ("", message.candidate)
            )
        if granted and not message.pre_vote:
            self.voted_for = message.candidate
            self.reset_election_timeout()
        term = message.term if granted else self.term
        self.send(
            message.candidate,
            VoteReply(term, self.node_id, granted, message.pre_vote, self.identity),
        )

    def handle_vote_reply(self, message: VoteReply) -> None:
        """Count a granted vote; adopt the higher term of a refused pre-vote."""
        if message.pre_vote and not message.granted and message.term > self.term:
            self.adopt_term(message.term)
            return
        expected_term = self.term + 1 if self.pre_voting else self.term
        if (
            self.role.state != "candidate"
            or message.pre_vote != self.pre_voting
            or message.term != expected_term
            or not message.granted
            or self.members.voters.get(message.voter) != message.identity
        ):
            return
        self.votes.add(message.voter)
        self.count_votes()
