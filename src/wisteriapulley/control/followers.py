"""Pushes routing tables, weights, targets and instances to entries and sidecars.

A follower gets each change from every control instance that it is connected to.
Pushing whole tables to all followers would send them across a region's border once
per connection. So a table is pushed only within the region of the instance.
Followers in other regions see its version in a heartbeat, and request the table if
they do not get it in their own region.
"""

import logging
from collections.abc import Iterable, Mapping

from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES
from wisteriapulley.control.targets import Change
from wisteriapulley.regions import Regions
from wisteriapulley.wire import Link, broadcast, messages
from wisteriapulley.wire.handshake import EVACUATION_MESSAGE_SET

log = logging.getLogger(__name__)

ENTRY = "entry"
SIDECAR = "sidecar"


def knows_evacuations(link: Link) -> bool:
    """Return whether the other end decodes `EvacuationNews`.

    A process of an earlier release closes a link over which it receives an unknown
    message, and would do so after each reconnect.
    """
    return link.peer.message_set >= EVACUATION_MESSAGE_SET


class Followers:
    """Links of the followers of one control instance."""

    def __init__(self, failure_domain: str, regions: Regions):
        self.failure_domain = failure_domain
        self.regions = regions
        self.links: set[Link] = set()
        # Nodes that watch the catalogue instead; they get only evacuations from here.
        self.watchers: set[Link] = set()
        self.entry_count = 0

    def add(self, link: Link) -> None:
        """Add a follower."""
        self.links.add(link)
        self.update_entry_count()

    def remove(self, link: Link) -> None:
        """Remove a follower."""
        self.links.discard(link)
        self.watchers.discard(link)
        self.update_entry_count()

    def update_entry_count(self) -> None:
        """Count the followers that are entries."""
        self.entry_count = sum(link.peer.role == ENTRY for link in self.links)

    def is_in_own_region(self, link: Link) -> bool:
        """Return whether a follower is in this instance's region."""
        return self.regions.same(link.peer.failure_domain, self.failure_domain)

    def open_links(self, role: str = "", has_room: bool = True) -> Iterable[Link]:
        """Yield open links with or without room, of one role or of all roles."""
        for link in tuple(self.links):
            if link.closed.is_set() or (role and link.peer.role != role):
                continue
            if (link.write_buffer_bytes() < MAX_BUFFERED_BYTES) is has_room:
                yield link

    def push_routing(self, message: messages.RoutingNews) -> None:
        """Send a table to entries of the region, and its version to all entries."""
        links = tuple(self.open_links(ENTRY))
        broadcast(filter(self.is_in_own_region, links), message)
        for link in links:
            if not self.is_in_own_region(link):
                link.send_heartbeat()

    def push_models(self, message: messages.ModelNews) -> None:
        """Send the weights in force to all followers.

        A link without room gets them too: the message is small and rare, and a
        follower that missed it would get no other until it reconnects.
        """
        links = (link for link in tuple(self.links) if not link.closed.is_set())
        broadcast(links, message)

    def push_evacuations(self, message: messages.EvacuationNews) -> None:
        """Send the evacuated failure domains to all followers and watchers.

        A link without room gets them too: the message is small and rare, and a
        follower that missed it would get no other until it reconnects.
        """
        receivers = self.links | self.watchers
        links = (link for link in receivers if not link.closed.is_set())
        broadcast(filter(knows_evacuations, links), message)

    def push_targets(
        self,
        states: Iterable[messages.TargetState],
        changes: Mapping[str, Change],
    ) -> None:
        """Send changed targets to entries; membership and coldness to sidecars too.

        A link without room gets only the leaves: they are rare, and a target that has
        left must get no requests. It gets the rest when it requests what it missed.

        Parameters
        ----------
        states : iterable of TargetState
            Newest state of each changed target.
        changes : mapping of str to Change
            Kind of change, by target id.
        """
        states = tuple(states)
        if states:
            broadcast(self.open_links(ENTRY), messages.TargetNews(states))
        for_sidecars = tuple(
            state for state in states if changes[state.target_id] >= Change.COLDNESS
        )
        if for_sidecars:
            broadcast(self.open_links(SIDECAR), messages.TargetNews(for_sidecars))
        leaves = tuple(state for state in for_sidecars if state.leaving or state.gone)
        if leaves:
            broadcast(self.open_links(has_room=False), messages.TargetNews(leaves))

    def push_heartbeats(self, heartbeats: tuple[messages.TargetBeat, ...]) -> None:
        """Send target heartbeats to entries."""
        if heartbeats:
            broadcast(self.open_links(ENTRY), messages.TargetBeats(heartbeats))

    def push_suspects(self, message: messages.SuspectNews) -> None:
        """Send entries the requests that are suspected of crashing targets."""
        broadcast(self.open_links(ENTRY), message)

    def push_hosts(self, message: messages.ControlNews) -> None:
        """Send the control instances to all followers."""
        broadcast(self.open_links(), message)
