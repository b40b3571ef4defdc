"""Tells a target that has ended from a connection that has."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.settings import Address

log = logging.getLogger(__name__)

# A host that runs answers a connection within a round trip; one without power, or
# behind a cut link, never does.
CONNECT_TIMEOUT_S = 0.4


async def refuses_connections(address: str) -> bool:
    """Tell whether nothing listens at an address whose host answers.

    Parameters
    ----------
    address : str
        Host and port.
    """
    try:
        listener = Address.from_text(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(listener.host, listener.port)
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError) as error:
        log.info("%s neither takes nor refuses connections: %r", address, error)
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False


class Liveness:
    """Questions whether targets have ended, each asked once at a time.

    Parameters
    ----------
    refuses : callable
        Tells whether nothing listens at an address.
    """

    def __init__(self, refuses: Callable[[str], Awaitable[bool]] = refuses_connections):
        self.refuses = refuses
        self.probes: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, target: Target) -> bool:
        """Tell whether a target's process has ended.

        Load: all requests at a target break off in the same moment. One connection
        tells the answer for all of them.
        """
        if target.replaced:
            return True
        task = self.probes.get(target.address)
        if task is None:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self.refuses(target.address))
            self.probes[target.address] = task
            task.add_done_callback(lambda _: self.probes.pop(target.address, None))
        return await asyncio.shield(task)
