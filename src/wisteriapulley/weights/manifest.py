"""Manifest of a version: its files and the digest of every chunk.

The digest of the manifest identifies the version. Chunks don't span files, so two
versions share the chunks of unchanged files.
"""

from collections.abc import Iterator
from functools import cached_property
from pathlib import Path
from typing import NamedTuple

import msgspec
from blake3 import blake3

from wisteriapulley.errors import ResultCode, WeightsError

CHUNK_BYTES = 4 << 20
# Maximum size of an encoded manifest: that of 2 TB in chunks of `CHUNK_BYTES`.
MAX_MANIFEST_BYTES = 40 << 20
DIGEST_CHARACTERS = 64


class ManifestFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One file: relative path with ``/``, size in bytes, chunk digests."""

    path: str
    size: int
    chunks: tuple[str, ...]


class Span(NamedTuple):
    """Location of a chunk within the files of a version."""

    index: int
    digest: str
    path: str
    offset: int
    length: int

    @property
    def end(self) -> int:
        """Offset just past the last byte."""
        return self.offset + self.length


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True):
    """Files and chunks of one version.

    Attributes
    ----------
    chunk_bytes : int
        Length in bytes of every chunk but the last of a file.
    files : tuple of ManifestFile
        Sorted by path.
    """

    chunk_bytes: int
    files: tuple[ManifestFile, ...]

    @classmethod
    def from_bytes(cls, data: bytes, digest: str = "") -> "Manifest":
        """Decode and validate a manifest.

        Parameters
        ----------
        data : bytes
            Encoded manifest, as returned by `to_bytes`.
        digest : str, optional
            Expected digest of the manifest, which identifies the version.

        Raises
        ------
        WeightsError
            The manifest is malformed, or belongs to another version.
        """
        if digest and blake3(data).hexdigest() != digest:
            raise WeightsError(
                ResultCode.MANIFEST_INVALID,
                f"manifest does not belong to version {digest}",
            )
        try:
            manifest = msgspec.json.decode(data, type=cls)
        except msgspec.DecodeError as error:
            raise WeightsError(ResultCode.MANIFEST_INVALID, str(error)) from error
        for message in manifest.validation_errors():
            raise WeightsError(ResultCode.MANIFEST_INVALID, message)
        return manifest

    def validation_errors(self) -> Iterator[str]:
        """Yield a message for each validation error."""
        if self.chunk_bytes <= 0:
            yield f"chunk_bytes: expected a positive number, got {self.chunk_bytes}"
            return
        paths = [file.path for file in self.files]
        if paths != sorted(set(paths)):
            yield "files: expected sorted paths without duplicates"
        for file in self.files:
            parts = file.path.split("/")
            if not file.path or any(part in ("", ".", "..") for part in parts):
                yield f"path: expected a relative path, got {file.path!r}"
            if len(file.chunks) != -(-file.size // self.chunk_bytes):
                yield (
                    f"{file.path}: number of chunks {len(file.chunks)} does not match"
                    f" the size of {file.size} bytes"
                )
            if any(len(digest) != DIGEST_CHARACTERS for digest in file.chunks):
                yield f"{file.path}: expected chunk digests of 64 hexadecimal digits"

    def to_bytes(self) -> bytes:
        """Encode the manifest; equal manifests give equal bytes."""
        return msgspec.json.encode(self)

    @cached_property
    def digest(self) -> str:
        """Digest that identifies the version, 64 hexadecimal digits."""
        return blake3(self.to_bytes()).hexdigest()

    @cached_property
    def size(self) -> int:
        """Total size of all files in bytes."""
        return sum(file.size for file in self.files)

    @cached_property
    def spans(self) -> tuple[Span, ...]:
        """All chunks in order."""
        return tuple(
            Span(index, *rest) for index, rest in enumerate(self.locate_chunks())
        )

    def locate_chunks(self) -> Iterator[tuple[str, str, int, int]]:
        """Yield digest, path, offset and length of each chunk."""
        for file in self.files:
            for number, digest in enumerate(file.chunks):
                offset = number * self.chunk_bytes
                length = min(self.chunk_bytes, file.size - offset)
                yield digest, file.path, offset, length


def chunk_digest(data: bytes) -> str:
    """Return the digest of a chunk."""
    return blake3(data).hexdigest()


def read_chunks(path: Path, chunk_bytes: int) -> Iterator[bytes]:
    """Yield the chunks of a file."""
    with open(path, "rb") as file:
        while chunk := file.read(chunk_bytes):
            yield chunk


def build_manifest(folder: str, chunk_bytes: int = CHUNK_BYTES) -> Manifest:
    """Build the manifest of a file tree.

    Parameters
    ----------
    folder : str
        Root of the file tree.
    chunk_bytes : int
        Length of a chunk in bytes.

    Raises
    ------
    WeightsError
        The folder is missing or contains no file.
    """
    root = Path(folder)
    paths = sorted(
        path.relative_to(root).as_posix() for path in root.rglob("*") if path.is_file()
    )
    if not paths:
        raise WeightsError(
            ResultCode.MANIFEST_INVALID,
            f"{folder}: expected a folder that contains files",
        )
    files = tuple(
        ManifestFile(
            path,
            (root / path).stat().st_size,
            tuple(map(chunk_digest, read_chunks(root / path, chunk_bytes))),
        )
        for path in paths
    )
    return Manifest(chunk_bytes, files)


def verify_folder(folder: str, manifest: Manifest) -> None:
    """Verify a file tree against its manifest.

    Raises
    ------
    WeightsError
        A file is missing or not listed, or a chunk differs; the message names the
        file or the folder.
    """
    found = build_manifest(folder, manifest.chunk_bytes)
    found_digests = {(s.path, s.offset): s.digest for s in found.spans}
    for span in manifest.spans:
        if found_digests.get((span.path, span.offset)) != span.digest:
            raise WeightsError(
                ResultCode.CHUNK_CORRUPTED,
                f"{folder}: {span.path} differs at byte {span.offset}",
            )
    if found.digest != manifest.digest:
        raise WeightsError(
            ResultCode.MANIFEST_INVALID,
            f"{folder}: contains files that the manifest does not list",
        )
