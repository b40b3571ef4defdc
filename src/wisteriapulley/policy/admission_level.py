"""The least urgent class that an engine admits, as its sidecar states it. Pure.

Under overload each request of a class that no engine admits asks six sidecars, one
after the other, to learn what all of them know. With the levels in the load reports,
as in DAGOR, its entry refuses it at once. An engine that leaves a class out is still
asked as long as another one admits it: when entries avoided it, they sent the class to
the same few engines together.

A level follows whether a usual request would be admitted over some tenths of a second,
with a distance between rising and falling, so that it does not follow each slot. A
class below its floor is admitted at once.
"""

import math

from wisteriapulley.policy.class_reserve import ClassReserve
from wisteriapulley.policy.slot_queue import SlotQueue

# Recent denials after which a class that would be denied now is left out.
MIN_DENIALS = 3.0
# Time constant of the fraction of time in which a usual request would be denied, and
# the fractions at which a class is left out and admitted again.
DENIED_MS = 400.0
LEAVE_OUT_FRACTION = 0.8
ADMIT_FRACTION = 0.3
# Each link asks for the level when it sends a load report; they share one.
UPDATE_INTERVAL_MS = 10.0
# Largest level that a load report can state.
MAX_LEVEL = 65_535
# Times until a slot is free are stated in multiples of this, so that load reports
# mostly repeat the earlier one.
FREE_QUANTUM_MS = 50
# An entry asks for one request of a class that all engines leave out this often, in
# case a level is out of date.
PROBE_INTERVAL_S = 0.5


class AdmissionLevel:
    """Level of one engine.

    Parameters
    ----------
    reserve : ClassReserve
        Demand of the classes, and what is reserved for them.
    queue : SlotQueue
        Requests that wait for a slot.

    Attributes
    ----------
    level : int
        Least urgent priority that is admitted, plus one; 0 if all are.
    """

    def __init__(self, reserve: ClassReserve, queue: SlotQueue):
        self.reserve = reserve
        self.queue = queue
        self.level = 0
        self.denied: dict[int, float] = {}
        self.updated_ms = float("-inf")

    def update(self, now_ms: float) -> int:
        """Return the current level."""
        if now_ms - self.updated_ms < UPDATE_INTERVAL_MS:
            return self.level
        priorities = sorted(self.reserve.classes)
        self.update_denied(priorities, now_ms)
        level = priorities[0] + 1 if priorities else 0
        for priority in reversed(priorities[1:]):
            if not self.leaves_out(priority, now_ms):
                level = priority + 1
                break
        if not priorities or not 0 < level <= min(priorities[-1], MAX_LEVEL):
            level = 0
        self.level = level
        for priority in priorities:
            if not is_admitted(self.level, priority):
                self.reserve.classes[priority].keep_hidden(now_ms)
        return self.level

    def update_denied(self, priorities: list[int], now_ms: float) -> None:
        """Update the fraction of time in which each class would be denied."""
        elapsed_ms = min(DENIED_MS, now_ms - self.updated_ms)
        weight = 1 - math.exp(-elapsed_ms / DENIED_MS)
        self.updated_ms = now_ms
        previous, self.denied = self.denied, {}
        for priority in priorities:
            before = previous.get(priority, 0.0)
            denied = self.would_be_denied(priority, now_ms)
            self.denied[priority] = before + weight * (denied - before)

    def leaves_out(self, priority: int, now_ms: float) -> bool:
        """Return whether a class is left out."""
        if self.reserve.is_below_floor(priority, now_ms):
            return False
        if not is_admitted(self.level, priority):
            return self.denied[priority] > ADMIT_FRACTION
        if self.denied[priority] < LEAVE_OUT_FRACTION:
            return False
        return self.reserve.classes[priority].denials.at(now_ms) >= MIN_DENIALS

    def would_be_denied(self, priority: int, now_ms: float) -> bool:
        """Return whether a usual request would be denied, slots being reserved."""
        if not self.reserve.reserved_slots(priority, now_ms):
            return False
        demand = self.reserve.classes[priority]
        wait_ms = self.reserve.wait_ms(priority, self.queue.ahead_of(priority), now_ms)
        event_ms = self.reserve.slots.first_event_ms(0, now_ms) + demand.prefill_ms
        return wait_ms + event_ms > demand.wait_ms

    def free_ms(self) -> int:
        """Return when a slot is expected to be free."""
        free_ms = self.reserve.slots.slot_wait_ms(0)
        return -int(-free_ms // FREE_QUANTUM_MS) * FREE_QUANTUM_MS


def is_admitted(level: int, priority: int) -> bool:
    """Return whether a class is admitted at a level."""
    return not level or priority < level


class LevelProbes:
    """Requests that are asked for although all engines leave out their class."""

    def __init__(self):
        self.last_s: dict[tuple[str, int], float] = {}

    def take(self, service: str, priority: int, now_s: float) -> bool:
        """Return whether this request is to be asked for."""
        due_s = self.last_s.get((service, priority), float("-inf")) + PROBE_INTERVAL_S
        if now_s < due_s:
            return False
        self.last_s[service, priority] = now_s
        return True
