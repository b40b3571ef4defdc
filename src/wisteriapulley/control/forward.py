"""Forwards proposals to the leader."""

from collections.abc import Callable

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.link import raise_failure

FORWARD_TIMEOUT_S = 3.5
LEADER_CHECK_INTERVAL_S = 0.1


async def forward(
    link: Link, message: messages.Propose, is_leader: Callable[[], bool]
) -> bytes:
    """Forward a command to the leader and wait for the result while it leads.

    The link to a frozen leader stays open until the silence timeout. The others elect
    a new leader sooner, and the sender then learns at once that the outcome is
    unknown.

    Parameters
    ----------
    link : Link
        Link to the leader.
    message : Propose
        The command to forward.
    is_leader : callable
        Whether the peer of `link` is still the leader, as far as is known here.

    Raises
    ------
    WireError
        The reply was lost, or the peer is no longer the leader.
    WisteriapulleyError
        The leader replied with a failure.
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
