"""Asks the other control instances for the ages of versions that were just learned.

What told of a version, a message or the log, may have been read long after it was sent,
and the version would count from then.
"""

from collections.abc import Callable, Iterable

from wisteriapulley.control.age_queries import AgeQueries
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import knows_model_query

# Model and version.
Key = tuple[str, int]
# Called with the reply of a peer, when it was asked (in seconds of `clocks.steady_s`),
# the versions asked for and the node id of the peer.
OnReply = Callable[[messages.ModelNews, float, frozenset[Key], str], None]


class PeerAges:
    """Queries of one control instance to its peers.

    Parameters
    ----------
    open_links : callable
        Returns the open links to the peers.
    on_reply : callable
        Records the ages in a reply.
    """

    def __init__(self, open_links: Callable[[], Iterable[Link]], on_reply: OnReply):
        self.open_links = open_links
        self.on_reply = on_reply

    def ask(self, keys: frozenset[Key]) -> None:
        """Ask all peers that know the query for the ages of some versions."""

        def record(link: Link, news: messages.ModelNews, asked_s: float) -> None:
            self.on_reply(news, asked_s, keys, link.peer_id)

        queries = AgeQueries(record)
        for link in self.open_links():
            if knows_model_query(link.peer):
                link.spawn(queries.ask(link))
