"""Mutants: variants of the real code that each break one rule of the protocol."""

from typing import NamedTuple

from wisteriapulley.consensus import Replica
from wisteriapulley.control.client import LocalCatalogue
from wisteriapulley.wire.messages import VoteRequest


class Mutant(NamedTuple):
    """Options that inject a fault, and the invariants that it may violate."""

    name: str
    options: dict
    violated: tuple[str, ...]


class VotesTwice(Replica):
    """Votes more than once in a term."""

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Clear the vote, then handle the request."""
        self.voted_for = ""
        super().handle_vote_request(message)


class VotesForShortLog(Replica):
    """Votes for a candidate whose log is behind."""

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Treat the candidate's log as up to date."""
        super().handle_vote_request(message._replace(last_term=1 << 40))


class AppendsUnchecked(Replica):
    """Appends records without checking the record before them."""

    def handle_append_request(self, message) -> None:
        """Pretend that the previous record matches."""
        previous = min(message.previous_index, self.last_index)
        if previous >= self.log.base_index:
            term = self.log.term_at(previous)
            message = message._replace(previous_term=term)
        super().handle_append_request(message)


class CountsUnsynced(Replica):
    """Counts the leader's own records before they are synced to its disk."""

    def match_index_of(self, node_id: str) -> int:
        """Report the leader's last record as synced."""
        own = node_id == self.node_id
        return self.last_index if own else super().match_index_of(node_id)

    def handle_append_reply(self, message) -> None:
        """Treat all of the leader's own records as synced."""
        super().handle_append_reply(message)
        self.synced_index = self.last_index


class AnswersBeforeSync(Replica):
    """Acknowledges an append before its records are synced."""

    def ready(self):
        """Move all messages to before the sync."""
        ready = super().ready()
        early = ready.early_messages + ready.late_messages
        return ready._replace(early_messages=early, late_messages=())


class PromotesEmptyLearner(Replica):
    """Promotes a learner to voter before it holds the log."""

    def has_all_committed_records(self, node_id: str, identity: str) -> bool:
        """Skip the check."""
        return True


class ChangesManyAtOnce(Replica):
    """Starts a membership change before the last one is committed."""

    def can_change_members(self) -> bool:
        """Skip the wait for the last change to commit."""
        return self.is_leader

    def change_members(self, members):
        """Treat every member as responsive."""
        self.is_responsive = lambda node_id: True
        return super().change_members(members)


class ForgetsLease(Replica):
    """Votes right after a restart.

    A leader may then still hold a lease that this replica acknowledged before.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.leader_contact_ms = float("-inf")


class IgnoresClock(Replica):
    """Holds its lease without reading the clock."""

    def lease_left_ms(self, now_ms: float) -> float:
        """Return the full lease while this replica is leader."""
        return float(self.timing.lease_ms) if self.is_leader else 0.0


class KeepsLeaseOnTransfer(Replica):
    """Asks a voter to take over the leadership but keeps its own lease."""

    def step_down(self) -> None:
        """Do nothing during a leadership transfer."""
        if not self.in_transfer:
            super().step_down()

    in_transfer = False

    def transfer_leadership(self) -> bool:
        """Transfer the leadership without stepping down."""
        self.in_transfer = True
        transferred = super().transfer_leadership()
        self.in_transfer = False
        return transferred


class TakesAnyRevision(LocalCatalogue):
    """Applies every update, also one with a lower revision."""

    def apply_update(self, update) -> bool:
        """Drop the catalogue in force, then apply the update."""
        self.image = type(self.image)(0, {})
        return super().apply_update(update)


class TrustsAnyInstance(LocalCatalogue):
    """Starts with the update of any instance, confirmed by a quorum or not."""

    def apply_update(self, update) -> bool:
        """Treat every update as confirmed."""
        return super().apply_update(update._replace(fresh=True))


SAFETY = ("election_safety", "leader_completeness", "log_matching", "no_commit_lost")


def replica_mutant(name: str, replica_class: type, *violated: str) -> Mutant:
    """Return a mutant that replaces the replica class."""
    return Mutant(name, {"replica_class": replica_class}, violated)


MUTANTS = (
    replica_mutant("votes_twice", VotesTwice, "election_safety"),
    Mutant("forgets_vote", {"forgets_vote": True}, SAFETY),
    Mutant("notes_uncommitted", {"records_uncommitted": True}, SAFETY),
    replica_mutant("votes_for_short_log", VotesForShortLog, "leader_completeness"),
    replica_mutant(
        "appends_unchecked", AppendsUnchecked, "log_matching", "no_commit_lost"
    ),
    replica_mutant("counts_unsynced", CountsUnsynced, *SAFETY),
    replica_mutant("answers_before_sync", AnswersBeforeSync, *SAFETY),
    Mutant(
        "emptied_disk_keeps_name",
        {"keeps_identity": True},
        (*SAFETY, "one_lease_holder"),
    ),
    replica_mutant(
        "promotes_empty_learner", PromotesEmptyLearner, "voter_holds_commits"
    ),
    replica_mutant("changes_many_at_once", ChangesManyAtOnce, *SAFETY),
    replica_mutant("forgets_lease", ForgetsLease, "one_lease_holder"),
    replica_mutant("ignores_clock", IgnoresClock, "one_lease_holder"),
    replica_mutant(
        "keeps_lease_on_hand_over", KeepsLeaseOnTransfer, "one_lease_holder"
    ),
    Mutant(
        "takes_any_revision",
        {"catalogue_class": TakesAnyRevision},
        ("no_revision_reverts",),
    ),
    Mutant(
        "trusts_any_instance",
        {"catalogue_class": TrustsAnyInstance},
        ("no_revision_reverts",),
    ),
)
