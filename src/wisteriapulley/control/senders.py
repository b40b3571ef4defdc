"""Checks of what a peer may send to a control instance."""

from wisteriapulley.control.commands import (
    ALLOWED_COMMANDS,
    AcquirePermit,
    Command,
    ReleasePermit,
)
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import Link


def check_sender(command: Command, link: Link) -> None:
    """Raise if the peer's role may not send a command, or not for that target.

    Raises
    ------
    WireError
        UNEXPECTED_MESSAGE: the peer may not send the command.
    """
    role = link.peer.role
    if not isinstance(command, ALLOWED_COMMANDS.get(role, ())):
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"{role} may not send {type(command).__name__}",
        )
    if role == "sidecar" and isinstance(command, AcquirePermit | ReleasePermit):
        check_node_id(command.target, link)


def check_node_id(node_id: str, link: Link) -> None:
    """Raise if a peer sends a message under another node id than its own.

    Raises
    ------
    WireError
        UNEXPECTED_MESSAGE: the node ids differ.
    """
    if node_id != link.peer_id:
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"expected a message of {link.peer_id!r} about itself, got {node_id!r}",
        )
