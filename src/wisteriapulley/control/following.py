"""Follows control instances: entries and sidecars hear their news through it.

A follower begins with its seeds, learns of the other instances from them, and keeps
links to the few nearest that answer: see `control.nearest`. What it holds only moves
on: a routing table or a version of weights is never replaced by an older one, whoever
sends it.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

import msgspec

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.client import ISOLATED_STATE
from wisteriapulley.control.nearest import by_nearness, instances_to_follow
from wisteriapulley.control.orders import unpack_table
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.policy.subset import Member
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Engine, RoutingTable
from wisteriapulley.settings import Address, NodeSettings
from wisteriapulley.weights.named import NamedVersions
from wisteriapulley.wire import Frame, Link, broadcast, messages
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

# An instance of the own region pushes a new table within this time; only a
# table that did not come is asked for over a region's border.
PULL_DELAY_S = 0.15
FOLLOW_TIMEOUT_S = 1.5
# Wanted by nobody who only asks for weights: no table is that new.
NO_TABLE_VERSION = (1 << 63) - 1
# Which instances to follow is looked at this often, beside each time that a link
# opens or closes or that instances are named.
CHOOSE_INTERVAL_S = 0.25
# A first connection within a region takes milliseconds; past this time the next
# instance is tried beside it.
FIRST_RESPONSE_TIMEOUT_S = 0.5
# One that did not answer for so long gives its place in the order to the others,
# and is tried again after a pause: a restart takes a second or two.
UNRESPONSIVE_AFTER_S = 3.0
AVOID_DURATION_S = 4.0


class FollowedInstance:
    """One control instance that this process follows.

    Attributes
    ----------
    is_heard : bool
        Whether it has answered over the link that is open.
    chosen_s : float
        When its first connection was begun; long ago once a link has closed.
    heard_s : float
        When it last could be relied on.
    """

    def __init__(self, keeper: LinkKeeper, now_s: float):
        self.keeper = keeper
        self.has_responded = False
        self.connecting_since_s = now_s
        self.last_usable_s = now_s

    def check_usable(self, now_s: float) -> bool:
        """Tell, and note, whether it can be relied on.

        One that has not had time to answer yet counts as one that can.
        """
        link = self.keeper.open_link
        if link is None or not self.has_responded:
            return now_s - self.connecting_since_s < FIRST_RESPONSE_TIMEOUT_S
        if link.peer_heartbeat.state == ISOLATED_STATE:
            return False
        self.last_usable_s = now_s
        return True


class ControlFollower:
    """Links to the nearest control instances, and the newest that any of them said.

    Parameters
    ----------
    identity : Identity
        Who this process is.
    settings : NodeSettings
        For the heartbeat and silence times.
    seeds : iterable of Address
        Wire addresses to begin with; all instances share their port.
    heartbeat : callable
        Makes the heartbeat to send.
    wants_table : bool
        Whether routing tables are of interest.
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
        self.versions = NamedVersions()
        self.engines: dict[str, Engine] = {}
        # Failure domain of each known instance by host; empty where not known.
        self.instances: dict[str, str] = {}
        self.followed: dict[str, FollowedInstance] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.choose_task: asyncio.Task | None = None
        self.pull_task: asyncio.Task | None = None
        self.on_table: Callable[[RoutingTable], None] = ignore
        self.on_models: Callable[[], None] = ignore
        self.on_targets: Callable[[tuple[messages.TargetState, ...]], None] = ignore
        self.on_suspects: Callable[[messages.SuspectNews], None] = ignore
        # Makes what an instance is told that is followed from now on.
        self.own_suspects: Callable[[], messages.SuspectNews] = messages.SuspectNews
        # Takes beats of targets; returns those of which news were missed.
        self.on_heartbeats: Callable[[tuple[messages.TargetBeat, ...]], list[str]] = (
            none_missed
        )

    def start(self) -> None:
        """Begin to follow the seeds."""
        self.add_instances(seed.host for seed in self.seeds)
        self.choose_task = asyncio.get_running_loop().create_task(self.choose_loop())

    async def stop(self) -> None:
        """Close all links."""
        if self.choose_task is not None:
            self.choose_task.cancel()
        # Emptied first, so that links that close now make it choose no others.
        ended, self.followed = self.followed, {}
        for followed in ended.values():
            await followed.keeper.stop()

    def open_links(self) -> list[Link]:
        """Return the links that are open now."""
        links = (followed.keeper.open_link for followed in self.followed.values())
        return [link for link in links if link is not None]

    def publish(self, update: messages.SuspectNews) -> None:
        """Tell the instances that are followed."""
        broadcast(self.open_links(), update)

    def entries_reported(self) -> int:
        """Return how many entries there are, as far as an instance knows."""
        told = (link.peer_heartbeat.entries for link in self.open_links())
        return max(told, default=0)

    # -- whom to follow --------------------------------------------------

    def add_instances(self, hosts: Iterable[str]) -> None:
        """Know of instances; where they are is told by those that are followed."""
        for host in hosts:
            self.instances.setdefault(host, "")
        self.choose()

    async def choose_loop(self) -> None:
        """Choose again and again: silence gives no event."""
        while True:
            await asyncio.sleep(CHOOSE_INTERVAL_S)
            self.choose()

    def choose(self) -> None:
        """Follow the nearest instances that answer, and no others."""
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
        """Tell whether an instance gives news, or would be tried just now."""
        followed = self.followed.get(host)
        return followed is None or followed.check_usable(now_s)

    def avoid_unresponsive(self, now_s: float) -> None:
        """Put instances last in the order that gave no news for long."""
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
        """Keep a link to an instance."""
        keeper = LinkKeeper(
            [Address(host, self.seeds[0].port)],
            self.identity,
            self.handle,
            self.heartbeat,
            self.settings,
            self.link_opened,
        )
        self.followed[host] = FollowedInstance(keeper, now_s)
        keeper.start()

    def disconnect(self, host: str) -> None:
        """Close the link to an instance: nearer ones answer."""
        log.info("control instance left", extra=fields(peer=host))
        keeper = self.followed.pop(host).keeper
        task = asyncio.get_running_loop().create_task(keeper.stop())
        task.add_done_callback(lambda done: done.exception())

    # -- news ------------------------------------------------------------

    async def link_opened(self, link: Link) -> None:
        """Ask an instance for its news; a failure leaves the link to others."""
        link.on_heartbeat = self.check_heartbeat
        link.on_close = self.link_closed
        log.info("control instance found", extra=fields(peer=link.peer_id))
        own = self.own_suspects()
        if own.suspects:
            link.post(own)
        await self.pull(link)
        followed = self.followed_over(link)
        if followed is not None:
            followed.has_responded = True
            self.choose()

    def followed_over(self, link: Link) -> FollowedInstance | None:
        """Return the instance behind a link, if it is followed."""
        found = (f for f in self.followed.values() if f.keeper.link is link)
        return next(found, None)

    def link_closed(self, link: Link) -> None:
        """Turn to the next instance."""
        followed = self.followed_over(link)
        if followed is not None:
            followed.has_responded = False
            followed.connecting_since_s = float("-inf")
            self.choose()

    async def pull(self, link: Link) -> None:
        """Take the table that an instance has in force."""
        known = self.table.version if self.follow_routing else NO_TABLE_VERSION
        try:
            frame = await link.request(messages.Follow(known), FOLLOW_TIMEOUT_S)
        except WisteriapulleyError as error:
            log.info("no news of %s: %s", link.peer_id, error)
            return
        await self.handle(link, frame)

    def check_heartbeat(self, link: Link) -> None:
        """Ask for a newer table soon, unless it comes by itself."""
        if not self.follow_routing or self.pull_task is not None:
            return
        if self.is_behind(link):
            loop = asyncio.get_running_loop()
            self.pull_task = loop.create_task(self.pull_later(link))

    def is_behind(self, link: Link) -> bool:
        """Tell whether an instance has a newer table, or could confirm this one."""
        told = link.peer_heartbeat
        if told.routing_version > self.table.version:
            return True
        return not self.fresh and told.state != ISOLATED_STATE

    async def pull_later(self, link: Link) -> None:
        """Ask for the table of a heartbeat if it still is missing."""
        try:
            await asyncio.sleep(PULL_DELAY_S)
            if self.is_behind(link):
                await self.pull(link)
        finally:
            self.pull_task = None

    async def handle(self, link: Link, frame: Frame) -> None:
        """Take news in."""
        if isinstance(frame.message, messages.TargetBeats):
            self.receive_heartbeats(frame.message, link)
        else:
            self.receive(frame.message)

    def receive_heartbeats(self, message: messages.TargetBeats, link: Link) -> None:
        """Take in which targets were heard again; ask for missed news."""
        missed = self.on_heartbeats(message.beats)
        if missed:
            log.info("news of targets missed", extra=fields(targets=len(missed)))
            link.post(messages.TargetQuery(tuple(missed)))

    @singledispatchmethod
    def receive(self, message: tuple) -> None:
        """Take in a message, by its kind."""
        log.warning("unexpected %s", type(message).__name__)

    @receive.register
    def receive_routing(self, message: messages.RoutingNews) -> None:
        """Handle the message `RoutingNews`."""
        if message.content and message.version > self.table.version:
            self.apply_table(message.content)
        if message.fresh and self.table.version >= message.version:
            self.fresh = True

    def apply_table(self, content: bytes) -> None:
        """Put a newer table in force here."""
        try:
            self.table = unpack_table(content)
        except (msgspec.DecodeError, ValueError) as error:
            log.error("a routing table can't be read: %s", error)
            return
        log.info("routing table in force", extra=fields(revision=self.table.version))
        self.on_table(self.table)

    @receive.register
    def receive_models(self, message: messages.ModelNews) -> None:
        """Handle the message `ModelNews`."""
        now_s = steady_s()
        for state in message.models:
            self.engines[state.service] = engine_of(state)
            for named in state.named:
                self.record_version(state.model, named, now_s)
        self.on_models()

    def record_version(
        self, model: str, named: messages.VersionAge, now_s: float
    ) -> None:
        """Keep a version, and the earliest word of it."""
        if self.versions.note(model, named.version, now_s - named.age_ms / 1000):
            log.info(
                "weights named",
                extra=fields(model=model, version=named.version, age_ms=named.age_ms),
            )

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
        named = zip(message.hosts, domains, strict=True)
        # What one instance has not met yet another may have told before.
        told = {host: domain or self.instances.get(host, "") for host, domain in named}
        seeds = {seed.host: self.instances.get(seed.host, "") for seed in self.seeds}
        self.instances = seeds | told
        self.choose()


def engine_of(state: messages.ModelState) -> Engine:
    """Read the figures of an engine from the wire."""
    return Engine(
        state.model,
        state.slots,
        state.stride,
        state.step_ms,
        state.step_ms_per_request,
        state.prefill_tokens_per_ms,
    )


def ignore(*news: object) -> None:
    """Take news that nobody asked for."""


def none_missed(*news: object) -> list[str]:
    """Miss nothing of news that nobody asked for."""
    return []
