"""Discovery of control instances through seed addresses.

If the settings list no peers, an instance's node id is its host, so that a seed's
address also gives its node id. The seeds that start together on empty disks are the
first voters. Each writes the same configuration, with identities derived from the
hosts, so the start order does not matter. Every later disk gets a random identity and
joins as a learner. An instance without a disk copies the log to a temporary folder. It
serves operators and targets, and never votes.
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
    """Return settings with a data folder; without a disk, an observer's temporary one.

    Raises
    ------
    StorageError
        The temporary folder can't be written.
    """
    if settings.data_folder:
        return settings
    folder = tempfile.mkdtemp(prefix="control-")
    identity = OBSERVER_PREFIX + new_identity()
    disk_identity = DiskIdentity(settings.node_id, identity, Members({}))
    write_identity(folder, disk_identity, VolatileFiles())
    return msgspec.structs.replace(settings, data_folder=folder)


def ensure_identity(settings: ControlSettings, files: Files | None = None) -> None:
    """Write the identity of an empty data folder; leave any other unchanged.

    Parameters
    ----------
    settings : ControlSettings
        Settings with `seeds`; `found_with_seeds` tells whether the system starts
        for the first time.
    files : Files, optional
        File operations.

    Raises
    ------
    StorageError
        The identity can't be written.
    """
    home = Path(settings.data_folder)
    if (home / IDENTITY_NAME).exists():
        return
    # The log is opened after the identity is synced. So files without an identity are
    # left from a crash and hold nothing that was ever acknowledged.
    for name in (LOG_NAME, SNAPSHOT_NAME):
        (home / name).unlink(missing_ok=True)
    write_identity(settings.data_folder, initial_identity(settings), files or Files())


def initial_identity(settings: ControlSettings) -> DiskIdentity:
    """Return the identity for an empty disk of a founding or joining instance."""
    hosts = sorted(seed.host for seed in settings.seeds)
    if settings.found_with_seeds and settings.node_id in hosts:
        members = Members({host: FOUNDER_PREFIX + host for host in hosts})
        identity = members.voters[settings.node_id]
        return DiskIdentity(settings.node_id, identity, members)
    return DiskIdentity(settings.node_id, new_identity(), Members({}))


def file_operations(identity: DiskIdentity) -> Files:
    """Return the file operations for a folder; an observer's needs no durability."""
    if identity.identity.startswith(OBSERVER_PREFIX):
        return VolatileFiles()
    return Files()
