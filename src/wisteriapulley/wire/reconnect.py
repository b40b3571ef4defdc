"""Reconnects a link to one of several addresses."""

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

# The delay before the next attempt is this fraction of the time for which the peer has
# been unreachable. A peer that has just started is reached within a few hundredths of
# a second, since processes that wait for it serve no requests. A peer that stays
# unreachable is tried once a second.
DELAY_FRACTION = 0.125
MIN_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class ReconnectingLink:
    """A link that is opened again whenever it closes or its peer falls silent.

    A silent link that is held for answers stays open beside the next one.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses to connect to, tried in turn.
    identity : Identity
        Identity of this process.
    handler : callable
        Awaited with each frame that is not a reply.
    heartbeat : callable
        Returns the heartbeat to send.
    settings : NodeSettings
        Settings with the heartbeat interval and the maximum silence.
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
        self.retired_links: set[Link] = set()
        self.task: asyncio.Task | None = None
        self.rng = random.Random(identity.node_id)

    @property
    def open_link(self) -> Link | None:
        """The link, if it is open and its peer is not silent."""
        link = self.link
        if link is None or link.closed.is_set() or link.silent.is_set():
            return None
        return None if link.retired else link

    def start(self) -> None:
        """Start connecting."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Connect again whenever the link closes, until cancelled."""
        position = 0
        connected_s = steady_s()
        while True:
            address = self.addresses[position % len(self.addresses)]
            position += 1
            try:
                await self.run_link(address)
                connected_s = steady_s()
            except WisteriapulleyError as error:
                log.debug("link to %s failed: %s", address, error)
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
            await first_set(self.link.closed, self.link.silent)
            self.retire_link()
        finally:
            if not self.link.retired:
                self.link.close()

    def retire_link(self) -> None:
        """Use the link for nothing new; it closes after its last answer."""
        self.retired_links = {k for k in self.retired_links if not k.closed.is_set()}
        if not self.link.closed.is_set():
            self.link.retired = True
            self.retired_links.add(self.link)

    async def stop(self) -> None:
        """Stop connecting, and close all links."""
        if self.task is not None:
            self.task.cancel()
        if self.link is not None:
            self.link.close()
        for link in self.retired_links:
            link.close()


async def first_set(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


def reconnect_delay_s(unreachable_s: float, jitter: float) -> float:
    """Return the delay before the next attempt to connect to a peer, in seconds.

    After a power outage all processes restart, and those that others wait for start
    last. A delay that doubles from the first attempt on would have grown to most of
    a second by then.

    Parameters
    ----------
    unreachable_s : float
        Seconds since the last link to the peer closed, or since the first attempt.
    jitter : float
        Random number from 0 to below 1, which spreads the attempts of many processes.
    """
    mean_s = min(MAX_DELAY_S, max(MIN_DELAY_S, unreachable_s * DELAY_FRACTION))
    return mean_s * (0.5 + jitter)
