"""Asks control instances for the ages of versions, which outdate on the way.

News of a version may be read long after it was sent: its receiver stood still, or other
traffic filled the link. The version would count as accepted that much later than it
was, and requests would begin on the superseded one for too long. The reply to a query
bounds the time of acceptance; see `weights.version_ages`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from weakref import WeakKeyDictionary

from wisteriapulley.clocks import steady_s
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import knows_model_query

log = logging.getLogger(__name__)

# Time limits of a query and its repeats. A version serves shorter by the time that the
# reply takes, so a slow reply is used only if no faster one comes.
QUERY_TIMEOUTS_S = (0.25, 0.5, 1.0, 2.0)

# Handles a reply: called with the link, the reply and when the query was sent.
RecordAges = Callable[[Link, messages.ModelNews, float], None]


class AgeQueries:
    """Queries of one follower to the instances that told it of versions.

    Parameters
    ----------
    record : callable
        Records the ages in a reply, given the link, the reply and when the query was
        sent, in seconds of `clocks.steady_s`.

    Attributes
    ----------
    told : mapping of Link to set
        By link, model and number of each version that came over it.
    """

    def __init__(self, record: RecordAges):
        self.record = record
        self.told: WeakKeyDictionary[Link, set[tuple[str, int]]] = WeakKeyDictionary()

    def observe(self, link: Link, news: messages.ModelNews, changed: bool) -> None:
        """Ask an instance that told of a version, or that corrected an age.

        Each instance is asked once for a version that it tells over a link, since
        another one may have heard of it earlier.

        Parameters
        ----------
        link : Link
            Link to the instance.
        news : ModelNews
            What it told unasked.
        changed : bool
            Whether it told a version or an earlier age that was not known here.
        """
        versions = set(versions_of(news))
        is_first = not versions <= self.told.get(link, set())
        self.told[link] = versions
        if (is_first or changed) and knows_model_query(link.peer):
            link.spawn(self.ask(link))

    async def ask(self, link: Link) -> None:
        """Ask until a reply comes in time; the link's end ends this too."""
        for timeout_s in QUERY_TIMEOUTS_S:
            asked_s = steady_s()
            try:
                frame = await link.request(messages.ModelQuery(), timeout_s)
            except WisteriapulleyError as error:
                log.debug("no ages from %s: %s", link.peer_id, error)
                # A failure may come at once.
                await asyncio.sleep(asked_s + timeout_s - steady_s())
                continue
            self.record(link, frame.message, asked_s)
            return
        log.warning("no ages of weights", extra=fields(peer=link.peer_id))


def versions_of(news: messages.ModelNews) -> Iterator[tuple[str, int]]:
    """Yield model and number of each version in a message."""
    for state in news.models:
        for desired in state.named:
            yield state.model, desired.version
