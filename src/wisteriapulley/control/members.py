"""Fleet membership from announcements; soft state of the control instances.

Each control instance owns the members linked to it and sends only changes to the
others. The view is the union of all owners' members. It needs no leader, so targets
can be discovered without a quorum. If two owners have the same member, its newest
announcement wins. The code does no I/O; callers pass the time in. See
``docs/design/membership.md``.
"""

from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.wire.messages import Announce, MemberUpdate


class Changes(NamedTuple):
    """Changes that result from one input.

    Attributes
    ----------
    own : tuple of Announce
        Changes of the members that this instance owns. They are sent to peers
        even if the view is unchanged, so that peers know every owner.
    view : tuple of Announce
        Changes of the union. They are sent to watchers.
    """

    own: tuple[Announce, ...] = ()
    view: tuple[Announce, ...] = ()


class OwnedMember(NamedTuple):
    """One owner's record of a member; it expires at `expires_ms` unless renewed."""

    announce: Announce
    expires_ms: float = float("inf")


class MemberTable:
    """Members by owning control instance.

    Parameters
    ----------
    owner : str
        Node id of this control instance.
    epoch : int
        Incarnation of this instance; a newer one supersedes its older updates.
    lease_ms : float
        How long a member is kept after its link closed.
    grace_ms : float
        How long another owner's members are kept after its link closed.
    """

    def __init__(
        self,
        owner: str,
        epoch: int,
        lease_ms: float = 5000.0,
        grace_ms: float = 15_000.0,
    ):
        self.owner = owner
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.grace_ms = grace_ms
        self.owned: dict[str, dict[str, OwnedMember]] = {owner: {}}
        self.epochs: dict[str, int] = {}
        self.view: dict[str, Announce] = {}

    # -- own members -----------------------------------------------------

    def record_announcement(self, announce: Announce) -> Changes:
        """Record the announcement of a member linked to this instance.

        An announcement older than the recorded one is ignored, so of two processes
        with the same node id the newer incarnation wins.
        """
        members = self.owned[self.owner]
        recorded = members.get(announce.node_id)
        if recorded is not None and announcement_order(
            recorded.announce
        ) > announcement_order(announce):
            return Changes()
        members[announce.node_id] = OwnedMember(announce)
        unchanged = recorded is not None and recorded.announce == announce
        return Changes(
            () if unchanged else (announce,), self.refresh_view([announce.node_id])
        )

    def detach(self, node_id: str, now_ms: float) -> None:
        """Start the lease of an own member whose link closed."""
        members = self.owned[self.owner]
        if node_id in members:
            record = members[node_id]
            members[node_id] = record._replace(expires_ms=now_ms + self.lease_ms)

    def full_update(self) -> MemberUpdate:
        """Return a full update of the members that this instance owns."""
        own = self.owned[self.owner].values()
        return MemberUpdate(
            self.owner, self.epoch, True, tuple(record.announce for record in own)
        )

    # -- members of others -----------------------------------------------

    def apply_update(self, update: MemberUpdate, now_ms: float) -> Changes:
        """Apply an update from another owner.

        A restarted owner begins without members. Its earlier ones are kept for a
        lease, because they are about to announce themselves again.
        """
        epoch = self.epochs.get(update.owner, 0)
        if update.epoch < epoch or update.owner == self.owner:
            return Changes()
        self.epochs[update.owner] = update.epoch
        members = self.owned.setdefault(update.owner, {})
        names = [member.node_id for member in update.members]
        if update.full and update.epoch > epoch:
            self.limit_expiry(update.owner, now_ms + self.lease_ms)
        elif update.full:
            names += self.drop_unlisted(members, set(names))
        for member in update.members:
            if member.gone:
                members.pop(member.node_id, None)
            else:
                members[member.node_id] = OwnedMember(member)
        return Changes(view=self.refresh_view(names))

    def drop_unlisted(
        self, members: dict[str, OwnedMember], kept: set[str]
    ) -> list[str]:
        """Drop records missing from a full update, unless they expire anyway."""
        dropped = [
            name
            for name, record in members.items()
            if name not in kept and record.expires_ms == float("inf")
        ]
        for name in dropped:
            del members[name]
        return dropped

    def owner_disconnected(self, owner: str, now_ms: float) -> None:
        """Expire all members of an unreachable owner after the grace period."""
        self.limit_expiry(owner, now_ms + self.grace_ms)

    def limit_expiry(self, owner: str, expires_ms: float) -> None:
        """Let all of an owner's records expire at `expires_ms` at the latest."""
        members = self.owned.get(owner, {})
        for name, record in members.items():
            members[name] = record._replace(
                expires_ms=min(record.expires_ms, expires_ms)
            )

    # -- all members -----------------------------------------------------

    def sweep(self, now_ms: float) -> Changes:
        """Drop every expired record and return the changes."""
        own: list[Announce] = []
        names: list[str] = []
        for owner, members in self.owned.items():
            expired = [
                n for n, record in members.items() if record.expires_ms <= now_ms
            ]
            names += expired
            for name in expired:
                announce = members.pop(name).announce
                if owner == self.owner:
                    own.append(announce._replace(gone=True))
        return Changes(tuple(own), self.refresh_view(names))

    def refresh_view(self, names: Iterable[str]) -> tuple[Announce, ...]:
        """Recompute the view of the members in `names`; return the changes."""
        changes = (self.refresh_member(name) for name in dict.fromkeys(names))
        return tuple(change for change in changes if change is not None)

    def refresh_member(self, name: str) -> Announce | None:
        """Recompute one member of the view; return its change, if any."""
        known = [
            members[name].announce for members in self.owned.values() if name in members
        ]
        before = self.view.get(name)
        if not known:
            self.view.pop(name, None)
            return before._replace(gone=True) if before is not None else None
        newest = max(known, key=announcement_order)
        self.view[name] = newest
        return newest if newest != before else None


def announcement_order(announce: Announce) -> tuple[int, int]:
    """Return a sort key for announcements of one node id, oldest first."""
    return announce.incarnation, announce.sequence


def filter_by_service(
    members: Iterable[Announce], services: tuple[str, ...]
) -> tuple[Announce, ...]:
    """Return the members of `services`, or all members if it is empty."""
    return tuple(m for m in members if not services or m.service in services)
