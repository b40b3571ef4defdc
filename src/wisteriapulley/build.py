"""Which build of the package a process runs.

Two builds may have the same version, so a build is named by a digest of its sources.
``python -m wisteriapulley.build`` prints that of a checkout. Given the folder of a
build, it writes the digest there: reading all sources takes time at each start.
"""

import functools
import hashlib
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

PACKAGE = Path(__file__).resolve().parent
DIGEST_FILE = "build.digest"
SOURCE_SUFFIXES = frozenset({".py", ".json", ".capnp"})
DIGEST_CHARACTERS = 12


class Build(NamedTuple):
    """A build of the package.

    Attributes
    ----------
    version : str
        Version of the package.
    digest : str
        First characters of the SHA-256 digest of its sources, hexadecimal.
    """

    version: str
    digest: str


def source_files(folder: Path) -> Iterator[Path]:
    """Yield the source files below a folder, by name."""
    files = (path for path in folder.rglob("*") if path.suffix in SOURCE_SUFFIXES)
    yield from sorted(files, key=lambda path: path.relative_to(folder).as_posix())


def digest_of(folder: Path) -> str:
    """Return the digest of the names and contents of the sources below a folder."""
    digest = hashlib.sha256()
    for path in source_files(folder):
        name = path.relative_to(folder).as_posix()
        data = path.read_bytes()
        digest.update(f"{name}\0{len(data)}\0".encode())
        digest.update(data)
    return digest.hexdigest()[:DIGEST_CHARACTERS]


def read_build(folder: Path = PACKAGE) -> Build:
    """Return the build of the package in a folder, as recorded or by its sources."""
    from wisteriapulley import __version__

    try:
        digest = (folder / DIGEST_FILE).read_text().strip()
    except OSError:
        digest = digest_of(folder)
    return Build(__version__, digest)


@functools.cache
def build_fields() -> dict[str, str]:
    """Return the build of this process, as fields of a log line or labels."""
    build = read_build()
    return {"version": build.version, "build": build.digest}


def main() -> None:
    """Print the digest of this checkout, or write it into the folder of a build."""
    if len(sys.argv) > 1:
        folder = Path(sys.argv[1])
        (folder / DIGEST_FILE).write_text(digest_of(folder) + "\n")
    else:
        print(digest_of(PACKAGE))


if __name__ == "__main__":
    main()
