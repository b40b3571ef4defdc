"""Data folders of control instances: founding ones."""

from wisteriapulley.consensus.storage import DiskIdentity, write_identity
from wisteriapulley.consensus.types import Members
from wisteriapulley.settings import ControlSettings


def founding_identity(node_id: str) -> str:
    """Return the disk identity of a founding instance."""
    return f"founder-{node_id}"


def init_folder(settings: ControlSettings) -> None:
    """Write the identity of a founding instance."""
    names = [settings.node_id, *(peer.node_id for peer in settings.peers)]
    members = Members({name: founding_identity(name) for name in sorted(names)})
    identity = DiskIdentity(
        settings.node_id, founding_identity(settings.node_id), members
    )
    write_identity(settings.data_folder, identity)
