"""Verified chunks in memory, bounded."""

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest, chunk_digest


class ChunkStore:
    """Chunks by digest; nothing unverified gets in.

    Parameters
    ----------
    limit_bytes : int
        Most bytes kept; 0 for no limit.
    """

    def __init__(self, limit_bytes: int = 0):
        self.limit_bytes = limit_bytes
        self.chunks: dict[str, bytes] = {}
        self.size = 0

    def put(self, digest: str, data: bytes) -> None:
        """Keep a chunk if it is what it should be.

        Raises
        ------
        WeightsError
            CHUNK_CORRUPTED, or no room.
        """
        if chunk_digest(data) != digest:
            raise WeightsError(
                ResultCode.CHUNK_CORRUPTED, f"expected {digest}, got other bytes"
            )
        if digest in self.chunks:
            return
        if self.limit_bytes and self.size + len(data) > self.limit_bytes:
            raise WeightsError(
                ResultCode.DISK_FULL, f"the chunk store holds {self.size} bytes"
            )
        self.chunks[digest] = data
        self.size += len(data)

    def get(self, digest: str) -> bytes | None:
        """Return a chunk, or None."""
        return self.chunks.get(digest)

    def __contains__(self, digest: str) -> bool:
        return digest in self.chunks

    def keep_only(self, manifests: list[Manifest]) -> None:
        """Drop chunks that none of `manifests` names."""
        wanted = {span.digest for manifest in manifests for span in manifest.spans}
        for digest in [d for d in self.chunks if d not in wanted]:
            self.size -= len(self.chunks.pop(digest))

    def read(self, manifest: Manifest, path: str, start: int, end: int) -> bytes:
        """Read bytes ``start`` to ``end`` of a file of a complete version.

        Raises
        ------
        WeightsError
            The file is not in the manifest, or a chunk is not here.
        """
        parts = []
        for span in manifest.spans:
            if span.path != path or span.offset + span.length <= start:
                continue
            if span.offset >= end:
                break
            data = self.chunks.get(span.digest)
            if data is None:
                raise WeightsError(
                    ResultCode.SOURCE_UNAVAILABLE, f"chunk {span.index} is not here"
                )
            parts.append(data[max(0, start - span.offset) : end - span.offset])
        return b"".join(parts)
