"""Agreement of a majority of control instances about what is not in the log."""

import asyncio
from collections.abc import Iterable, Set

from wisteriapulley.consensus.types import Members
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import knows_model_query

# A caller without a response within a second turns to another instance, and it does so
# sooner if it is refused.
CONFIRM_TIMEOUT_S = 0.7


def is_majority(node_ids: Set[str], members: Members) -> bool:
    """Return whether a majority of the voters is among some instances."""
    return len(members.voters.keys() & node_ids) >= members.quorum_size()


def check_reachable(node_id: str, links: Iterable[Link], members: Members) -> None:
    """Raise if this instance and those behind open links are no majority.

    Raises
    ------
    WisteriapulleyError
        NO_QUORUM: another instance may reach one.
    """
    reachable = {link.peer_id for link in links if not link.silent.is_set()}
    if not is_majority({node_id} | reachable, members):
        raise no_quorum("no majority of the control instances can be reached")


async def confirm_delivery(
    node_id: str, links: Iterable[Link], members: Members
) -> None:
    """Wait until a majority has handled what was sent to it before.

    An instance handles the messages of one link in order, so its reply to any query
    shows that. An earlier release without the query counts as one that does not reply.

    Parameters
    ----------
    node_id : str
        Node id of this instance.
    links : iterable of Link
        One open link to each other instance, over which the messages were sent.
    members : Members
        The members of the quorum.

    Raises
    ------
    WisteriapulleyError
        NO_QUORUM: too few have replied in time.
    """
    handled = {node_id}

    async def ask(link: Link) -> None:
        await link.request(messages.ModelQuery(), CONFIRM_TIMEOUT_S)
        handled.add(link.peer_id)

    asked = {
        asyncio.ensure_future(ask(link))
        for link in links
        if knows_model_query(link.peer)
    }
    try:
        while asked and not is_majority(handled, members):
            done, asked = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if not isinstance(task.exception(), WisteriapulleyError | None):
                    raise task.exception()
    finally:
        for task in asked:
            task.cancel()
    if not is_majority(handled, members):
        raise no_quorum("no majority of the control instances has replied in time")
