"""The origin of weights as a holder of pieces."""

from wisteriapulley.weights.pieces import PieceManifest, PieceSource


class OriginHolder:
    """Piece holder for the origin, which holds all pieces of each of its versions.

    Parameters
    ----------
    source : PieceSource
        Client of the origin.
    """

    name = key = "origin"
    # Enough to fill a link of 10 Mbit/s with a few milliseconds of latency.
    max_in_flight = 4

    def __init__(self, source: PieceSource):
        self.source = source

    async def held_pieces(self, manifest: PieceManifest, known: int) -> frozenset[int]:
        """Return all pieces; see `download.PieceHolder`."""
        return frozenset(range(len(manifest.digests)))

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest; version 0 stands for the newest."""
        return await self.source.manifest(model, version)

    async def piece(self, model: str, version: int, position: int, size: int) -> bytes:
        """Return a piece of at most `size` bytes, not verified."""
        return await self.source.piece(model, version, position, size)
