"""Target state as seen by one process, from updates and its own requests. No I/O."""

from collections.abc import Iterable, Iterator
from math import inf
from typing import NamedTuple

from wisteriapulley.control.targets import includes, is_newer, merge
from wisteriapulley.policy.advertised_rate import RateTracker
from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.policy.response_signals import CooldownTracker, ResponseSignals
from wisteriapulley.policy.stated_load import LoadTracker
from wisteriapulley.policy.target_speed import TargetSpeed
from wisteriapulley.regions import Regions
from wisteriapulley.wire.messages import TargetBeat, TargetState

# A target without a heartbeat for this long counts as gone, as long as updates about
# other targets still arrive.
HEARTBEAT_TIMEOUT_S = 5.0
# Without any update for this long, the control instances are taken to be unreachable
# rather than the targets gone.
UPDATE_TIMEOUT_S = 2.5
# A target that announced that it is leaving is kept for this long after its last
# heartbeat, so that a delayed update can't bring it back.
LEAVING_RETENTION_S = 600.0
# Backoff of a target that could not be reached; it doubles with each failure.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Outlier ejection: a target whose failure rate is above this, and well above that of
# its peers, is ejected for a while; at most a third of a service at a time.
EJECTION_FAILURE_RATE = 0.35
MIN_EJECTION_SAMPLES = 4
EJECTION_S = 3.0
MAX_EJECTED_FRACTION = 0.34
# Weight of a new sample in the moving average of a failure rate.
FAILURE_RATE_GAIN = 0.25


# Regions that may serve a request; empty for all.
Homes = tuple[str, ...]


class SignalChanges(NamedTuple):
    """What the signals in one response changed.

    Attributes
    ----------
    rate : bool
        Whether a rate was advertised or withdrawn, so that the rate owner has to be
        notified.
    cooldown : bool
        Whether a cool-down started.
    leaving : bool
        Whether the target announced for the first time that it is leaving.
    cold : bool
        Whether the target stated that it is cold while it was taken for warm.
    """

    rate: bool
    cooldown: bool
    leaving: bool
    cold: bool = False


