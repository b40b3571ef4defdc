"""How often large prompts get a slot of one engine, beside the others. Pure.

A slot is granted if the first event can still be in time. Under lasting overload the
queue then is as long as the shortest prompts can bear, and a large one does not fit in
front of its objective at any engine. It is refused each time, though its callers wait
for as long as the others.
"""

from wisteriapulley.policy.class_demand import (
    FLOOR_MS,
    OFFERS_PER_REQUEST,
    DecayingSum,
)
from wisteriapulley.policy.slot_requests import AdmissionDecision, SlotRequest

# Large prompts are to get slots this often, as a fraction of how often the others do.
# Below an even chance, so that a few denials in a row do not count.
FLOOR_FRACTION = 0.9
# Fewest offers of large prompts, in requests, that tell how often they get a slot.
MIN_OFFERED = 0.1


def is_large(request: SlotRequest) -> bool:
    """Return whether a request's prompt is a large one of its route."""
    return 0 < request.large_prompt <= request.prompt_tokens


class SlotShare:
    """Offers and grants of one group of requests, both decaying over time."""

    def __init__(self):
        self.offered = DecayingSum(FLOOR_MS)
        self.granted = DecayingSum(FLOOR_MS)

    def fraction(self, now_ms: float) -> float:
        """Return the fraction of the offers that got a slot; 0 without offers."""
        offered = self.offered.at(now_ms)
        return self.granted.at(now_ms) / offered if offered else 0.0


class LargeShare:
    """Slots that large prompts, and the others, get at one engine.

    Attributes
    ----------
    large, others : SlotShare
        Requests in time with a large prompt, and all others.
    """

    def __init__(self):
        self.large = SlotShare()
        self.others = SlotShare()

    def share_of(self, request: SlotRequest) -> SlotShare:
        """Return the group that a request belongs to."""
        return self.large if is_large(request) else self.others

    def record_decision(
        self, request: SlotRequest, decision: AdmissionDecision, now_ms: float
    ) -> None:
        """Record a request, and the first decision on it.

        A denied one counts as a fraction, as it is offered to other engines.
        """
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
