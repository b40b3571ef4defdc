"""Asks control instances for the ages of versions, which outdate on the way.

News of a version may be read long after it was sent: its receiver stood still, or other
traffic filled the link. The version would count as accepted that much later than it
was, and requests would begin on the superseded one for too long. The reply to a query
bounds the time of acceptance; see `weights.version_ages`.

An age that is only assumed ends the superseded version at once. So it is asked for
until a reply comes.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator, Set
from typing import NamedTuple
from weakref import WeakKeyDictionary

from wisteriapulley.clocks import steady_s
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import knows_model_query

log = logging.getLogger(__name__)

# Time limits of a query and its repeats. A version serves shorter by the time that the
# reply takes, so a slow reply is used only if no faster one comes. The last one is used
# again while an age is only assumed.
QUERY_TIMEOUTS_S = (0.25, 0.5, 1.0, 2.0)

# Model and version.
Key = tuple[str, int]


class AgeReply(NamedTuple):
    """Reply to a query for ages.

    Attributes
    ----------
    link : Link
        Link over which it came.
    news : ModelNews
        Versions and their ages.
    asked_s : float
        When the query was sent, in seconds of `clocks.steady_s`.
    keys : frozenset of tuple
        Versions that were asked for.
    """

    link: Link
    news: messages.ModelNews
    asked_s: float
    keys: frozenset[Key]


class AgeQueries:
    """Queries for ages of versions, one at a time over each link.

    Parameters
    ----------
    record : callable
        Records the ages in an `AgeReply`.
    is_assumed : callable
        Returns whether the age of a model's version is only assumed here.

    Attributes
    ----------
    told : mapping of Link to set
        By link, model and number of each version that came over it.
    wanted : mapping of Link to dict
        By link that is asked now, the versions without a reply and when each was last
        asked for.
    """

    def __init__(
        self,
        record: Callable[[AgeReply], None],
        is_assumed: Callable[[str, int], bool],
    ):
        self.record = record
        self.is_assumed = is_assumed
        self.told: WeakKeyDictionary[Link, set[Key]] = WeakKeyDictionary()
        self.wanted: WeakKeyDictionary[Link, dict[Key, float]] = WeakKeyDictionary()

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
        if is_first or changed:
            self.ask(link, versions)

    def ask(self, link: Link, keys: Set[Key]) -> None:
        """Ask an instance that knows the query for the ages of some versions.

        While a query is under way, no other one is started over the link.
        """
        if not knows_model_query(link.peer):
            return
        is_asked = link in self.wanted
        self.wanted.setdefault(link, {}).update(dict.fromkeys(keys, steady_s()))
        if not is_asked:
            link.spawn(self.ask_all(link))

    async def ask_all(self, link: Link) -> None:
        """Ask until nothing is wanted; the link's end ends this too."""
        wanted = self.wanted[link]
        repeated: set[Key] = set()
        try:
            while wanted and not link.closed.is_set():
                begun = dict(wanted)
                is_repeat = begun.keys() <= repeated
                timeouts_s = QUERY_TIMEOUTS_S[-1:] if is_repeat else QUERY_TIMEOUTS_S
                if await self.ask_until_reply(link, timeouts_s):
                    continue
                if not is_repeat:
                    log.warning("no ages of weights", extra=fields(peer=link.peer_id))
                repeated = {key for key in begun if self.is_assumed(*key)}
                for key, since_s in begun.items():
                    if key not in repeated and wanted[key] == since_s:
                        del wanted[key]
        finally:
            self.wanted.pop(link, None)

    async def ask_until_reply(self, link: Link, timeouts_s: tuple[float, ...]) -> bool:
        """Ask once with each time limit; return whether a reply came."""
        wanted = self.wanted[link]
        for timeout_s in timeouts_s:
            keys, asked_s = frozenset(wanted), steady_s()
            try:
                frame = await link.request(messages.ModelQuery(), timeout_s)
            except WisteriapulleyError as error:
                log.debug("no ages from %s: %s", link.peer_id, error)
                # A failure may come at once.
                await asyncio.sleep(asked_s + timeout_s - steady_s())
                continue
            self.record(AgeReply(link, frame.message, asked_s, keys))
            # What is told meanwhile, over another link, may be newer than the reply.
            for key in keys:
                if wanted[key] <= asked_s:
                    del wanted[key]
            return True
        return False


def versions_of(news: messages.ModelNews) -> Iterator[Key]:
    """Yield model and number of each version in a message."""
    for state in news.models:
        for desired in state.named:
            yield state.model, desired.version
