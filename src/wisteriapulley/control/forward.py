"""Sends a follower's proposals on to the leader."""

from collections.abc import Callable

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.link import raise_failure

FORWARD_TIMEOUT_S = 3.5
LEADER_CHECK_INTERVAL_S = 0.1


async def forward(
    link: Link, message: messages.Propose, is_leader: Callable[[], bool]
) -> bytes:
    """Send a command to the leader and wait while it leads.

    A frozen leader keeps its link open until it has been silent for too long;
    the others elect a new one sooner, and the sender then hears at once that
    the outcome is not known.

    Parameters
    ----------
    link : Link
        To the leader.
    message : Propose
        The command.
    leads : callable
        Whether the peer of `link` still leads, as far as is known here.

    Raises
    ------
    WireError
        The answer was lost, or the peer leads no more.
    WisteriapulleyError
        The leader answered with a failure.
    """
    call = link.call(message)
    checks = int(FORWARD_TIMEOUT_S / LEADER_CHECK_INTERVAL_S)
    try:
        while True:
            checks -= 1
            try:
                frame = await call.reply(LEADER_CHECK_INTERVAL_S)
            except WireError as error:
                if error.code == ResultCode.LINK_TIMEOUT and checks > 0 and is_leader():
                    continue
                raise
            raise_failure(frame)
            return frame.message.result
    finally:
        call.close()
