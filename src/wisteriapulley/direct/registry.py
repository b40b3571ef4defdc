"""Targets as one entry knows them: announced, and seen by its own sends. Pure."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from wisteriapulley.control.targets import includes, is_newer, merge
from wisteriapulley.policy.advertised_rate import RateTracker
from wisteriapulley.policy.circuit_breaker import CircuitBreaker, SendOutcome
from wisteriapulley.policy.response_signals import CooldownTracker, ResponseSignals
from wisteriapulley.wire.messages import TargetBeat, TargetState

# Silence after which a target counts as gone, while others are still heard of.
SILENCE_S = 5.0
# Without any news for so long the control instances are away, not the targets.
NEWS_S = 2.5
# A target that said that it leaves is known for so long after it was heard last: late
# news must not bring it back.
LEAVING_KEPT_S = 600.0
# A target that could not be reached is left alone for so long, then doubled.
DOWN_FIRST_S = 0.5
DOWN_MOST_S = 4.0
# Failures of a target against those of its peers: one that fails on its own more
# often than this is set aside for a while, at most a third of a service at once.
FAILED_SHARE = 0.35
LEAST_SAMPLES = 4
ASIDE_S = 3.0
ASIDE_MOST_SHARE = 0.34
GAIN = 0.25


class Heard(NamedTuple):
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
    rest: bool
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

    def __init__(self, state: TargetState, heard_s: float):
        self.state = state
        self.host = host_of(state.address)
        self.heard_s = heard_s
        self.first_heard_s = heard_s
        self.cold_until_s = 0.0
        self.outstanding = 0
        self.slots = max(1, state.slots)
        self.down_until_s = 0.0
        self.down_s = DOWN_FIRST_S
        self.failed = 0.0
        self.samples = 0
        self.aside_until_s = 0.0
        self.replaced = False
        self.rate = RateTracker()
        self.rest = CooldownTracker()
        self.said_leaving = False
        self.breaker = CircuitBreaker()

    @property
    def target_id(self) -> str:
        """The incarnation."""
        return self.state.target_id

    @property
    def start(self) -> str:
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

    def take(self, state: TargetState, heard_s: float) -> None:
        """Take news in."""
        self.heard_s = max(self.heard_s, heard_s)
        self.state = state
        self.host = host_of(state.address)
        self.slots = max(1, state.slots)
        self.cold_until_s = heard_s + state.cold_ms / 1000

    def sent(self, now_s: float) -> None:
        """Note that a request goes here."""
        self.outstanding += 1
        self.breaker.record_sent(now_s)

    def ended(self, sent_s: float, now_s: float, outcome: SendOutcome) -> None:
        """Note that a request is here no more, and what became of it."""
        self.outstanding -= 1
        self.breaker.record_outcome(outcome, sent_s, now_s, self.rest.wait_s(now_s) > 0)

    def unreachable(self, now_s: float) -> None:
        """Note that it could not be reached."""
        self.down_until_s = now_s + self.down_s
        self.down_s = min(DOWN_MOST_S, self.down_s * 2)

    def judged(self, failed: bool) -> None:
        """Take in how a request ended here."""
        self.samples += 1
        self.failed += GAIN * (failed - self.failed)
        if not failed:
            self.down_s = DOWN_FIRST_S

    def hear(self, says: ResponseSignals, sent_s: float, now_s: float) -> Heard:
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
        if says.load is not None and says.load.slots:
            self.slots = says.load.slots
        leaving = says.leaving and not self.said_leaving
        self.said_leaving |= says.leaving
        return Heard(
            self.rate.observe(says.rate, sent_s, now_s),
            self.rest.observe(says.cooldown, now_s),
            leaving,
        )

    @property
    def leaves(self) -> bool:
        """Whether it, or control instances, said that it ends as planned."""
        return self.said_leaving or self.state.leaving or self.state.gone

    @property
    def ends(self) -> bool:
        """Whether it never takes a request again."""
        return self.leaves or self.replaced

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
        if state.leaving or state.gone or self.replaced or self.said_leaving:
            return float("inf")
        until_s = max(self.down_until_s, self.aside_until_s, self.rest.until_s)
        wait_s = until_s - now_s if until_s > now_s else 0.0
        if self.breaker.probe_limit:
            return max(wait_s, self.breaker.wait_s(now_s, is_last))
        return wait_s

    def holds_back_s(self, now_s: float, is_last: bool = False) -> float:
        """Return how long it wants no requests, or none may be tried; 0 for now."""
        return max(self.rest.wait_s(now_s), self.breaker.wait_s(now_s, is_last))


class TargetRegistry:
    """All targets that an entry knows."""

    def __init__(self):
        self.targets: dict[str, Target] = {}
        self.by_address: dict[str, str] = {}
        self.news_s = 0.0

    def take(self, states: Iterable[TargetState], now_s: float) -> None:
        """Take news of control instances in."""
        for state in states:
            self.news_s = now_s
            self.take_one(state, now_s - state.age_ms / 1000)

    def take_beats(self, beats: Iterable[TargetBeat], now_s: float) -> list[str]:
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
        self.news_s = now_s
        missed: list[str] = []
        for beat in beats:
            known = self.targets.get(beat.target_id)
            if known is not None and includes(known.state, beat):
                known.heard_s = max(known.heard_s, now_s - beat.age_ms / 1000)
            elif known is not None or not beat.gone:
                missed.append(beat.target_id)
        return missed

    def take_one(self, state: TargetState, heard_s: float) -> None:
        """Take news of one target in, unless newer ones are known."""
        known = self.targets.get(state.target_id)
        if known is not None:
            if not is_newer(state, known.state):
                return
            state = merge(state, known.state)
            if state.started_ms == known.state.started_ms:
                known.take(state, heard_s)
                return
            self.forget_address(known)
        target = Target(state, heard_s)
        self.targets[state.target_id] = target
        self.place(target)

    def forget_address(self, target: Target) -> None:
        """Give up the address of a target that is no more, or starts again.

        One that starts again is judged anew: what it held, owed and failed at
        belongs to its earlier start.
        """
        if self.by_address.get(target.address) == target.target_id:
            del self.by_address[target.address]

    def place(self, target: Target) -> None:
        """Give an address to the target that was first heard of last.

        A late announcement of an earlier incarnation must not take the address
        back: it is older than the one that holds it.
        """
        holder = self.targets.get(self.by_address.get(target.address, ""))
        if holder is not None and holder is not target:
            if holder.state.gone or holder.first_heard_s <= target.first_heard_s:
                holder.replaced = True
            else:
                target.replaced = True
                return
        self.by_address[target.address] = target.target_id

    def other_at(self, target: Target, now_s: float) -> None:
        """Note that another incarnation answered at a target's address."""
        target.unreachable(now_s)

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
        heard_s = self.heard_since_s(now_s)
        return [
            target
            for target in self.of_service(service)
            if target.heard_s > heard_s and not target.wait_s(now_s, is_last)
        ]

    def heard_since_s(self, now_s: float) -> float:
        """Return since when a target must have been heard to count as alive."""
        return now_s - SILENCE_S if now_s - self.news_s < NEWS_S else float("-inf")

    def holds_back_s(self, service: str, now_s: float, is_last: bool = False) -> float:
        """Return how long until a service whose targets hold back has one that not.

        0 where one takes requests now, or none holds back: those that are away may
        be back any time.
        """
        heard_s = self.heard_since_s(now_s)
        alive = [t for t in self.of_service(service) if t.heard_s > heard_s]
        if not any(target.holds_back_s(now_s, is_last) for target in alive):
            return 0.0
        wait_s = min(target.wait_s(now_s, is_last) for target in alive)
        return wait_s if wait_s < float("inf") else 0.0

    def judge(self, target: Target, failed: bool, now_s: float) -> None:
        """Take in how a request ended; set a target aside that fails alone."""
        target.judged(failed)
        if not failed or target.samples < LEAST_SAMPLES:
            return
        peers = [t for t in self.of_service(target.state.service) if t is not target]
        if not peers or target.failed < FAILED_SHARE:
            return
        others = sum(t.failed for t in peers) / len(peers)
        aside = sum(now_s < t.aside_until_s for t in peers)
        if target.failed < 2 * others or aside + 1 > max(
            1, ASIDE_MOST_SHARE * (len(peers) + 1)
        ):
            return
        target.aside_until_s = now_s + ASIDE_S
        target.samples = 0
        target.failed = 0.0

    def kept_s(self, target: Target) -> float:
        """Return how long a target is known that is not heard any more."""
        return LEAVING_KEPT_S if target.said_leaving else 4 * SILENCE_S

    def sweep(self, now_s: float) -> list[Target]:
        """Forget targets that ended long ago; return them."""
        dropped = [
            target
            for target in self.targets.values()
            if now_s - target.heard_s > self.kept_s(target)
            and now_s - self.news_s < NEWS_S
            and not target.outstanding
            # It may be heard again, and then is still owed its rest.
            and not target.rest.wait_s(now_s)
        ]
        for target in dropped:
            del self.targets[target.target_id]
            self.forget_address(target)
        return dropped


def host_of(address: str) -> str:
    """Return an address without its port."""
    return address.rpartition(":")[0]
