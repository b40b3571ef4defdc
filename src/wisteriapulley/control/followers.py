"""Tells entries and sidecars of routing tables, weights, targets and instances.

Load: each change goes to every entry from every control instance that it is
linked to. Harm prevented: whole tables that cross a region's border once for each
of them. A table is therefore pushed within its own region only; a heartbeat
tells the others of its version, and they ask when it does not reach them.
"""

import logging
from collections.abc import Iterable

from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES
from wisteriapulley.regions import Regions
from wisteriapulley.wire import Link, messages

log = logging.getLogger(__name__)


class Followers:
    """Links that follow one control instance."""

    def __init__(self, failure_domain: str, regions: Regions):
        self.failure_domain = failure_domain
        self.regions = regions
        self.links: set[Link] = set()

    def add(self, link: Link) -> None:
        """Take a follower in."""
        self.links.add(link)

    def remove(self, link: Link) -> None:
        """Forget a follower."""
        self.links.discard(link)

    def is_near(self, link: Link) -> bool:
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
        for link in self.open_links("entry"):
            if self.is_near(link):
                link.post(news)
            else:
                link.beat()

    def push_models(self, news: messages.ModelNews) -> None:
        """Tell everyone of the weights in force."""
        for link in self.open_links():
            link.post(news)

    def push_targets(
        self, states: Iterable[messages.TargetState], changed: bool
    ) -> None:
        """Tell entries of targets, and sidecars only of those that changed."""
        news = messages.TargetNews(tuple(states))
        if not news.targets:
            return
        for link in self.open_links("" if changed else "entry"):
            link.post(news)

    def push_hosts(self, hosts: Iterable[str]) -> None:
        """Tell everyone where control instances are."""
        news = messages.ControlNews(tuple(hosts))
        for link in self.open_links():
            link.post(news)
