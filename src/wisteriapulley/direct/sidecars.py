"""Links of an entry to the sidecars of engines, and slot requests over them."""

import asyncio
import functools
import logging
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.direct.rate_permits import rate_update
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.policy.answer_times import AnswerTimes
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.slot_requests import NOTHING_OBSERVED, ObservedWork
from wisteriapulley.policy.subset import Member, SubsetLimits, choose_subset
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.policy.target_speed import factor_of
from wisteriapulley.regions import Regions
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.call import Call, raise_failure
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.reconnect import ReconnectingLink

log = logging.getLogger(__name__)

# Time beyond the requested wait after which a queued decision counts as lost.
DECISION_MARGIN_S = 0.25
# Sidecars that an entry links to per service. A request is offered to at most six, so
# this leaves a choice among several times as many. Sidecars in the entry's own region
# come first, since traffic between regions is expensive and its links are slow.
# Requests that are bound to a region choose among twice as many there as they ask.
LINK_LIMITS = SubsetLimits(total=28, same_region=22, home_region=12)
# States in heartbeats of sidecars: no grants now, or no grants yet.
CLOSED_STATE = "closed"
OPENING_STATE = "opening"
# The sidecar grants slots, but its engine is throttled: it advertises a rate or has
# rejected requests.
LIMITED_STATE = "limited"
OPEN_STATES = frozenset({"open", LIMITED_STATE})
# Load penalty, as a fraction of an engine's slots, of an engine that still loads its
# weights or is throttled. It is asked after engines with free slots.
LIMITED_LOAD = 1.0
# Load penalty, as a fraction of an engine's slots, per second of its sidecar's response
# time. A tenth of a second is a quarter of a latency objective, and counts as much as
# an engine without a free slot.
DELAY_LOAD_PER_S = 10.0
# A reply of a sidecar tells its load later than its last report does. For longer than
# this, no report means that nothing has changed since the last one.
REPLIED_LOAD_S = 0.5


class RepliedLoad(NamedTuple):
    """Load of an engine in a reply of its sidecar.

    Attributes
    ----------
    outstanding : int
        Requests that run or wait, an asked-for one included if it was granted.
    replied_s : float
        When the reply arrived.
    reported : Heartbeat
        The last report before it; a later report replaces the reply.
    """

    outstanding: int
    replied_s: float
    reported: messages.Heartbeat


