"""The control daemon: joins the replicated state to links and operators."""

import asyncio
import logging
import time
from functools import singledispatchmethod

import aiomisc
import msgspec

from wisteriapulley.catalogue import ChangeResult
from wisteriapulley.control.commands import ALLOWED, COMMAND_DECODER, encode
from wisteriapulley.control.driver import REPLICA_MESSAGES, Driver, no_quorum
from wisteriapulley.control.members import MemberTable, matching
from wisteriapulley.control.operators import operator_routes
from wisteriapulley.control.quorum_members import quorum_routes
from wisteriapulley.control.state import ControlState
from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.http_server import HttpServer
from wisteriapulley.metrics import Metrics
from wisteriapulley.settings import ControlSettings, load_fleet_key, load_operators
from wisteriapulley.wire import Frame, Link, LinkServer, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

FORWARD_S = 3.5


class Watcher:
    """A node that watches this instance."""

    def __init__(self, link: Link, services: tuple[str, ...], revision: int):
        self.link = link
        self.services = services
        self.revision = revision


class ControlService(aiomisc.Service):
    """One control instance.

    Parameters
    ----------
    settings : ControlSettings
        Checked settings.
    """

    def __init__(self, settings: ControlSettings):
        super().__init__()
        self.settings = settings
        self.metrics = Metrics(settings.node_id, "control")
        self.state = ControlState()
        self.watchers: dict[Link, Watcher] = {}
        self.reports: dict[str, messages.Report] = {}
        self.lost: dict[str, asyncio.TimerHandle] = {}
        self.attached: dict[str, Link] = {}
        self.operators = load_operators(settings.operators_file)

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "ControlService":
        """Make the service from checked settings."""
        return cls(settings)

    async def start(self) -> None:
        """Open the disk, listen, and join the peers."""
        settings = self.settings
        incarnation = time.time_ns() // 1000
        self.identity = Identity(
            settings.node_id,
            "control",
            settings.failure_domain,
            incarnation,
            load_fleet_key(settings.fleet_key_file),
        )
        self.members = MemberTable(settings.node_id, incarnation)
        self.peers = {
            peer.node_id: LinkKeeper(
                [peer.address],
                self.identity,
                self.handle,
                self.heartbeat,
                settings,
                self.greet_peer,
            )
            for peer in settings.peers
        }
        self.driver = Driver(
            settings, self.state, self.peers, self.applied, self.fatal.set_exception
        )
        self.server = LinkServer(
            self.identity,
            self.handle,
            self.heartbeat,
            settings.heartbeat_ms,
            settings.silence_ms,
        )
        self.server.on_close = self.link_closed
        await self.server.start(settings.wire_listen)
        routes = [*operator_routes(self), *quorum_routes(self)]
        self.http = HttpServer(self.metrics, self.is_ready, routes)
        await self.http.start(settings.http_listen)
        for keeper in self.peers.values():
            keeper.start()
        self.driver.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop listening, then stop the replica."""
        # The lead is handed over while the links still are open.
        await self.driver.stop()
        await self.http.stop()
        for keeper in self.peers.values():
            await keeper.stop()
        await self.server.stop()

    def is_ready(self) -> bool:
        """Ready when a leader is known and this disk has its vote."""
        return self.driver.is_ready()

    def heartbeat(self) -> messages.Heartbeat:
        """Make this instance's heartbeat."""
        return messages.Heartbeat(
            self.state.catalogue.revision, False, self.driver.replica.role.state
        )

    # -- the replicated state --------------------------------------------

    def applied(self, result: object) -> None:
        """Tell watchers of a new revision."""
        if isinstance(result, ChangeResult) and result.code == ResultCode.OK:
            update = self.catalogue_update(fresh=True)
            for watcher in tuple(self.watchers.values()):
                self.push(watcher, update)

    def catalogue_update(self, fresh: bool) -> messages.CatalogueUpdate:
        """Encode the whole catalogue."""
        image = self.state.catalogue.image()
        return messages.CatalogueUpdate(
            image.revision, fresh, msgspec.msgpack.encode(image)
        )

    def push(self, watcher: Watcher, update: tuple) -> None:
        """Send to a watcher if its link is open."""
        if not watcher.link.closed.is_set():
            watcher.link.post(update)

    async def propose(self, command):
        """Commit a command, here or through the leader's link."""
        if self.driver.replica.is_leader:
            return encode(await self.driver.propose(command))
        link = self.driver.leader_link
        if link is None:
            raise no_quorum("no leader is known")
        frame = await link.request(messages.Propose(encode(command)), FORWARD_S)
        return frame.message.result

    # -- frames ----------------------------------------------------------

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame that is no reply."""
        if isinstance(frame.message, REPLICA_MESSAGES):
            if link.peer.role == "control":
                self.driver.receive(frame.message)
            return
        await self.receive(frame.message, link, frame)

    @singledispatchmethod
    async def receive(self, message: tuple, link: Link, frame: Frame) -> None:
        """Take in a message, by its kind."""
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"control takes no {type(message).__name__}",
        )

    @receive.register
    async def receive_propose(
        self, message: messages.Propose, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Propose`."""
        try:
            command = COMMAND_DECODER.decode(message.command)
        except msgspec.DecodeError as error:
            raise WireError(ResultCode.FRAME_MALFORMED, str(error)) from error
        if not isinstance(command, ALLOWED.get(link.peer.role, ())):
            raise WireError(
                ResultCode.UNEXPECTED_MESSAGE,
                f"{link.peer.role} may not send {type(command).__name__}",
            )
        if link.peer.role == "control":
            result = encode(await self.driver.propose(command))
        else:
            result = await self.propose(command)
        link.post(messages.Proposed(result=result), reply_to=frame.id)

    @receive.register
    async def receive_lease_query(
        self, message: messages.LeaseQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `LeaseQuery`."""
        if link.peer.role == "control":
            lease = self.driver.own_lease()
            if lease is None:
                raise no_quorum("this instance holds no lease")
        else:
            lease = await self.driver.lease()
        link.post(lease, reply_to=frame.id)

    @receive.register
    async def receive_watch(
        self, message: messages.Watch, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Watch`."""
        try:
            await self.driver.read_barrier()
            fresh = True
        except (WireError, TimeoutError):
            fresh = False
        watcher = Watcher(link, message.services, message.revision)
        self.watchers[link] = watcher
        self.push(watcher, self.catalogue_update(fresh))
        members = matching(self.members.view.values(), message.services)
        self.push(watcher, messages.MemberUpdate("", 0, True, members))

    @receive.register
    async def receive_announce(
        self, message: messages.Announce, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Announce`."""
        self.attached[message.node_id] = link
        timer = self.lost.pop(message.node_id, None)
        if timer is not None:
            timer.cancel()
        self.tell_members(self.members.announce(self.settings.node_id, message))

    @receive.register
    async def receive_member_update(
        self, message: messages.MemberUpdate, link: Link, frame: Frame
    ) -> None:
        """Handle the message `MemberUpdate`."""
        self.tell_watchers(self.members.update(message))

    @receive.register
    async def receive_report(
        self, message: messages.Report, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Report`."""
        self.reports[message.node_id] = message
        if link.peer.role != "control":
            self.tell_peers(message)

    # -- members ---------------------------------------------------------

    async def greet_peer(self, link: Link) -> None:
        """Tell a peer all members that this instance owns."""
        link.post(self.members.full_update())
        for node_id in self.attached:
            if node_id in self.reports:
                link.post(self.reports[node_id])

    def tell_peers(self, message: tuple) -> None:
        """Send to every peer that has an open link."""
        for keeper in self.peers.values():
            if keeper.open_link is not None:
                keeper.open_link.post(message)

    def tell_members(self, changes: list[messages.Announce]) -> None:
        """Tell peers and watchers of changes among own members."""
        if changes:
            self.tell_peers(
                messages.MemberUpdate(
                    self.settings.node_id, self.members.epoch, False, tuple(changes)
                )
            )
            self.tell_watchers(changes)

    def tell_watchers(self, changes: list[messages.Announce]) -> None:
        """Tell watchers of changes that concern them."""
        for watcher in tuple(self.watchers.values()):
            concerned = matching(changes, watcher.services)
            if concerned:
                self.push(watcher, messages.MemberUpdate("", 0, False, concerned))

    def link_closed(self, link: Link) -> None:
        """Drop a watcher; its member stays until its lease ends."""
        self.watchers.pop(link, None)
        node_id = link.peer_id
        if self.attached.get(node_id) is link:
            del self.attached[node_id]
            delay_s = self.settings.member_lease_ms / 1000
            self.lost[node_id] = asyncio.get_running_loop().call_later(
                delay_s, self.lease_ended, node_id
            )

    def lease_ended(self, node_id: str) -> None:
        """Drop a member that did not come back."""
        self.lost.pop(node_id, None)
        self.reports.pop(node_id, None)
        self.tell_members(self.members.drop(self.settings.node_id, node_id))
