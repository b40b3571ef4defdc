"""Manifests, chunks and their spreading."""

from wisteriapulley.weights.chunk_store import ChunkStore
from wisteriapulley.weights.manifest import Manifest, build_manifest, verify_folder
from wisteriapulley.weights.schedule import Fetch, Schedule

__all__ = [
    "ChunkStore",
    "Fetch",
    "Manifest",
    "Schedule",
    "build_manifest",
    "verify_folder",
]
