"""One replica of the log: a pure state machine.

Messages, ticks and proposals go in; `Ready` comes out. It has no clock, no
sockets and no disk of its own, so that a test can drive it through any order
of events. Roles follow ``charts/replica.json``.
"""

import random
from functools import singledispatchmethod

import msgspec

from wisteriapulley.consensus.types import (
    HardState,
    Members,
    Ready,
    Record,
    RecordKind,
    Timing,
)
from wisteriapulley.statechart import StateChart
from wisteriapulley.wire.messages import (
    AppendReply,
    AppendRequest,
    LogRecord,
    VoteReply,
    VoteRequest,
)

# Records in one append: bounds a message to what a follower syncs at once.
MAX_RECORDS = 512


class Progress:
    """What a leader knows of one follower."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.acked_round = 0


class Replica:
    """One member of the quorum.

    Parameters
    ----------
    node_id : str
        This member.
    identity : str
        Identity of its disk.
    members : Members
        Configuration at the start of the log.
    hard_state : HardState
        As last synced.
    records : list of Record
        The synced log, from index 1.
    timing : Timing
        Timeouts.
    rng : random.Random
        Spreads elections; seeded in tests.
    now_ms : float
        The monotonic clock's reading at the start.
    """

    def __init__(
        self,
        node_id: str,
        identity: str,
        members: Members,
        hard_state: HardState | None = None,
        records: list[Record] | None = None,
        timing: Timing | None = None,
        rng: random.Random | None = None,
        now_ms: float = 0.0,
    ):
        self.node_id = node_id
        self.identity = identity
        self.members = members
        self.saved = hard_state or HardState()
        self.term = self.saved.term
        self.voted_for = self.saved.voted_for
        self.log: list[Record] = list(records or [])
        self.timing = timing or Timing()
        self.rng = rng or random.Random(node_id)
        self.now_ms = now_ms
        self.role = StateChart("replica")
        self.leader = ""
        self.commit_index = 0
        self.applied_index = 0
        self.heard_ms = float("-inf")
        self.votes: set[str] = set()
        self.pre_voting = False
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent: dict[int, float] = {}
        self.confirmed_ms = float("-inf")
        self.next_beat_ms = 0.0
        self.elected_ms = 0.0
        self.election_at_ms = 0.0
        self.term_start = 0
        self.unsaved: list[Record] = []
        self.outbox: list[tuple[str, tuple]] = []
        for record in self.log:
            self.adopt_members(record)
        self.reset_election()

    # -- what others read ------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader role."""
        return self.role.state == "leader"

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.log[-1].index if self.log else 0

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.log[-1].term if self.log else 0

    def lease_left_ms(self, now_ms: float) -> float:
        """Return how long this leader's lease still holds; 0 without one.

        The lease starts when the round that a majority answered was sent.
        Followers that answered refuse votes for `election_ms`, which is longer
        than `lease_ms`, so nobody else leads before it ends.
        """
        if not self.is_leader or self.commit_index < self.term_start:
            return 0.0
        return max(0.0, self.confirmed_ms + self.timing.lease_ms - now_ms)

    def term_at(self, index: int) -> int:
        """Return the term of the record at `index`; 0 before the first."""
        return self.log[index - 1].term if index else 0

    # -- inputs ----------------------------------------------------------

    def tick(self, now_ms: float) -> None:
        """Advance the clock: beat, campaign or step down when it is time."""
        self.now_ms = now_ms
        if self.is_leader:
            self.check_quorum()
        if self.is_leader and now_ms >= self.next_beat_ms:
            self.broadcast()
        elif not self.is_leader and now_ms >= self.election_at_ms:
            self.campaign(pre_vote=True)

    def propose(self, data: bytes) -> int | None:
        """Append a command.

        Returns
        -------
        int or None
            Its index, or None when this replica does not lead.
        """
        if not self.is_leader:
            return None
        return self.append(RecordKind.COMMAND, data)

    def flush_if_pending(self) -> None:
        """Send proposed records now rather than with the next heartbeat."""
        if self.is_leader and self.unsaved:
            self.broadcast()

    def step(self, now_ms: float, message: tuple) -> None:
        """Take in one message of another member."""
        self.now_ms = now_ms
        if message.term > self.term and not self.is_question(message):
            self.adopt_term(message.term)
        self.receive(message)

    def is_question(self, message: tuple) -> bool:
        """Tell whether the message's term is only asked about, not in force."""
        if isinstance(message, VoteRequest):
            return message.pre_vote or self.hears_leader()
        return isinstance(message, VoteReply) and message.pre_vote

    def ready(self) -> Ready:
        """Return the effects since the last call, and forget them."""
        hard_state = HardState(self.term, self.voted_for)
        changed = hard_state if hard_state != self.saved else None
        self.saved = hard_state
        records, self.unsaved = tuple(self.unsaved), []
        self.advance_commit(synced=True)
        messages, self.outbox = tuple(self.outbox), []
        committed = tuple(self.log[self.applied_index : self.commit_index])
        self.applied_index = self.commit_index
        return Ready(changed, records, messages, committed)

    # -- elections -------------------------------------------------------

    def reset_election(self) -> None:
        """Start a new random election timeout."""
        spread = 1 + self.rng.random()
        self.election_at_ms = self.now_ms + self.timing.election_ms * spread

    def hears_leader(self) -> bool:
        """Tell whether a leader spoke within the shortest election timeout."""
        if self.is_leader:
            return True
        return self.now_ms - self.heard_ms < self.timing.election_ms

    def adopt_term(self, term: int) -> None:
        """Follow a higher term."""
        self.term = term
        self.voted_for = ""
        self.leader = ""
        self.role.fire("step_down")
        self.pre_voting = False
        self.reset_election()

    def campaign(self, pre_vote: bool) -> None:
        """Ask for votes; first whether they would be given."""
        self.reset_election()
        if self.node_id not in self.members.voters:
            return
        self.role.fire("campaign")
        self.leader = ""
        self.pre_voting = pre_vote
        self.votes = {self.node_id}
        if not pre_vote:
            self.term += 1
            self.voted_for = self.node_id
        for node_id in self.other_voters():
            self.send(
                node_id,
                VoteRequest(
                    self.term + 1 if pre_vote else self.term,
                    self.node_id,
                    self.last_index,
                    self.last_term,
                    pre_vote,
                    self.identity,
                ),
            )
        self.count_votes()

    def count_votes(self) -> None:
        """Move on when a majority agreed."""
        if len(self.votes) < self.members.quorum():
            return
        if self.pre_voting:
            self.campaign(pre_vote=False)
        else:
            self.lead()

    def lead(self) -> None:
        """Take the lead: open the term with an empty record."""
        self.role.fire("win")
        self.leader = self.node_id
        self.progress = {
            node_id: Progress(self.last_index + 1) for node_id in self.others()
        }
        self.round_sent = {}
        self.confirmed_ms = self.now_ms if self.members.quorum() == 1 else float("-inf")
        self.elected_ms = self.now_ms
        self.term_start = self.last_index + 1
        self.append(RecordKind.EMPTY, b"")
        self.broadcast()

    def check_quorum(self) -> None:
        """Step down when a majority has been silent for an election timeout."""
        if self.members.quorum() == 1:
            self.confirmed_ms = self.now_ms
        last = max(self.confirmed_ms, self.elected_ms)
        if self.now_ms - last > self.timing.election_ms:
            self.role.fire("step_down")
            self.leader = ""
            self.reset_election()

    # -- replication -----------------------------------------------------

    def append(self, kind: RecordKind, data: bytes) -> int:
        """Append a record of this term to the own log."""
        record = Record(self.term, self.last_index + 1, int(kind), data)
        self.store(record)
        return record.index

    def store(self, record: Record) -> None:
        """Put a record at its index, cutting what stood there and after."""
        del self.log[record.index - 1 :]
        self.log.append(record)
        self.unsaved.append(record)
        self.adopt_members(record)

    def adopt_members(self, record: Record) -> None:
        """Use a configuration as soon as it stands in the log."""
        if record.kind == RecordKind.MEMBERS:
            self.members = msgspec.msgpack.decode(record.data, type=Members)

    def broadcast(self) -> None:
        """Send every follower what it lacks, as a new round."""
        self.round += 1
        self.round_sent[self.round] = self.now_ms
        for old in [r for r in self.round_sent if r < self.round - 64]:
            del self.round_sent[old]
        self.next_beat_ms = self.now_ms + self.timing.heartbeat_ms
        for node_id in self.others():
            self.send_append(node_id)

    def send_append(self, node_id: str) -> None:
        """Send one follower the records after its `next_index`."""
        progress = self.progress.setdefault(node_id, Progress(self.last_index + 1))
        first = progress.next_index
        records = self.log[first - 1 : first - 1 + MAX_RECORDS]
        self.send(
            node_id,
            AppendRequest(
                self.term,
                self.node_id,
                first - 1,
                self.term_at(first - 1),
                self.commit_index,
                tuple(LogRecord(r.term, r.index, r.kind, r.data) for r in records),
                self.round,
            ),
        )
        progress.next_index = first + len(records)

    def advance_commit(self, synced: bool) -> None:
        """Commit what a majority has synced, if it is of this term."""
        if not self.is_leader:
            return
        matches = [
            self.last_index if node_id == self.node_id else self.match_of(node_id)
            for node_id in self.members.voters
        ]
        index = sorted(matches, reverse=True)[self.members.quorum() - 1]
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index

    def match_of(self, node_id: str) -> int:
        """Return how far a follower's synced log matches."""
        progress = self.progress.get(node_id)
        return progress.match_index if progress is not None else 0

    def confirm_round(self) -> None:
        """Renew the lease from the newest round that a majority answered."""
        rounds = sorted(
            (
                self.progress[node_id].acked_round
                for node_id in self.other_voters()
                if node_id in self.progress
            ),
            reverse=True,
        )
        needed = self.members.quorum() - 1
        if len(rounds) >= needed > 0:
            sent = self.round_sent.get(rounds[needed - 1])
            if sent is not None:
                self.confirmed_ms = max(self.confirmed_ms, sent)

    # -- messages --------------------------------------------------------

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Take in a message, by its kind."""
        raise TypeError(f"no replica message: {message!r}")

    @receive.register
    def receive_vote_request(self, message: VoteRequest) -> None:
        """Handle the message `VoteRequest`."""
        up_to_date = (message.last_term, message.last_index) >= (
            self.last_term,
            self.last_index,
        )
        granted = (
            up_to_date
            and not self.hears_leader()
            and self.members.voters.get(message.candidate) == message.identity
        )
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
            self.reset_election()
        term = message.term if granted else self.term
        self.send(
            message.candidate,
            VoteReply(term, self.node_id, granted, message.pre_vote, self.identity),
        )

    @receive.register
    def receive_vote_reply(self, message: VoteReply) -> None:
        """Handle the message `VoteReply`."""
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

    @receive.register
    def receive_append(self, message: AppendRequest) -> None:
        """Handle the message `AppendRequest`."""
        if message.term < self.term:
            self.reply_append(message, False, 0)
            return
        if self.role.state == "candidate":
            self.role.fire("step_down")
        self.leader = message.leader
        self.heard_ms = self.now_ms
        self.reset_election()
        previous = message.previous_index
        if previous > self.last_index or (
            self.term_at(previous) != message.previous_term
        ):
            self.reply_append(message, False, min(previous - 1, self.last_index))
            return
        for item in message.records:
            if item.index > self.last_index or self.term_at(item.index) != item.term:
                self.store(Record(item.term, item.index, item.kind, item.data))
        match = previous + len(message.records)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        self.reply_append(message, True, match)

    def reply_append(self, message: AppendRequest, success: bool, index: int) -> None:
        """Answer an append with the matching index, or a hint where to retry."""
        self.send(
            message.leader,
            AppendReply(
                self.term,
                self.node_id,
                success,
                index if success else 0,
                0 if success else index,
                message.round,
                self.identity,
            ),
        )

    @receive.register
    def receive_append_reply(self, message: AppendReply) -> None:
        """Handle the message `AppendReply`."""
        if not self.is_leader or message.term != self.term:
            return
        expected = {**self.members.voters, **self.members.learners}
        if expected.get(message.follower) != message.identity:
            return
        progress = self.progress[message.follower]
        progress.acked_round = max(progress.acked_round, message.round)
        self.confirm_round()
        if message.success:
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.next_index <= self.last_index:
                self.send_append(message.follower)
        else:
            progress.next_index = max(message.hint + 1, progress.match_index + 1)
            self.send_append(message.follower)
        self.advance_commit(synced=True)

    # -- helpers ---------------------------------------------------------

    def others(self) -> list[str]:
        """Return every other member."""
        return [node for node in self.members.everyone() if node != self.node_id]

    def other_voters(self) -> list[str]:
        """Return every other voter."""
        return [node for node in self.members.voters if node != self.node_id]

    def send(self, node_id: str, message: tuple) -> None:
        """Queue a message until the state it speaks of is synced."""
        self.outbox.append((node_id, message))
