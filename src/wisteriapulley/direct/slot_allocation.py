"""Allocates a slot for a request at a plain target or at an engine with a sidecar."""

import asyncio
import functools
import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.following import ControlFollower
from wisteriapulley.direct.admission_levels import AdmissionLevels
from wisteriapulley.direct.cold_services import ColdServices
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.rate_permits import RatePermitClient
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.sidecars import Sidecars
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.connection_share import max_requests
from wisteriapulley.policy.return_queue import late_wait_ms
from wisteriapulley.policy.slot_requests import (
    NOTHING_OBSERVED,
    DenialReason,
    ObservedWork,
)
from wisteriapulley.policy.target_ranking import EntryLocation, Load, rank_targets
from wisteriapulley.policy.version_end import (
    BEGIN_MARGIN_MS,
    grant_left_ms,
    may_go_on,
    outlasts_version,
    start_left_ms,
)
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Engine, RoutingTable
from wisteriapulley.routing.homes import describe_homes
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

# Sidecars that are asked in turn for one request before it is refused.
MAX_SIDECARS_ASKED = 6
# In-flight requests of this entry at an engine without a link to its sidecar. Small,
# because nothing limits what the other entries send there meanwhile.
MAX_WITHOUT_SIDECAR = 2
# A late request may queue for at least this long, and for longer as long as its
# response can still complete before the caller's deadline.
MIN_LATE_WAIT_MS = 400.0
# A busy engine spends about as much time on the prefill of other requests as on
# decoding, so a response takes twice the time of its own decode steps.
DECODE_TIME_FACTOR = 2
# Added to the priority value of late requests, so that requests that can still meet
# their objective go first.
LATE_PRIORITY_OFFSET = 100
# The same for returns, which go before other late requests.
RETURN_PRIORITY_OFFSET = 50
# Part of the latency objective reserved for the network round trip and for the error
# of the first-event estimate. Requests admitted up to the last millisecond miss the
# objective: with six emulated engines at 1.2 times the peak load, a fraction of 0.64
# meets it without this margin and 0.75 with it.
LATENCY_MARGIN_MS = 130.0
# Retry time of a refused caller when no target tells when it accepts a request again.
DEFAULT_RETRY_S = 0.25
# Expected wait for the prefill of a prompt without a sidecar's estimate: a busy engine
# takes most of an objective.
UNKNOWN_WAIT_MS = 400.0
# A request that has not started is dropped this long before it may no longer start.
# The connection close takes some milliseconds to reach the target, more over a slow
# link, and the update about the newer version took as long to arrive here.
VERSION_END_MARGIN_MS = 100.0


# Releases a slot; called with what the target did with the request.
ReleaseSlot = Callable[[SendOutcome, ObservedWork], None]
# Returns when a request must have started, by what this entry knows now.
StartDeadline = Callable[[], float | None]


class Urgency(NamedTuple):
    """How urgent a request is.

    Attributes
    ----------
    wait_ms : float
        How long its first event may take from now on.
    priority : int
        Rank in the queue of a sidecar; lower goes first.
    late : bool
        Whether it can no longer meet its latency objective.
    may_wait : bool
        Whether it may wait for a slot although it is late.
    """

    wait_ms: float
    priority: int
    late: bool
    may_wait: bool = False


class AllocatedSlot(NamedTuple):
    """A slot at a target that a request may be sent to now.

    Attributes
    ----------
    target : Target
        Where to send the request.
    version : int
        Version of the weights to request; 0 for any.
    release : ReleaseSlot
        Releases the slot.
    start_deadline_s : float or None
        When the first event must have arrived, on the loop's clock, because the
        version may not start requests after that; None without such a limit.
    granted : bool
        Whether the target's sidecar granted the slot.
    version_deadline_s : callable or None
        Returns that deadline by the versions that are known now: a newer one may be
        named while the request waits. None for plain targets.
    first_event_ms : int or None
        Time from the grant to the expected first event, as the sidecar estimated it;
        None without an estimate.
    send_margin_s : float
        The request may be sent until this long before it must have started.
    """

    target: Target
    version: int
    release: ReleaseSlot
    start_deadline_s: float | None = None
    granted: bool = False
    version_deadline_s: StartDeadline | None = None
    first_event_ms: int | None = None
    send_margin_s: float = 0.0

    def deadline_s(self) -> float | None:
        """Return when the request must have started; None without a limit."""
        version_s = self.version_deadline_s() if self.version_deadline_s else None
        deadlines_s = (self.start_deadline_s, version_s)
        return min((at_s for at_s in deadlines_s if at_s is not None), default=None)

    def may_start(self, now_s: float) -> bool:
        """Return whether the request may still start."""
        deadline_s = self.deadline_s()
        return deadline_s is None or now_s < deadline_s

    def may_send(self, now_s: float) -> bool:
        """Return whether the request may be sent now."""
        return self.may_start(now_s + self.send_margin_s)

    def start_left_ms(self, now_s: float) -> int | None:
        """Return how long the request may still start; None without a limit."""
        return remaining_ms(self.deadline_s(), now_s)

    def own_start_left_ms(self, now_s: float) -> int | None:
        """Return the same by what this entry alone knows of newer versions."""
        version_s = self.version_deadline_s() if self.version_deadline_s else None
        return remaining_ms(version_s, now_s)


