"""Who is in the fleet, as announced; soft state of the control instances.

Each control instance owns the members linked to it and tells the others of
changes only. The union needs no leader, so targets are found also while the
quorum is away. A member seen by two owners counts with its newest announcement.
"""

from collections.abc import Iterable

from wisteriapulley.wire.messages import Announce, MemberUpdate


class MemberTable:
    """Members by owning control instance.

    Parameters
    ----------
    owner : str
        This control instance.
    epoch : int
        Its incarnation, so that its restart replaces what it owned.
    """

    def __init__(self, owner: str, epoch: int):
        self.owner = owner
        self.epoch = epoch
        self.owned: dict[str, dict[str, Announce]] = {owner: {}}
        self.epochs: dict[str, int] = {}
        self.view: dict[str, Announce] = {}

    def announce(self, owner: str, announce: Announce) -> list[Announce]:
        """Take an announcement in; return what changed in the view."""
        members = self.owned.setdefault(owner, {})
        if announce.gone:
            members.pop(announce.node_id, None)
        else:
            members[announce.node_id] = announce
        return self.refresh([announce.node_id])

    def drop(self, owner: str, node_id: str) -> list[Announce]:
        """Drop a member that `owner` lost."""
        self.owned.get(owner, {}).pop(node_id, None)
        return self.refresh([node_id])

    def update(self, update: MemberUpdate) -> list[Announce]:
        """Take in what another owner tells."""
        if update.epoch < self.epochs.get(update.owner, 0):
            return []
        self.epochs[update.owner] = update.epoch
        names = [member.node_id for member in update.members]
        if update.full:
            names += self.owned.pop(update.owner, {})
        members = self.owned.setdefault(update.owner, {})
        for member in update.members:
            if member.gone:
                members.pop(member.node_id, None)
            else:
                members[member.node_id] = member
        return self.refresh(names)

    def forget(self, owner: str) -> list[Announce]:
        """Drop all that a lost control instance owned."""
        return self.refresh(self.owned.pop(owner, {}))

    def refresh(self, names: Iterable[str]) -> list[Announce]:
        """Recompute the view of `names`; return the changes."""
        return [change for name in set(names) for change in self.refresh_one(name)]

    def refresh_one(self, name: str) -> list[Announce]:
        """Recompute one member of the view."""
        known = [members[name] for members in self.owned.values() if name in members]
        before = self.view.get(name)
        if not known:
            self.view.pop(name, None)
            return [before._replace(gone=True)] if before is not None else []
        newest = max(known, key=lambda a: (a.incarnation, a.sequence))
        self.view[name] = newest
        return [newest] if newest != before else []

    def full_update(self) -> MemberUpdate:
        """Return all that this instance owns."""
        return MemberUpdate(
            self.owner, self.epoch, True, tuple(self.owned[self.owner].values())
        )


def matching(
    members: Iterable[Announce], services: tuple[str, ...]
) -> tuple[Announce, ...]:
    """Return members of `services`; no services means all."""
    return tuple(m for m in members if not services or m.service in services)
