"""One entry's links to the sidecars of engines, and its questions to them."""

import asyncio
import functools
import logging
from collections import Counter
from collections.abc import Iterable

from wisteriapulley.direct.rate_permits import rate_update
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.errors import ResultCode, WisteriapulleyError
from wisteriapulley.policy.answer_times import AnswerTimes
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.subset import Member, SubsetLimits, choose_subset
from wisteriapulley.policy.target_ranking import Load
from wisteriapulley.regions import Regions
from wisteriapulley.settings import Address
from wisteriapulley.wire import Frame, Link, messages
from wisteriapulley.wire.call import Call, raise_failure
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.keeper import LinkKeeper

log = logging.getLogger(__name__)

# Beyond the wait that was asked for, until a verdict counts as lost.
DECISION_MARGIN_S = 0.25
# Sidecars that one entry asks, of each service. A request is offered to six at most,
# so that this leaves a choice among several times as many; those of the own region
# come first, since bytes between regions are dear and their links narrow.
LINK_LIMITS = SubsetLimits(total=28, same_region=22)
# What a sidecar says in its heartbeats: it grants nothing now, or nothing yet.
CLOSED_STATE = "closed"
OPENING_STATE = "opening"
# It grants, but its engine holds requests back now: it states a rate, or turned some
# away.
LIMITED_STATE = "limited"
# An engine that still loads its weights, or is at its limit, is asked after those that
# have room.
LIMITED_LOAD = 1.0
# Load, as a share of an engine's places, that a second until its sidecar's answer
# counts for: a tenth of a second is a quarter of an objective, and as bad as an
# engine without a place.
DELAY_LOAD_PER_S = 10.0


