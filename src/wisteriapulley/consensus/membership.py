"""Membership changes, one at a time; new disks join as learners.

A learner becomes a voter only after it has synced every committed record. When a disk
is replaced, the new disk first joins as a learner, then the lost disk loses its vote,
then the new one becomes a voter: see docs/design/control-quorum.md.
"""

import msgspec

from wisteriapulley.consensus.replication import Replication
from wisteriapulley.consensus.types import OBSERVER_PREFIX, Members, RecordKind
from wisteriapulley.wire.messages import JoinRequest

# A learner replaces a voter that has not responded for this time. It is twice the
# longest election timeout, so that every live voter has responded to a new leader.
VOTER_UNRESPONSIVE_AFTER_MS = 4000.0


class Membership(Replication):
    """How a leader changes the members of the cluster."""

    def can_change_members(self) -> bool:
        """Return whether a membership change may be appended now.

        The majorities of two configurations overlap only if they differ by one voter,
        so the previous change must be committed first. A new leader can't be sure of
        that before a record of its own term is committed.
        """
        return (
            self.is_leader
            and not self.transferring_leadership
            and self.commit_index >= self.term_start
            and self.commit_index >= self.configurations[-1][0]
        )

    def change_members(self, members: Members) -> int | None:
        """Append a configuration if a majority of its voters is responsive.

        The configuration takes effect at once. Without the check, a change made while
        voters are unreachable could leave too few of them to commit the change itself.

        Returns
        -------
        int or None
            Index of the record, or None if no majority is responsive.
        """
        responsive = sum(map(self.is_responsive, members.voters))
        if responsive < members.quorum_size():
            return None
        index = self.append(RecordKind.MEMBERS, msgspec.msgpack.encode(members))
        self.progress = {
            node: p for node, p in self.progress.items() if node in self.peer_ids()
        }
        return index

    def is_responsive(self, node_id: str) -> bool:
        """Return whether a node acknowledged a round sent in the last `election_ms`."""
        if node_id == self.node_id:
            return True
        progress = self.progress.get(node_id)
        sent = self.round_sent_ms.get(progress.acked_round) if progress else None
        return sent is not None and self.now_ms - sent < self.timing.election_ms

    def remove_member(self, node_id: str) -> int | None:
        """Remove a member permanently.

        Returns
        -------
        int or None
            Index of the change, or None if it can't be made now; try again later.
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
        """Record a disk that asks to join; `manage_members` adds it."""
        refused = message.identity in self.members.removed
        if self.is_leader and not refused and message.node_id != self.node_id:
            self.join_requests[message.node_id] = message.identity

    def manage_members(self) -> None:
        """Append the next membership change that is due, if one is allowed now."""
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
        """Return whether a learner should become a voter.

        If there are enough voters, a learner replaces one only after that one has been
        unresponsive for `VOTER_UNRESPONSIVE_AFTER_MS`, so that a responsive set of
        voters never changes. An instance without durable storage never votes, because a
        restart loses its votes and acknowledgements.
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
        """Return whether a voter was unresponsive for `VOTER_UNRESPONSIVE_AFTER_MS`."""
        if node_id == self.node_id:
            return False
        progress = self.progress.get(node_id)
        sent = self.round_sent_ms.get(progress.acked_round) if progress else None
        contact_ms = self.elected_ms if sent is None else max(sent, self.elected_ms)
        return self.now_ms - contact_ms > VOTER_UNRESPONSIVE_AFTER_MS

    def demote_extra_voter(self) -> None:
        """Demote an unresponsive voter, or else the last one by node id."""
        others = sorted(self.other_voters())
        unresponsive = [node_id for node_id in others if self.is_replaceable(node_id)]
        self.change_members(self.members.demoted((unresponsive or others)[-1]))

    def has_all_committed_records(self, node_id: str, identity: str) -> bool:
        """Return whether a learner's disk has synced every committed record."""
        progress = self.progress.get(node_id)
        return (
            progress is not None
            and progress.identity == identity
            and progress.match_index >= self.commit_index
        )

    def promote(self, node_id: str) -> None:
        """Make a learner a voter; first remove the old disk of its node id, if any."""
        if node_id in self.members.voters:
            self.change_members(self.members.without_voter(node_id))
        else:
            self.change_members(self.members.promoted(node_id))

    def add_learner(self, node_id: str, identity: str) -> None:
        """Add a disk as a learner; first remove an earlier learner of its node id."""
        if node_id in self.members.learners:
            self.change_members(self.members.without_learner(node_id))
            self.join_requests[node_id] = identity
        else:
            self.change_members(self.members.with_learner(node_id, identity))
