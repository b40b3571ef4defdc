"""Lets requests pass to plain targets that state a rate, from all entries together.

An engine's sidecar sees all that goes to it; a plain target has none. So one control
instance holds each plain target's limit, and an entry that knows of a rate asks for
each request through the instance that it follows.
"""

import asyncio
import logging
from collections.abc import Callable, Mapping

from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.policy.stated_rate import RateLimits
from wisteriapulley.rendezvous import rendezvous
from wisteriapulley.wire import Link
from wisteriapulley.wire.messages import Passage, PassageQuery, TargetRate

log = logging.getLogger(__name__)

# Of a stated rate that one holder lets pass. While instances are cut off from each
# other there may be a holder on either side: both together stay within one and a
# half times the rate.
GRANTED_FRACTION = 0.75
# A holder that runs answers within a round trip between regions.
FORWARD_TIMEOUT_S = 0.1
# When to ask again after the holder gave no answer: it is another one, or back.
OWNER_LOST_RETRY_MS = 500


class RateOwner:
    """The limits that one control instance holds, and the way to the others.

    Parameters
    ----------
    own : str
        Node id of this instance.
    peers : callable
        Returns the open links to the other instances by node id.
    """

    def __init__(self, own: str, peers: Callable[[], Mapping[str, Link]]):
        self.own = own
        self.peers = peers
        self.limits = RateLimits(GRANTED_FRACTION)

    def owner_link(self, target: str) -> Link | None:
        """Return the link to a target's holder; None where this instance is it."""
        links = self.peers()
        holder = max((self.own, *links), key=lambda name: rendezvous(target, name))
        return links.get(holder)

    async def answer(self, query: PassageQuery, from_entry: bool) -> Passage:
        """Tell whether a request may pass to a target now.

        Parameters
        ----------
        query : PassageQuery
            The target, and what the entry knows of its rate.
        from_entry : bool
            Whether another instance may hold the limit.
        """
        link = self.owner_link(query.target) if from_entry else None
        if link is None:
            return self.decide(query)
        try:
            frame = await link.request(query, FORWARD_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("no passage from %s: %s", link.peer_id, error)
            return Passage(False, OWNER_LOST_RETRY_MS, True)
        return frame.message

    def decide(self, query: PassageQuery) -> Passage:
        """Let a request pass, or say when one may."""
        now_s = asyncio.get_running_loop().time()
        self.record_rate(query, now_s)
        if self.limits.take(query.target, now_s):
            return Passage(True, 0, self.limits.is_limited(query.target))
        wait_s = self.limits.wait_s(query.target, now_s)
        return Passage(False, int(wait_s * 1000) + 1, True)

    def receive_rate(self, update: TargetRate, from_entry: bool) -> None:
        """Take in a target's word, or pass it on to the holder."""
        link = self.owner_link(update.target) if from_entry else None
        if link is not None:
            link.post(update)
            return
        self.record_rate(update, asyncio.get_running_loop().time())

    def record_rate(self, message: TargetRate | PassageQuery, now_s: float) -> None:
        """Take in what an entry knows of a target's rate."""
        heard_s = now_s - message.age_ms / 1000
        self.limits.hear(message.target, message.per_s or None, heard_s)

    def sweep(self) -> None:
        """Forget targets that are long gone."""
        self.limits.sweep(asyncio.get_running_loop().time())
