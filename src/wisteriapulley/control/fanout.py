"""Tells watchers what changed, without queueing on a slow link.

What a watcher has not taken yet is never queued behind: it is only noted as
due, and sent in its newest form once the link has room.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from wisteriapulley.catalogue import Catalogue
from wisteriapulley.control.members import filter_by_service
from wisteriapulley.wire import Link, messages

# Load: one change goes to all watchers of an instance, some of them frozen or
# behind a stalled connection. Harm prevented: a queue for each such link. Twice
# the limit of a kernel's socket buffer would only delay newer revisions.
MAX_BUFFERED_BYTES = 256 << 10


class Watcher:
    """A node that watches this instance."""

    def __init__(self, link: Link, services: tuple[str, ...]):
        self.link = link
        self.services = services
        self.revision = 0
        self.members_due = False

    @property
    def is_writable(self) -> bool:
        """Whether its link is open and has room."""
        if self.link.closed.is_set():
            return False
        buffered = self.link.write_buffer_bytes()
        return buffered < MAX_BUFFERED_BYTES


class Fanout:
    """Watchers of one control instance.

    Parameters
    ----------
    catalogue : Catalogue
        The accepted entries.
    members : Mapping
        The view of the members, by node id.
    is_settled : callable
        Whether the view is whole. Before, a watcher is told of members but is
        not told to forget others, so that an instance that has just started
        takes no target from any entry.
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
        """Take a watcher in and tell it all members.

        The answer to its watch carries what is accepted now; later revisions
        are pushed.
        """
        if link not in self.watchers:
            watcher = Watcher(link, services)
            watcher.revision = self.catalogue.revision
            self.watchers[link] = watcher
            self.send_members(watcher)

    def remove(self, link: Link) -> None:
        """Forget a watcher."""
        self.watchers.pop(link, None)

    def publish_members(self, changes: Iterable[messages.Announce]) -> None:
        """Tell watchers of changes that concern them."""
        for watcher in self.watchers.values():
            concerned = filter_by_service(changes, watcher.services)
            if not concerned or watcher.members_due:
                continue
            if watcher.is_writable:
                watcher.link.post(messages.MemberUpdate("", 0, False, concerned))
            else:
                watcher.members_due = True

    def schedule_full_updates(self) -> None:
        """Note that every watcher is due a whole view."""
        for watcher in self.watchers.values():
            watcher.members_due = True

    def flush(self) -> None:
        """Send what is due over links that have room."""
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
        """Send all members that concern a watcher."""
        watcher.members_due = False
        members = filter_by_service(self.members.values(), watcher.services)
        full = self.is_view_complete()
        watcher.link.post(messages.MemberUpdate("", 0, full, members))

    def catalogue_update(
        self, fresh: bool, known: int = -1
    ) -> messages.CatalogueUpdate:
        """Encode the whole catalogue; no content when `known` is current.

        Only the answer to a watch is `fresh`, after a quorum confirmed it. A
        push is not: an instance that replays its log pushes old revisions too.
        """
        revision = self.catalogue.revision
        if known >= revision:
            return messages.CatalogueUpdate(revision, fresh, b"")
        content = msgspec.msgpack.encode(self.catalogue.image())
        return messages.CatalogueUpdate(revision, fresh, content)
