"""Hands pieces of weights on from one control instance."""

import asyncio
from collections.abc import Callable

from wisteriapulley.control.driver import Driver
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Origin
from wisteriapulley.settings import ControlSettings
from wisteriapulley.weights.download import PieceHolder
from wisteriapulley.weights.origin import OriginHolder
from wisteriapulley.weights.pieces import PieceSource
from wisteriapulley.weights.relay import LinkHolder, Relay, manifest_reply
from wisteriapulley.wire import Frame, Link, messages

# A version whose manifest alone was asked for is drawn after so long. Engines that
# restart hold its pieces and wait for the manifest: drawn at once, the pieces fill the
# origin's link before the other instances have had the manifest.
PREFETCH_DELAY_S = 1.0


class PieceServer:
    """Pieces that this instance holds, and where it takes them from.

    Parameters
    ----------
    settings : ControlSettings
        Where the instance is.
    driver : Driver
        Its links to the others.
    origin : callable
        Returns the origin of weights that the routing table names, if any.
    open_origin : callable, optional
        Makes the client of the origin from its address; an adapter's.
    """

    def __init__(
        self,
        settings: ControlSettings,
        driver: Driver,
        origin: Callable[[], Origin | None],
        open_origin: Callable[[str], PieceSource] | None = None,
    ):
        self.settings = settings
        self.regions = Regions(settings.failure_domain_regions)
        self.driver = driver
        self.origin = origin
        self.open_origin = open_origin
        self.relay = Relay(self.sources)
        # Versions to be drawn soon, though no piece of them is wanted yet.
        self.prefetch_timers: dict[tuple[str, int], asyncio.TimerHandle] = {}

    def stop(self) -> None:
        """Stop fetching."""
        for timer in self.prefetch_timers.values():
            timer.cancel()
        self.relay.stop()

    # -- where from ------------------------------------------------------

    def sources(self) -> list[PieceHolder]:
        """Return where pieces come from, best first; see `weights.relay`."""
        origin = self.origin()
        if origin is None or self.open_origin is None:
            return []
        direct = OriginHolder(self.open_origin(origin.address))
        upstream = self.upstream(self.regions.of(origin.failure_domain))
        if upstream is None:
            return [direct]
        return [LinkHolder(upstream), direct]

    def upstream(self, home: str) -> Link | None:
        """Return the instance to take pieces from; None for the origin itself.

        Of each region the instance with the lowest node id that is reached
        asks outside its region.
        """
        own = self.regions.of(self.settings.failure_domain)
        head = self.lowest_peer_in(own)
        if head is not None and head.peer_id < self.settings.node_id:
            return head
        return None if own == home else self.lowest_peer_in(home)

    def lowest_peer_in(self, region: str) -> Link | None:
        """Return the link to a region's other instance with the lowest node id."""
        links = filter(None, map(self.driver.link_to, sorted(self.driver.peers)))
        for link in links:
            if self.regions.of(link.peer.failure_domain) == region:
                return link
        return None

    # -- questions -------------------------------------------------------

    async def answer_manifest(
        self, query: messages.ManifestQuery, link: Link, frame: Frame
    ) -> None:
        """Answer with a manifest, and fetch its pieces soon."""
        manifest = await self.relay.wait_manifest(query.model, query.version)
        link.post(manifest_reply(manifest), reply_to=frame.id)
        self.schedule_prefetch(manifest.model, manifest.version)

    def schedule_prefetch(self, model: str, version: int) -> None:
        """Fetch the pieces of a version before an engine without them asks."""
        key = (model, version)
        if key not in self.prefetch_timers:
            loop = asyncio.get_running_loop()
            self.prefetch_timers[key] = loop.call_later(
                PREFETCH_DELAY_S, self.relay.prefetch, model, version
            )

    async def answer_held(
        self, query: messages.HeldQuery, link: Link, frame: Frame
    ) -> None:
        """Answer which pieces of a version are held here."""
        link.post(await self.relay.wait_held(query), reply_to=frame.id)

    async def answer_piece(
        self, query: messages.PieceQuery, link: Link, frame: Frame
    ) -> None:
        """Answer with a part of a piece."""
        data = await self.relay.piece(query.model, query.version, query.position)
        length = query.length or len(data)
        part = data[query.offset : query.offset + length]
        link.post(messages.Piece(len(data)), reply_to=frame.id, body=part)
