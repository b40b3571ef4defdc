"""Distinguishes a target that has exited from a connection that was lost."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from wisteriapulley.direct.registry import Target
from wisteriapulley.settings import Address

log = logging.getLogger(__name__)

# A running host accepts or refuses a connection within a round trip. A host without
# power or behind a network partition does neither.
CONNECT_TIMEOUT_S = 0.4


async def refuses_connections(address: str) -> bool:
    """Return whether a reachable host refuses connections to an address.

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
        log.info("%s neither accepts nor refuses connections: %r", address, error)
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False


class Liveness:
    """Checks whether targets have exited, with one probe per address at a time.

    Parameters
    ----------
    refuses : callable
        Returns whether connections to an address are refused.

    Attributes
    ----------
    probes : dict of str to asyncio.Task
        Probes in progress, by address.
    """

    def __init__(self, refuses: Callable[[str], Awaitable[bool]] = refuses_connections):
        self.refuses = refuses
        self.probes: dict[str, asyncio.Task[bool]] = {}

    async def has_ended(self, target: Target) -> bool:
        """Return whether a target's process has exited.

        All requests at a target break off at the same time, and share one probe.
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
