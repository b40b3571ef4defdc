"""Set up the data folders of founding and joining control instances."""

from wisteriapulley.consensus.files import Files
from wisteriapulley.consensus.storage import (
    DiskIdentity,
    new_identity,
    write_identity,
)
from wisteriapulley.consensus.types import Members
from wisteriapulley.settings import ControlSettings


def init_folder(settings: ControlSettings) -> DiskIdentity:
    """Create the folder of a new cluster with this instance as its only voter.

    Run this once in the lifetime of a fleet; all other instances join.

    Raises
    ------
    StorageError
        The folder is in use.
    """
    identity = new_identity()
    members = Members({settings.node_id: identity})
    return write_new_identity(
        settings, DiskIdentity(settings.node_id, identity, members)
    )


def join_folder(settings: ControlSettings) -> DiskIdentity:
    """Create the folder of an instance that joins a cluster as a learner.

    Raises
    ------
    StorageError
        The folder is in use.
    """
    identity = DiskIdentity(settings.node_id, new_identity(), Members({}))
    return write_new_identity(settings, identity)


def write_new_identity(
    settings: ControlSettings, identity: DiskIdentity
) -> DiskIdentity:
    """Write `identity` to the data folder and return it."""
    write_identity(settings.data_folder, identity, Files())
    return identity
