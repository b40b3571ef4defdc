"""The origin of weights as one of those that hold pieces."""

from wisteriapulley.weights.pieces import PieceManifest, PieceSource


class OriginHolder:
    """The origin, which holds every piece of the versions that it names.

    Parameters
    ----------
    source : PieceSource
        Asks it.
    """

    name = key = "origin"
    # Fills a link of 10 Mbit/s with a few milliseconds of latency.
    max_in_flight = 4

    def __init__(self, source: PieceSource):
        self.source = source

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return all pieces; see `download.PieceHolder`."""
        return frozenset(range(len(manifest.digests)))

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest; version 0 is the newest."""
        return await self.source.manifest(model, version)

    async def piece(self, model: str, version: int, position: int) -> bytes:
        """Return a piece, not verified."""
        return await self.source.piece(model, version, position)
