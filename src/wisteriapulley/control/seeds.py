"""Control instances that find each other through seed addresses.

Where no list of peers stands in the settings, an instance's node id is its
host, so that an address of a seed names its node. The seeds that start together
on empty disks are the first voters: each writes the same configuration, with an
identity that follows from its host, so no instance has to be first. Every later
disk gets a random identity and joins as a learner. An instance without a disk
copies the log to a temporary folder; it answers operators and targets, and never
votes.
"""

import tempfile
from pathlib import Path

import msgspec

from wisteriapulley.consensus.files import Files, VolatileFiles
from wisteriapulley.consensus.storage import (
    IDENTITY_NAME,
    LOG_NAME,
    SNAPSHOT_NAME,
    DiskIdentity,
    new_identity,
    write_identity,
)
from wisteriapulley.consensus.types import OBSERVER_PREFIX, Members
from wisteriapulley.settings import ControlSettings

FOUNDER_PREFIX = "first-"


def ensure_data_folder(settings: ControlSettings) -> ControlSettings:
    """Give an instance without a disk a temporary folder, as an observer.

    Raises
    ------
    StorageError
        The temporary folder can't be written.
    """
    if settings.data_folder:
        return settings
    folder = tempfile.mkdtemp(prefix="control-")
    identity = OBSERVER_PREFIX + new_identity()
    held = DiskIdentity(settings.node_id, identity, Members({}))
    write_identity(folder, held, VolatileFiles())
    return msgspec.structs.replace(settings, data_folder=folder)


def ensure_identity(settings: ControlSettings, files: Files | None = None) -> None:
    """Give an empty data folder its identity; leave any other as it is.

    Parameters
    ----------
    settings : ControlSettings
        With `seeds`; `found_with_seeds` says whether the system starts for the
        first time.
    files : Files, optional
        File operations.

    Raises
    ------
    StorageError
        The disk fails.
    """
    home = Path(settings.data_folder)
    if (home / IDENTITY_NAME).exists():
        return
    # A crash before the identity was synced leaves nothing that was ever
    # acknowledged, since the log is opened after it.
    for name in (LOG_NAME, SNAPSHOT_NAME):
        (home / name).unlink(missing_ok=True)
    write_identity(settings.data_folder, initial_identity(settings), files or Files())


def initial_identity(settings: ControlSettings) -> DiskIdentity:
    """Make the identity of an empty disk: a founder's, or a joining one's."""
    hosts = sorted(seed.host for seed in settings.seeds)
    if settings.found_with_seeds and settings.node_id in hosts:
        members = Members({host: FOUNDER_PREFIX + host for host in hosts})
        identity = members.voters[settings.node_id]
        return DiskIdentity(settings.node_id, identity, members)
    return DiskIdentity(settings.node_id, new_identity(), Members({}))


def file_operations(identity: DiskIdentity) -> Files:
    """Return the file operations for a folder: an observer's is temporary."""
    if identity.identity.startswith(OBSERVER_PREFIX):
        return VolatileFiles()
    return Files()
