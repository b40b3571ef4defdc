"""Control plane client of entries and sidecars: catalogue, members and reports."""

import asyncio
import logging
from collections.abc import Callable
from functools import singledispatchmethod

import msgspec

from wisteriapulley.catalogue.catalogue import CatalogueImage, entries_by_service
from wisteriapulley.catalogue.entry import Entry
from wisteriapulley.control.commands import Command, Result, decode_result, encode
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.evacuations import EvacuationView
from wisteriapulley.errors import WireError, WisteriapulleyError
from wisteriapulley.settings import NodeSettings
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 4.0
LEASE_TIMEOUT_S = 2.0
# Time limit of a watch request: longer than a control instance waits for its quorum.
WATCH_TIMEOUT_S = 5.0
CONFIRM_RETRY_S = 1.0
# Delay of a report that differs only in progress; a change of state or revision is
# reported at once. With 820 nodes downloading in a burst, reporting each step several
# times a second would keep a control instance busy.
PROGRESS_REPORT_DELAY_S = 2.0
# A control instance that has known no leader for this long counts as isolated, and
# its nodes try another one.
ISOLATED_TIMEOUT_S = 3.0
# Upper bound of that timeout, which doubles with each switch: without a quorum no
# instance is better than another, and 1,330 nodes would switch every few seconds.
MAX_ISOLATED_TIMEOUT_S = 120.0
ISOLATED_STATE = "isolated"


class LocalCatalogue:
    """The catalogue in force at a node; its revision never decreases.

    A node that has just started does not know which revision it had before. So it
    ignores updates until a control instance sends one that a quorum has just
    confirmed. After that it applies any newer revision from any peer, because
    only accepted revisions are sent.
    """

    def __init__(self):
        self.image = CatalogueImage(0, {})
        self.by_service: dict[str, list[Entry]] = {}
        self.confirmed = False
        self.content = b""

    @property
    def revision(self) -> int:
        """Revision in force at this node."""
        return self.image.revision

    def apply_update(self, message: messages.CatalogueUpdate) -> bool:
        """Apply an update unless it is older; return whether the catalogue changed."""
        if message.fresh and message.revision >= self.revision:
            self.confirmed = True
        if not self.confirmed or message.revision <= self.revision:
            return False
        self.image = msgspec.msgpack.decode(message.content, type=CatalogueImage)
        self.content = message.content
        self.by_service = entries_by_service(self.image)
        return True

    def to_update(self) -> messages.CatalogueUpdate:
        """Return the catalogue in force as an update for a peer that is behind."""
        return messages.CatalogueUpdate(self.revision, False, self.content)


