"""Targets as one entry knows them: announced, and seen by its own sends. Pure."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriapulley.control.targets import includes, is_newer, merge
from wisteriapulley.policy.advertised_rate import RateTracker
from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.policy.response_signals import CooldownTracker, ResponseSignals
from wisteriapulley.wire.messages import TargetBeat, TargetState

# Silence after which a target counts as gone, while others are still heard of.
HEARTBEAT_TIMEOUT_S = 5.0
# Without any news for so long the control instances are away, not the targets.
UPDATE_TIMEOUT_S = 2.5
# A target that said that it leaves is known for so long after it was heard last: late
# news must not bring it back.
LEAVING_RETENTION_S = 600.0
# A target that could not be reached is left alone for so long, then doubled.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Failures of a target against those of its peers: one that fails on its own more
# often than this is set aside for a while, at most a third of a service at once.
EJECTION_FAILURE_RATE = 0.35
MIN_EJECTION_SAMPLES = 4
EJECTION_S = 3.0
MAX_EJECTED_FRACTION = 0.34
FAILURE_RATE_GAIN = 0.25


class SignalChanges(NamedTuple):
    """What the statements of one answer changed.

    Attributes
    ----------
    rate : bool
        Whether a rate is stated, or none any more: whoever holds it is to know.
    rest : bool
        Whether a rest begins.
    leaving : bool
        Whether it is the first word that the target leaves.
    """

    rate: bool
    cooldown: bool
    leaving: bool


class Target:
    """One incarnation of a target.

    Attributes
    ----------
    state : TargetState
        As announced.
    host : str
        Its address without the port.
    outstanding : int
        Requests of this entry that it holds.
    slots : int
        Requests that it runs at once, as far as known.
    rate : KnownRate
        Requests a second that it takes, where its answers say so.
    rest : KnownRest
        Time for which it wants nothing from this instance.
    said_leaving : bool
        Whether its answers said that it is about to end. That holds until it ends.
    """

    def __init__(self, state: TargetState, seen_s: float):
        self.state = state
        self.host = host_of(state.address)
        self.last_seen_s = seen_s
        self.first_seen_s = seen_s
        self.cold_until_s = 0.0
        self.outstanding = 0
        self.slots = max(1, state.slots)
        self.unreachable_until_s = 0.0
        self.backoff_s = INITIAL_BACKOFF_S
        self.failure_rate = 0.0
        self.samples = 0
        self.ejected_until_s = 0.0
        self.replaced = False
        self.rate = RateTracker()
        self.cooldown = CooldownTracker()
        self.announced_leaving = False
        self.breaker = CircuitBreaker()

    @property
    def target_id(self) -> str:
        """The incarnation."""
        return self.state.target_id

    @property
    def incarnation(self) -> str:
        """Name of this start: a target may start again under its id."""
        return f"{self.state.target_id}/{self.state.started_ms}"

    @property
    def address(self) -> str:
        """Host and port."""
        return self.state.address

    @property
    def failure_domain(self) -> str:
        """Where it is."""
        return self.state.failure_domain

    def update(self, state: TargetState, seen_s: float) -> None:
        """Take news in."""
        self.last_seen_s = max(self.last_seen_s, seen_s)
        self.state = state
        self.host = host_of(state.address)
        self.slots = max(1, state.slots)
        self.cold_until_s = seen_s + state.cold_ms / 1000

    def record_sent(self, now_s: float) -> None:
        """Note that a request goes here."""
        self.outstanding += 1
        self.breaker.record_sent(now_s)

    def record_ended(self, sent_s: float, now_s: float, outcome: SendOutcome) -> None:
        """Note that a request is here no more, and what became of it."""
        self.outstanding -= 1
        self.breaker.record_outcome(
            outcome, sent_s, now_s, self.cooldown.wait_s(now_s) > 0
        )

    def record_unreachable(self, now_s: float) -> None:
        """Note that it could not be reached."""
        self.unreachable_until_s = now_s + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)

    def record_outcome(self, failed: bool) -> None:
        """Take in how a request ended here."""
        self.samples += 1
        self.failure_rate += FAILURE_RATE_GAIN * (failed - self.failure_rate)
        if not failed:
            self.backoff_s = INITIAL_BACKOFF_S

    def record_signals(
        self, signals: ResponseSignals, sent_s: float, now_s: float
    ) -> SignalChanges:
        """Take in what an answer of this very incarnation says of it.

        Parameters
        ----------
        says : Statements
            The answer's word.
        sent_s : float
            When its request was sent.
        now_s : float
            The loop's clock.
        """
        if signals.load is not None and signals.load.slots:
            self.slots = signals.load.slots
        leaving = signals.leaving and not self.announced_leaving
        self.announced_leaving |= signals.leaving
        return SignalChanges(
            self.rate.observe(signals.rate, sent_s, now_s),
            self.cooldown.observe(signals.cooldown, now_s),
            leaving,
        )

    @property
    def is_leaving(self) -> bool:
        """Whether it, or control instances, said that it ends as planned."""
        return self.announced_leaving or self.state.leaving or self.state.gone

    @property
    def is_retired(self) -> bool:
        """Whether it never takes a request again."""
        return self.is_leaving or self.replaced

    def wait_s(self, now_s: float, is_last: bool = False) -> float:
        """Return how long until a request may be sent here; 0 for now.

        Parameters
        ----------
        now_s : float
            The loop's clock.
        is_last : bool
            Whether the request can't be sent again if it is turned away.
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
        """Return how long it wants no requests, or none may be tried; 0 for now."""
        return max(self.cooldown.wait_s(now_s), self.breaker.wait_s(now_s, is_last))


