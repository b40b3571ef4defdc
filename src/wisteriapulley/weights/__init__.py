"""Manifests of weights, verified chunks and peer-to-peer distribution."""

from wisteriapulley.weights.chunk_store import ChunkStore, FolderStore
from wisteriapulley.weights.manifest import Manifest, build_manifest, verify_folder
from wisteriapulley.weights.schedule import Fetch, Schedule
from wisteriapulley.weights.seeders import Peer, Seeders, choose_neighbours

__all__ = [
    "ChunkStore",
    "Fetch",
    "FolderStore",
    "Manifest",
    "Peer",
    "Schedule",
    "Seeders",
    "build_manifest",
    "choose_neighbours",
    "verify_folder",
]
