"""Serves manifests and pieces of weights from one control instance."""

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

# Delay before the pieces of a version are prefetched after a request for its manifest.
# Engines that restart hold the pieces and wait only for the manifest. Pieces fetched at
# once would fill the origin's link before the other instances got the manifest.
PREFETCH_DELAY_S = 1.0


class PieceServer:
    """Serves pieces that this instance holds or fetches.

    Parameters
    ----------
    settings : ControlSettings
        Node id, failure domain and regions of the instance.
    driver : Driver
        Driver with the links to the other instances.
    origin : callable
        Returns the origin of weights that the routing table names, if any.
    open_origin : callable, optional
        Creates the client of the origin from its address; set by an adapter.
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
        # Timers of versions whose pieces nobody has requested yet.
        self.prefetch_timers: dict[tuple[str, int], asyncio.TimerHandle] = {}

    def stop(self) -> None:
        """Stop fetching and cancel scheduled prefetches."""
        for timer in self.prefetch_timers.values():
            timer.cancel()
        self.relay.stop()

    # -- sources ---------------------------------------------------------

    def sources(self) -> list[PieceHolder]:
        """Return the sources of pieces, best first; see `weights.relay`."""
        origin = self.origin()
        if origin is None or self.open_origin is None:
            return []
        direct = OriginHolder(self.open_origin(origin.address))
        upstream = self.upstream(self.regions.of(origin.failure_domain))
        if upstream is None:
            return [direct]
        return [LinkHolder(upstream), direct]

    def upstream(self, home: str) -> Link | None:
        """Return the link to fetch pieces over; None for the origin itself.

        In each region only the reachable instance with the lowest node id fetches
        from outside the region.
        """
        own = self.regions.of(self.settings.failure_domain)
        lowest = self.lowest_peer_in(own)
        if lowest is not None and lowest.peer_id < self.settings.node_id:
            return lowest
        return None if own == home else self.lowest_peer_in(home)

    def lowest_peer_in(self, region: str) -> Link | None:
        """Return the link to the lowest node id among the region's other instances."""
        links = filter(None, map(self.driver.link_to, sorted(self.driver.peers)))
        for link in links:
            if self.regions.of(link.peer.failure_domain) == region:
                return link
        return None

    # -- requests --------------------------------------------------------

    async def answer_manifest(
        self, query: messages.ManifestQuery, link: Link, frame: Frame
    ) -> None:
        """Reply with a manifest, and schedule a prefetch of its pieces."""
        manifest = await self.relay.wait_manifest(query.model, query.version)
        link.post(manifest_reply(manifest), reply_to=frame.id)
        self.schedule_prefetch(manifest.model, manifest.version)

    def schedule_prefetch(self, model: str, version: int) -> None:
        """Prefetch the pieces of a version before an engine requests them."""
        key = (model, version)
        if key not in self.prefetch_timers:
            loop = asyncio.get_running_loop()
            self.prefetch_timers[key] = loop.call_later(
                PREFETCH_DELAY_S, self.relay.prefetch, model, version
            )

    async def answer_held(
        self, query: messages.HeldQuery, link: Link, frame: Frame
    ) -> None:
        """Reply with the pieces of a version that are held here."""
        link.post(await self.relay.wait_held(query), reply_to=frame.id)

    async def answer_piece(
        self, query: messages.PieceQuery, link: Link, frame: Frame
    ) -> None:
        """Reply with a range of a piece."""
        data = await self.relay.piece(query.model, query.version, query.position)
        length = query.length or len(data)
        part = data[query.offset : query.offset + length]
        link.post(messages.Piece(len(data)), reply_to=frame.id, body=part)
