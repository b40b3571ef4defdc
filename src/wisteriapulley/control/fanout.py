"""Sends changes to watchers without queueing on slow links.

An update that a watcher's link has no room for is not queued. It is only marked as
due, and its newest version is sent once the link has room.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from wisteriapulley.catalogue import Catalogue
from wisteriapulley.control.members import filter_by_service
from wisteriapulley.wire import Link, messages

# A change goes to all watchers of an instance, some of them frozen or behind a
# stalled connection; without a limit each such link would grow a queue. A limit of
# twice a kernel's socket buffer would only delay newer revisions.
MAX_BUFFERED_BYTES = 256 << 10


class Watcher:
    """A node that watches this instance, and what it is due."""

    def __init__(self, link: Link, services: tuple[str, ...]):
        self.link = link
        self.services = services
        self.revision = 0
        self.members_due = False

    @property
    def is_writable(self) -> bool:
        """Whether the link is open and has room."""
        if self.link.closed.is_set():
            return False
        buffered = self.link.write_buffer_bytes()
        return buffered < MAX_BUFFERED_BYTES


class Fanout:
    """Sends the catalogue and the members to watchers of one control instance.

    Parameters
    ----------
    catalogue : Catalogue
        The accepted catalogue.
    members : Mapping
        The view of the members, by node id.
    is_view_complete : callable
        Whether the view is complete. Until then watchers keep members that the
        view lacks, so that an instance that has just started does not remove
        targets from entries.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        members: Mapping[str, messages.Announce],
        is_view_complete: Callable[[], bool],
    ):
        self.catalogue = catalogue
        self.members = members
        self.is_view_complete = is_view_complete
        self.watchers: dict[Link, Watcher] = {}

    def add(self, link: Link, services: tuple[str, ...]) -> None:
        """Add a watcher and send it all members.

        The reply to its watch request carries the current revision; later
        revisions are pushed.
        """
        if link not in self.watchers:
            watcher = Watcher(link, services)
            watcher.revision = self.catalogue.revision
            self.watchers[link] = watcher
            self.send_members(watcher)

    def remove(self, link: Link) -> None:
        """Remove a watcher."""
        self.watchers.pop(link, None)

    def publish_members(self, changes: Iterable[messages.Announce]) -> None:
        """Send changed members to the watchers of their services."""
        for watcher in self.watchers.values():
            relevant = filter_by_service(changes, watcher.services)
            if not relevant or watcher.members_due:
                continue
            if watcher.is_writable:
                watcher.link.post(messages.MemberUpdate("", 0, False, relevant))
            else:
                watcher.members_due = True

    def schedule_full_updates(self) -> None:
        """Mark every watcher as due for the full list of members."""
        for watcher in self.watchers.values():
            watcher.members_due = True

    def flush(self) -> None:
        """Send due updates over links that have room."""
        revision = self.catalogue.revision
        due = [
            watcher
            for watcher in self.watchers.values()
            if (watcher.revision < revision or watcher.members_due)
            and watcher.is_writable
        ]
        behind = [watcher for watcher in due if watcher.revision < revision]
        if behind:
            update = self.catalogue_update(fresh=False)
            for watcher in behind:
                watcher.revision = revision
                watcher.link.post(update)
        for watcher in due:
            if watcher.members_due:
                self.send_members(watcher)

    def send_members(self, watcher: Watcher) -> None:
        """Send a watcher all members of its services."""
        watcher.members_due = False
        members = filter_by_service(self.members.values(), watcher.services)
        full = self.is_view_complete()
        watcher.link.post(messages.MemberUpdate("", 0, full, members))

    def catalogue_update(
        self, fresh: bool, known: int = -1
    ) -> messages.CatalogueUpdate:
        """Encode the whole catalogue; without content if `known` is current.

        Only the reply to a watch request is `fresh`, after a quorum confirmed it. A
        push never is, since an instance that replays its log pushes old revisions.
        """
        revision = self.catalogue.revision
        if known >= revision:
            return messages.CatalogueUpdate(revision, fresh, b"")
        content = msgspec.msgpack.encode(self.catalogue.image())
        return messages.CatalogueUpdate(revision, fresh, content)