class Target:
    """One incarnation of a target.

    Attributes
    ----------
    state : TargetState
        Last announced state.
    host : str
        Its address without the port.
    last_seen_s, first_seen_s : float
        When its last and its first heartbeat was sent, on the loop's clock.
    cold_until_s : float
        Until when it is cold, by its latest statement.
    cold_stated_s : float
        When it stated that.
    outstanding : int
        In-flight requests of this entry at the target.
    slots : int
        Requests that it runs concurrently, as last reported.
    unreachable_until_s : float
        When the backoff after a failed connection ends.
    failure_rate : float
        Moving average of failed requests, from 0 to 1.
    ejected_until_s : float
        When its outlier ejection ends.
    ejected_as_silent : bool
        Whether a silence led to that ejection, rather than a failure.
    replaced : bool
        Whether another target has its address now.
    rate : RateTracker
        Requests per second that its responses advertise.
    cooldown : CooldownTracker
        Cool-down that its responses request from this instance.
    announced_leaving : bool
        Whether a response announced that the target is about to exit. Once set, it
        holds for the rest of the incarnation.
    breaker : CircuitBreaker
        Circuit breaker for rejected requests.
    load : LoadTracker
        Load that its responses state.
    speed : TargetSpeed
        Estimate of its speed, from its responses.
    """

    def __init__(self, state: TargetState, seen_s: float):
        self.state = state
        self.host = host_of(state.address)
        self.last_seen_s = seen_s
        self.first_seen_s = seen_s
        self.cold_until_s = seen_s + state.cold_ms / 1000
        self.cold_stated_s = seen_s
        self.outstanding = 0
        self.slots = max(1, state.slots)
        self.unreachable_until_s = 0.0
        self.backoff_s = INITIAL_BACKOFF_S
        self.failure_rate = 0.0
        self.samples = 0
        self.ejected_until_s = 0.0
        self.ejected_as_silent = False
        self.replaced = False
        self.rate = RateTracker()
        self.cooldown = CooldownTracker()
        self.announced_leaving = False
        self.breaker = CircuitBreaker()
        self.load = LoadTracker()
        self.speed = TargetSpeed()

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.state.target_id

    @property
    def incarnation(self) -> str:
        """Target id and start time, since a target may restart under the same id."""
        return f"{self.state.target_id}/{self.state.started_ms}"

    @property
    def address(self) -> str:
        """Host and port."""
        return self.state.address

    @property
    def failure_domain(self) -> str:
        """Failure domain of the target."""
        return self.state.failure_domain

    def update(self, state: TargetState, seen_s: float) -> None:
        """Apply a newer announced state."""
        self.last_seen_s = max(self.last_seen_s, seen_s)
        self.state = state
        self.host = host_of(state.address)
        self.slots = max(1, state.slots)
        self.record_cold(state.cold_ms / 1000, seen_s)

    def record_cold(self, remaining_s: float, stated_s: float) -> bool:
        """Record how long it states to stay cold; return whether it turned cold."""
        if stated_s < self.cold_stated_s:
            return False
        was_cold = stated_s < self.cold_until_s
        self.cold_until_s, self.cold_stated_s = stated_s + remaining_s, stated_s
        return remaining_s > 0 and not was_cold

    def cold_left_s(self, now_s: float) -> float:
        """Return how much longer it is cold, as far as is known; 0 if it is warm."""
        return max(0.0, self.cold_until_s - now_s)

    def record_sent(self, now_s: float) -> None:
        """Record that a request is sent here."""
        self.outstanding += 1
        self.breaker.record_sent(now_s)

    def record_ended(self, sent_s: float, now_s: float, outcome: SendOutcome) -> None:
        """Record that a request is no longer in flight here, and its outcome."""
        self.outstanding -= 1
        self.breaker.record_outcome(
            outcome, sent_s, now_s, self.cooldown.wait_s(now_s) > 0
        )

    def record_unreachable(self, now_s: float) -> None:
        """Record a failed connection and start a backoff."""
        self.unreachable_until_s = now_s + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)

    def record_outcome(self, failed: bool) -> None:
        """Update the failure rate with the result of a request."""
        self.samples += 1
        self.failure_rate += FAILURE_RATE_GAIN * (failed - self.failure_rate)
        if not failed:
            self.backoff_s = INITIAL_BACKOFF_S

    def record_signals(
        self, signals: ResponseSignals, sent_s: float, now_s: float
    ) -> SignalChanges:
        """Record the signals in a response of this incarnation.

        Parameters
        ----------
        signals : ResponseSignals
            Signals in the response.
        sent_s : float
            When the request was sent.
        now_s : float
            The loop's clock.

        Returns
        -------
        SignalChanges
            What changed.
        """
        if signals.load is not None:
            self.slots = signals.load.slots or self.slots
            self.speed.observe_stated(signals.load.pace, now_s)
        self.load.observe(signals, self.outstanding, now_s)
        leaving = signals.leaving and not self.announced_leaving
        self.announced_leaving |= signals.leaving
        return SignalChanges(
            self.rate.observe(signals.rate, sent_s, now_s),
            self.cooldown.observe(signals.cooldown, now_s),
            leaving,
            signals.cold_s is not None and self.record_cold(signals.cold_s, now_s),
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it announced a planned exit, or control instances did."""
        return self.announced_leaving or self.state.leaving or self.state.gone

    @property
    def is_retired(self) -> bool:
        """Whether it will never accept a request again."""
        return self.is_leaving or self.replaced

    def wait_s(self, now_s: float, is_last: bool = False) -> float:
        """Return how long until a request may be sent here; 0 for now.

        Parameters
        ----------
        now_s : float
            The loop's clock.
        is_last : bool
            Whether the request can't be sent again if it is rejected.
        """
        state = self.state
        if state.leaving or state.gone or self.replaced or self.announced_leaving:
            return float("inf")
        until_s = max(
            self.unreachable_until_s, self.ejected_until_s, self.cooldown.until_s
        )
        wait_s = until_s - now_s if until_s > now_s else 0.0
        if self.breaker.probe_limit:
            return max(wait_s, self.breaker.wait_s(now_s, is_last))
        return wait_s

    def throttled_s(self, now_s: float, is_last: bool = False) -> float:
        """Return the time left of its cool-down or open circuit breaker; 0 for none."""
        return max(self.cooldown.wait_s(now_s), self.breaker.wait_s(now_s, is_last))


class TargetRegistry:
    """Targets known to one process.

    Parameters
    ----------
    regions : Regions, optional
        Region of each failure domain; needed only if requests have home regions.

    Attributes
    ----------
    targets : dict of str to Target
        Targets by id.
    by_address : dict of str to str
        Id of the target that has an address now.
    last_update_s : float
        When control instances last sent an update, on the loop's clock.
    evacuated : frozenset of str
        Failure domains whose targets get no requests.
    """

    def __init__(self, regions: Regions | None = None):
        self.regions = regions or Regions({})
        self.targets: dict[str, Target] = {}
        self.by_address: dict[str, str] = {}
        self.last_update_s = 0.0
        self.evacuated: frozenset[str] = frozenset()

    def update(self, states: Iterable[TargetState], now_s: float) -> list[Target]:
        """Apply target states received from control instances.

        Return the targets that turned out to be leaving or gone.
        """
        left: list[Target] = []
        for state in states:
            self.last_update_s = now_s
            known = self.targets.get(state.target_id)
            before = known is not None and (known.state.leaving, known.state.gone)
            self.update_target(state, now_s - state.age_ms / 1000)
            target = self.targets[state.target_id]
            after = (target.state.leaving, target.state.gone)
            if any(after) and after != before:
                left.append(target)
        return left

    def record_heartbeats(
        self, heartbeats: Iterable[TargetBeat], now_s: float
    ) -> list[str]:
        """Record heartbeats of targets.

        Parameters
        ----------
        heartbeats : iterable of TargetBeat
            Received from one control instance.
        now_s : float
            The loop's clock.

        Returns
        -------
        list of str
            Ids of targets whose state here is missing or stale.
        """
        self.last_update_s = now_s
        stale: list[str] = []
        for heartbeat in heartbeats:
            known = self.targets.get(heartbeat.target_id)
            if known is not None and includes(known.state, heartbeat):
                known.last_seen_s = max(
                    known.last_seen_s, now_s - heartbeat.age_ms / 1000
                )
            elif known is not None or not heartbeat.gone:
                stale.append(heartbeat.target_id)
        return stale

    def update_target(self, state: TargetState, seen_s: float) -> None:
        """Apply the state of one target, unless a newer one is known."""
        known = self.targets.get(state.target_id)
        if known is not None:
            if not is_newer(state, known.state):
                return
            state = merge(state, known.state)
            if state.started_ms == known.state.started_ms:
                known.update(state, seen_s)
                return
            self.release_address(known)
        target = Target(state, seen_s)
        self.targets[state.target_id] = target
        self.assign_address(target)

    def release_address(self, target: Target) -> None:
        """Release the address of a target that is gone or has restarted.

        A restarted target begins with fresh state: in-flight requests, cool-downs and
        failures belong to its earlier incarnation.
        """
        if self.by_address.get(target.address) == target.target_id:
            del self.by_address[target.address]

    def assign_address(self, target: Target) -> None:
        """Assign an address to the target whose first heartbeat is the newest.

        A delayed announcement of an earlier incarnation must not take the address
        back from its successor.
        """
        owner = self.targets.get(self.by_address.get(target.address, ""))
        if owner is not None and owner is not target:
            if owner.state.gone or owner.first_seen_s <= target.first_seen_s:
                owner.replaced = True
            else:
                target.replaced = True
                return
        self.by_address[target.address] = target.target_id

    def record_other_instance(self, target: Target, now_s: float) -> None:
        """Record that another instance responded at a target's address."""
        target.record_unreachable(now_s)

    def of_service(self, service: str, homes: Homes = ()) -> Iterator[Target]:
        """Iterate over all targets of a service, or those in the home regions."""
        targets = (t for t in self.targets.values() if t.state.service == service)
        if not homes:
            return targets
        return (t for t in targets if self.regions.of(t.failure_domain) in homes)

    def is_evacuated(self, target: Target) -> bool:
        """Return whether a target is in an evacuated failure domain."""
        return target.failure_domain in self.evacuated

    def usable_of(self, service: str, homes: Homes = ()) -> Iterator[Target]:
        """Iterate over the targets of a service that are not evacuated."""
        targets = self.of_service(service, homes)
        return (target for target in targets if not self.is_evacuated(target))

    def wait_s(self, target: Target, now_s: float, is_last: bool = False) -> float:
        """Return how long until a request may be sent to a target; 0 for now.

        It is asked again after each wait for a slot or a permit, since the target
        may have been evacuated meanwhile; see `Target.wait_s`.
        """
        if self.is_evacuated(target):
            return float("inf")
        return target.wait_s(now_s, is_last)

    def candidates(
        self,
        service: str,
        now_s: float,
        is_last: bool = False,
        homes: Homes = (),
    ) -> list[Target]:
        """Return the targets of a service that accept requests now.

        Parameters
        ----------
        service : str
            The service.
        now_s : float
            The loop's clock.
        is_last : bool
            Whether the request can't be sent again if it is rejected.
        homes : tuple of str
            Regions that may serve the request; empty for all.
        """
        cutoff_s = self.liveness_cutoff_s(now_s)
        return [
            target
            for target in self.usable_of(service, homes)
            if target.last_seen_s > cutoff_s and not target.wait_s(now_s, is_last)
        ]

    def liveness_cutoff_s(self, now_s: float) -> float:
        """Return the time after which a live target must have been last seen."""
        return (
            now_s - HEARTBEAT_TIMEOUT_S
            if now_s - self.last_update_s < UPDATE_TIMEOUT_S
            else float("-inf")
        )

    def alive(self, service: str, now_s: float, homes: Homes = ()) -> list[Target]:
        """Return the targets of a service whose heartbeats arrive."""
        cutoff_s = self.liveness_cutoff_s(now_s)
        targets = self.usable_of(service, homes)
        return [target for target in targets if target.last_seen_s > cutoff_s]

    def throttled_s(
        self,
        service: str,
        now_s: float,
        is_last: bool = False,
        homes: Homes = (),
    ) -> float:
        """Return how long until a service with throttled targets accepts a request.

        The result is 0 if a target accepts requests now, or if none is throttled:
        unreachable targets may return at any time. With `homes`, only the targets in
        these regions count.
        """
        alive = self.alive(service, now_s, homes)
        if not any(target.throttled_s(now_s, is_last) for target in alive):
            return 0.0
        wait_s = min(target.wait_s(now_s, is_last) for target in alive)
        return wait_s if wait_s < float("inf") else 0.0

    def return_s(
        self, service: str, now_s: float, is_last: bool, homes: Homes
    ) -> float | None:
        """Return how long until a target in the homes may accept a request.

        None if no target there is known to come back.
        """
        waits_s = (t.wait_s(now_s, is_last) for t in self.alive(service, now_s, homes))
        return min((wait_s for wait_s in waits_s if 0 < wait_s < inf), default=None)

    def record_outcome(self, target: Target, failed: bool, now_s: float) -> None:
        """Record the result of a request; eject a target that is an outlier.

        An ejected target gets no requests. Those that fail there meanwhile were sent
        before, and tell nothing new.
        """
        if failed and now_s < target.ejected_until_s:
            return
        target.record_outcome(failed)
        if not failed or target.samples < MIN_EJECTION_SAMPLES:
            return
        peers = [t for t in self.usable_of(target.state.service) if t is not target]
        if not peers or target.failure_rate < EJECTION_FAILURE_RATE:
            return
        peer_failure_rate = sum(t.failure_rate for t in peers) / len(peers)
        ejected = sum(now_s < t.ejected_until_s for t in peers)
        if target.failure_rate < 2 * peer_failure_rate or ejected + 1 > max(
            1, MAX_EJECTED_FRACTION * (len(peers) + 1)
        ):
            return
        target.ejected_until_s = now_s + EJECTION_S
        target.ejected_as_silent = False
        target.samples = 0
        target.failure_rate = 0.0

    def record_silence(self, target: Target, now_s: float) -> None:
        """Record a failure of a target that was left because it was silent."""
        if now_s < target.ejected_until_s:
            return
        self.record_outcome(target, True, now_s)
        target.ejected_as_silent = now_s < target.ejected_until_s

    def record_resumed(self, target: Target, now_s: float) -> None:
        """Record that a silent target went on; end an ejection for its silence."""
        if target.ejected_as_silent:
            target.ejected_until_s = min(target.ejected_until_s, now_s)

    def retention_s(self, target: Target) -> float:
        """Return how long a target without heartbeats is kept."""
        return (
            LEAVING_RETENTION_S if target.announced_leaving else 4 * HEARTBEAT_TIMEOUT_S
        )

    def sweep(self, now_s: float) -> list[Target]:
        """Remove targets without recent heartbeats and return them."""
        dropped = [
            target
            for target in self.targets.values()
            if now_s - target.last_seen_s > self.retention_s(target)
            and now_s - self.last_update_s < UPDATE_TIMEOUT_S
            and not target.outstanding
            # It may return, and its requested cool-down still applies then.
            and not target.cooldown.wait_s(now_s)
        ]
        for target in dropped:
            del self.targets[target.target_id]
            self.release_address(target)
        return dropped


def host_of(address: str) -> str:
    """Return the host of an address."""
    return address.rpartition(":")[0]
