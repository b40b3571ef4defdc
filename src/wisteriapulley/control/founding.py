"""The check of `control init` that the cluster is not founded yet."""

import asyncio
import time

from wisteriapulley.errors import ResultCode, StorageError, WisteriapulleyError
from wisteriapulley.settings import ControlSettings, load_fleet_key
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import Link, connect


def check_not_founded(settings: ControlSettings) -> None:
    """Raise if a peer answers, since then the cluster is founded already.

    Only a founded cluster has running instances. Founding it again would create a
    second cluster with its own state, until the two connect to each other.

    Raises
    ------
    StorageError
        ALREADY_FOUNDED: a peer answers.
    """
    running_peer = asyncio.run(find_running_peer(settings))
    if running_peer:
        raise StorageError(
            ResultCode.ALREADY_FOUNDED,
            f"expected no running control instance, got an answer from {running_peer};"
            " run `wisteriapulley control join` here",
        )


async def find_running_peer(settings: ControlSettings) -> str:
    """Return the node id of a peer that answers, or an empty string."""
    identity = Identity(
        settings.node_id,
        "control",
        settings.failure_domain,
        time.time_ns() // 1000,
        load_fleet_key(settings.fleet_key_file),
    )
    for peer in settings.peers:
        try:
            link = await connect(
                peer.address,
                identity,
                ignore_frame,
                messages.Heartbeat,
                settings.heartbeat_ms,
                settings.silence_ms,
            )
        except WisteriapulleyError:
            continue
        link.close()
        return link.peer_id
    return ""


async def ignore_frame(link: Link, frame) -> None:
    """Ignore a frame."""
