"""Slots that stay free for more urgent classes. Pure.

Engines that bear two thirds of what arrives from classes of several priorities grant
each free slot to whoever asks while its first event can be in time. The least urgent
class has the longest objective and the shortest prompts, so it gets slots where the
others are refused, and holds them for a second or more.

With trunk reservation (Key 1990) a class gets a slot only while some slots stay free
for the more urgent classes. A small reserve nearly gives these strict priority, because
slots are released all the time. Without a more urgent class there is no reserve.
"""

import math

from wisteriapulley.policy.class_demand import OFFERS_PER_REQUEST, ClassDemand
from wisteriapulley.policy.slot_estimates import SlotEstimates
from wisteriapulley.policy.slot_queue import SlotQueue
from wisteriapulley.policy.slot_requests import AdmissionDecision, SlotRequest

# Fraction of more urgent requests that may be refused because of less urgent ones.
REFUSED_FRACTION = 0.05
# The same for the offers to one engine, as a refused request is offered to others.
BLOCKED_FRACTION = REFUSED_FRACTION ** (1 / OFFERS_PER_REQUEST)
# A class is never refused for the sake of others while under half of the slots are in
# use: that room would be idle.
MAX_RESERVED_FRACTION = 0.5
# Below this demand, in slots, nothing is reserved.
MIN_URGENT_SLOTS = 0.1
# Slots that are released go to more urgent classes first. At least this fraction is
# taken to be left, so that estimates stay finite.
MIN_LEFT_FRACTION = 0.01
# Each class is to be served in time at least a quarter as often as more urgent ones.
# More is aimed at, because offers only give an estimate of how often that is, and some
# requests that get a slot are late.
FLOOR_FRACTION = 0.45
# Classes whose demand is remembered. Accounts may state any priority.
MAX_CLASSES = 16


class ClassReserve:
    """Demand of the classes at one engine, and what is reserved for them.

    Parameters
    ----------
    slots : SlotEstimates
        Slots of the engine.

    Attributes
    ----------
    enabled : bool
        Whether slots are reserved.
    classes : dict of int to ClassDemand
        Observed demand by priority.
    """

    def __init__(self, slots: SlotEstimates):
        self.slots = slots
        self.enabled = True
        self.classes: dict[int, ClassDemand] = {}

    # -- observations ----------------------------------------------------

    def record_decision(
        self, request: SlotRequest, decision: AdmissionDecision, now_ms: float
    ) -> None:
        """Record a request that is in time, and the first decision on it."""
        prefill_ms = self.slots.prefill_ms(request.prompt_tokens)
        demand = self.classes.get(request.priority)
        if demand is None:
            self.forget_unused(now_ms)
            demand = self.classes[request.priority] = ClassDemand(
                self.slots.mean_hold_ms, prefill_ms, request.wait_ms
            )
        demand.record_decision(decision, prefill_ms, request.wait_ms, now_ms)

    def forget_unused(self, now_ms: float) -> None:
        """Forget the class with the least demand if there are many."""
        if len(self.classes) >= MAX_CLASSES:
            least = min(self.classes, key=lambda p: self.classes[p].offered.at(now_ms))
            del self.classes[least]

    def record_grant(self, priority: int, now_ms: float) -> None:
        """Record that a queued request got a slot."""
        if priority in self.classes:
            self.classes[priority].granted.add(1.0, now_ms)

    def record_hold(self, priority: int, held_ms: float) -> None:
        """Record how long a request held its slot."""
        if priority in self.classes:
            self.classes[priority].record_hold(held_ms)

    # -- reserve ---------------------------------------------------------

    def more_urgent(self, priority: int) -> list[ClassDemand]:
        """Return the demand of each more urgent class."""
        if not self.enabled:
            return []
        return [demand for other, demand in self.classes.items() if other < priority]

    def urgent_load(self, urgent: list[ClassDemand], now_ms: float) -> float:
        """Return the load of classes, as a fraction of the engine's slots."""
        return sum(d.slots(now_ms) for d in urgent) / self.slots.engine.slots

    def reserved_slots(self, priority: int, now_ms: float) -> int:
        """Return the slots that must stay free when a class gets one.

        With a load below 1, the probability that r free slots do not suffice until
        others are released falls as the r-th power of the load.
        """
        urgent = self.more_urgent(priority)
        slots = self.slots.engine.slots
        load = self.urgent_load(urgent, now_ms)
        if load * slots < MIN_URGENT_SLOTS:
            return 0
        most = int(slots * MAX_RESERVED_FRACTION)
        if load >= 1:
            return most
        return min(most, math.ceil(math.log(BLOCKED_FRACTION) / math.log(load)))

    def wait_ms(self, priority: int, ahead: int, now_ms: float) -> float:
        """Estimate the wait for a slot with `ahead` requests before it."""
        reserved = self.reserved_slots(priority, now_ms)
        wait_ms = self.slots.slot_wait_ms(ahead + reserved)
        if not reserved:
            return wait_ms
        load = self.urgent_load(self.more_urgent(priority), now_ms)
        return wait_ms / max(MIN_LEFT_FRACTION, 1 - load)

    # -- floor -----------------------------------------------------------

    def rank_of(self, request: SlotRequest, queue: SlotQueue, now_ms: float) -> int:
        """Return the priority of a request in the queue.

        One request at a time of a class below its floor goes before all others, whose
        queue would leave it no time in a flood.
        """
        priority = request.priority
        if self.is_below_floor(priority, now_ms) and not queue.has_raised(priority):
            return min(self.classes) - 1
        return priority

    def is_below_floor(self, priority: int, now_ms: float) -> bool:
        """Return whether a class got less than its floor beside the more urgent ones.

        A flood of urgent requests would otherwise leave it nothing at all.
        """
        urgent = self.more_urgent(priority)
        demand = self.classes.get(priority)
        offered = sum(d.offered.at(now_ms) for d in urgent)
        if demand is None or not offered:
            return False
        granted = sum(d.granted.at(now_ms) for d in urgent)
        floor = FLOOR_FRACTION * granted / offered
        return demand.granted.at(now_ms) < floor * demand.offered.at(now_ms)