class TargetRegistry:
    """All targets that an entry knows."""

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.by_address: dict[str, str] = {}
        self.last_update_s = 0.0

    def update(self, states: Iterable[TargetState], now_s: float) -> None:
        """Take news of control instances in."""
        for state in states:
            self.last_update_s = now_s
            self.update_target(state, now_s - state.age_ms / 1000)

    def record_heartbeats(
        self, heartbeats: Iterable[TargetBeat], now_s: float
    ) -> list[str]:
        """Take in that targets were heard again.

        Parameters
        ----------
        beats : iterable of TargetBeat
            From one control instance.
        now_s : float
            The loop's clock.

        Returns
        -------
        list of str
            Targets of which news were missed.
        """
        self.last_update_s = now_s
        missed: list[str] = []
        for beat in heartbeats:
            known = self.targets.get(beat.target_id)
            if known is not None and includes(known.state, beat):
                known.last_seen_s = max(known.last_seen_s, now_s - beat.age_ms / 1000)
            elif known is not None or not beat.gone:
                missed.append(beat.target_id)
        return missed

    def update_target(self, state: TargetState, seen_s: float) -> None:
        """Take news of one target in, unless newer ones are known."""
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
        """Give up the address of a target that is no more, or starts again.

        One that starts again is judged anew: what it held, owed and failed at
        belongs to its earlier start.
        """
        if self.by_address.get(target.address) == target.target_id:
            del self.by_address[target.address]

    def assign_address(self, target: Target) -> None:
        """Give an address to the target that was first heard of last.

        A late announcement of an earlier incarnation must not take the address
        back: it is older than the one that holds it.
        """
        holder = self.targets.get(self.by_address.get(target.address, ""))
        if holder is not None and holder is not target:
            if holder.state.gone or holder.first_seen_s <= target.first_seen_s:
                holder.replaced = True
            else:
                target.replaced = True
                return
        self.by_address[target.address] = target.target_id

    def record_other_instance(self, target: Target, now_s: float) -> None:
        """Note that another incarnation answered at a target's address."""
        target.record_unreachable(now_s)

    def of_service(self, service: str) -> Iterator[Target]:
        """Yield all targets of a service."""
        return (t for t in self.targets.values() if t.state.service == service)

    def candidates(
        self, service: str, now_s: float, is_last: bool = False
    ) -> list[Target]:
        """Return the targets of a service that take requests now.

        Parameters
        ----------
        service : str
            The service.
        now_s : float
            The loop's clock.
        is_last : bool
            Whether the request can't be sent again if it is turned away.
        """
        heard_s = self.liveness_cutoff_s(now_s)
        return [
            target
            for target in self.of_service(service)
            if target.last_seen_s > heard_s and not target.wait_s(now_s, is_last)
        ]

    def liveness_cutoff_s(self, now_s: float) -> float:
        """Return since when a target must have been heard to count as alive."""
        return (
            now_s - HEARTBEAT_TIMEOUT_S
            if now_s - self.last_update_s < UPDATE_TIMEOUT_S
            else float("-inf")
        )

    def throttled_s(self, service: str, now_s: float, is_last: bool = False) -> float:
        """Return how long until a service whose targets hold back has one that not.

        0 where one takes requests now, or none holds back: those that are away may
        be back any time.
        """
        heard_s = self.liveness_cutoff_s(now_s)
        alive = [t for t in self.of_service(service) if t.last_seen_s > heard_s]
        if not any(target.throttled_s(now_s, is_last) for target in alive):
            return 0.0
        wait_s = min(target.wait_s(now_s, is_last) for target in alive)
        return wait_s if wait_s < float("inf") else 0.0

    def record_outcome(self, target: Target, failed: bool, now_s: float) -> None:
        """Take in how a request ended; set a target aside that fails alone."""
        target.record_outcome(failed)
        if not failed or target.samples < MIN_EJECTION_SAMPLES:
            return
        peers = [t for t in self.of_service(target.state.service) if t is not target]
        if not peers or target.failure_rate < EJECTION_FAILURE_RATE:
            return
        others = sum(t.failure_rate for t in peers) / len(peers)
        aside = sum(now_s < t.ejected_until_s for t in peers)
        if target.failure_rate < 2 * others or aside + 1 > max(
            1, MAX_EJECTED_FRACTION * (len(peers) + 1)
        ):
            return
        target.ejected_until_s = now_s + EJECTION_S
        target.samples = 0
        target.failure_rate = 0.0

    def retention_s(self, target: Target) -> float:
        """Return how long a target is known that is not heard any more."""
        return (
            LEAVING_RETENTION_S if target.announced_leaving else 4 * HEARTBEAT_TIMEOUT_S
        )

    def sweep(self, now_s: float) -> list[Target]:
        """Forget targets that ended long ago; return them."""
        dropped = [
            target
            for target in self.targets.values()
            if now_s - target.last_seen_s > self.retention_s(target)
            and now_s - self.last_update_s < UPDATE_TIMEOUT_S
            and not target.outstanding
            # It may be heard again, and then is still owed its rest.
            and not target.cooldown.wait_s(now_s)
        ]
        for target in dropped:
            del self.targets[target.target_id]
            self.release_address(target)
        return dropped


def host_of(address: str) -> str:
    """Return an address without its port."""
    return address.rpartition(":")[0]
