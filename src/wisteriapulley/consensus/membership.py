"""Membership changes: one at a time, and through a learner.

A disk joins as a learner and gets a vote only once it holds every committed
record synced. A replaced disk learns first, then the lost disk loses its vote,
then the new one gets it: see docs/design/control-quorum.md.
"""

import msgspec

from wisteriapulley.consensus.replication import Replication
from wisteriapulley.consensus.types import OBSERVER_PREFIX, Members, RecordKind
from wisteriapulley.wire.messages import JoinRequest

# A voter that answered nothing for so long gives its place to a learner: twice
# the longest election timeout, so that a new leader has heard everyone by then.
VOTER_UNRESPONSIVE_AFTER_MS = 4000.0


class Membership(Replication):
    """How a leader changes who takes part."""

    def can_change_members(self) -> bool:
        """Tell whether a change may be appended now.

        Two majorities overlap only if their configurations differ by one
        voter: the last change must be committed first. A new leader may not
        know that it is until a record of its own term is committed.
        """
        return (
            self.is_leader
            and not self.transferring_leadership
            and self.commit_index >= self.term_start
            and self.commit_index >= self.configurations[-1][0]
        )

    def change_members(self, members: Members) -> int | None:
        """Append a configuration, in use at once, if its majority answers now.

        Without that check a change made while others are away could leave the
        quorum smaller than what is needed to commit the change itself.
        """
        alive = sum(map(self.is_responsive, members.voters))
        if alive < members.quorum_size():
            return None
        index = self.append(RecordKind.MEMBERS, msgspec.msgpack.encode(members))
        self.progress = {
            node: p for node, p in self.progress.items() if node in self.peer_ids()
        }
        return index

    def is_responsive(self, node_id: str) -> bool:
        """Tell whether a node id answered within an election timeout."""
        if node_id == self.node_id:
            return True
        progress = self.progress.get(node_id)
        sent = self.round_sent_ms.get(progress.acked_round) if progress else None
        return sent is not None and self.now_ms - sent < self.timing.election_ms

    def remove_member(self, node_id: str) -> int | None:
        """Take a member out for good.

        Returns
        -------
        int or None
            Index of the change, or None when none may be made now: ask again.
        """
        members = self.members
        if not self.can_change_members() or node_id == self.node_id:
            return None
        if node_id in members.learners:
            return self.change_members(members.without_learner(node_id))
        if node_id in members.voters:
            return self.change_members(members.without_voter(node_id))
        return None

    def handle_join_request(self, message: JoinRequest) -> None:
        """Remember a disk that asks to join; `manage_members` takes it in."""
        refused = message.identity in self.members.removed
        if self.is_leader and not refused and message.node_id != self.node_id:
            self.join_requests[message.node_id] = message.identity

    def manage_members(self) -> None:
        """Make the next change that is due, if one may be made."""
        if not self.can_change_members():
            return
        for node_id, identity in tuple(self.members.learners.items()):
            if self.should_promote(node_id) and self.has_all_committed_records(
                node_id, identity
            ):
                self.promote(node_id)
                return
        if self.desired_voters and len(self.members.voters) > self.desired_voters:
            self.demote_extra_voter()
            return
        for node_id, identity in tuple(self.join_requests.items()):
            del self.join_requests[node_id]
            if not self.members.holds(node_id, identity):
                self.add_learner(node_id, identity)
                return

    def should_promote(self, node_id: str) -> bool:
        """Tell whether a learner is to vote.

        A learner takes the place of a voter only when that one is silent, so
        that a full set of voters that answer never changes. An instance without
        a disk of its own never votes: a restart forgets what it agreed to.
        """
        if self.members.learners[node_id].startswith(OBSERVER_PREFIX):
            return False
        voters = self.members.voters
        if not self.desired_voters or node_id in voters:
            return True
        if not self.is_responsive(node_id):
            return False
        return len(voters) < self.desired_voters or any(
            map(self.is_replaceable, voters)
        )

    def is_replaceable(self, node_id: str) -> bool:
        """Tell whether a voter has not answered for `VOTER_UNRESPONSIVE_AFTER_MS`."""
        if node_id == self.node_id:
            return False
        progress = self.progress.get(node_id)
        sent = self.round_sent_ms.get(progress.acked_round) if progress else None
        heard_ms = self.elected_ms if sent is None else max(sent, self.elected_ms)
        return self.now_ms - heard_ms > VOTER_UNRESPONSIVE_AFTER_MS

    def demote_extra_voter(self) -> None:
        """Take the vote of a silent voter, or else of the last one by name."""
        others = sorted(self.other_voters())
        silent = [node_id for node_id in others if self.is_replaceable(node_id)]
        self.change_members(self.members.demoted((silent or others)[-1]))

    def has_all_committed_records(self, node_id: str, identity: str) -> bool:
        """Tell whether a learner's disk has synced every committed record."""
        progress = self.progress.get(node_id)
        return (
            progress is not None
            and progress.identity == identity
            and progress.match_index >= self.commit_index
        )

    def promote(self, node_id: str) -> None:
        """Give a learner its vote; a lost disk of its name loses its own first."""
        if node_id in self.members.voters:
            self.change_members(self.members.without_voter(node_id))
        else:
            self.change_members(self.members.promoted(node_id))

    def add_learner(self, node_id: str, identity: str) -> None:
        """Take a disk in as a learner; a learner that it replaces goes first."""
        if node_id in self.members.learners:
            self.change_members(self.members.without_learner(node_id))
            self.join_requests[node_id] = identity
        else:
            self.change_members(self.members.with_learner(node_id, identity))
