"""What entries and sidecars hold of the control plane: a watch."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatchmethod

import msgspec

from wisteriapulley.catalogue.catalogue import CatalogueImage, entries_by_service
from wisteriapulley.catalogue.entry import Entry
from wisteriapulley.control.commands import Command, Result, decode_result, encode
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.settings import NodeSettings
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

PROPOSE_S = 4.0
CONFIRM_AGAIN_S = 1.0


class CatalogueHolder:
    """The catalogue in force at a node; its revision never goes down."""

    def __init__(self):
        self.image = CatalogueImage(0, {})
        self.by_service: dict[str, list[Entry]] = {}
        self.confirmed = False
        self.content = b""

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.image.revision

    def offer(self, update: messages.CatalogueUpdate) -> bool:
        """Take an update in unless it is older; tell whether it changed."""
        if update.fresh and update.revision >= self.revision:
            self.confirmed = True
        if update.revision <= self.revision:
            return False
        self.image = msgspec.msgpack.decode(update.content, type=CatalogueImage)
        self.content = update.content
        self.by_service = entries_by_service(self.image)
        return True

    def update(self) -> messages.CatalogueUpdate:
        """Return what is in force, for a neighbour that is behind."""
        return messages.CatalogueUpdate(self.revision, False, self.content)


class ControlClient:
    """Keeps a link to a control instance and what it tells.

    Parameters
    ----------
    settings : NodeSettings
        With ``control`` addresses.
    identity : Identity
        Who this process is.
    services : tuple of str
        Members of these are watched; empty for all.
    heartbeat : callable
        Makes the heartbeat to send.
    on_catalogue, on_members : callable
        Called after a change.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: Identity,
        services: tuple[str, ...],
        heartbeat: Callable[[], messages.Heartbeat],
        on_catalogue: Callable[[], None],
        on_members: Callable[[], None],
    ):
        self.settings = settings
        self.services = services
        self.on_catalogue = on_catalogue
        self.on_members = on_members
        self.holder = CatalogueHolder()
        self.members: dict[str, messages.Announce] = {}
        self.announcement: messages.Announce | None = None
        self.report: messages.Report | None = None
        self.keeper = LinkKeeper(
            self.rotated(identity.node_id),
            identity,
            self.handle,
            heartbeat,
            settings,
            self.greet,
        )

    def rotated(self, node_id: str) -> list:
        """Order the control addresses so that nodes spread over them."""
        addresses = list(self.settings.control)
        start = sum(node_id.encode()) % len(addresses)
        return addresses[start:] + addresses[:start]

    def start(self) -> None:
        """Begin watching."""
        self.keeper.start()
        self.confirming = asyncio.get_running_loop().create_task(self.confirm())

    async def stop(self) -> None:
        """Stop watching."""
        self.confirming.cancel()
        await self.keeper.stop()

    async def confirm(self) -> None:
        """Watch again until a quorum has confirmed the catalogue here."""
        while not self.holder.confirmed:
            await asyncio.sleep(CONFIRM_AGAIN_S)
            self.post(messages.Watch(self.holder.revision, self.services))

    async def greet(self, link: Link) -> None:
        """Announce and watch over a new link."""
        if self.announcement is not None:
            link.post(self.announcement)
        link.post(messages.Watch(self.holder.revision, self.services))
        if self.report is not None:
            link.post(self.report)

    def announce(self, announcement: messages.Announce) -> None:
        """Announce this node, now and on each new link."""
        self.announcement = announcement
        self.post(announcement)

    def send_report(self, report: messages.Report) -> None:
        """Report this node's state when it changed."""
        if report != self.report:
            self.report = report
            self.post(report)

    def post(self, message: tuple) -> None:
        """Send if a link is open."""
        if self.keeper.open_link is not None:
            self.keeper.open_link.post(message)

    async def propose(self, command: Command) -> Result:
        """Commit a command through the control instance.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM or a link error: it is not known to be committed.
        """
        link = self.keeper.open_link
        if link is None:
            raise no_quorum("no control instance answers")
        frame = await link.request(messages.Propose(encode(command)), PROPOSE_S)
        return decode_result(command, frame.message.result)

    async def lease(self) -> messages.Lease:
        """Ask for the leader's lease, as proof of a live quorum."""
        link = self.keeper.open_link
        if link is None:
            raise no_quorum("no control instance answers")
        return (await link.request(messages.LeaseQuery(), PROPOSE_S)).message

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame of the control instance."""
        self.receive(frame.message)

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Ignore what a newer control instance may send."""
        log.debug("ignored %s", type(message).__name__)

    @receive.register
    def receive_catalogue(self, message: messages.CatalogueUpdate) -> None:
        """Handle the message `CatalogueUpdate`."""
        if self.holder.offer(message):
            self.on_catalogue()

    @receive.register
    def receive_members(self, message: messages.MemberUpdate) -> None:
        """Handle the message `MemberUpdate`."""
        if message.full:
            self.members = {}
        for member in message.members:
            if member.gone:
                self.members.pop(member.node_id, None)
            else:
                self.members[member.node_id] = member
        self.on_members()

    async def pull(self, link: Link) -> None:
        """Pull the catalogue from a neighbour whose heartbeat is ahead."""
        frame = await link.request(messages.Watch(self.holder.revision), 2.0)
        if isinstance(frame.message, messages.CatalogueUpdate):
            if self.holder.offer(frame.message):
                self.on_catalogue()

    def heard(self, link: Link) -> None:
        """Compare a neighbour's revision with ours; pull when behind."""
        if link.peer_heartbeat.revision > self.holder.revision:
            link.spawn(self.pull(link))

    async def wait_confirmed(self) -> None:
        """Wait until a quorum confirmed the catalogue in force here."""
        while not self.holder.confirmed:
            await asyncio.sleep(0.02)