class Denials:
    """Negative responses of the sidecars that were asked for one request.

    Attributes
    ----------
    counted : int
        Denials that count towards `MAX_SIDECARS_ASKED`, including missing links and
        responses. Engines at their advertised rate or in a cool-down do not count:
        their sidecars deny at once, which does not indicate the state of the others.
    full_s : list of float
        For each full engine, when it is likely to have a free slot.
    limited_s : list of float
        For each engine at its rate limit or in a cool-down, when it may accept a
        request again.
    reasons : Counter of str
        Why sidecars denied a slot.
    """

    def __init__(self):
        self.counted = 0
        self.reasons: Counter[str] = Counter()
        self.full_s: list[float] = []
        self.limited_s: list[float] = []

    def add_throttled(self, wait_s: float) -> None:
        """Record how long a target accepts no request; infinite if it never will."""
        if wait_s < float("inf"):
            self.limited_s.append(wait_s)

    def add(self, reserved: messages.Reserved | None) -> None:
        """Record a denial; None if the sidecar did not respond."""
        if reserved is None:
            self.reasons["no_response"] += 1
        else:
            self.reasons[DenialReason.from_wire(reserved.reason).label] += 1
        if reserved is not None and reserved.limited:
            self.limited_s.append(reserved.retry_ms / 1000)
            return
        self.counted += 1
        if reserved is not None and not reserved.closed:
            self.full_s.append(reserved.retry_ms / 1000)

    def describe(self) -> str:
        """Return the reasons and their numbers, for the log."""
        return ", ".join(f"{n} {reason}" for reason, n in self.reasons.most_common())

    @property
    def retry_s(self) -> float:
        """When the caller may retry, in seconds.

        An engine at its rate limit accepts only the next few requests, so its time is
        used only if no full engine reported one.
        """
        return min(self.full_s or self.limited_s or (DEFAULT_RETRY_S,))


