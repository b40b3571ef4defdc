"""Manifests of numbered versions, and the interface of the sources of pieces."""

import hashlib
from typing import NamedTuple, Protocol

from wisteriapulley.errors import ResultCode, WeightsError

# Maximum number of pieces of a version. A control instance keeps the digests of some
# versions in memory, and sends those of a version in one message.
MAX_PIECES = 1 << 16
# Maximum size of a piece in bytes: a sidecar holds several at a time, in 128 MB.
MAX_PIECE_BYTES = 16 << 20


class PieceManifest(NamedTuple):
    """Digests of the pieces of one version of a model's weights.

    Attributes
    ----------
    model : str
        Name of the model.
    version : int
        Number of the version; a higher one supersedes a lower one.
    chunk_bytes : int
        Size of a piece in bytes.
    layers : int
        Number of model layers in all pieces together.
    digests : tuple of bytes
        SHA-256 of each piece.
    """

    model: str
    version: int
    chunk_bytes: int
    layers: int
    digests: tuple[bytes, ...]

    def matches(self, position: int, data: bytes) -> bool:
        """Return whether `data` is the piece at `position`."""
        return hashlib.sha256(data).digest() == self.digests[position]

    def check(self, position: int, data: bytes) -> bytes:
        """Return `data` if it is the piece at `position`.

        Raises
        ------
        WeightsError
            CHUNK_CORRUPTED: the digest does not match.
        """
        if not self.matches(position, data):
            raise WeightsError(
                ResultCode.CHUNK_CORRUPTED,
                f"{self.model} version {self.version} piece {position}: expected"
                f" digest {self.digests[position].hex()[:16]}, got {len(data)} bytes"
                " with another digest",
            )
        return data


class PieceSource(Protocol):
    """Source of manifests and pieces."""

    async def manifest(self, model: str, version: int) -> PieceManifest:
        """Return a manifest; version 0 stands for the newest.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the source can't provide it now.
        """

    async def piece(
        self, model: str, version: int, position: int, size: int = MAX_PIECE_BYTES
    ) -> bytes:
        """Return a piece of at most `size` bytes, not verified.

        Raises
        ------
        WeightsError
            SOURCE_UNAVAILABLE: the source can't provide it now, or sends more.
        """
