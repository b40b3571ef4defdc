"""Checks that an engine is not silent before a slot on ending weights is granted."""

import asyncio
import logging
from collections.abc import Callable

from wisteriapulley.logs import fields
from wisteriapulley.policy.answer_calls import MAX_ANSWER_MS, USUAL_ANSWER_MS
from wisteriapulley.policy.engine_slots import EngineSlots
from wisteriapulley.policy.slot_requests import DenialReason
from wisteriapulley.policy.version_end import PAUSE_ALLOWANCE_MS, needs_answer
from wisteriapulley.rollout.engine import EngineClient
from wisteriapulley.rollout.engine_answers import EngineAnswers

log = logging.getLogger(__name__)


class GrantCheck:
    """Keeps the slots that an engine has just granted, or withdraws them.

    Parameters
    ----------
    slots : EngineSlots
        Slots of the engine.
    engine : EngineClient
        Engine beside this sidecar.
    """

    def __init__(self, slots: EngineSlots, engine: EngineClient):
        self.slots = slots
        self.answers = EngineAnswers(engine)

    def now_ms(self) -> float:
        """Return the loop's clock in milliseconds."""
        return self.answers.now_ms()

    def start_left_ms(self) -> float | None:
        """Return how long requests may start; None without a limit."""
        ends_ms = self.slots.weights_end_ms
        return None if ends_ms is None else ends_ms - self.now_ms()

    async def denial_reason(
        self, request_id: str, tell_waiting: Callable[[], None]
    ) -> DenialReason | None:
        """Return why a slot that was just granted is not kept; None if it is.

        Parameters
        ----------
        request_id : str
            The request with the slot.
        tell_waiting : callable
            Called if the decision takes longer than usual.
        """
        slots, granted_ms = self.slots, self.now_ms()
        grant = slots.grants.get(request_id)
        if grant is None:
            return None
        if not slots.open:
            # A load was ordered since: its end is not that of the granted version.
            slots.withdraw(request_id, granted_ms)
            return DenialReason.CLOSED
        if not needs_answer(self.start_left_ms(), grant.first_event_ms - granted_ms):
            return None
        try:
            answers = await self.wait_for_answer(tell_waiting)
        except asyncio.CancelledError:
            slots.withdraw(request_id, self.now_ms())
            raise
        if slots.grants.get(request_id) is not grant:
            # Its entry has released it or is gone, or the engine has restarted.
            return DenialReason.UNKNOWN
        waited_ms = self.now_ms() - granted_ms
        if answers:
            reason = slots.postpone(request_id, waited_ms, self.now_ms())
        else:
            reason = DenialReason.ENGINE_SILENT
            self.log_silent(request_id, waited_ms)
        if reason is not None:
            slots.withdraw(request_id, self.now_ms())
        return reason

    async def wait_for_answer(self, tell_waiting: Callable[[], None]) -> bool:
        """Return whether the engine soon answers a call that is sent from now on."""
        if self.answers.is_silent():
            return False
        asked = self.answers.ask()
        await asyncio.wait({asked}, timeout=USUAL_ANSWER_MS / 1000)
        if not asked.done():
            tell_waiting()
            # A second wait, so that a pause of this process alone denies nothing.
            left_ms = MAX_ANSWER_MS - USUAL_ANSWER_MS
            await asyncio.wait({asked}, timeout=left_ms / 1000)
        return asked.done() and asked.result()

    def log_silent(self, request_id: str, waited_ms: float) -> None:
        """Log that a slot is denied since the engine did not answer."""
        left_ms = self.start_left_ms()
        log.info(
            "no slot near the end of the weights: the engine does not answer",
            extra=fields(
                request_id,
                waited_ms=int(waited_ms),
                end_left_ms=None
                if left_ms is None
                else int(left_ms + PAUSE_ALLOWANCE_MS),
            ),
        )

    def stop(self) -> None:
        """Ask the engine no more, and keep no slot whose request waits."""
        self.answers.stop()
