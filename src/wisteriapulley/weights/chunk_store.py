"""Bounded stores of verified chunks, in memory or in a scratch folder.

Only verified chunks are stored. Chunks that a scratch folder kept over a restart are
verified again before they are used.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest, Span, chunk_digest


class ChunkStore:
    """Store of chunks by digest, in memory.

    Parameters
    ----------
    limit_bytes : int
        Maximum size in bytes; 0 for no limit.
    """

    def __init__(self, limit_bytes: int = 0):
        self.limit_bytes = limit_bytes
        self.chunks: dict[str, bytes] = {}
        self.sizes: dict[str, int] = {}
        self.size = 0

    @classmethod
    def from_settings(cls, scratch_folder: str, limit_bytes: int) -> "ChunkStore":
        """Create the store that the settings select."""
        if scratch_folder:
            return FolderStore(scratch_folder, limit_bytes)
        return cls(limit_bytes)

    def put(self, digest: str, data: bytes) -> None:
        """Store a chunk if its bytes match the digest.

        Raises
        ------
        WeightsError
            CHUNK_CORRUPTED if they don't; CHUNK_STORE_FULL if there is no room.
        """
        if chunk_digest(data) != digest:
            raise WeightsError(
                ResultCode.CHUNK_CORRUPTED,
                f"expected digest {digest}, got bytes with another digest",
            )
        if digest in self.sizes:
            return
        if self.limit_bytes and self.size + len(data) > self.limit_bytes:
            raise self.full_error(len(data))
        self.write(digest, data)
        self.sizes[digest] = len(data)
        self.size += len(data)

    def full_error(self, needed_bytes: int) -> WeightsError:
        """Return the error for a chunk or version that does not fit in the store."""
        return WeightsError(
            ResultCode.CHUNK_STORE_FULL,
            f"chunk store has no room for {needed_bytes} bytes: {self.size} of"
            f" {self.limit_bytes} bytes are in use; raise chunk_store_bytes",
            1000,
        )

    def get(self, digest: str) -> bytes | None:
        """Return a chunk, or None if it is not stored."""
        return self.chunks.get(digest)

    def verify(self, digest: str) -> bool:
        """Return whether a chunk is stored and verified."""
        return digest in self.sizes

    def __contains__(self, digest: str) -> bool:
        return digest in self.sizes

    def write(self, digest: str, data: bytes) -> None:
        """Write the bytes of a chunk."""
        self.chunks[digest] = data

    def erase(self, digest: str) -> None:
        """Delete the bytes of a chunk."""
        del self.chunks[digest]

    def drop(self, digest: str) -> None:
        """Remove a chunk from the store."""
        self.size -= self.sizes.pop(digest)
        self.erase(digest)

    def keep_only(self, manifests: Iterable[Manifest]) -> None:
        """Remove all chunks that none of `manifests` contains."""
        kept = {span.digest for manifest in manifests for span in manifest.spans}
        for digest in [d for d in self.sizes if d not in kept]:
            self.drop(digest)

    def read(self, manifest: Manifest, path: str, start: int, end: int) -> bytes:
        """Read bytes ``start`` to ``end`` of a file.

        Raises
        ------
        WeightsError
            A chunk is not stored here.
        """
        return b"".join(self.iterate(manifest, path, start, end))

    def iterate(
        self, manifest: Manifest, path: str, start: int, end: int
    ) -> Iterator[bytes]:
        """Yield bytes ``start`` to ``end`` of a file, chunk by chunk."""
        for span in overlapping_spans(manifest, path, start, end):
            data = self.get(span.digest)
            if data is None:
                raise WeightsError(
                    ResultCode.SOURCE_UNAVAILABLE,
                    f"chunk {span.index} is not stored here",
                )
            yield data[max(0, start - span.offset) : end - span.offset]


def overlapping_spans(
    manifest: Manifest, path: str, start: int, end: int
) -> Iterator[Span]:
    """Yield the chunks of a file that overlap bytes ``start`` to ``end``."""
    for span in manifest.spans:
        if span.path == path and span.offset < end and start < span.end:
            yield span


class FolderStore(ChunkStore):
    """Store of chunks as files in a scratch folder, verified on each read.

    Parameters
    ----------
    folder : str
        Created if missing; the store owns all files in it.
    limit_bytes : int
        Maximum size in bytes; 0 for no limit.
    """

    def __init__(self, folder: str, limit_bytes: int = 0):
        super().__init__(limit_bytes)
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.folder.iterdir():
            self.adopt(path)

    def adopt(self, path: Path) -> None:
        """Add a file left by an earlier run; delete a partly written one."""
        if path.suffix:
            path.unlink()
            return
        self.sizes[path.name] = path.stat().st_size
        self.size += self.sizes[path.name]

    def write(self, digest: str, data: bytes) -> None:
        """Write a chunk atomically; a crash leaves a file that the next run deletes."""
        part = self.folder / f"{digest}.part"
        try:
            part.write_bytes(data)
            os.replace(part, self.folder / digest)
        except OSError as error:
            raise WeightsError(
                ResultCode.CHUNK_STORE_FULL, f"{part}: {error.strerror}", 1000
            ) from error

    def erase(self, digest: str) -> None:
        """Delete the file of a chunk."""
        (self.folder / digest).unlink(missing_ok=True)

    def get(self, digest: str) -> bytes | None:
        """Read and verify a chunk; remove it if it is corrupted."""
        if digest not in self.sizes:
            return None
        try:
            data = (self.folder / digest).read_bytes()
        except OSError:
            data = b""
        if chunk_digest(data) != digest:
            self.drop(digest)
            return None
        return data

    def verify(self, digest: str) -> bool:
        """Return whether a chunk is stored and its bytes match the digest."""
        return self.get(digest) is not None