class SlotAllocator:
    """Allocates slots at the targets of one entry.

    Parameters
    ----------
    settings : DirectSettings
        Failure domain and regions of the entry.
    identity : Identity
        Identity of the entry.
    registry : TargetRegistry
        Known targets.
    follower : ControlFollower
        Links to control instances, and the desired versions of weights.
    """

    def __init__(
        self,
        settings: DirectSettings,
        identity: Identity,
        registry: TargetRegistry,
        follower: ControlFollower,
    ):
        self.settings = settings
        self.registry = registry
        self.follower = follower
        self.sidecars = Sidecars(settings, identity, registry)
        self.rate_permits = RatePermitClient(follower.open_links, self.may_be_cold)
        self.cold_services = ColdServices()
        # Connections that a target of each service accepts, and the largest number of
        # entries seen; see `policy.connection_share`.
        self.max_connections: dict[str, int] = {}
        self.entry_count = 0
        self.levels = AdmissionLevels(self.sidecars)
        self.location = EntryLocation(
            settings.failure_domain, Regions(settings.failure_domain_regions)
        )
        self.random = random.Random(identity.node_id)

    def set_table(self, table: RoutingTable) -> None:
        """Apply the limits in a newer routing table.

        Those of a service that it lacks hold for requests that are in progress.
        """
        self.cold_services.set_table(table)
        self.max_connections.update(
            (service.name, service.max_connections) for service in table.services
        )

    def set_entry_count(self, entry_count: int) -> None:
        """Update the number of entries that share the connections to a target."""
        self.entry_count = max(self.entry_count, entry_count)

    async def stop(self) -> None:
        """Close all links."""
        await self.sidecars.stop()

    async def allocate(
        self,
        admitted: Admitted,
        service: str,
        engine: Engine | None,
        tried: set[str],
        now_s: float,
        is_last: bool = False,
    ) -> AllocatedSlot | Refusal:
        """Allocate a slot for a request, or return why there is none.

        Parameters
        ----------
        admitted : Admitted
            The request.
        service : str
            Service to send it to.
        engine : Engine or None
            Engine parameters of the service; None for plain targets.
        tried : set of str
            Ids of targets not to use again.
        now_s : float
            The loop's clock.
        is_last : bool
            Whether the request can't be sent again if its target rejects it.
        """
        homes = admitted.homes
        targets = [
            target
            for target in self.registry.candidates(service, now_s, is_last, homes)
            if target.target_id not in tried
        ]
        if not targets:
            result = self.refuse_without_target(service, tried, now_s, is_last, homes)
        elif engine is None:
            result = await self.allocate_plain(targets, now_s, is_last)
        else:
            result = await self.allocate_engine(
                admitted, engine, targets, now_s, is_last
            )
        if homes and isinstance(result, Refusal):
            reason = f"{result.reason} in {describe_homes(homes)}"
            return result._replace(reason=reason)
        return result

    def refuse_without_target(
        self,
        service: str,
        tried: set[str],
        now_s: float,
        is_last: bool,
        homes: tuple[str, ...] = (),
    ) -> Refusal:
        """Return the refusal for a service that has no available target."""
        wait_s = self.registry.throttled_s(service, now_s, is_last, homes)
        if wait_s:
            return Refusal(RefusalKind.OVERLOADED, wait_s, "targets throttled")
        kind = RefusalKind.UNAVAILABLE if tried else RefusalKind.NOT_READY
        retry_s = DEFAULT_RETRY_S
        if homes:
            return_s = self.registry.return_s(service, now_s, is_last, homes)
            retry_s = return_s or DEFAULT_RETRY_S
        return Refusal(kind, retry_s, "no target available")

    def open_fraction(
        self, service: str, engine: Engine | None, now_s: float, homes: tuple[str, ...]
    ) -> float:
        """Return which fraction of a service's known targets is open.

        Plain targets always are, and throttled ones count as open: it is known when
        they accept a request again.
        """
        targets = self.registry.candidates(service, now_s, homes=homes)
        if engine is not None:
            targets = [t for t in targets if self.sidecars.is_selected(t)]
        if not targets:
            return float(self.registry.throttled_s(service, now_s, homes=homes) > 0)
        if engine is None:
            return 1.0
        return sum(map(self.sidecars.is_open, targets)) / len(targets)

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def occupy(self, slot: AllocatedSlot) -> AllocatedSlot:
        """Count a request as in flight at a target until its slot is released."""
        target, sent_s = slot.target, self.now_s()
        target.record_sent(sent_s)

        def end_request(
            outcome: SendOutcome = SendOutcome.UNKNOWN,
            work: ObservedWork = NOTHING_OBSERVED,
        ) -> None:
            target.record_ended(sent_s, self.now_s(), outcome)
            slot.release(outcome, work)

        return slot._replace(release=end_request)

    # -- plain targets ---------------------------------------------------

    async def allocate_plain(
        self, targets: list[Target], now_s: float, is_last: bool
    ) -> AllocatedSlot | Refusal:
        """Use the least loaded plain target whose advertised rate permits a request."""
        order = rank_targets(
            targets,
            lambda target: plain_load(target, now_s),
            self.location,
            self.random.random,
            now_s,
        )
        waits_s: list[float] = []
        for target in order:
            if target.outstanding >= self.max_requests(target):
                continue
            wait_s = await self.rate_permits.wait_s(target, now_s)
            # Signals in responses to other requests may have arrived meanwhile.
            wait_s = max(wait_s, self.registry.wait_s(target, self.now_s(), is_last))
            if not wait_s:
                return self.occupy(AllocatedSlot(target, 0, no_release))
            if wait_s < float("inf"):
                waits_s.append(wait_s)
        if waits_s:
            return Refusal(RefusalKind.OVERLOADED, min(waits_s), "targets throttled")
        return Refusal(RefusalKind.OVERLOADED, DEFAULT_RETRY_S, "targets full")

    def max_requests(self, target: Target) -> int:
        """Return how many requests may be in flight from here at a plain target."""
        max_connections = self.max_connections.get(target.state.service, 0)
        return max_requests(target.slots, max_connections, self.entry_count)

    def may_be_cold(self, target: Target, now_s: float) -> bool:
        """Return whether a target must be taken for cold."""
        return self.cold_services.may_be_cold(
            target, now_s, lambda: bool(self.follower.open_links())
        )

    def report_rate(self, target: Target, now_s: float) -> None:
        """Report a target's rate and coldness to the owner of its limits."""
        self.rate_permits.report_rate(target, self.sidecars.link_to(target), now_s)

    # -- engines ---------------------------------------------------------

    async def allocate_engine(
        self,
        admitted: Admitted,
        engine: Engine,
        targets: list[Target],
        now_s: float,
        is_last: bool,
    ) -> AllocatedSlot | Refusal:
        """Ask the sidecars of engines for a slot, one after the other."""
        denials = Denials()
        eligible = self.eligible_engines(targets, now_s)
        refusal = self.refuse_below_level(admitted, engine, eligible, now_s)
        if refusal is not None:
            return refusal
        for target in eligible:
            wait_s = max(
                self.rate_permits.at_limit_s(target, now_s),
                self.registry.wait_s(target, self.now_s(), is_last),
            )
            if wait_s:
                denials.add_throttled(wait_s)
                continue
            if denials.counted == MAX_SIDECARS_ASKED:
                break
            link = self.sidecars.link_to(target)
            if link is None:
                slot = self.allocate_without_sidecar(admitted, target, engine)
                if slot is not None:
                    return slot
                denials.counted += 1
                continue
            reservation = self.make_reservation(admitted, engine, target, is_last)
            asked_s = steady_s()
            answer = await self.sidecars.reserve(link, target, reservation)
            if answer is None or not answer.granted:
                self.record_denial(denials, target, answer, now_s)
                continue
            wait_s = self.registry.wait_s(target, self.now_s(), is_last)
            if wait_s:
                # The engine throttled this entry, or its failure domain was evacuated,
                # before its sidecar granted the slot.
                self.sidecars.release(link, admitted.request.request_id)
                denials.add_throttled(wait_s)
                continue
            slot = self.use_grant(link, admitted, target, engine, answer, asked_s)
            if slot is not None:
                return slot
            # Another engine may hold the newer version.
            denials.counted += 1
            denials.reasons["version_ends"] += 1
        return Refusal(
            RefusalKind.OVERLOADED,
            denials.retry_s,
            "no slot in time",
            denials.describe(),
        )

    def record_denial(
        self,
        denials: Denials,
        target: Target,
        answer: messages.Reserved | None,
        now_s: float,
    ) -> None:
        """Record that a sidecar denied a slot or did not respond."""
        denials.add(answer)
        if answer is not None and answer.limited:
            self.rate_permits.record_at_limit(target, answer.retry_ms / 1000, now_s)

    def refuse_below_level(
        self, admitted: Admitted, engine: Engine, targets: list[Target], now_s: float
    ) -> Refusal | None:
        """Return the refusal of a request that no sidecar admits by its priority.

        Late requests get what the others leave, by a rule of their own.
        """
        urgency = urgency_of(admitted, engine, now_s)
        if urgency.late or not self.levels.refuses(
            engine.model, targets, urgency.priority, now_s
        ):
            return None
        retry_s = self.levels.retry_s(targets)
        return Refusal(RefusalKind.OVERLOADED, retry_s, "priority not admitted")

    def eligible_engines(self, targets: list[Target], now_s: float) -> list[Target]:
        """Return the engines whose sidecars may grant a slot, best first."""
        eligible = (
            target
            for target in targets
            if self.sidecars.is_selected(target) and self.sidecars.is_available(target)
        )
        return rank_targets(
            eligible,
            lambda target: self.sidecars.load_of(target, now_s),
            self.location,
            self.random.random,
            now_s,
        )

    def make_reservation(
        self, admitted: Admitted, engine: Engine, target: Target, is_last: bool
    ) -> messages.Reserve:
        """Make the slot request for a sidecar, based on the time left now.

        A request that waited at one engine and was denied is offered to the next one.
        With the time budget that it had at first, it would be admitted there, miss its
        objective, and occupy a slot in which another request would have met its own.
        """
        now_s = self.now_s()
        urgency = urgency_of(admitted, engine, now_s, self.settings.returns_wait)
        request = admitted.request
        return messages.Reserve(
            request.request_id,
            request.prompt_tokens,
            request.answer_tokens,
            urgency.priority,
            int(urgency.wait_ms),
            target.incarnation,
            late=urgency.late,
            is_last=is_last,
            may_wait=urgency.may_wait,
            route=admitted.route.name,
            large_prompt=admitted.large_prompt,
        )

    def use_grant(
        self,
        link: Link,
        admitted: Admitted,
        target: Target,
        engine: Engine,
        answer: messages.Reserved,
        asked_s: float,
    ) -> AllocatedSlot | None:
        """Use a granted slot; None if requests may no longer start on its version.

        The slot was asked for at `asked_s`, by the steady clock. One without a version
        is at an engine that has restarted since: whatever it loads would be served.
        """
        request = admitted.request

        def release(
            outcome: SendOutcome = SendOutcome.UNKNOWN,
            work: ObservedWork = NOTHING_OBSERVED,
        ) -> None:
            cooling_down = target.cooldown.wait_s(self.now_s()) > 0
            self.sidecars.release(link, request.request_id, outcome, cooling_down, work)

        left_ms = self.grant_left_ms(engine.model, answer, asked_s)
        slot = AllocatedSlot(
            target,
            answer.version,
            release,
            self.start_deadline_s(left_ms),
            True,
            functools.partial(self.version_deadline_s, engine.model, answer.version),
            answer.first_event_ms or None,
            send_margin_s(
                answer.first_event_ms or busy_first_event_ms(request, engine)
            ),
        )
        if not answer.version or not self.may_use(slot, admitted, engine):
            release()
            return None
        return self.occupy(slot)

    def allocate_without_sidecar(
        self, admitted: Admitted, target: Target, engine: Engine
    ) -> AllocatedSlot | None:
        """Use an engine without asking its sidecar, for few requests at a time.

        A cold engine gets nothing: its sidecar counts what it bears.
        """
        if self.may_be_cold(target, self.now_s()):
            return None
        version = target.state.version
        if target.outstanding >= MAX_WITHOUT_SIDECAR or not version:
            return None
        by_version = functools.partial(self.version_deadline_s, engine.model, version)
        slot = AllocatedSlot(
            target,
            version,
            no_release,
            by_version(),
            version_deadline_s=by_version,
            send_margin_s=send_margin_s(busy_first_event_ms(admitted.request, engine)),
        )
        if not self.may_use(slot, admitted, engine):
            return None
        now_s = self.now_s()
        if target.rate.per_s is not None and self.rate_permits.local_wait_s(
            target, now_s
        ):
            return None
        return self.occupy(slot)

    def may_use(self, slot: AllocatedSlot, admitted: Admitted, engine: Engine) -> bool:
        """Return whether a request may be sent at a slot.

        A target stops work at the end of its version. What has not run and can't go on
        at another one is not sent there to be stopped. A request that may be sent again
        loses only time if it is stopped, so it is sent if it will probably be complete.
        """
        now_s = self.now_s()
        if not slot.may_send(now_s):
            return False
        expected_ms = expected_run_ms(admitted, engine)
        if expected_ms is None or admitted.may_have_run:
            return True
        left_ms = (admitted.deadline_s - now_s) * 1000
        if not outlasts_version(expected_ms, left_ms, slot.start_left_ms(now_s)):
            return True
        return not admitted.has_one_send and self.may_go_on(slot, admitted, now_s)

    def may_go_on(self, slot: AllocatedSlot, admitted: Admitted, now_s: float) -> bool:
        """Return whether another target may go on when a slot's version has ended.

        It has newer weights, and accepts requests by then.
        """
        registry, left_ms = self.registry, slot.start_left_ms(now_s)
        service = slot.target.state.service
        return any(
            target.state.version > slot.version
            and target is not slot.target
            and may_go_on(registry.wait_s(target, now_s) * 1000, left_ms)
            for target in registry.alive(service, now_s, admitted.homes)
        )

    def start_deadline_s(self, left_ms: float | None) -> float | None:
        """Return when a request must have started, on the loop's clock."""
        if left_ms is None:
            return None
        return self.now_s() + (left_ms - VERSION_END_MARGIN_MS) / 1000

    def version_deadline_s(self, model: str, version: int) -> float | None:
        """Return when a request must have started by the versions known now."""
        return self.start_deadline_s(self.version_left_ms(model, version))

    def grant_left_ms(
        self, model: str, grant: messages.Reserved, asked_s: float
    ) -> float | None:
        """Return how long a granted request may still start; None for no limit.

        Whichever of this entry and the sidecar heard of the newer version knows it. An
        entry that has heard of it has a limit that a slow grant does not extend.
        """
        own_ms = self.version_left_ms(model, grant.version)
        if not grant.start_left_ms:
            return own_ms
        if own_ms is not None:
            return min(grant.start_left_ms, own_ms)
        asked_for_ms = (steady_s() - asked_s) * 1000
        return grant_left_ms(grant.start_left_ms, asked_for_ms, grant.waited_ms)

    def version_left_ms(self, model: str, version: int) -> float | None:
        """Return how long requests may still start on a version; None for no limit."""
        superseded_s = self.follower.versions.superseded_at(model, version)
        if superseded_s is None:
            return None
        superseded_for_ms = (steady_s() - superseded_s) * 1000
        return start_left_ms(superseded_for_ms, self.settings.old_version_ms)


