"""Asks the other control instances for the ages of versions that were just learned.

What told of a version, a message or the log, may have been read long after it was sent,
and the version would count from then.
"""

from collections.abc import Callable, Iterable

from wisteriapulley.control.age_queries import AgeQueries, AgeReply, Key
from wisteriapulley.wire import Link, messages

# Called with the reply of a peer, when it was asked (in seconds of `clocks.steady_s`),
# the versions asked for and the node id of the peer.
OnReply = Callable[[messages.ModelNews, float, frozenset[Key], str], None]


class PeerAges:
    """Queries of one control instance to its peers.

    Parameters
    ----------
    open_links : callable
        Returns the open links to the peers, one for each.
    on_reply : callable
        Records the ages in a reply.
    is_assumed : callable
        Returns whether the age of a model's version is only assumed here.
    """

    def __init__(
        self,
        open_links: Callable[[], Iterable[Link]],
        on_reply: OnReply,
        is_assumed: Callable[[str, int], bool],
    ):
        self.open_links = open_links
        self.on_reply = on_reply
        self.queries = AgeQueries(self.record, is_assumed)

    def ask(self, keys: frozenset[Key]) -> None:
        """Ask all peers that know the query for the ages of some versions."""
        for link in self.open_links():
            self.queries.ask(link, keys)

    def record(self, reply: AgeReply) -> None:
        """Record the ages in a reply."""
        self.on_reply(reply.news, reply.asked_s, reply.keys, reply.link.peer_id)
