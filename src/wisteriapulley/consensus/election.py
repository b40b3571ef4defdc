"""Elections: pre-vote, votes by disk identity, leases and handing over."""

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
    """How a replica gains, proves and gives up the lead."""

    def lease_left_ms(self, now_ms: float) -> float:
        """Return how long this leader's lease still holds; 0 without one.

        The lease starts when the round that a majority answered was sent.
        Followers that answered refuse votes for `election_ms`, which is longer
        than `lease_ms`, so nobody else leads before it ends. `now_ms` is read
        by the caller at the moment of use: after a freeze it shows the lapse.
        """
        if not self.is_leader or self.transferring_leadership:
            return 0.0
        if self.commit_index < self.term_start:
            return 0.0
        if len(self.members.voters) == 1 and self.is_voter:
            return float(self.timing.lease_ms)
        return max(0.0, self.quorum_contact_ms + self.timing.lease_ms - now_ms)

    def has_recent_leader(self) -> bool:
        """Tell whether a leader spoke within the shortest election timeout."""
        if self.is_leader:
            return True
        return self.now_ms - self.leader_contact_ms < self.timing.election_ms

    def adopt_term(self, term: int) -> None:
        """Follow a higher term."""
        self.term = term
        self.voted_for = ""
        self.step_down()

    def campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Ask for votes; first whether they would be given."""
        self.reset_election_timeout()
        if not self.is_voter:
            return
        if not self.has_seen_leader:
            # One that started later refuses until its own wait is over, and two
            # that ask at the same moment share the votes.
            share = (
                FIRST_PRE_VOTE_DELAY_FRACTION if pre_vote else FIRST_VOTE_DELAY_FRACTION
            )
            self.schedule_early_election(share)
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
        """Move on when a majority agreed."""
        if len(self.votes) < self.members.quorum_size():
            return
        if self.pre_voting:
            self.campaign(pre_vote=False)
        else:
            self.become_leader()

    def become_leader(self) -> None:
        """Take the lead: open the term with an empty record."""
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
        """Step down when a majority has been silent for an election timeout."""
        if len(self.members.voters) == 1 and self.is_voter:
            return
        last = max(self.quorum_contact_ms, self.elected_ms)
        if self.now_ms - last > self.timing.election_ms:
            self.step_down()

    def update_quorum_contact(self) -> None:
        """Renew the lease from the newest round that a majority answered."""
        rounds = sorted(map(self.acked_round_of, self.other_voters()), reverse=True)
        needed = self.members.quorum_size() - 1
        if len(rounds) >= needed > 0:
            sent = self.round_sent_ms.get(rounds[needed - 1])
            if sent is not None:
                self.quorum_contact_ms = max(self.quorum_contact_ms, sent)

    def acked_round_of(self, node_id: str) -> int:
        """Return the newest round that a voter's own disk answered."""
        progress = self.progress.get(node_id)
        if progress is None or progress.identity != self.members.voters[node_id]:
            return 0
        return progress.acked_round

    # -- handing over ----------------------------------------------------

    def transfer_leadership(self) -> bool:
        """Ask the voter that holds the whole log to take the lead at once.

        The lease ends first: what this leader told others on its strength holds
        no longer than the lease that it had, and it grants nothing more.

        Returns
        -------
        bool
            Whether one was asked. If not, call again after the next round.
        """
        if not self.is_leader or self.commit_index < self.last_index:
            return False
        heirs = [
            n for n in self.other_voters() if self.match_index_of(n) == self.last_index
        ]
        if not heirs:
            return False
        heir = max(heirs, key=self.acked_round_of)
        self.send(heir, TimeoutNow(self.term, self.node_id))
        self.step_down()
        return True

    def handle_timeout_now(self, message: TimeoutNow) -> None:
        """Campaign at once, as the leader asks."""
        if message.term == self.term and self.role.state == "follower":
            self.campaign(pre_vote=False, transfer=True)

    # -- votes -----------------------------------------------------------

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Grant or refuse a vote.

        Whoever asks: a replica that lags may not know a new member yet. The
        candidate counts only the votes of identities in its own configuration,
        so the vote of an emptied disk under an old name counts nowhere.
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
        """Count a vote."""
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
