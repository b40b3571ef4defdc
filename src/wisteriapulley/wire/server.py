"""Server that accepts links at one address."""

import asyncio
import logging
from collections.abc import Callable

from wisteriapulley.errors import ResultCode, SettingsError, WireError
from wisteriapulley.logs import fields
from wisteriapulley.settings import Address
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.link import Handler, Link
from wisteriapulley.wire.messages import Heartbeat

log = logging.getLogger(__name__)

# Limit of connections whose handshake is not complete. Further ones are closed at once,
# so that clients that open sockets and send nothing can't exhaust memory.
MAX_PENDING_HANDSHAKES = 128


class LinkServer:
    """Accepts links at one address.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    handler : callable
        Awaited with each frame that is not a reply.
    heartbeat : callable
        Returns the heartbeat to send.
    heartbeat_ms, silence_ms : int
        Milliseconds between heartbeats, and of silence before a link is closed.
    """

    def __init__(
        self,
        identity: Identity,
        handler: Handler,
        heartbeat: Callable[[], Heartbeat],
        heartbeat_ms: int,
        silence_ms: int,
    ):
        self.identity = identity
        self.handler = handler
        self.heartbeat = heartbeat
        self.heartbeat_ms = heartbeat_ms
        self.silence_ms = silence_ms
        self.links: set[Link] = set()
        self.pending_handshakes = 0
        self.accept_tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.on_open: Callable[[Link], None] | None = None
        self.on_close: Callable[[Link], None] | None = None

    async def start(self, address: Address) -> Address:
        """Start listening; return the address with the port that was bound.

        Raises
        ------
        SettingsError
            ADDRESS_CLASH: the address is in use or not local.
        """
        try:
            self.server = await asyncio.get_running_loop().create_server(
                self.new_link, address.host, address.port
            )
        except OSError as error:
            raise SettingsError(
                ResultCode.ADDRESS_CLASH, f"$.wire_listen {address}: {error}"
            ) from error
        port = self.server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def new_link(self) -> Link:
        """Return the link for a new connection."""
        link = Link(self.handler, self.heartbeat)
        link.on_connect = self.start_accept
        return link

    def start_accept(self, link: Link) -> None:
        """Start a task that authenticates a new connection."""
        task = asyncio.get_running_loop().create_task(self.accept(link))
        self.accept_tasks.add(task)
        task.add_done_callback(self.accept_tasks.discard)

    async def accept(self, link: Link) -> None:
        """Authenticate a connection and add its link."""
        self.pending_handshakes += 1
        try:
            if self.pending_handshakes > MAX_PENDING_HANDSHAKES:
                raise WireError(
                    ResultCode.AUTHENTICATION_FAILED, "too many handshakes at once"
                )
            await link.authenticate(self.identity, opener=False)
        except WireError as error:
            log.warning("link rejected: %s", error, extra=fields(code=error.code))
            link.close(error)
            return
        finally:
            self.pending_handshakes -= 1
        link.on_close = self.remove_link
        self.links.add(link)
        if self.on_open is not None:
            self.on_open(link)
        link.start(self.heartbeat_ms, self.silence_ms)

    def remove_link(self, link: Link) -> None:
        """Remove a closed link."""
        self.links.discard(link)
        if self.on_close is not None:
            self.on_close(link)

    def send_heartbeats(self) -> None:
        """Send a heartbeat over every link now."""
        for link in tuple(self.links):
            link.send_heartbeat()

    async def end_links(self) -> None:
        """Accept no more links, and end those that are open; see `Link.end`.

        A peer whose link has ended would open the next one at once.
        """
        self.server.close()
        await asyncio.gather(*(link.end() for link in tuple(self.links)))

    async def stop(self) -> None:
        """Stop listening and close every link."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.accept_tasks):
            task.cancel()
        for link in tuple(self.links):
            link.close()
