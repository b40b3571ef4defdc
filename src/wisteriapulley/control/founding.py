"""What `control init` asks first: whether the cluster is founded already."""

import asyncio
import time

from wisteriapulley.errors import ResultCode, StorageError, WisteriapulleyError
from wisteriapulley.settings import ControlSettings, load_fleet_key
from wisteriapulley.wire import messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import Link, connect


def check_not_founded(settings: ControlSettings) -> None:
    """Refuse to found while a peer answers.

    Only a cluster that is founded runs, so any peer that answers shows one. A
    second founding would be a second truth until the two meet.

    Raises
    ------
    StorageError
        A peer answers.
    """
    answers = asyncio.run(find_running_peer(settings))
    if answers:
        raise StorageError(
            ResultCode.ALREADY_FOUNDED,
            f"expected no control instance to run yet, got an answer of {answers};"
            " run `wisteriapulley control join` here",
        )


async def find_running_peer(settings: ControlSettings) -> str:
    """Return the node id of a peer that answers, or nothing."""
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
    """Take a frame and do nothing."""
