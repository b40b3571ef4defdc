"""Keeps one link open to one of several addresses."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from wisteriapulley.clocks import steady_s
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.settings import Address, NodeSettings
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import Handler, Link, connect
from wisteriapulley.wire.messages import Heartbeat

log = logging.getLogger(__name__)

# Share of the time that a peer has been away after which it is tried again. A process
# that starts is met within a few hundredths of a second of its first moment, since
# whoever waits for it serves nobody; a peer that stays away is tried once a second.
DELAY_FRACTION = 0.125
MIN_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class ReconnectingLink:
    """Connects, waits for the link to close, and connects again.

    Parameters
    ----------
    addresses : sequence of Address
        Tried in turn; the next one follows a failure.
    identity : Identity
        Who this process is.
    handler : callable
        Awaited with each frame that is no reply.
    heartbeat : callable
        Makes the heartbeat to send.
    settings : NodeSettings
        For the heartbeat and silence times.
    on_open : callable, optional
        Awaited with each new link.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        identity: Identity,
        handler: Handler,
        heartbeat: Callable[[], Heartbeat],
        settings: NodeSettings,
        on_open: Callable | None = None,
    ):
        self.addresses = list(addresses)
        self.identity = identity
        self.handler = handler
        self.heartbeat = heartbeat
        self.settings = settings
        self.on_open = on_open
        self.link: Link | None = None
        self.task: asyncio.Task | None = None
        self.rng = random.Random(identity.node_id)

    @property
    def open_link(self) -> Link | None:
        """The link, if it is open."""
        if self.link is None or self.link.closed.is_set():
            return None
        return self.link

    def start(self) -> None:
        """Begin keeping the link."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Connect for ever."""
        position = 0
        connected_s = steady_s()
        while True:
            address = self.addresses[position % len(self.addresses)]
            position += 1
            try:
                await self.run_link(address)
                connected_s = steady_s()
            except WisteriapulleyError as error:
                log.debug("link to %s: %s", address, error)
            await asyncio.sleep(
                reconnect_delay_s(steady_s() - connected_s, self.rng.random())
            )

    async def run_link(self, address: Address) -> None:
        """Open a link and wait until it closes."""
        self.link = await connect(
            address,
            self.identity,
            self.handler,
            self.heartbeat,
            self.settings.heartbeat_ms,
            self.settings.silence_ms,
        )
        try:
            if self.on_open is not None:
                await self.on_open(self.link)
            await self.link.closed.wait()
        finally:
            self.link.close()

    async def stop(self) -> None:
        """Stop keeping, and close the link."""
        if self.task is not None:
            self.task.cancel()
        if self.link is not None:
            self.link.close()


def reconnect_delay_s(unreachable_s: float, jitter: float) -> float:
    """Return how long to wait before a peer is tried again.

    Load: all processes start again after a loss of power, and those that others
    wait for start last. Harm prevented: a pause that doubles from the first try
    has grown to most of a second by then.

    Parameters
    ----------
    away_s : float
        Seconds since it was last linked, or first tried.
    spread : float
        Random number below 1: keeps the tries of many processes apart.
    """
    mean_s = min(MAX_DELAY_S, max(MIN_DELAY_S, unreachable_s * DELAY_FRACTION))
    return mean_s * (0.5 + jitter)