def no_release(
    outcome: SendOutcome = SendOutcome.UNKNOWN, work: ObservedWork = NOTHING_OBSERVED
) -> None:
    """Release nothing: no sidecar has granted the slot."""


def busy_first_event_ms(request: CallerRequest, engine: Engine) -> float:
    """Return the expected time to a first event without a sidecar's estimate."""
    return UNKNOWN_WAIT_MS + request.prompt_tokens / engine.prefill_tokens_per_ms


def expected_run_ms(admitted: Admitted, engine: Engine) -> float | None:
    """Return how long a response is expected to take; None if that is not known.

    That is the mean of the responses before it. For a request that can be sent only
    once it is a bound that few of them exceed, since it is lost if it is stopped.
    Before the first response it is the time of the decode steps of the stated size.
    """
    known_s = admitted.expected_s if admitted.has_one_send else admitted.mean_s
    if known_s is not None:
        return known_s * 1000
    return admitted.request.answer_tokens * engine.step_ms or None


def send_margin_s(first_event_ms: float) -> float:
    """Return how long before its drop a request may still be sent."""
    return (BEGIN_MARGIN_MS + first_event_ms - VERSION_END_MARGIN_MS) / 1000


def remaining_ms(deadline_s: float | None, now_s: float) -> int | None:
    """Return the time until a deadline; None without one."""
    return None if deadline_s is None else int((deadline_s - now_s) * 1000)


