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
from wisteriapulley.errors import WireError, WisteriapulleyError
from wisteriapulley.settings import NodeSettings
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 4.0
LEASE_TIMEOUT_S = 2.0
# Longer than a control instance waits for its quorum.
WATCH_TIMEOUT_S = 5.0
CONFIRM_RETRY_S = 1.0
# Load: 820 copies in a burst, whose progress would be reported several times a
# second each. Harm prevented: a control instance busy with progress; a change
# of state or revision is always reported at once.
PROGRESS_REPORT_DELAY_S = 2.0
# A control instance that has known no leader for so long is cut off: its nodes
# try another one.
ISOLATED_TIMEOUT_S = 3.0
# Load: 1,330 nodes while no instance has a quorum. Harm prevented: all of them
# changing instances every few seconds; the patience doubles up to this.
MAX_ISOLATED_TIMEOUT_S = 120.0
ISOLATED_STATE = "isolated"


class LocalCatalogue:
    """The catalogue in force at a node; its revision never goes down.

    A node that has just started can't know which revision it had before. So it
    takes nothing in until a control instance with a fresh quorum confirmation
    gave the catalogue; from then on any newer revision of any neighbour will
    do, because only accepted revisions are told.
    """

    def __init__(self):
        self.image = CatalogueImage(0, {})
        self.by_service: dict[str, list[Entry]] = {}
        self.confirmed = False
        self.content = b""

    @property
    def revision(self) -> int:
        """Revision in force here."""
        return self.image.revision

    def apply_update(self, message: messages.CatalogueUpdate) -> bool:
        """Take an update in unless it is older; tell whether it changed."""
        if message.fresh and message.revision >= self.revision:
            self.confirmed = True
        if not self.confirmed or message.revision <= self.revision:
            return False
        self.image = msgspec.msgpack.decode(message.content, type=CatalogueImage)
        self.content = message.content
        self.by_service = entries_by_service(self.image)
        return True

    def to_update(self) -> messages.CatalogueUpdate:
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
        self.catalogue = LocalCatalogue()
        self.members: dict[str, messages.Announce] = {}
        self.announcement: messages.Announce | None = None
        self.report: messages.Report | None = None
        self.report_timer: asyncio.TimerHandle | None = None
        self.isolated_since_s: float | None = None
        self.isolated_timeout_s = ISOLATED_TIMEOUT_S
        self.pulling = False
        self.keeper = ReconnectingLink(
            self.rotated_addresses(identity.node_id),
            identity,
            self.handle,
            heartbeat,
            settings,
            self.on_link_opened,
        )

    def rotated_addresses(self, node_id: str) -> list:
        """Order the control addresses so that nodes spread over them."""
        addresses = list(self.settings.control)
        start = sum(node_id.encode()) % len(addresses)
        return addresses[start:] + addresses[:start]

    def start(self) -> None:
        """Begin watching."""
        self.keeper.start()
        self.confirm_task = asyncio.get_running_loop().create_task(self.confirm_loop())

    async def stop(self) -> None:
        """Stop watching."""
        self.confirm_task.cancel()
        if self.report_timer is not None:
            self.report_timer.cancel()
        await self.keeper.stop()

    async def confirm_loop(self) -> None:
        """Watch again until a quorum has confirmed the catalogue here."""
        while not self.catalogue.confirmed:
            await asyncio.sleep(CONFIRM_RETRY_S)
            link = self.keeper.open_link
            if link is not None and not self.pulling:
                link.spawn(self.pull(link))

    async def on_link_opened(self, link: Link) -> None:
        """Announce and watch over a new link."""
        self.isolated_since_s = None
        link.on_heartbeat = self.on_control_heartbeat
        if self.announcement is not None:
            link.post(self.announcement)
        link.spawn(self.watch(link))
        if self.report is not None:
            link.post(self.report)

    async def watch(self, link: Link) -> None:
        """Ask for the catalogue and take the answer in."""
        query = messages.Watch(self.catalogue.revision, self.services)
        try:
            frame = await link.request(query, WATCH_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("watch of %s: %s", link.peer_id, error)
            return
        if isinstance(frame.message, messages.CatalogueUpdate):
            self.receive(frame.message)

    def announce(self, announcement: messages.Announce) -> None:
        """Announce this node, now and on each new link."""
        self.announcement = announcement
        self.post(announcement)

    def send_report(self, report: messages.Report) -> None:
        """Report this node's state when it changed; mere progress may wait."""
        before, self.report = self.report, report
        if report == before:
            return
        if before is None or not differs_only_in_progress(before, report):
            self.report_now()
        elif self.report_timer is None:
            loop = asyncio.get_running_loop()
            self.report_timer = loop.call_later(
                PROGRESS_REPORT_DELAY_S, self.report_now
            )

    def report_now(self) -> None:
        """Send the newest report."""
        if self.report_timer is not None:
            self.report_timer.cancel()
            self.report_timer = None
        self.post(self.report)

    def post(self, message: tuple) -> None:
        """Send if a link is open."""
        if self.keeper.open_link is not None:
            self.keeper.open_link.post(message)

    async def propose(self, command: Command) -> Result:
        """Commit a command through the control instance.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: it is not known whether the command was committed.
        """
        frame = await self.request(messages.Propose(encode(command)), PROPOSE_TIMEOUT_S)
        return decode_result(command, frame.message.result)

    async def lease(self) -> messages.Lease:
        """Ask for the leader's lease, as proof of a live quorum.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM.
        """
        return (await self.request(messages.LeaseQuery(), LEASE_TIMEOUT_S)).message

    async def request(self, message: tuple, timeout_s: float) -> Frame:
        """Send a request to the control instance; a lost answer is NO_QUORUM."""
        link = self.keeper.open_link
        if link is None:
            raise no_quorum("no control instance answers")
        try:
            return await link.request(message, timeout_s)
        except WireError as error:
            raise no_quorum(str(error)) from error

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
        if self.catalogue.apply_update(message):
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
        """Pull the catalogue from a peer whose heartbeat is ahead."""
        self.pulling = True
        try:
            await self.watch(link)
        finally:
            self.pulling = False

    def pull_if_behind(self, link: Link) -> None:
        """Compare a peer's revision with ours; pull when behind.

        One pull at a time: a change makes all neighbours run ahead at once.
        """
        behind = link.peer_heartbeat.revision > self.catalogue.revision
        if behind and self.catalogue.confirmed and not self.pulling:
            link.spawn(self.pull(link))

    def on_control_heartbeat(self, link: Link) -> None:
        """Compare revisions, and leave a control instance that is cut off."""
        self.pull_if_behind(link)
        now = asyncio.get_running_loop().time()
        if link.peer_heartbeat.state != ISOLATED_STATE:
            self.isolated_since_s = None
            self.isolated_timeout_s = ISOLATED_TIMEOUT_S
        elif self.isolated_since_s is None:
            self.isolated_since_s = now
        elif now - self.isolated_since_s > self.isolated_timeout_s:
            self.isolated_timeout_s = min(
                MAX_ISOLATED_TIMEOUT_S, 2 * self.isolated_timeout_s
            )
            link.close()

    async def wait_confirmed(self) -> None:
        """Wait until a quorum confirmed the catalogue in force here."""
        while not self.catalogue.confirmed:
            await asyncio.sleep(0.02)


def differs_only_in_progress(before: messages.Report, after: messages.Report) -> bool:
    """Tell whether two reports differ in the bytes copied only."""
    return before._replace(bytes_done=after.bytes_done) == after
