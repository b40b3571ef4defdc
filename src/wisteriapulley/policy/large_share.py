"""How often large prompts get a slot of one engine, beside the others. Pure.

A slot is granted if the first event can still be in time. Under lasting overload the
backlog of slots and prefill is then as long as the shortest prompts can bear. A large
prompt does not fit behind it, at any engine, and is refused each time.

Routes are counted apart, since large prompts of one may fit where those of another do
not, and so are the priorities of a route.
"""

from collections.abc import Callable
from typing import NamedTuple

from wisteriapulley.policy.class_demand import OFFERS_PER_REQUEST, DecayingSum
from wisteriapulley.policy.slot_requests import AdmissionDecision, SlotRequest

# Time constant of the counts. Only a few of one engine's requests have a large prompt,
# so shorter counts would follow chance.
SHARE_MS = 10_000.0
# Large prompts are to get slots this often, as a fraction of how often the others of
# their route do. Below an even chance, so that a few denials in a row do not count.
FLOOR_FRACTION = 0.75
# Fewest offers of large prompts, in requests, that tell how often they get a slot.
MIN_OFFERED = 1.0
# Routes that are remembered. A fleet has a few dozen, and one engine serves some.
MAX_ROUTES = 64
# Weight of a shorter wait in the estimate of the wait that a route's requests have. One
# that another engine has denied has less of it left.
SHORTER_WAIT_WEIGHT = 0.02


def is_large(request: SlotRequest) -> bool:
    """Return whether a prompt is at least as long as a typical large one there."""
    return 0 < request.large_prompt <= request.prompt_tokens


class SlotShare:
    """Offers and grants of one group of requests, both decaying over time."""

    def __init__(self):
        self.offered = DecayingSum(SHARE_MS)
        self.granted = DecayingSum(SHARE_MS)

    def fraction(self, now_ms: float) -> float:
        """Return the fraction of the offers that got a slot; 0 without offers."""
        offered = self.offered.at(now_ms)
        return self.granted.at(now_ms) / offered if offered else 0.0


class LargeShare:
    """Slots that large prompts, and the others, of one route get at one engine.

    Attributes
    ----------
    large, others : SlotShare
        Requests in time with a large prompt, and all others.
    large_prompt : int
        Tokens of a typical large prompt.
    wait_ms : float
        Time that the first event of a new request may take.
    """

    def __init__(self):
        self.large = SlotShare()
        self.others = SlotShare()
        self.large_prompt = 0
        self.wait_ms = 0.0

    def share_of(self, request: SlotRequest) -> SlotShare:
        """Return the group that a request belongs to."""
        return self.large if is_large(request) else self.others

    def record_decision(
        self, request: SlotRequest, decision: AdmissionDecision, now_ms: float
    ) -> None:
        """Record a request, and the first decision on it.

        A denied one counts as a fraction, as it is offered to other engines.
        """
        self.large_prompt = request.large_prompt
        shorter_ms = max(0.0, self.wait_ms - request.wait_ms)
        self.wait_ms = max(request.wait_ms, self.wait_ms)
        self.wait_ms -= SHORTER_WAIT_WEIGHT * shorter_ms
        share = self.share_of(request)
        count = 1 / OFFERS_PER_REQUEST if decision.denied else 1.0
        share.offered.add(count, now_ms)
        if decision.granted:
            share.granted.add(1.0, now_ms)

    def record_grant(self, request: SlotRequest, now_ms: float) -> None:
        """Record that a queued request got a slot."""
        self.share_of(request).granted.add(1.0, now_ms)

    def is_below_floor(self, now_ms: float) -> bool:
        """Return whether large prompts get slots less often than they should."""
        if self.large.offered.at(now_ms) < MIN_OFFERED:
            return False
        floor = FLOOR_FRACTION * self.others.fraction(now_ms)
        return self.large.fraction(now_ms) < floor


class RouteKey(NamedTuple):
    """Route and priority of requests."""

    route: str
    priority: int


class LargeShares:
    """Shares of large prompts at one engine, by route and priority.

    Attributes
    ----------
    routes : dict of RouteKey to LargeShare
        The routes, the one that was asked for last at the end.
    """

    def __init__(self):
        self.routes: dict[RouteKey, LargeShare] = {}

    def of(self, request: SlotRequest) -> LargeShare:
        """Return the share of a request's route."""
        key = RouteKey(request.route, request.priority)
        share = self.routes.pop(key, None) or LargeShare()
        if len(self.routes) >= MAX_ROUTES:
            del self.routes[next(iter(self.routes))]
        self.routes[key] = share
        return share

    def bearable_ms(
        self, priority: int, prefill_ms: Callable[[int], float], now_ms: float
    ) -> float:
        """Return the longest wait that leaves time for large prompts that starve.

        Those of less urgent requests are left out.

        Parameters
        ----------
        priority : int
            Priority of the request that would wait.
        prefill_ms : callable
            Returns the milliseconds to prefill a number of tokens.
        now_ms : float
            Current time.

        Returns
        -------
        float
            Milliseconds until the prefill of its prompt; infinite if none starve.
        """
        waits_ms = (
            share.wait_ms - prefill_ms(share.large_prompt)
            for key, share in self.routes.items()
            if key.priority <= priority and share.is_below_floor(now_ms)
        )
        return min(waits_ms, default=float("inf"))