def plain_load(target: Target, now_s: float) -> Load:
    """Return a plain target's load: this entry's requests, and others as stated."""
    outstanding = target.load.outstanding(target.outstanding, now_s)
    return Load(outstanding, target.slots, target.speed.factor(now_s))


def urgency_of(
    admitted: Admitted, engine: Engine, now_s: float, returns_wait: bool = True
) -> Urgency:
    """Return how long the first event may take, and the priority of a request.

    With `returns_wait`, a caller that comes back after a refusal may wait for a slot;
    see `policy.return_queue`.

    Under overload, refused callers retry while new requests arrive. A request whose
    objective has passed gains little from going first, while each new request that it
    delays may miss its objective. So it queues behind those that can still meet it.
    """
    request, priority = admitted.request, admitted.priority
    waited_ms = (now_s - request.arrived_s) * 1000
    left_ms = admitted.route.latency_ms - waited_ms - LATENCY_MARGIN_MS
    if left_ms > 0 and not admitted.is_retry:
        return Urgency(left_ms, priority, False)
    run_ms = DECODE_TIME_FACTOR * request.answer_tokens * engine.step_ms
    slack_ms = request.max_wait_s * 1000 - LATENCY_MARGIN_MS - run_ms
    may_wait = admitted.is_retry and returns_wait
    if may_wait:
        wait_ms = late_wait_ms(slack_ms, MIN_LATE_WAIT_MS, waited_ms)
    else:
        wait_ms = max(MIN_LATE_WAIT_MS, slack_ms - waited_ms)
    # Its caller does not wait for a later first event.
    wait_ms = max(0.0, min(wait_ms, (admitted.ends_s - now_s) * 1000))
    offset = RETURN_PRIORITY_OFFSET if may_wait else LATE_PRIORITY_OFFSET
    return Urgency(wait_ms, priority + offset, True, may_wait)
