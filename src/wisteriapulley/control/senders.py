"""Who may say what to a control instance."""

from wisteriapulley.control.commands import (
    ALLOWED_COMMANDS,
    AcquirePermit,
    Command,
    ReleasePermit,
)
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import Link


def check_sender(command: Command, link: Link) -> None:
    """Refuse a command that the peer may not send, or not for that target.

    Raises
    ------
    WireError
        UNEXPECTED_MESSAGE.
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
    """Refuse what a peer says in the name of another.

    Raises
    ------
    WireError
        UNEXPECTED_MESSAGE.
    """
    if node_id != link.peer_id:
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"expected {link.peer_id!r} to speak for itself, got {node_id!r}",
        )
