"""Tells entries and sidecars of routing tables, weights, targets and instances.

Load: each change goes to every follower from every control instance that it is
linked to. Harm prevented: whole tables that cross a region's border once for each
of them. A table is therefore pushed within its own region only; a heartbeat
tells the others of its version, and they ask when it does not reach them.
"""

import logging
from collections.abc import Iterable, Mapping

from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES
from wisteriapulley.control.targets import Change
from wisteriapulley.regions import Regions
from wisteriapulley.wire import Link, broadcast, messages

log = logging.getLogger(__name__)

ENTRY = "entry"
SIDECAR = "sidecar"


class Followers:
    """Links that follow one control instance."""

    def __init__(self, failure_domain: str, regions: Regions):
        self.failure_domain = failure_domain
        self.regions = regions
        self.links: set[Link] = set()
        self.entry_count = 0

    def add(self, link: Link) -> None:
        """Take a follower in."""
        self.links.add(link)
        self.update_entry_count()

    def remove(self, link: Link) -> None:
        """Forget a follower."""
        self.links.discard(link)
        self.update_entry_count()

    def update_entry_count(self) -> None:
        """Know how many of the followers are entries."""
        self.entry_count = sum(link.peer.role == ENTRY for link in self.links)

    def is_in_own_region(self, link: Link) -> bool:
        """Tell whether a follower is in this instance's region."""
        return self.regions.same(link.peer.failure_domain, self.failure_domain)

    def open_links(self, role: str = "") -> Iterable[Link]:
        """Yield links that have room, of one role or of all."""
        for link in tuple(self.links):
            if link.closed.is_set() or (role and link.peer.role != role):
                continue
            if link.write_buffer_bytes() < MAX_BUFFERED_BYTES:
                yield link

    def push_routing(self, news: messages.RoutingNews) -> None:
        """Send a table to the entries of the region, its version to all."""
        links = tuple(self.open_links(ENTRY))
        broadcast(filter(self.is_in_own_region, links), news)
        for link in links:
            if not self.is_in_own_region(link):
                link.send_heartbeat()

    def push_models(self, news: messages.ModelNews) -> None:
        """Tell everyone of the weights in force."""
        broadcast(self.open_links(), news)

    def push_targets(
        self,
        states: Iterable[messages.TargetState],
        changes: Mapping[str, Change],
    ) -> None:
        """Tell entries of changed targets, and sidecars of those that came or left.

        Parameters
        ----------
        states : iterable of TargetState
            Newest news of each.
        changes : mapping of str to Change
            What changed, by target.
        """
        states = tuple(states)
        if states:
            broadcast(self.open_links(ENTRY), messages.TargetNews(states))
        members = tuple(
            state for state in states if changes[state.target_id] is Change.MEMBERSHIP
        )
        if members:
            broadcast(self.open_links(SIDECAR), messages.TargetNews(members))

    def push_heartbeats(self, beats: tuple[messages.TargetBeat, ...]) -> None:
        """Tell entries which targets were heard again."""
        if beats:
            broadcast(self.open_links(ENTRY), messages.TargetBeats(beats))

    def push_suspects(self, news: messages.SuspectNews) -> None:
        """Tell entries under which requests targets ended."""
        broadcast(self.open_links(ENTRY), news)

    def push_hosts(self, news: messages.ControlNews) -> None:
        """Tell everyone where control instances are."""
        broadcast(self.open_links(), news)
