"""Finds a place for a request: at a plain target, or through an engine's sidecar."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.following import ControlFollower
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.rate_permits import RatePermitClient
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.sidecars import Sidecars
from wisteriapulley.direct.types import CallerRequest, Refusal, RefusalKind
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.target_ranking import EntryLocation, Load, rank_targets
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Link, messages
from wisteriapulley.wire.handshake import Identity

log = logging.getLogger(__name__)

# Sidecars that a request asks in turn before it is refused.
MAX_SIDECARS_ASKED = 6
# Requests of one entry at an engine whose sidecar does not answer: few, since
# nobody counts what the other entries send there.
MAX_WITHOUT_SIDECAR = 2
# A request that is already late may wait for a place for so long in any case, and
# longer while its answer still can be whole in the caller's time.
MIN_LATE_WAIT_MS = 400.0
# An engine in use reads other prompts for about as long as it writes: an answer takes
# twice the time of its own decode steps.
DECODE_TIME_FACTOR = 2
# Added to the priority of one that is late: those still in time go first.
LATE_PRIORITY_OFFSET = 100
# Left of an objective for the way there and back, and for what the estimate of
# the first event misses: requests admitted to the last millisecond come late. On
# the emulator, six engines at 1.2 times the peak: 0.64 in time without, 0.75 with it.
LATENCY_MARGIN_MS = 130.0
DEFAULT_RETRY_S = 0.25
# Milliseconds before a replaced version's time ends at which nothing more is sent
# without a sidecar's estimate: a request begins with its first token, not when it is
# sent, and the first token takes most of an objective where an engine is busy.
WITHOUT_SIDECAR_MARGIN_MS = 900.0
# Milliseconds before that end at which a request that has not begun is dropped: the
# close takes some milliseconds to its target, more where a link is narrow, and the
# word of the newer version took as long to come here.
VERSION_END_MARGIN_MS = 100.0


# Ends a request's place; told what its target did with it.
ReleaseSlot = Callable[[SendOutcome], None]


class Urgency(NamedTuple):
    """How urgent a request is: until when, its rank, and whether it is late."""

    wait_ms: float
    priority: int
    late: bool


class AllocatedSlot(NamedTuple):
    """A target that a request may be sent to now; `version` 0 is any.

    Attributes
    ----------
    start_deadline_s : float or None
        When its first event must have come, on the loop's clock, since the
        version's time ends then.
    granted : bool
        Whether the target's sidecar granted it.
    """

    target: Target
    version: int
    release: ReleaseSlot
    start_deadline_s: float | None = None
    granted: bool = False


class Denials:
    """How the sidecars that one request asked denied it a place.

    Attributes
    ----------
    others : int
        How many denied it for another reason than their engine's own word. One that
        is at its limit or rests denies at once, and tells nothing of the others.
    full_s, limited_s : list of float
        When those that are full are likely to have a place, and those at their limit
        or at rest to let a request pass.
    """

    def __init__(self):
        self.counted = 0
        self.full_s: list[float] = []
        self.limited_s: list[float] = []

    def add_throttled(self, wait_s: float) -> None:
        """Take in that a target lets no request pass for a time, infinite for ever."""
        if wait_s < float("inf"):
            self.limited_s.append(wait_s)

    def add(self, reserved: messages.Reserved | None) -> None:
        """Take in an answer; None from a sidecar that gave none."""
        if reserved is not None and reserved.limited:
            self.limited_s.append(reserved.retry_ms / 1000)
            return
        self.counted += 1
        if reserved is not None and not reserved.closed:
            self.full_s.append(reserved.retry_ms / 1000)

    @property
    def retry_s(self) -> float:
        """When to come back.

        An engine at its limit takes the next few requests only, so that its time is
        told where no other engine names one.
        """
        return min(self.full_s or self.limited_s or (DEFAULT_RETRY_S,))


class SlotAllocator:
    """Places of all targets that an entry knows.

    Parameters
    ----------
    settings : DirectSettings
        Where the entry is.
    identity : Identity
        Who it is.
    registry : TargetRegistry
        The targets.
    follower : ControlFollower
        Weights in force.
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
        self.rate_permits = RatePermitClient(follower.open_links)
        self.surroundings = EntryLocation(
            settings.failure_domain, Regions(settings.failure_domain_regions)
        )
        self.random = random.Random(identity.node_id)

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
        """Find a place for a request, or say at once that there is none.

        `is_last` says that it can't be sent again if its target turns it away.
        """
        targets = [
            target
            for target in self.registry.candidates(service, now_s, is_last)
            if target.target_id not in tried
        ]
        if not targets:
            return self.refuse_without_target(service, tried, now_s, is_last)
        if engine is None:
            return await self.allocate_plain(targets, now_s, is_last)
        return await self.allocate_engine(admitted, engine, targets, now_s, is_last)

    def refuse_without_target(
        self, service: str, tried: set[str], now_s: float, is_last: bool
    ) -> Refusal:
        """Say that no target takes a request now, and when one may again."""
        wait_s = self.registry.throttled_s(service, now_s, is_last)
        if wait_s:
            return Refusal(RefusalKind.OVERLOADED, wait_s, "targets hold back")
        kind = RefusalKind.UNAVAILABLE if tried else RefusalKind.NOT_READY
        return Refusal(kind, DEFAULT_RETRY_S, "no target")

    def now_s(self) -> float:
        """Return the loop's clock."""
        return asyncio.get_running_loop().time()

    def occupy(
        self,
        target: Target,
        version: int,
        release: ReleaseSlot | None = None,
        start_deadline_s: float | None = None,
    ) -> AllocatedSlot:
        """Count a request at a target until it is released."""
        sent_s = self.now_s()
        target.record_sent(sent_s)

        def end_request(outcome: SendOutcome = SendOutcome.UNKNOWN) -> None:
            target.record_ended(sent_s, self.now_s(), outcome)
            if release is not None:
                release(outcome)

        granted = release is not None
        return AllocatedSlot(target, version, end_request, start_deadline_s, granted)

    # -- plain targets ---------------------------------------------------

    async def allocate_plain(
        self, targets: list[Target], now_s: float, is_last: bool
    ) -> AllocatedSlot | Refusal:
        """Take the least loaded plain target whose stated rate allows it."""
        order = rank_targets(
            targets, plain_load, self.surroundings, self.random.random, now_s
        )
        waits_s: list[float] = []
        for target in order:
            if target.outstanding >= target.slots:
                continue
            wait_s = await self.rate_permits.wait_s(target, now_s)
            # What the target said to others may have come meanwhile.
            wait_s = max(wait_s, target.wait_s(self.now_s(), is_last))
            if not wait_s:
                return self.occupy(target, 0)
            if wait_s < float("inf"):
                waits_s.append(wait_s)
        if waits_s:
            return Refusal(RefusalKind.OVERLOADED, min(waits_s), "targets hold back")
        return Refusal(RefusalKind.OVERLOADED, DEFAULT_RETRY_S, "targets full")

    def report_rate(self, target: Target, now_s: float) -> None:
        """Tell whoever holds a target's limit what it states now."""
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
        """Ask sidecars in turn for a place."""
        denials = Denials()
        for target in self.eligible_engines(targets, now_s):
            wait_s = max(
                self.rate_permits.full_s(target, now_s),
                target.wait_s(self.now_s(), is_last),
            )
            if wait_s:
                denials.add_throttled(wait_s)
                continue
            if denials.counted == MAX_SIDECARS_ASKED:
                break
            link = self.sidecars.link_to(target)
            if link is None:
                place = self.allocate_without_sidecar(target, engine)
                if place is not None:
                    return place
                denials.counted += 1
                continue
            reservation = self.make_reservation(admitted, engine, target, is_last)
            answer = await self.sidecars.reserve(link, target, reservation)
            if answer is not None and answer.granted:
                wait_s = target.wait_s(self.now_s(), is_last)
                if not wait_s:
                    return self.use_grant(
                        link, admitted.request, target, engine, answer
                    )
                # The engine's word to this instance came after its sidecar's.
                self.sidecars.release(link, admitted.request.request_id)
                denials.add_throttled(wait_s)
                continue
            denials.add(answer)
            if answer is not None and answer.limited:
                self.rate_permits.record_at_limit(target, answer.retry_ms / 1000, now_s)
        return Refusal(RefusalKind.OVERLOADED, denials.retry_s, "no place in time")

    def eligible_engines(self, targets: list[Target], now_s: float) -> list[Target]:
        """Return the engines whose sidecars may grant a place, the best one first."""
        eligible = (
            target
            for target in targets
            if self.sidecars.is_selected(target) and self.sidecars.is_available(target)
        )
        return rank_targets(
            eligible,
            lambda target: self.sidecars.load_of(target, now_s),
            self.surroundings,
            self.random.random,
            now_s,
        )

    def make_reservation(
        self, admitted: Admitted, engine: Engine, target: Target, is_last: bool
    ) -> messages.Reserve:
        """Make the question for a place, by the time that is left now.

        Load: a request that waited in vain at one engine is offered to the next.
        Harm prevented: with the time that it had at first it is admitted there, and
        comes late in a place that another would have used in time.
        """
        now_s = self.now_s()
        urgency = urgency_of(admitted, engine, now_s)
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
        )

    def use_grant(
        self,
        link: Link,
        request: CallerRequest,
        target: Target,
        engine: Engine,
        answer: messages.Reserved,
    ) -> AllocatedSlot | Refusal:
        """Use a granted place, if its version of the weights still may serve."""

        def release(outcome: SendOutcome = SendOutcome.UNKNOWN) -> None:
            cooling_down = target.cooldown.wait_s(self.now_s()) > 0
            self.sidecars.release(link, request.request_id, outcome, cooling_down)

        left_ms = self.version_left_ms(engine.model, answer.version)
        if left_ms is None:
            return self.occupy(target, answer.version, release)
        if left_ms <= VERSION_END_MARGIN_MS:
            release()
            return Refusal(RefusalKind.UNAVAILABLE, DEFAULT_RETRY_S, "old weights")
        now_s = self.now_s()
        start_deadline_s = now_s + (left_ms - VERSION_END_MARGIN_MS) / 1000
        return self.occupy(target, answer.version, release, start_deadline_s)

    def allocate_without_sidecar(
        self, target: Target, engine: Engine
    ) -> AllocatedSlot | None:
        """Use an engine without its sidecar, for few requests at once."""
        version = target.state.version
        if target.outstanding >= MAX_WITHOUT_SIDECAR or not version:
            return None
        left_ms = self.version_left_ms(engine.model, version)
        if left_ms is not None and left_ms <= WITHOUT_SIDECAR_MARGIN_MS:
            return None
        now_s = self.now_s()
        if target.rate.per_s is not None and self.rate_permits.local_wait_s(
            target, now_s
        ):
            return None
        return self.occupy(target, version)

    def version_left_ms(self, model: str, version: int) -> float | None:
        """Return how long requests may begin on a version; None without an end."""
        replaced_s = self.follower.versions.replaced_at(model, version)
        if replaced_s is None:
            return None
        return self.settings.old_version_ms - (steady_s() - replaced_s) * 1000


def plain_load(target: Target) -> Load:
    """Return a plain target's load: what this entry has there."""
    return Load(target.outstanding, target.slots)


def urgency_of(admitted: Admitted, engine: Engine, now_s: float) -> Urgency:
    """Return how long the first event may take, and the rank of a request.

    Load: callers that were refused come back, while new ones come too. One
    whose objective has passed gains little by going first, and each new one
    that it delays loses much; so it waits behind those that can be in time.
    """
    request, priority = admitted.request, admitted.priority
    waited_ms = (now_s - request.arrived_s) * 1000
    left_ms = admitted.route.latency_ms - waited_ms - LATENCY_MARGIN_MS
    if left_ms > 0 and not admitted.returned:
        return Urgency(left_ms, priority, False)
    run_ms = DECODE_TIME_FACTOR * request.answer_tokens * engine.step_ms
    rest_ms = request.max_wait_s * 1000 - waited_ms - LATENCY_MARGIN_MS - run_ms
    return Urgency(
        max(MIN_LATE_WAIT_MS, rest_ms), priority + LATE_PRIORITY_OFFSET, True
    )
