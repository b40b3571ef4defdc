"""When an engine takes requests whose objective has passed, or is too short. Pure.

Refused callers retry while there are more new requests than slots. A late answer is
worth a quarter of one in time and takes the same slot, so late requests get only the
slots that new ones leave.
"""

from wisteriapulley.policy.slot_estimates import SlotEstimates
from wisteriapulley.policy.slot_queue import SlotQueue

# Late requests get a slot only while less than this fraction is in use: the rest is
# for new requests that arrive meanwhile.
LATE_SLOT_FRACTION = 0.7
# Maximum prefill time of late requests in one batch step. The first event of a new
# request waits for all prefill of its batch step: this takes a quarter of an objective
# of 400 ms, and always fits one mean prompt of 50 ms.
LATE_PREFILL_MS = 100.0


def has_spare_slots(slots: SlotEstimates, queue: SlotQueue, ahead: int = 0) -> bool:
    """Return whether enough slots are free for a late request.

    Parameters
    ----------
    slots : SlotEstimates
        Slots of the engine.
    queue : SlotQueue
        Requests that wait for them.
    ahead : int
        Late requests that wait for the same slots.
    """
    if queue and not queue.first.request.late:
        return False
    return has_late_slots(slots, ahead)


def has_late_slots(slots: SlotEstimates, ahead: int) -> bool:
    """Return whether fewer slots are in use or claimed than leave room for new ones.

    Parameters
    ----------
    slots : SlotEstimates
        Slots of the engine.
    ahead : int
        Requests that wait for the same slots.
    """
    return len(slots.grants) + ahead < late_slot_limit(slots)


def late_slot_limit(slots: SlotEstimates) -> float:
    """Return how many slots may be in use when a late request gets one more."""
    return slots.max_grants * LATE_SLOT_FRACTION


def can_prefill_late(slots: SlotEstimates, queue: SlotQueue, now_ms: float) -> bool:
    """Return whether the next batch step may prefill one more late prompt."""
    slots.advance_step_clock(now_ms)
    has_spare = has_spare_slots(slots, queue)
    return has_spare and slots.step_clock.prefill_ms < LATE_PREFILL_MS


def is_late_by_own_length(slots: SlotEstimates, queue: SlotQueue) -> bool:
    """Return whether only its own length makes a request late here.

    The longest prompts take most of an objective to prefill. They are not refused
    for that while slots are free and no other prompt waits for prefill.
    """
    return has_spare_slots(slots, queue) and not slots.step_clock.prefill_ms