class Sidecars:
    """Links to the sidecars that an entry requests slots from.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the entry, with the port of sidecars.
    identity : Identity
        Identity of the entry.
    registry : TargetRegistry
        Known targets.

    Attributes
    ----------
    connections : dict of str to ReconnectingLink
        Links by host.
    selected_hosts : set of str
        Hosts of the sidecars to request slots from; see `policy.subset`.
    home_regions : dict of str to tuple of str
        By service, the regions that some requests are bound to; see `routing.homes`.
    pending : Counter of str
        Slot requests without a decision yet, by host.
    answer_times : AnswerTimes
        Response times of sidecars.
    stalled_since_s : dict of str to float
        By host, when a slot request was sent after which nothing was received.
    replied_loads : dict of str to RepliedLoad
        By host, the load in the last reply.
    """

    def __init__(
        self, settings: DirectSettings, identity: Identity, registry: TargetRegistry
    ):
        self.settings = settings
        self.identity = identity
        self.registry = registry
        self.member = Member(identity.node_id, settings.failure_domain)
        self.regions = Regions(settings.failure_domain_regions)
        self.connections: dict[str, ReconnectingLink] = {}
        self.selected_hosts: set[str] = set()
        self.home_regions: dict[str, tuple[str, ...]] = {}
        self.pending: Counter[str] = Counter()
        self.answer_times = AnswerTimes()
        self.stalled_since_s: dict[str, float] = {}
        self.replied_loads: dict[str, RepliedLoad] = {}

    # -- links -----------------------------------------------------------

    def keep_links(self, services: Iterable[str]) -> None:
        """Maintain links to the sidecars of some targets of each model service."""
        self.selected_hosts = {
            host for service in services for host in self.hosts_of(service)
        }
        for host in self.selected_hosts - set(self.connections):
            address = Address(host, self.settings.sidecar_port)
            connection = ReconnectingLink(
                [address],
                self.identity,
                self.handle,
                messages.Heartbeat,
                self.settings,
                functools.partial(self.link_opened, host),
            )
            self.connections[host] = connection
            connection.start()

    async def link_opened(self, host: str, link: Link) -> None:
        """Reduce heartbeats on a new link, and report rates before any slot request.

        Frames of slot requests stand in for heartbeats. A sidecar that has restarted
        knows no advertised rates.
        """
        link.skips_redundant_heartbeats = True
        now_s = asyncio.get_running_loop().time()
        for target in self.registry.targets.values():
            if target.host == host and target.rate.per_s is not None:
                link.post(rate_update(target, now_s))

    def hosts_of(self, service: str) -> list[str]:
        """Return the hosts of the sidecars to link to for a service.

        Those in evacuated failure domains do not count, but links to them are kept:
        an engine that returns gets requests only by its sidecar's grants.
        """
        targets = [t for t in self.registry.of_service(service) if not t.is_retired]
        homes = self.home_regions.get(service, ())
        hosts = self.choose_hosts(targets, homes)
        usable = [t for t in targets if not self.registry.is_evacuated(t)]
        if len(usable) < len(targets):
            hosts += self.choose_hosts(usable, homes)
        return hosts

    def choose_hosts(
        self, targets: list[Target], homes: tuple[str, ...] = ()
    ) -> list[str]:
        """Return the hosts of the sidecars to link to, among those of some targets."""
        members = {Member(target.host, target.failure_domain) for target in targets}
        return choose_subset(members, self.member, self.regions, LINK_LIMITS, homes)

    def is_selected(self, target: Target) -> bool:
        """Return whether this entry requests slots from the sidecar of a target."""
        return target.host in self.selected_hosts

    async def drop_links(self) -> None:
        """Close links that are not needed and have no requests in flight or queued.

        When a link closes, the sidecar releases all slots granted over it and drops
        the slot requests that it has queued.
        """
        busy = {t.host for t in self.registry.targets.values() if t.outstanding}
        busy |= set(+self.pending)
        for host in set(self.connections) - self.selected_hosts - busy:
            self.stalled_since_s.pop(host, None)
            self.replied_loads.pop(host, None)
            self.answer_times.forget(host)
            await self.connections.pop(host).stop()

    async def stop(self) -> None:
        """Close all links."""
        for connection in self.connections.values():
            await connection.stop()

    async def handle(self, link: Link, frame: Frame) -> None:
        """Log an unsolicited frame; sidecars send none."""
        log.warning(
            "unexpected message %s: sidecars send only replies",
            type(frame.message).__name__,
        )

    def link_to(self, target: Target) -> Link | None:
        """Return the open link to a target's sidecar."""
        connection = self.connections.get(target.host)
        return connection.open_link if connection is not None else None

    # -- reported state --------------------------------------------------

    def is_available(self, target: Target) -> bool:
        """Return whether a sidecar may grant a slot, by its last heartbeat.

        Without this check, an engine that loads weights looks empty, is asked first and
        uses up the few attempts of a request: of the requests refused while new engines
        loaded weights, nine in ten had asked no other engine.
        """
        link = self.link_to(target)
        if link is None:
            return True
        return link.peer_heartbeat.state != CLOSED_STATE and not self.is_stalled(
            target.host, link
        )

    def is_open(self, target: Target) -> bool:
        """Return whether a sidecar grants slots now, by its last heartbeat."""
        link = self.link_to(target)
        return link is not None and link.peer_heartbeat.state in OPEN_STATES

    def is_stalled(self, host: str, link: Link) -> bool:
        """Return whether nothing was received since an unanswered slot request.

        The link of a frozen or overloaded instance counts as open for a second or more.
        Without this check, each request in that time would spend the rest of its
        latency objective on waiting for it.
        """
        return link.last_received <= self.stalled_since_s.get(host, float("-inf"))

    def load_of(self, target: Target, now_s: float) -> Load:
        """Return an engine's load, by the last heartbeat or reply of its sidecar.

        Reports to all entries are rare, above all to those of other regions. Without
        the replies, an entry doesn't see its own requests there, and sends a whole
        burst to the engine that looked best before it.
        """
        link = self.link_to(target)
        if link is None:
            return Load(target.slots, target.slots)
        heartbeat = link.peer_heartbeat
        used = self.outstanding_at(target.host, heartbeat, now_s)
        used += self.pending[target.host]
        if heartbeat.state in (OPENING_STATE, LIMITED_STATE):
            used += LIMITED_LOAD * target.slots
        delay_s = self.answer_times.expected_s(target.host, now_s)
        used += DELAY_LOAD_PER_S * delay_s * target.slots
        return Load(used, target.slots, factor_of(heartbeat.pace))

    def outstanding_at(
        self, host: str, heartbeat: messages.Heartbeat, now_s: float
    ) -> int:
        """Return the requests at an engine, by what its sidecar told last."""
        replied = self.replied_loads.get(host)
        if (
            replied is not None
            and replied.reported is heartbeat
            and now_s - replied.replied_s < REPLIED_LOAD_S
        ):
            return replied.outstanding
        return heartbeat.running + heartbeat.waiting

    def record_reply(self, link: Link, host: str, frame: Frame) -> None:
        """Record the load in a sidecar's reply to a slot request."""
        reply = frame.message
        if isinstance(reply, messages.Reserved):
            now_s = asyncio.get_running_loop().time()
            outstanding = reply.running + reply.waiting
            self.replied_loads[host] = RepliedLoad(
                outstanding, now_s, link.peer_heartbeat
            )

    def heartbeat_of(self, target: Target) -> messages.Heartbeat:
        """Return the last heartbeat of a target's sidecar; an empty one without."""
        link = self.link_to(target)
        return messages.Heartbeat() if link is None else link.peer_heartbeat

    # -- slot requests ---------------------------------------------------

    async def reserve(
        self, link: Link, target: Target, reservation: messages.Reserve
    ) -> messages.Reserved | None:
        """Request a slot from one sidecar; None if it does not respond."""
        host = target.host
        sent_s = asyncio.get_running_loop().time()
        self.pending[host] += 1
        try:
            return await self.wait_for_decision(link, host, reservation)
        except WisteriapulleyError as error:
            log.info("sidecar of %s did not respond: %s", target.target_id, error)
            if link.last_received <= sent_s:
                self.stalled_since_s[host] = sent_s
            self.release(link, reservation.request_id)
            return None
        except BaseException:
            # The caller has left, and must not keep the slot.
            self.release(link, reservation.request_id)
            raise
        finally:
            self.pending[host] -= 1

    async def wait_for_decision(
        self, link: Link, host: str, reservation: messages.Reserve
    ) -> messages.Reserved:
        """Send a slot request and wait for the decision.

        Raises
        ------
        WisteriapulleyError
            The first reply or the decision did not arrive in time.
        """
        call = link.call(reservation)
        try:
            frame = await self.first_reply(call, host)
            self.record_reply(link, host, frame)
            raise_failure(frame)
            if frame.message.queued:
                frame = await call.reply(reservation.wait_ms / 1000 + DECISION_MARGIN_S)
                raise_failure(frame)
        finally:
            call.close()
        return frame.message

    async def first_reply(self, call: Call, host: str) -> Frame:
        """Wait for the first reply of a sidecar and record how long it took."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            frame = await call.reply(self.answer_times.max_wait_s())
        except WisteriapulleyError as error:
            if error.code is ResultCode.LINK_TIMEOUT:
                self.answer_times.record_timeout(host, loop.time())
            raise
        self.answer_times.record_answer(host, loop.time() - sent_s, loop.time())
        return frame

    def release(
        self,
        link: Link,
        request_id: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
        cooling_down: bool = False,
        work: ObservedWork = NOTHING_OBSERVED,
    ) -> None:
        """Release a slot, and report what the engine did with the request.

        Only entries see whether the engine accepted what its sidecar granted, and how
        long its events took.
        """
        if not link.closed.is_set():
            link.post(release_message(request_id, outcome, cooling_down, work))


def release_message(
    request_id: str, outcome: SendOutcome, cooling_down: bool, work: ObservedWork
) -> messages.Release:
    """Return the message that releases a slot; see `Sidecars.release`."""
    accepted = outcome is SendOutcome.ACCEPTED
    rejected = outcome is SendOutcome.REJECTED
    took_ms = int(work.took_ms)
    return messages.Release(
        request_id, accepted, rejected, cooling_down, work.events, took_ms
    )
