"""Observed demand of one class of requests at one engine. Pure."""

import math
from collections import Counter

from wisteriapulley.policy.slot_requests import AdmissionDecision

# Time constant of the averages of demand: the reserve follows a surge, and its end,
# within a second.
DEMAND_MS = 700.0
# Time constant of the averages by which the floor of a class is kept.
FLOOR_MS = 4000.0
# Weight of a new sample in the averages of holding times, prefill and waits.
SMOOTHING = 0.1
# Entries have stopped to ask for a class that is left out if its rate falls below this
# fraction of the rate before.
HIDDEN_FRACTION = 0.5
# Engines that a refused request is offered to, one after the other.
OFFERS_PER_REQUEST = 6


class DecayingSum:
    """Sum of amounts that decay over time.

    Parameters
    ----------
    constant_ms : float
        Time in which an amount falls to 1/e.
    """

    def __init__(self, constant_ms: float):
        self.constant_ms = constant_ms
        self.sum = 0.0
        self.updated_ms = 0.0

    def at(self, now_ms: float) -> float:
        """Return the sum at a time."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        return self.sum * math.exp(-elapsed_ms / self.constant_ms)

    def add(self, amount: float, now_ms: float) -> None:
        """Add an amount."""
        self.sum = self.at(now_ms) + amount
        self.updated_ms = now_ms


class ClassDemand:
    """Observed demand of one class at one engine.

    Parameters
    ----------
    hold_ms, prefill_ms, wait_ms : float
        First estimates.

    Attributes
    ----------
    arrivals : DecayingSum
        Requests. A refused one counts as a fraction, as it is offered to other engines.
    offered, granted : DecayingSum
        The same over a longer time, and the requests that got a slot.
    denials : DecayingSum
        Requests that were denied at once.
    hold_ms, prefill_ms, wait_ms : float
        Mean time for which a request holds its slot, prefill of a prompt, and time
        that the first event may take.
    decisions : Counter of str
        Number of first decisions by outcome.
    """

    def __init__(self, hold_ms: float, prefill_ms: float, wait_ms: float):
        self.arrivals = DecayingSum(DEMAND_MS)
        self.offered = DecayingSum(FLOOR_MS)
        self.granted = DecayingSum(FLOOR_MS)
        self.denials = DecayingSum(DEMAND_MS)
        self.hold_ms = hold_ms
        self.prefill_ms = prefill_ms
        self.wait_ms = wait_ms
        self.decisions: Counter[str] = Counter()

    def record_decision(
        self,
        decision: AdmissionDecision,
        prefill_ms: float,
        wait_ms: float,
        now_ms: float,
    ) -> None:
        """Record a request and the first decision on it."""
        self.decisions[decision.outcome] += 1
        self.prefill_ms += SMOOTHING * (prefill_ms - self.prefill_ms)
        self.wait_ms += SMOOTHING * (wait_ms - self.wait_ms)
        count = 1 / OFFERS_PER_REQUEST if decision.denied else 1.0
        self.arrivals.add(count, now_ms)
        self.offered.add(count, now_ms)
        if decision.granted:
            self.granted.add(1.0, now_ms)
        if decision.denied:
            self.denials.add(1.0, now_ms)

    def keep_hidden(self, now_ms: float) -> None:
        """Keep the long-term demand of a class that entries do not ask for any more.

        Entries refuse a class that all engines leave out. Its offers then fade as its
        grants do, and it would never seem to be below its floor.
        """
        if self.per_ms(now_ms) < HIDDEN_FRACTION * self.offered.at(now_ms) / FLOOR_MS:
            self.offered.updated_ms = now_ms

    def record_hold(self, held_ms: float) -> None:
        """Record how long a request held its slot."""
        self.hold_ms += SMOOTHING * (held_ms - self.hold_ms)

    def per_ms(self, now_ms: float) -> float:
        """Return the rate of requests."""
        return self.arrivals.at(now_ms) / DEMAND_MS

    def slots(self, now_ms: float) -> float:
        """Return the slots that would be in use if all requests were served."""
        return self.per_ms(now_ms) * self.hold_ms