class ControlClient:
    """Watches the catalogue and the members over a link to a control instance.

    Parameters
    ----------
    settings : NodeSettings
        With ``control`` addresses.
    identity : Identity
        Identity of this process.
    services : tuple of str
        Services whose members are watched; empty for all.
    heartbeat : callable
        Returns the heartbeat to send.
    on_catalogue, on_members : callable
        Called after a change of the catalogue or the members.
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
        self.evacuations = EvacuationView()
        self.on_evacuations: Callable[[], None] = ignore
        self.announcement: messages.Announce | None = None
        self.report: messages.Report | None = None
        self.report_timer: asyncio.TimerHandle | None = None
        self.isolated_since_s: float | None = None
        self.isolated_timeout_s = ISOLATED_TIMEOUT_S
        self.pulling = False
        self.connection = ReconnectingLink(
            self.rotated_addresses(identity.node_id),
            identity,
            self.handle,
            heartbeat,
            settings,
            self.on_link_opened,
        )

    def rotated_addresses(self, node_id: str) -> list:
        """Rotate the control addresses by node id to spread nodes over them."""
        addresses = list(self.settings.control)
        start = sum(node_id.encode()) % len(addresses)
        return addresses[start:] + addresses[:start]

    def start(self) -> None:
        """Connect and start watching."""
        self.connection.start()
        self.confirm_task = asyncio.get_running_loop().create_task(self.confirm_loop())

    async def stop(self) -> None:
        """Stop watching and disconnect."""
        self.confirm_task.cancel()
        if self.report_timer is not None:
            self.report_timer.cancel()
        await self.connection.stop()

    async def confirm_loop(self) -> None:
        """Request the catalogue again until a quorum has confirmed it."""
        while not self.catalogue.confirmed:
            await asyncio.sleep(CONFIRM_RETRY_S)
            link = self.connection.open_link
            if link is not None and not self.pulling:
                link.spawn(self.pull(link))

    async def on_link_opened(self, link: Link) -> None:
        """Announce this node, send its report and watch over a new link."""
        self.isolated_since_s = None
        link.on_heartbeat = self.on_control_heartbeat
        if self.announcement is not None:
            link.post(self.announcement)
        link.spawn(self.watch(link))
        if self.report is not None:
            link.post(self.report)

    async def watch(self, link: Link) -> None:
        """Request the catalogue and apply the reply."""
        query = messages.Watch(self.catalogue.revision, self.services)
        try:
            frame = await link.request(query, WATCH_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("watch request to %s failed: %s", link.peer_id, error)
            return
        if isinstance(frame.message, messages.CatalogueUpdate):
            self.receive(frame.message)

    def announce(self, announcement: messages.Announce) -> None:
        """Announce this node, now and on each new link."""
        self.announcement = announcement
        self.post(announcement)

    def send_report(self, report: messages.Report) -> None:
        """Send a changed report; one that differs only in progress is delayed."""
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
        """Send a message if a link is open; drop it otherwise."""
        if self.connection.open_link is not None:
            self.connection.open_link.post(message)

    async def propose(self, command: Command) -> Result:
        """Commit a command through the control instance.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: the command may or may not have been committed.
        """
        frame = await self.request(messages.Propose(encode(command)), PROPOSE_TIMEOUT_S)
        return decode_result(command, frame.message.result)

    async def lease(self) -> messages.Lease:
        """Request the leader's lease, as proof of a live quorum.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: no control instance could provide the lease.
        """
        return (await self.request(messages.LeaseQuery(), LEASE_TIMEOUT_S)).message

    async def request(self, message: tuple, timeout_s: float) -> Frame:
        """Send a request to the control instance; a lost reply is NO_QUORUM."""
        link = self.connection.open_link
        if link is None:
            raise no_quorum("not connected to a control instance")
        try:
            return await link.request(message, timeout_s)
        except WireError as error:
            raise no_quorum(str(error)) from error

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame from the control instance."""
        self.receive(frame.message)

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Ignore unknown messages, which a newer control instance may send."""
        log.debug("ignored message %s", type(message).__name__)

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

    @receive.register
    def receive_evacuations(self, message: messages.EvacuationNews) -> None:
        """Handle the message `EvacuationNews`."""
        if self.evacuations.update(message):
            self.on_evacuations()

    async def pull(self, link: Link) -> None:
        """Pull the catalogue from a peer whose revision is ahead."""
        self.pulling = True
        try:
            await self.watch(link)
        finally:
            self.pulling = False

    def pull_if_behind(self, link: Link) -> None:
        """Pull the catalogue if a peer's heartbeat has a newer revision.

        Only one pull runs at a time, since after a change all peers are ahead.
        """
        behind = link.peer_heartbeat.revision > self.catalogue.revision
        if behind and self.catalogue.confirmed and not self.pulling:
            link.spawn(self.pull(link))

    def on_control_heartbeat(self, link: Link) -> None:
        """Pull a newer revision, and disconnect from an isolated control instance."""
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
        """Wait until a quorum has confirmed the catalogue in force here."""
        while not self.catalogue.confirmed:
            await asyncio.sleep(0.02)


def ignore() -> None:
    """Ignore a change that has no handler."""


def differs_only_in_progress(before: messages.Report, after: messages.Report) -> bool:
    """Return whether two reports differ at most in the bytes done."""
    return before._replace(bytes_done=after.bytes_done) == after
