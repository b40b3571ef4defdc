"""The control daemon: connects the replicated state to links and operators."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from pathlib import Path

import aiomisc
import msgspec

from wisteriapulley.catalogue import ChangeResult
from wisteriapulley.clocks import steady_ms
from wisteriapulley.control.assumed_ages import with_assumed
from wisteriapulley.control.client import ISOLATED_STATE
from wisteriapulley.control.cold_owner import ColdOwner
from wisteriapulley.control.commands import (
    COMMAND_DECODER,
    Command,
    ReleasePermit,
    VersionResult,
    encode,
)
from wisteriapulley.control.control_api import ControlApi
from wisteriapulley.control.damaged_disk import open_driver
from wisteriapulley.control.driver import REPLICA_MESSAGES, Driver, no_quorum
from wisteriapulley.control.fanout import MAX_BUFFERED_BYTES, Fanout
from wisteriapulley.control.followers import knows_evacuations
from wisteriapulley.control.forward import forward
from wisteriapulley.control.leave_confirmation import LeaveConfirmer
from wisteriapulley.control.majority import confirm_delivery
from wisteriapulley.control.members import Changes, MemberTable
from wisteriapulley.control.nearest import entries_in_fleet
from wisteriapulley.control.operators import MAX_CHANGE_BYTES, operator_routes
from wisteriapulley.control.peer_ages import PeerAges
from wisteriapulley.control.permits import PermitSweeper
from wisteriapulley.control.pieces import PieceServer
from wisteriapulley.control.publisher import Publisher
from wisteriapulley.control.quorum_members import quorum_routes
from wisteriapulley.control.rate_owner import RateOwner
from wisteriapulley.control.reports import ReportTable
from wisteriapulley.control.seeds import ensure_data_folder, ensure_identity
from wisteriapulley.control.senders import check_node_id, check_sender
from wisteriapulley.control.state import ControlState
from wisteriapulley.control.suspect_store import SuspectStore
from wisteriapulley.errors import ResultCode, WireError, WisteriapulleyError
from wisteriapulley.http_listener import STOP_LIMIT_S
from wisteriapulley.http_server import HttpServer
from wisteriapulley.metrics import Metrics
from wisteriapulley.settings import Address, ControlSettings, load_operators
from wisteriapulley.weights.pieces import PieceSource
from wisteriapulley.wire import Frame, Link, LinkServer, broadcast, messages
from wisteriapulley.wire.handshake import Identity, knows_model_query
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.25
# Changes within this time are published in one batch.
FLUSH_DELAY_S = 0.01
# A target that is missing for this many member leases counts as gone.
GONE_AFTER_LEASES = 2


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
        self.reports = ReportTable()
        self.evacuated_gauge = self.metrics.gauge(
            "failure_domains_evacuated", "Failure domains that are evacuated."
        )
        self.damaged_gauge = self.metrics.gauge(
            "data_folder_damaged",
            "Whether the instance joined again because its data folder was damaged.",
        )
        self.member_links: dict[str, Link] = {}
        self.peer_links: dict[str, Link] = {}
        self.operators = load_operators(settings.operators_file)
        self.permit_sweeper = PermitSweeper(
            GONE_AFTER_LEASES * settings.member_lease_ms
        )
        self.release_tasks: dict[str, asyncio.Task] = {}
        self.flush_timer: asyncio.TimerHandle | None = None
        # Creates the client of the weights' origin from its address. A platform
        # adapter sets it before the start if the routing table names an origin.
        self.open_origin: Callable[[str], PieceSource] | None = None
        self.entry_count = 0
        self.members_complete = False
        self.api = ControlApi(self)
        self.publisher = Publisher(
            settings,
            self.state,
            lambda *key: self.pieces.relay.prefetch(*key),
            self.send_to_peers,
        )
        self.leaves = LeaveConfirmer(
            settings.node_id,
            self.publisher.target_feed,
            self.links_to_peers,
            lambda: self.driver.replica.members,
        )
        ages = PeerAges(
            self.links_to_peers,
            self.publisher.observe_reply,
            self.publisher.versions.is_assumed,
        )
        self.publisher.ask_peers = ages.ask
        cold = ColdOwner(settings, self.publisher.targets, lambda: self.publisher.table)
        self.rates = RateOwner(settings.node_id, self.open_peer_links, cold)

    @classmethod
    def from_settings(cls, settings: ControlSettings) -> "ControlService":
        """Create the service from checked settings."""
        return cls(settings)

    async def start(self) -> None:
        """Open the storage, start the listeners and connect to the peers."""
        settings = self.settings = ensure_data_folder(self.settings)
        self.identity = Identity.from_settings(settings, "control")
        self.members = MemberTable(
            settings.node_id,
            self.identity.incarnation,
            settings.member_lease_ms,
            settings.owner_grace_ms,
        )
        self.members_complete_at_ms = steady_ms() + settings.member_lease_ms
        self.fanout = Fanout(
            self.state.catalogue, self.members.view, lambda: self.members_complete
        )
        if settings.seeds:
            ensure_identity(settings)
        self.peers = {
            peer.node_id: self.new_peer_connection(peer.address)
            for peer in settings.peers
        }
        self.driver = open_driver(settings, self.new_driver)
        is_set_aside = self.driver.settings.data_folder != settings.data_folder
        self.damaged_gauge.set({}, int(is_set_aside))
        self.publisher.driver = self.driver
        self.pieces = PieceServer(
            settings, self.driver, self.publisher.origin, self.open_origin
        )
        await self.listen()
        for connection in self.peers.values():
            connection.start()
        self.add_hosts(seed.host for seed in settings.seeds)
        self.publisher.publish_restored()
        self.publisher.suspect_feed.restore(SuspectStore(Path(settings.data_folder)))
        self.driver.start()
        self.sweep_task = asyncio.get_running_loop().create_task(self.sweep_loop())

    def new_driver(self, settings: ControlSettings) -> Driver:
        """Open a data folder, and create the driver of its replica."""
        return Driver(
            settings, self.state, self.peers, self.on_applied, self.fatal.set_exception
        )

    def new_peer_connection(self, address: Address) -> ReconnectingLink:
        """Create the reconnecting link to one peer."""
        return ReconnectingLink(
            [address],
            self.identity,
            self.handle,
            self.heartbeat,
            self.settings,
            self.send_state_to_peer,
        )

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Keep links to newly known instances; their host is their node id."""
        if not self.settings.seeds:
            return
        for host in hosts:
            if host == self.settings.node_id or host in self.peers:
                continue
            port = self.settings.wire_listen.port
            self.peers[host] = self.new_peer_connection(Address(host, port))
            self.peers[host].start()

    def publish_hosts(self) -> None:
        """Publish newly known instances to followers, and connect to them."""
        if self.settings.seeds and self.publisher.publish_hosts():
            self.add_hosts(self.publisher.published_hosts.hosts)

    async def listen(self) -> None:
        """Start the wire and HTTP listeners."""
        settings = self.settings
        self.server = LinkServer(
            self.identity,
            self.handle,
            self.heartbeat,
            settings.heartbeat_ms,
            settings.silence_ms,
        )
        self.server.on_open = self.link_opened
        self.server.on_close = self.link_closed
        await self.server.start(settings.wire_listen)
        routes = [*operator_routes(self), *quorum_routes(self)]
        self.http = HttpServer(
            self.metrics, self.is_ready, routes, MAX_CHANGE_BYTES, ResultCode.NO_QUORUM
        )
        await self.http.start(settings.http_listen)

    async def stop(self, exception: Exception | None = None) -> None:
        """Answer callers, transfer leadership, then stop the tasks and links."""
        # An order in progress needs the leader and the links.
        await self.stop_serving(self.caller_wait_s())
        # Leadership is transferred while the links are still open.
        await self.driver.stop()
        self.sweep_task.cancel()
        self.publisher.target_feed.stop()
        self.leaves.stop()
        for task in self.release_tasks.values():
            task.cancel()
        self.pieces.stop()
        for connection in self.peers.values():
            await connection.stop()
        await self.server.stop()

    def caller_wait_s(self) -> float:
        """Return how long a stop may wait for calls; the rest is for the leadership."""
        return min(STOP_LIMIT_S, self.settings.drain_ms / 1000 / 2)

    async def stop_serving(self, max_s: float) -> None:
        """Answer the calls in progress, or refuse them after `max_s` seconds."""
        await self.http.stop(max_s)

    def is_ready(self) -> bool:
        """Return whether a leader is known and this disk is a voter."""
        return self.driver.is_ready()

    def heartbeat(self) -> messages.Heartbeat:
        """Return this instance's heartbeat.

        Nodes disconnect from an instance whose heartbeat says that it knows no
        leader.
        """
        replica = self.driver.replica
        state = replica.role.state if replica.leader else ISOLATED_STATE
        return messages.Heartbeat(
            self.state.catalogue.revision,
            False,
            state,
            routing_version=self.state.routing.version,
            followers=self.publisher.followers.entry_count,
            entries=self.entry_count,
        )

    def update_entry_count(self) -> None:
        """Estimate the entries in the fleet from what each instance reports."""
        links = self.open_peer_links().values()
        others = (link.peer_heartbeat.followers for link in links)
        self.entry_count = entries_in_fleet(
            [self.publisher.followers.entry_count, *others]
        )

    # -- the replicated state --------------------------------------------

    def on_applied(self, result: object) -> None:
        """Schedule a flush if a command changed a revision or version."""
        changed = isinstance(result, ChangeResult) and result.code == ResultCode.OK
        changed = changed or isinstance(result, VersionResult)
        if changed and self.flush_timer is None:
            loop = asyncio.get_running_loop()
            self.flush_timer = loop.call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Send pending updates, including a revision restored from a snapshot."""
        self.flush_timer = None
        self.fanout.flush()
        self.publisher.publish_changes()

    async def propose(self, command: Command) -> bytes:
        """Commit a command, here or through the link to the leader.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: the command may or may not have been committed.
        """
        if self.driver.replica.is_leader:
            return encode(await self.driver.propose(command))
        link = self.driver.leader_link
        if link is None:
            raise no_quorum("no leader is known")
        try:
            return await forward(
                link,
                messages.Propose(encode(command)),
                lambda: self.driver.replica.leader == link.peer_id,
            )
        except WireError as error:
            raise no_quorum(f"the leader's reply was lost: {error}") from error

    # -- frames ----------------------------------------------------------

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame that is not a reply."""
        if isinstance(frame.message, REPLICA_MESSAGES):
            if link.peer.role == "control":
                self.driver.receive(frame.message)
            return
        await self.receive(frame.message, link, frame)

    @singledispatchmethod
    async def receive(self, message: tuple, link: Link, frame: Frame) -> None:
        """Dispatch a message by its type; reject types without a handler."""
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"a control instance does not accept {type(message).__name__}",
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
        check_sender(command, link)
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
                raise no_quorum("this instance does not hold the leader lease")
        else:
            lease = await self.driver.lease()
        link.post(lease, reply_to=frame.id)

    @receive.register
    async def receive_watch(
        self, message: messages.Watch, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Watch`."""
        self.publisher.add_watcher(link)
        self.fanout.add(link, message.services)
        try:
            await self.driver.read_barrier()
            fresh = True
        except (WisteriapulleyError, TimeoutError):
            fresh = False
        # A confirmed catalogue makes a node ready: it must not know less than what was
        # committed before.
        self.publisher.record_evacuations(self.publisher.own_evacuations())
        update = self.fanout.catalogue_update(fresh, message.revision)
        link.post(update, reply_to=frame.id)

    @receive.register
    async def receive_announce(
        self, message: messages.Announce, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Announce`."""
        check_node_id(message.node_id, link)
        known_link = self.member_links.get(message.node_id)
        if (
            known_link is not None
            and known_link.peer.incarnation > link.peer.incarnation
        ):
            log.warning(
                "two processes announce the node id %s; the newer one is used",
                message.node_id,
            )
            return
        self.member_links[message.node_id] = link
        self.publish_member_changes(self.members.record_announcement(message))

    @receive.register
    async def receive_member_update(
        self, message: messages.MemberUpdate, link: Link, frame: Frame
    ) -> None:
        """Handle the message `MemberUpdate`; only its owner's newest link counts."""
        check_node_id(message.owner, link)
        if self.peer_links.get(message.owner) is link:
            self.publish_member_changes(self.members.apply_update(message, steady_ms()))

    @receive.register
    async def receive_report(
        self, message: messages.Report, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Report`; a relayed one never replaces a direct one."""
        if link.peer.role == "control":
            if message.node_id not in self.member_links:
                self.reports.update(message, steady_ms())
            return
        check_node_id(message.node_id, link)
        if self.reports.update(message, steady_ms()):
            self.send_to_peers(message)

    @receive.register
    async def receive_follow(
        self, message: messages.Follow, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Follow`."""
        await self.publisher.answer_follow(message, link, frame)

    @receive.register
    async def receive_manifest_query(
        self, message: messages.ManifestQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `ManifestQuery`."""
        await self.pieces.answer_manifest(message, link, frame)

    @receive.register
    async def receive_held_query(
        self, message: messages.HeldQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `HeldQuery`."""
        await self.pieces.answer_held(message, link, frame)

    @receive.register
    async def receive_piece_query(
        self, message: messages.PieceQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `PieceQuery`."""
        await self.pieces.answer_piece(message, link, frame)

    @receive.register
    async def receive_targets(
        self, message: messages.TargetNews, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetNews` of another instance."""
        if link.peer.role == "control":
            feed = self.publisher.target_feed
            feed.observe_peer_update(message.targets, link.peer_id)
            self.leaves.observe(message.targets, link.peer_id)

    @receive.register
    async def receive_models(
        self, message: messages.ModelNews, link: Link, frame: Frame
    ) -> None:
        """Handle the message `ModelNews` of another instance."""
        if link.peer.role == "control":
            may_ask = knows_model_query(link.peer)
            news = message if may_ask else with_assumed(message)
            self.publisher.observe_models(news, link.peer_id, may_ask)

    @receive.register
    async def receive_model_query(
        self, message: messages.ModelQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `ModelQuery`."""
        self.publisher.answer_model_query(link, frame)

    @receive.register
    async def receive_evacuations(
        self, message: messages.EvacuationNews, link: Link, frame: Frame
    ) -> None:
        """Handle the message `EvacuationNews` of another instance."""
        if link.peer.role == "control":
            self.publisher.record_evacuations(message)

    @receive.register
    async def receive_target_beats(
        self, message: messages.TargetBeats, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetBeats` of another instance."""
        if link.peer.role == "control":
            self.publisher.target_feed.observe_heartbeats(message, link)

    @receive.register
    async def receive_target_query(
        self, message: messages.TargetQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetQuery`."""
        self.publisher.target_feed.answer_query(message, link)

    @receive.register
    async def receive_suspects(
        self, message: messages.SuspectNews, link: Link, frame: Frame
    ) -> None:
        """Handle the message `SuspectNews` of an entry or another instance."""
        if link.peer.role in ("control", "entry"):
            feed = self.publisher.suspect_feed
            feed.observe(message, link.peer.role == "entry")
            feed.correct(message, link)

    @receive.register
    async def receive_target_rate(
        self, message: messages.TargetRate, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetRate` of an entry or another instance."""
        self.rates.receive_rate(message, from_entry=link.peer.role != "control")

    @receive.register
    async def receive_passage_query(
        self, message: messages.PassageQuery, link: Link, frame: Frame
    ) -> None:
        """Handle the message `PassageQuery` of an entry or another instance."""
        from_entry = link.peer.role != "control"
        answer = await self.rates.answer(message, from_entry)
        link.post(answer, reply_to=frame.id)

    # -- members ---------------------------------------------------------

    async def send_state_to_peer(self, link: Link) -> None:
        """Send a newly connected peer this instance's members, targets and reports."""
        self.publisher.greet_peer(link)
        self.publisher.send_evacuations(link)
        link.post(self.members.full_update())
        link.post(self.publisher.target_feed.full_update())
        self.publisher.suspect_feed.send_all(link)
        for node_id in self.member_links:
            if node_id in self.reports.progress:
                link.post(self.reports.progress[node_id].report)

    def send_to_peers(self, message: tuple) -> None:
        """Send a message to every peer that has an open link.

        Reports and heartbeats skip a peer whose link is stalled, since the next
        ones supersede them. Changes of members or targets are always sent, and
        evacuations to all peers that decode them. Targets and queries for them go to
        peers that are connected only over a link of their own, too.
        """
        can_skip = isinstance(message, messages.Report | messages.TargetBeats)
        is_evacuation = isinstance(message, messages.EvacuationNews)
        is_target = isinstance(message, messages.TargetNews | messages.TargetQuery)
        links = self.links_to_peers() if is_target else self.open_peer_links().values()
        broadcast(
            (
                link
                for link in links
                if not (can_skip and link.write_buffer_bytes() > MAX_BUFFERED_BYTES)
                and (not is_evacuation or knows_evacuations(link))
            ),
            message,
        )

    def open_peer_links(self) -> dict[str, Link]:
        """Return the open links to the other instances, by node id."""
        links = {name: connection.open_link for name, connection in self.peers.items()}
        return {name: link for name, link in links.items() if link is not None}

    def links_to_peers(self) -> list[Link]:
        """Return one open link to each other instance that has any.

        An instance may be connected only over the link that it opened itself.
        """
        accepted = {name: k for name, k in self.peer_links.items() if k.is_open}
        return list((accepted | self.open_peer_links()).values())

    async def confirm_delivery(self) -> None:
        """Wait until a majority has handled what was sent to the peers."""
        links, members = self.open_peer_links().values(), self.driver.replica.members
        await confirm_delivery(self.settings.node_id, links, members)

    def publish_member_changes(self, changes: Changes) -> None:
        """Send own members to peers and changes of the view to watchers."""
        if changes.own:
            self.send_to_peers(
                messages.MemberUpdate(
                    self.settings.node_id, self.members.epoch, False, changes.own
                )
            )
        if changes.view:
            self.fanout.publish_members(changes.view)

    def link_opened(self, link: Link) -> None:
        """Record the newest link of a control instance, and send it the versions."""
        if link.peer.role == "control":
            self.publisher.greet_peer(link)
            self.peer_links[link.peer_id] = link
            self.driver.accepted_links[link.peer_id] = link
            self.add_hosts((link.peer_id,))

    def link_closed(self, link: Link) -> None:
        """Remove a watcher; members stay until their lease or grace period ends."""
        self.fanout.remove(link)
        self.publisher.followers.remove(link)
        name = link.peer_id
        if self.peer_links.get(name) is link:
            del self.peer_links[name]
            self.members.owner_disconnected(name, steady_ms())
        if self.member_links.get(name) is link:
            del self.member_links[name]
            self.members.detach(name, steady_ms())

    async def sweep_loop(self) -> None:
        """Sweep periodically; this also retries updates for stalled links."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep(steady_ms())

    def sweep(self, now_ms: float) -> None:
        """Expire members, reports and permits, and send pending updates."""
        if not self.members_complete and now_ms >= self.members_complete_at_ms:
            self.members_complete = True
            self.fanout.schedule_full_updates()
        self.publish_member_changes(self.members.sweep(now_ms))
        self.reports.prune(self.members.view)
        self.release_permits(now_ms)
        self.publisher.targets.sweep(now_ms)
        self.publisher.target_feed.send_heartbeats_if_due(now_ms)
        self.leaves.sweep()
        self.publisher.suspect_feed.sweep()
        self.rates.sweep()
        self.update_entry_count()
        evacuated = self.publisher.evacuations.domains
        self.evacuated_gauge.set({}, len(evacuated))
        self.publish_hosts()
        if self.flush_timer is None:
            self.flush()

    def release_permits(self, now_ms: float) -> None:
        """Release permits of targets that are gone, on the leader only.

        Each release is a log command, so an isolated leader's release is never
        committed. It names one permit, so a delayed release can't free a newer one.
        """
        if self.driver.own_lease() is None:
            self.permit_sweeper.reset()
            return
        for command in list(
            self.permit_sweeper.sweep(
                self.state.permits.permits, self.members.view, now_ms
            )
        ):
            if command.target not in self.release_tasks:
                loop = asyncio.get_running_loop()
                task = loop.create_task(self.release_permit(command))
                self.release_tasks[command.target] = task

    async def release_permit(self, command: ReleasePermit) -> None:
        """Commit one release; the next sweep retries a failed one."""
        try:
            await self.driver.propose(command)
        except WisteriapulleyError as error:
            log.info("permit of target %s not released: %s", command.target, error)
        finally:
            self.release_tasks.pop(command.target, None)