class Sidecars:
    """Links to the sidecars of the engines that an entry asks for places.

    Parameters
    ----------
    settings : DirectSettings
        The sidecars' port.
    identity : Identity
        Who the entry is.
    registry : TargetRegistry
        The targets.
    """

    def __init__(
        self, settings: DirectSettings, identity: Identity, registry: TargetRegistry
    ):
        self.settings = settings
        self.identity = identity
        self.registry = registry
        self.own = Member(identity.node_id, settings.failure_domain)
        self.regions = Regions(settings.failure_domain_regions)
        self.keepers: dict[str, LinkKeeper] = {}
        # Hosts of the sidecars that are asked for places; see `policy.subset`.
        self.selected_hosts: set[str] = set()
        self.pending: Counter[str] = Counter()
        self.answer_times = AnswerTimes()
        # By host: when a question was sent that nothing at all followed.
        self.stalled_since_s: dict[str, float] = {}

    # -- links -----------------------------------------------------------

    def keep_links(self, services: Iterable[str]) -> None:
        """Keep links to the sidecars of some targets of each model service."""
        self.selected_hosts = {
            host for service in services for host in self.hosts_of(service)
        }
        for host in self.selected_hosts - set(self.keepers):
            address = Address(host, self.settings.sidecar_port)
            keeper = LinkKeeper(
                [address],
                self.identity,
                self.handle,
                messages.Heartbeat,
                self.settings,
                functools.partial(self.link_opened, host),
            )
            self.keepers[host] = keeper
            keeper.start()

    async def link_opened(self, host: str, link: Link) -> None:
        """Spare heartbeats where questions go anyway; tell rates before any question.

        A sidecar that has started again knows of none.
        """
        link.sparing = True
        now_s = asyncio.get_running_loop().time()
        for target in self.registry.targets.values():
            if target.host == host and target.rate.per_s is not None:
                link.post(rate_update(target, now_s))

    def hosts_of(self, service: str) -> list[str]:
        """Return the hosts of the targets to ask for places of a service."""
        members = {
            Member(target.host, target.failure_domain)
            for target in self.registry.of_service(service)
            if not target.is_retired
        }
        return choose_subset(members, self.own, self.regions, LINK_LIMITS)

    def is_selected(self, target: Target) -> bool:
        """Tell whether a target is asked for places by this entry."""
        return target.host in self.selected_hosts

    async def drop_links(self) -> None:
        """Close links that are not wanted and over which nothing is held.

        A sidecar takes back what an entry holds when its link closes.
        """
        busy = {t.host for t in self.registry.targets.values() if t.outstanding}
        for host in set(self.keepers) - self.selected_hosts - busy:
            self.stalled_since_s.pop(host, None)
            self.answer_times.forget(host)
            await self.keepers.pop(host).stop()

    async def stop(self) -> None:
        """Close all links."""
        for keeper in self.keepers.values():
            await keeper.stop()

    async def handle(self, link: Link, frame: Frame) -> None:
        """Take a frame that answers nothing: sidecars send none."""
        log.warning("unexpected %s", type(frame.message).__name__)

    def link_to(self, target: Target) -> Link | None:
        """Return the open link to a target's sidecar."""
        keeper = self.keepers.get(target.host)
        return keeper.open_link if keeper is not None else None

    # -- what they said --------------------------------------------------

    def is_available(self, target: Target) -> bool:
        """Tell whether a sidecar may grant a place, as far as it last said.

        Without this an engine that loads weights looks empty, is asked first and
        takes the request's few tries: of the requests refused while newcomers
        loaded, nine in ten had asked no other.
        """
        link = self.link_to(target)
        if link is None:
            return True
        return link.peer_heartbeat.state != CLOSED_STATE and not self.is_stalled(
            target.host, link
        )

    def is_stalled(self, host: str, link: Link) -> bool:
        """Tell whether nothing came since a question that was not answered.

        Load: an instance that is frozen or overloaded, while its link still counts
        as open for a second or more. Harm prevented: each request in that time
        would spend what it has left of its objective on waiting there.
        """
        return link.last_received <= self.stalled_since_s.get(host, float("-inf"))

    def load_of(self, target: Target, now_s: float) -> Load:
        """Return an engine's load, as its sidecar last said it."""
        link = self.link_to(target)
        if link is None:
            return Load(target.slots, target.slots)
        heartbeat = link.peer_heartbeat
        taken = heartbeat.running + heartbeat.waiting + self.pending[target.host]
        if heartbeat.state in (OPENING_STATE, LIMITED_STATE):
            taken += LIMITED_LOAD * target.slots
        slow_s = self.answer_times.expected_s(target.host, now_s)
        taken += DELAY_LOAD_PER_S * slow_s * target.slots
        return Load(taken, target.slots)

    # -- questions -------------------------------------------------------

    async def reserve(
        self, link: Link, target: Target, reservation: messages.Reserve
    ) -> messages.Reserved | None:
        """Ask one sidecar for a place; None when it does not answer."""
        host = target.host
        asked_s = asyncio.get_running_loop().time()
        self.pending[host] += 1
        try:
            return await self.wait_for_decision(link, host, reservation)
        except WisteriapulleyError as error:
            log.info("sidecar of %s did not answer: %s", target.target_id, error)
            if link.last_received <= asked_s:
                self.stalled_since_s[host] = asked_s
            self.release(link, reservation.request_id)
            return None
        except BaseException:
            # The caller has left: the place must not stay taken.
            self.release(link, reservation.request_id)
            raise
        finally:
            self.pending[host] -= 1

    async def wait_for_decision(
        self, link: Link, host: str, reservation: messages.Reserve
    ) -> messages.Reserved:
        """Send a question, and wait for the verdict.

        Raises
        ------
        WisteriapulleyError
            No word came soon, or no verdict in time.
        """
        call = link.call(reservation)
        try:
            frame = await self.first_reply(call, host)
            raise_failure(frame)
            if frame.message.queued:
                frame = await call.reply(reservation.wait_ms / 1000 + DECISION_MARGIN_S)
                raise_failure(frame)
        finally:
            call.close()
        return frame.message

    async def first_reply(self, call: Call, host: str) -> Frame:
        """Wait for the first answer of a sidecar, and note how long it took."""
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        try:
            frame = await call.reply(self.answer_times.max_wait_s())
        except WisteriapulleyError as error:
            if error.code is ResultCode.LINK_TIMEOUT:
                self.answer_times.record_timeout(host, loop.time())
            raise
        self.answer_times.record_answer(host, loop.time() - asked_s, loop.time())
        return frame

    def release(
        self,
        link: Link,
        request_id: str,
        outcome: SendOutcome = SendOutcome.UNKNOWN,
        cooling_down: bool = False,
    ) -> None:
        """Tell a sidecar that a place is not needed any more, and what its engine did.

        Only entries see whether the engine took what its sidecar granted.
        """
        if not link.closed.is_set():
            taken = outcome is SendOutcome.ACCEPTED
            turned_away = outcome is SendOutcome.REJECTED
            link.post(messages.Release(request_id, taken, turned_away, cooling_down))
