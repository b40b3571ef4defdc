"""Follows control instances for an entry or a sidecar.

A follower starts with its seeds, gets the other instances from them, and keeps links to
the few nearest that respond: see `control.nearest`. Its state only moves forward: a
routing table or a version of weights is never replaced by an older one, regardless of
the sender.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import msgspec

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.age_queries import AgeQueries, AgeReply
from wisteriapulley.control.client import ISOLATED_STATE
from wisteriapulley.control.control_api import unpack_table
from wisteriapulley.control.evacuations import EvacuationView
from wisteriapulley.control.nearest import by_nearness, instances_to_follow
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.policy.subset import Member
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Engine, RoutingTable
from wisteriapulley.settings import Address, NodeSettings
from wisteriapulley.weights.desired_versions import DesiredVersions, is_correction
from wisteriapulley.weights.version_ages import earliest_accepted_s
from wisteriapulley.wire import Frame, Link, broadcast, messages
from wisteriapulley.wire.handshake import Identity, knows_model_query
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

# An instance of this region pushes a new table within this time; only a table that did
# not arrive is requested across regions.
PULL_DELAY_S = 0.15
FOLLOW_TIMEOUT_S = 1.5
# Version given by a follower that needs no table: no table is newer.
NO_TABLE_VERSION = (1 << 63) - 1
# The choice of instances is reviewed at this interval, and whenever a link opens or
# closes or instances are added.
CHOOSE_INTERVAL_S = 0.25
# A first connection within a region takes milliseconds; after this time the next
# instance is tried in addition.
FIRST_RESPONSE_TIMEOUT_S = 0.5
# An instance that did not respond for this long moves to the end of the order, and is
# preferred again after a pause: a restart takes a second or two.
UNRESPONSIVE_AFTER_S = 3.0
AVOID_DURATION_S = 4.0


class FollowedInstance:
    """A control instance that this process follows.

    Attributes
    ----------
    has_responded : bool
        Whether it has responded over the current link.
    connecting_since_s : float
        When its first connection was started; minus infinity once a link has closed.
    last_usable_s : float
        When it was last usable.
    """

    def __init__(self, connection: ReconnectingLink, now_s: float):
        self.connection = connection
        self.has_responded = False
        self.connecting_since_s = now_s
        self.last_usable_s = now_s

    def check_usable(self, now_s: float) -> bool:
        """Return whether the instance is usable, and record the time if it is.

        An instance that has not had time to respond yet counts as usable.
        """
        link = self.connection.open_link
        if link is None or not self.has_responded:
            return now_s - self.connecting_since_s < FIRST_RESPONSE_TIMEOUT_S
        if link.peer_heartbeat.state == ISOLATED_STATE:
            return False
        self.last_usable_s = now_s
        return True


class ControlFollower:
    """Links to the nearest control instances, and the newest state that they sent.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    settings : NodeSettings
        Settings with the heartbeat and silence times.
    seeds : iterable of Address
        Wire addresses of the first instances; all instances share their port.
    heartbeat : callable
        Returns the heartbeat to send.
    follow_routing : bool
        Whether to request routing tables.

    Attributes
    ----------
    evacuations : EvacuationView
        The evacuated failure domains.
    """

    def __init__(
        self,
        identity: Identity,
        settings: NodeSettings,
        seeds: Iterable[Address],
        heartbeat: Callable[[], messages.Heartbeat],
        follow_routing: bool = True,
    ):
        self.identity = identity
        self.settings = settings
        self.seeds = tuple(seeds)
        self.own = Member(identity.node_id, settings.failure_domain)
        self.regions = Regions(settings.failure_domain_regions)
        self.heartbeat = heartbeat
        self.follow_routing = follow_routing
        self.table = RoutingTable(0)
        self.fresh = False
        self.evacuations = EvacuationView()
        self.versions = DesiredVersions()
        self.age_queries = AgeQueries(self.receive_ages, self.versions.is_assumed)
        self.engines: dict[str, Engine] = {}
        # By model service, `cold_start_s` and `cold_per_s`; see `routing.Service`.
        self.cold_limits: dict[str, tuple[float, float]] = {}
        # Failure domain of each known instance by host; empty if unknown.
        self.instances: dict[str, str] = {}
        self.followed: dict[str, FollowedInstance] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.choose_task: asyncio.Task | None = None
        self.pull_task: asyncio.Task | None = None
        self.on_table: Callable[[RoutingTable], None] = ignore
        self.on_models: Callable[[], None] = ignore
        self.on_evacuations: Callable[[], None] = ignore
        self.on_targets: Callable[[tuple[messages.TargetState, ...]], None] = ignore
        self.on_suspects: Callable[[messages.SuspectNews], None] = ignore
        # Returns the suspects to send to an instance when its link opens.
        self.own_suspects: Callable[[], messages.SuspectNews] = messages.SuspectNews
        # Handles heartbeats of targets; returns ids whose announcements are missing.
        self.on_heartbeats: Callable[[tuple[messages.TargetBeat, ...]], list[str]] = (
            none_missed
        )

    def start(self) -> None:
        """Start to follow the seeds."""
        self.add_instances(seed.host for seed in self.seeds)
        self.choose_task = asyncio.get_running_loop().create_task(self.choose_loop())

    async def stop(self) -> None:
        """Close all links."""
        if self.choose_task is not None:
            self.choose_task.cancel()
        # Cleared first, so that links that close now do not start another choice.
        closing, self.followed = self.followed, {}
        for followed in closing.values():
            await followed.connection.stop()

    @property
    def evacuated(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self.evacuations.domains

    def open_links(self) -> list[Link]:
        """Return the links that are open now."""
        links = (followed.connection.open_link for followed in self.followed.values())
        return [link for link in links if link is not None]

    def publish(self, update: messages.SuspectNews) -> None:
        """Send an update to all followed instances."""
        broadcast(self.open_links(), update)

    def entries_reported(self) -> int:
        """Return the largest number of entries that an instance reports."""
        reported = (link.peer_heartbeat.entries for link in self.open_links())
        return max(reported, default=0)

    # -- choice of instances ---------------------------------------------

    def add_instances(self, hosts: Iterable[str]) -> None:
        """Add instances; the followed ones report their failure domains."""
        for host in hosts:
            self.instances.setdefault(host, "")
        self.choose()

    async def choose_loop(self) -> None:
        """Review the choice at an interval, since silence causes no event."""
        while True:
            await asyncio.sleep(CHOOSE_INTERVAL_S)
            self.choose()

    def choose(self) -> None:
        """Follow the nearest usable instances, and no others."""
        now_s = steady_s()
        self.avoid_unresponsive(now_s)
        order = by_nearness(
            self.instances, self.own, self.regions, self.avoided_until_s
        )
        chosen = instances_to_follow(order, lambda host: self.is_usable(host, now_s))
        for host in chosen:
            if host not in self.followed:
                self.connect(host, now_s)
        for host in set(self.followed) - set(chosen):
            self.disconnect(host)

    def is_usable(self, host: str, now_s: float) -> bool:
        """Return whether an instance is usable or has not been tried yet."""
        followed = self.followed.get(host)
        return followed is None or followed.check_usable(now_s)

    def avoid_unresponsive(self, now_s: float) -> None:
        """Move instances that were not usable for long to the end of the order."""
        for host, until_s in tuple(self.avoided_until_s.items()):
            if now_s >= until_s:
                del self.avoided_until_s[host]
        for host, followed in self.followed.items():
            if (
                followed.check_usable(now_s)
                or now_s - followed.last_usable_s < UNRESPONSIVE_AFTER_S
            ):
                continue
            if host not in self.avoided_until_s:
                log.info("control instance avoided", extra=fields(peer=host))
                self.avoided_until_s[host] = now_s + AVOID_DURATION_S

    def connect(self, host: str, now_s: float) -> None:
        """Open and keep a link to an instance."""
        connection = ReconnectingLink(
            [Address(host, self.seeds[0].port)],
            self.identity,
            self.handle,
            self.heartbeat,
            self.settings,
            self.link_opened,
        )
        self.followed[host] = FollowedInstance(connection, now_s)
        connection.start()

    def disconnect(self, host: str) -> None:
        """Close the link to an instance, since nearer ones are usable."""
        log.info("control instance no longer followed", extra=fields(peer=host))
        connection = self.followed.pop(host).connection
        task = asyncio.get_running_loop().create_task(connection.stop())
        task.add_done_callback(lambda done: done.exception())

    # -- updates ---------------------------------------------------------

    async def link_opened(self, link: Link) -> None:
        """Request updates from an instance; a failure leaves it to the others."""
        link.on_heartbeat = self.check_heartbeat
        link.on_close = self.link_closed
        log.info("control instance connected", extra=fields(peer=link.peer_id))
        own = self.own_suspects()
        if own.suspects:
            link.post(own)
        await self.pull(link)
        followed = self.followed_over(link)
        if followed is not None:
            followed.has_responded = True
            self.choose()

    def followed_over(self, link: Link) -> FollowedInstance | None:
        """Return the followed instance at the other end of a link, or None."""
        found = (f for f in self.followed.values() if f.connection.link is link)
        return next(found, None)

    def link_closed(self, link: Link) -> None:
        """Mark the instance as not connected, and choose another."""
        followed = self.followed_over(link)
        if followed is not None:
            followed.has_responded = False
            followed.connecting_since_s = float("-inf")
            self.choose()

    async def pull(self, link: Link) -> None:
        """Request the routing table that an instance has in force."""
        known = self.table.version if self.follow_routing else NO_TABLE_VERSION
        try:
            frame = await link.request(messages.Follow(known), FOLLOW_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("no updates from %s: %s", link.peer_id, error)
            return
        await self.handle(link, frame)

    def check_heartbeat(self, link: Link) -> None:
        """Request a newer table after a delay, unless it is pushed meanwhile."""
        if not self.follow_routing or self.pull_task is not None:
            return
        if self.is_behind(link):
            loop = asyncio.get_running_loop()
            self.pull_task = loop.create_task(self.pull_later(link))

    def is_behind(self, link: Link) -> bool:
        """Return whether an instance has a newer table, or could confirm this one."""
        reported = link.peer_heartbeat
        if reported.routing_version > self.table.version:
            return True
        return not self.fresh and reported.state != ISOLATED_STATE

    async def pull_later(self, link: Link) -> None:
        """Request the table that a heartbeat reported if it is still missing."""
        try:
            await asyncio.sleep(PULL_DELAY_S)
            if self.is_behind(link):
                await self.pull(link)
        finally:
            self.pull_task = None

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle an update from an instance."""
        if isinstance(frame.message, messages.TargetBeats):
            self.receive_heartbeats(frame.message, link)
        elif isinstance(frame.message, messages.ModelNews):
            may_ask = knows_model_query(link.peer)
            changed = self.update_models(frame.message, link.peer_id, may_ask)
            self.age_queries.observe(link, frame.message, changed)
        else:
            self.receive(frame.message)

    def receive_heartbeats(self, message: messages.TargetBeats, link: Link) -> None:
        """Handle heartbeats of targets; request the announcements that are missing."""
        missing = self.on_heartbeats(message.beats)
        if missing:
            log.info("target announcements missed", extra=fields(targets=len(missing)))
            link.post(messages.TargetQuery(tuple(missing)))

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Handle a message, by its type."""
        log.warning(
            "unexpected message %s from a control instance", type(message).__name__
        )

    @receive.register
    def receive_routing(self, message: messages.RoutingNews) -> None:
        """Handle the message `RoutingNews`."""
        if message.content and message.version > self.table.version:
            self.apply_table(message.content)
        if message.fresh and self.table.version >= message.version:
            self.fresh = True

    def apply_table(self, content: bytes) -> None:
        """Decode a newer table and put it in force."""
        try:
            self.table = unpack_table(content)
        except (msgspec.DecodeError, ValueError) as error:
            log.error("cannot decode a routing table: %s", error)
            return
        log.info("routing table in force", extra=fields(revision=self.table.version))
        self.on_table(self.table)

    @receive.register
    def receive_models(self, message: messages.ModelNews) -> None:
        """Handle the message `ModelNews`."""
        self.update_models(message)

    def update_models(
        self, message: messages.ModelNews, peer: str = "", may_ask: bool = False
    ) -> bool:
        """Use what an instance told of models; return whether any of it is news.

        `may_ask` tells whether the instance can be asked for the ages.
        """
        for state in message.models:
            self.engines[state.service] = engine_of(state)
            self.cold_limits[state.service] = (state.cold_start_s, state.cold_per_s)
        changed = self.record_versions(message, peer, steady_s(), may_ask)
        self.on_models()
        return changed

    def receive_ages(self, reply: AgeReply) -> None:
        """Handle the reply to a query for the ages of versions."""
        self.record_versions(reply.news, reply.link.peer_id, reply.asked_s)
        self.on_models()

    def record_versions(
        self,
        message: messages.ModelNews,
        peer: str,
        sent_s: float,
        may_ask: bool = False,
    ) -> bool:
        """Record when versions were accepted, by ages that were sent after `sent_s`.

        A message that was not asked for may have been sent long before it was read. So
        its ages do not replace assumed ones, which are too high, if its sender can be
        asked for them.

        Returns
        -------
        bool
            Whether a version was not known, was accepted at another time than known, or
            its sender must be asked for the age.
        """
        changed = False
        for state in message.models:
            for desired in state.named:
                if may_ask and self.must_ask(state.model, desired):
                    changed = True
                elif self.record_version(state.model, desired, peer, sent_s):
                    changed = True
        return changed

    def must_ask(self, model: str, desired: messages.VersionAge) -> bool:
        """Return whether a told age is used only once its sender was asked for it."""
        is_assumed = self.versions.is_assumed(model, desired.version)
        return is_assumed and not desired.assumed

    def record_version(
        self, model: str, desired: messages.VersionAge, peer: str, sent_s: float
    ) -> bool:
        """Record a desired version and the earliest time at which it was accepted."""
        now_s = steady_s()
        known_s = self.versions.accepted_at(model, desired.version)
        accepted_s = earliest_accepted_s(sent_s, desired.age_ms)
        is_new = self.versions.record(
            model, desired.version, accepted_s, desired.assumed
        )
        details = {
            "model": model,
            "version": desired.version,
            "peer": peer,
            "age_ms": desired.age_ms,
            "asked_ms": int((now_s - sent_s) * 1000),
        }
        recorded_s = self.versions.accepted_at(model, desired.version)
        corrected = is_correction(known_s, recorded_s)
        if is_new:
            log.info("weights named", extra=fields(**details))
        elif corrected:
            details["believed_ms"] = int((now_s - known_s) * 1000)
            log.info("age of weights corrected", extra=fields(**details))
        return is_new or corrected

    @receive.register
    def receive_evacuations(self, message: messages.EvacuationNews) -> None:
        """Handle the message `EvacuationNews`."""
        if self.evacuations.update(message):
            self.on_evacuations()

    @receive.register
    def receive_targets(self, message: messages.TargetNews) -> None:
        """Handle the message `TargetNews`."""
        self.on_targets(message.targets)

    @receive.register
    def receive_suspects(self, message: messages.SuspectNews) -> None:
        """Handle the message `SuspectNews`."""
        self.on_suspects(message)

    @receive.register
    def receive_hosts(self, message: messages.ControlNews) -> None:
        """Handle the message `ControlNews`."""
        domains = message.failure_domains or ("",) * len(message.hosts)
        host_domains = zip(message.hosts, domains, strict=True)
        # One instance may not know a failure domain that another one has reported.
        reported = {
            host: domain or self.instances.get(host, "")
            for host, domain in host_domains
        }
        seeds = {seed.host: self.instances.get(seed.host, "") for seed in self.seeds}
        self.instances = seeds | reported
        self.choose()


def engine_of(state: messages.ModelState) -> Engine:
    """Return the engine parameters in a `ModelState` message."""
    return Engine(
        state.model,
        state.slots,
        state.stride,
        state.step_ms,
        state.step_ms_per_request,
        state.prefill_tokens_per_ms,
    )


def ignore(*updates: object) -> None:
    """Ignore updates that have no handler."""


def none_missed(*updates: object) -> list[str]:
    """Report nothing missing in updates that have no handler."""
    return []
