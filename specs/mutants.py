"""Deliberately broken variants: each breaks one rule that carries a promise."""

from typing import NamedTuple

from wisteriapulley.consensus import Replica
from wisteriapulley.control.client import LocalCatalogue
from wisteriapulley.wire.messages import VoteRequest


class Mutant(NamedTuple):
    """Options of a `Cluster` and the invariants that its fault may breach."""

    name: str
    options: dict
    breaches: tuple[str, ...]


class VotesTwice(Replica):
    """Votes for whoever asks, also a second time in a term."""

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Forget the vote first."""
        self.voted_for = ""
        super().handle_vote_request(message)


class VotesForShortLog(Replica):
    """Votes for a candidate that lacks records."""

    def handle_vote_request(self, message: VoteRequest) -> None:
        """Take the candidate's log for the longest."""
        super().handle_vote_request(message._replace(last_term=1 << 40))


class AppendsUnchecked(Replica):
    """Takes records in without checking what stands before them."""

    def handle_append_request(self, message) -> None:
        """Pretend that the previous record matches."""
        previous = min(message.previous_index, self.last_index)
        if previous >= self.log.base_index:
            term = self.log.term_at(previous)
            message = message._replace(previous_term=term)
        super().handle_append_request(message)


class CountsUnsynced(Replica):
    """Counts the leader's own records before its disk holds them."""

    def match_index_of(self, node_id: str) -> int:
        """Take the last record for a synced one."""
        own = node_id == self.node_id
        return self.last_index if own else super().match_index_of(node_id)

    def handle_append_reply(self, message) -> None:
        """Commit at once, and acknowledge before the own sync."""
        super().handle_append_reply(message)
        self.synced_index = self.last_index


class AnswersBeforeSync(Replica):
    """Acknowledges an append before its records are synced."""

    def ready(self):
        """Let every message leave early."""
        ready = super().ready()
        early = ready.early_messages + ready.late_messages
        return ready._replace(early_messages=early, late_messages=())


class PromotesEmpty(Replica):
    """Gives a learner its vote before it holds the log."""

    def has_all_committed_records(self, node_id: str, identity: str) -> bool:
        """Ask for nothing."""
        return True


class ChangesManyAtOnce(Replica):
    """Starts a membership change before the last one is committed."""

    def can_change_members(self) -> bool:
        """Wait for nothing."""
        return self.is_leader

    def change_members(self, members):
        """Take no heed of who answers."""
        self.is_responsive = lambda node_id: True
        return super().change_members(members)


class ForgetsLease(Replica):
    """Votes right after a restart, while a lease may rest on its word."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.leader_contact_ms = float("-inf")


class IgnoresClock(Replica):
    """Believes in its lease without looking at the clock."""

    def lease_left_ms(self, now_ms: float) -> float:
        """Hold the lease as long as it leads."""
        return float(self.timing.lease_ms) if self.is_leader else 0.0


class KeepsLeaseOnHandOver(Replica):
    """Asks another to lead and goes on with its lease."""

    def step_down(self) -> None:
        """Stay the leader while handing over."""
        if not self.asked:
            super().step_down()

    asked = False

    def transfer_leadership(self) -> bool:
        """Hand over without stepping down."""
        self.asked = True
        done = super().transfer_leadership()
        self.asked = False
        return done


class TakesAnyRevision(LocalCatalogue):
    """A node that applies what it hears last."""

    def apply_update(self, update) -> bool:
        """Forget what was in force."""
        self.image = type(self.image)(0, {})
        return super().apply_update(update)


class TrustsAnyInstance(LocalCatalogue):
    """A node that starts with what any instance tells, quorum or not."""

    def apply_update(self, update) -> bool:
        """Take every update for a confirmed one."""
        return super().apply_update(update._replace(fresh=True))


SAFETY = ("election_safety", "leader_completeness", "log_matching", "no_commit_lost")


def of(name: str, replica_class: type, *breaches: str) -> Mutant:
    """Make a mutant of the replica."""
    return Mutant(name, {"replica_class": replica_class}, breaches)


MUTANTS = (
    of("votes_twice", VotesTwice, "election_safety"),
    Mutant("forgets_vote", {"forgets_vote": True}, SAFETY),
    Mutant("notes_uncommitted", {"notes_uncommitted": True}, SAFETY),
    of("votes_for_short_log", VotesForShortLog, "leader_completeness"),
    of("appends_unchecked", AppendsUnchecked, "log_matching", "no_commit_lost"),
    of("counts_unsynced", CountsUnsynced, *SAFETY),
    of("answers_before_sync", AnswersBeforeSync, *SAFETY),
    Mutant(
        "emptied_disk_keeps_name",
        {"keeps_identity": True},
        (*SAFETY, "one_lease_holder"),
    ),
    of("promotes_empty_learner", PromotesEmpty, "voter_holds_commits"),
    of("changes_many_at_once", ChangesManyAtOnce, *SAFETY),
    of("forgets_lease", ForgetsLease, "one_lease_holder"),
    of("ignores_clock", IgnoresClock, "one_lease_holder"),
    of("keeps_lease_on_hand_over", KeepsLeaseOnHandOver, "one_lease_holder"),
    Mutant(
        "takes_any_revision",
        {"holder_class": TakesAnyRevision},
        ("no_revision_reverts",),
    ),
    Mutant(
        "trusts_any_instance",
        {"holder_class": TrustsAnyInstance},
        ("no_revision_reverts",),
    ),
)
