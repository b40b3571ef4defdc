"""Grants entries slots at the engine and queues their requests."""

import asyncio
import logging
import math
from collections.abc import Iterable
from functools import singledispatchmethod

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.logs import fields
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.engine_slots import (
    MIN_RETRY_MS,
    AdmissionDecision,
    AdmissionState,
    EngineSlots,
    ObservedWork,
    SlotRequest,
)
from wisteriapulley.policy.slot_requests import DenialReason
from wisteriapulley.rollout.cold_engine import ColdEngine
from wisteriapulley.rollout.grant_check import GrantCheck
from wisteriapulley.rollout.state import RolloutState
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Frame, Link, LinkServer, messages

log = logging.getLogger(__name__)

# How often queued requests are checked for missed deadlines: half an engine step.
QUEUE_CHECK_INTERVAL_S = 0.02
# Load reports go to entries at most this often, and less often when there are many
# entries: the traffic grows with engines times entries, and the reply to a slot
# request corrects an outdated report.
LOAD_REPORT_INTERVAL_S = 0.03
MAX_LOAD_REPORTS_PER_S = 50


class SlotAdmission:
    """Slots of one engine and the requests that are queued for them.

    Parameters
    ----------
    state : RolloutState
        Which version the engine holds.
    """

    def __init__(self, state: RolloutState):
        self.state = state
        self.slots = EngineSlots(Engine(""))
        self.pending_decisions: dict[str, asyncio.Future[AdmissionDecision]] = {}
        self.load_report_timer: asyncio.TimerHandle | None = None
        # Fires when an engine that limits its requests may accept one again.
        self.limit_timer: asyncio.TimerHandle | None = None
        self.server: LinkServer | None = None
        # Set where the engine's service limits requests to cold engines.
        self.cold: ColdEngine | None = None
        # Set where the engine can be asked whether it answers.
        self.check: GrantCheck | None = None
        # Set while requests are queued, so that an empty queue is not polled.
        self.has_queued = asyncio.Event()

    def now_ms(self) -> float:
        """Return the loop's clock in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def set_open(self, may_serve: bool) -> None:
        """Open or close admission; decide queued requests and update entries."""
        if may_serve == self.slots.open:
            return
        self.slots.open = may_serve
        if may_serve:
            self.slots.opens_at_ms = None
        log.info(
            "places open" if may_serve else "places closed",
            extra=fields(
                version=self.state.held_version(), evacuated=self.state.is_evacuated
            ),
        )
        self.advance()
        self.schedule_load_report()

    def expect_opening(self, delay_ms: float) -> None:
        """Queue requests for slots that open after `delay_ms`, unless evacuated."""
        if self.state.is_evacuated:
            return
        self.slots.opens_at_ms = self.now_ms() + delay_ms
        self.schedule_load_report()

    def set_admission_end(self, left_ms: float | None) -> None:
        """Set how long requests may still start; None means without a limit."""
        ends_ms = None if left_ms is None else self.now_ms() + left_ms
        self.slots.weights_end_ms = ends_ms

    def cancel_opening(self) -> None:
        """Deny queued requests because the slots will not open."""
        if self.slots.opens_at_ms is None:
            return
        self.slots.opens_at_ms = None
        self.advance()
        self.schedule_load_report()

    def engine_restarted(self) -> None:
        """Drop the slots that were granted at the engine's earlier incarnation."""
        self.slots.revoke_all()
        self.advance()
        self.schedule_load_report()

    def set_cold_engine(self, cold: ColdEngine) -> None:
        """Keep to the limit of a cold engine, beside the rate that it advertises."""
        self.cold = cold
        self.slots.rate_limits.cold_of = cold.limit_of

    def limit_changed(self) -> None:
        """Decide queued requests by a changed limit, and update entries."""
        self.advance()
        self.report_limit()

    # -- load reports ----------------------------------------------------

    def heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the load and the admission state."""
        limited = self.slots.open and self.limited_for_s() > 0
        state = AdmissionState.LIMITED if limited else self.slots.state
        level = self.update_level()
        return messages.Heartbeat(
            state=state.value,
            running=len(self.slots.grants),
            waiting=len(self.slots.queue),
            pace=self.slots.speed.pace(self.now_ms() / 1000),
            level=level,
            free_ms=self.slots.admission_level.free_ms() if level else 0,
        )

    def update_level(self) -> int:
        """Return the admission level; log it when it changed."""
        if not self.slots.open:
            return 0
        admission_level = self.slots.admission_level
        previous, level = admission_level.level, admission_level.update(self.now_ms())
        if level != previous:
            log.info(
                "admission level changed",
                extra=fields(
                    level=level,
                    previous=previous,
                    held=len(self.slots.grants),
                    waiting=len(self.slots.queue),
                ),
            )
        return level

    def schedule_load_report(self) -> None:
        """Send a load report soon; changes until then share it."""
        if self.load_report_timer is None:
            loop = asyncio.get_running_loop()
            delay_s = max(
                LOAD_REPORT_INTERVAL_S, len(self.near_links()) / MAX_LOAD_REPORTS_PER_S
            )
            self.load_report_timer = loop.call_later(delay_s, self.report_load)

    def report_load(self) -> None:
        """Send the load to the entries of this region.

        Entries of other regions send requests here only when their own region is
        full, so the regular heartbeat is enough for them. Sending every change to
        all entries would take half of the bytes between regions.
        """
        self.load_report_timer = None
        for link in self.near_links():
            link.send_heartbeat()

    def limited_for_s(self) -> float:
        """Return how long the engine accepts no requests; 0 if it does now."""
        return self.slots.throttled_for_s(self.now_ms() / 1000)

    def report_limit(self) -> None:
        """Report that the engine limits its requests, and later that it stopped.

        Entries try a limited engine after the others.
        """
        wait_s = self.limited_for_s()
        if wait_s > 0 and self.limit_timer is None:
            loop = asyncio.get_running_loop()
            self.limit_timer = loop.call_later(wait_s, self.limit_expired)
        self.schedule_load_report()

    def limit_expired(self) -> None:
        """Report that the engine may accept a request again."""
        self.limit_timer = None
        self.report_limit()

    def sweep_rates(self) -> None:
        """Drop the rates that earlier incarnations of the engine advertised."""
        self.slots.rate_limits.remove_expired(self.now_ms() / 1000)

    def near_links(self) -> list[Link]:
        """Return the links of entries in this region."""
        return [link for link in self.server.links if self.state.is_near(link)]

    # -- queue -----------------------------------------------------------

    async def advance_loop(self) -> None:
        """Deny queued requests that can no longer meet their deadline."""
        while True:
            await self.has_queued.wait()
            await asyncio.sleep(QUEUE_CHECK_INTERVAL_S)
            self.advance()
            if not self.slots.queue:
                self.has_queued.clear()

    def advance(self) -> None:
        """Send the decisions on queued requests that are due."""
        self.send_decisions(self.slots.advance(self.now_ms()))

    def send_decisions(self, decisions: Iterable[AdmissionDecision]) -> None:
        """Send decisions on queued requests."""
        for decision in decisions:
            future = self.pending_decisions.get(decision.request_id)
            if future is not None and not future.done():
                future.set_result(decision)
            elif decision.granted:
                self.slots.release(decision.request_id, self.now_ms())

    async def wait_for_decision(self, request_id: str) -> AdmissionDecision:
        """Wait for the decision on a queued request."""
        future = asyncio.get_running_loop().create_future()
        self.pending_decisions[request_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            self.slots.release(request_id, self.now_ms())
            raise
        finally:
            self.pending_decisions.pop(request_id, None)

    # -- frames ----------------------------------------------------------

    async def handle(self, link: Link, frame: Frame) -> None:
        """Handle a frame that is not a reply."""
        await self.receive(frame.message, link, frame)

    @singledispatchmethod
    async def receive(self, message: tuple, link: Link, frame: Frame) -> None:
        """Handle a message, by its type."""
        raise WireError(
            ResultCode.UNEXPECTED_MESSAGE,
            f"a sidecar does not handle {type(message).__name__}",
        )

    @receive.register
    async def receive_reserve(
        self, message: messages.Reserve, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Reserve`."""
        arrived_ms = self.now_ms()
        request = slot_request(message, link)
        decision = self.slots.request_slot(request, arrived_ms)
        if not decision.denied:
            self.send_decisions(self.slots.deny_overtaken(request, self.now_ms()))
        is_queued = not decision.granted and not decision.denied
        if is_queued:
            self.has_queued.set()
            self.post_waiting(decision, link, frame)
            decision = await self.wait_for_decision(message.request_id)
        if decision.granted and self.check is not None:
            decision = await self.check_grant(decision, link, frame, is_queued)
        if decision.granted and link.closed.is_set():
            self.slots.release(message.request_id, self.now_ms())
            return
        self.report_limit()
        waited_ms = int(self.now_ms() - arrived_ms)
        reply = self.reserved_message(decision)._replace(waited_ms=waited_ms)
        link.post(reply, reply_to=frame.id)

    def post_waiting(
        self, decision: AdmissionDecision, link: Link, frame: Frame
    ) -> None:
        """Tell an entry that another reply follows.

        It treats a sidecar that does not respond as stalled.
        """
        queued = self.reserved_message(decision)._replace(queued=True)
        link.post(queued, reply_to=frame.id)

    async def check_grant(
        self,
        decision: AdmissionDecision,
        link: Link,
        frame: Frame,
        is_told: bool,
    ) -> AdmissionDecision:
        """Return a grant, or its denial if a silent engine might begin it too late.

        An entry that is told already that another reply follows takes the next one for
        the decision.
        """

        def tell_waiting() -> None:
            if not is_told and not link.closed.is_set():
                waiting = AdmissionDecision(decision.request_id)
                self.post_waiting(waiting, link, frame)

        request_id = decision.request_id
        reason = await self.check.denial_reason(request_id, tell_waiting)
        if reason is None:
            return decision
        self.advance()
        return AdmissionDecision(
            request_id, denied=True, retry_ms=MIN_RETRY_MS, reason=reason
        )

    def reserved_message(self, decision: AdmissionDecision) -> messages.Reserved:
        """Return the response to a `Reserve` message."""
        return messages.Reserved(
            decision.granted,
            self.state.held_version(),
            int(decision.retry_ms),
            len(self.slots.grants),
            len(self.slots.queue),
            not self.slots.open or decision.reason is DenialReason.ENGINE_SILENT,
            limited=decision.limited,
            start_left_ms=self.start_left_ms() if decision.granted else 0,
            reason=decision.reason.value,
            first_event_ms=self.expected_ms(decision.request_id),
        )

    def start_left_ms(self) -> int:
        """Return how long a granted request may start; 0 without a limit.

        An entry may hear of the newer version later than this sidecar.
        """
        ends_ms = self.slots.weights_end_ms
        return 0 if ends_ms is None else max(1, int(ends_ms - self.now_ms()))

    def expected_ms(self, request_id: str) -> int:
        """Return the time to the expected first event; 0 without a slot."""
        grant = self.slots.grants.get(request_id)
        if grant is None:
            return 0
        return max(1, math.ceil(grant.first_event_ms - self.now_ms()))

    @receive.register
    async def receive_release(
        self, message: messages.Release, link: Link, frame: Frame
    ) -> None:
        """Handle the message `Release`."""
        self.slots.record_end(
            message.request_id,
            outcome_of(message),
            self.now_ms(),
            message.rests,
            ObservedWork(message.events, message.took_ms),
        )
        future = self.pending_decisions.get(message.request_id)
        if future is not None and not future.done():
            future.set_result(AdmissionDecision(message.request_id, denied=True))
        self.advance()
        if message.turned_away:
            self.log_rejected(link)
            self.report_limit()
        else:
            self.schedule_load_report()

    def log_rejected(self, link: Link) -> None:
        """Log that the engine rejected a request, and the pause that follows."""
        log.info(
            "engine turned a request away",
            extra=fields(entry=link.peer_id, pause_s=round(self.limited_for_s(), 3)),
        )

    @receive.register
    async def receive_target_rate(
        self, message: messages.TargetRate, link: Link, frame: Frame
    ) -> None:
        """Handle the message `TargetRate`."""
        observed_s = self.now_ms() / 1000 - message.age_ms / 1000
        self.slots.rate_limits.update(message.target, message.per_s or None, observed_s)
        self.slots.set_target(message.target)
        if self.cold is not None:
            self.cold.observe_entry(message)
        self.advance()
        self.report_limit()

    def link_opened(self, link: Link) -> None:
        """Skip heartbeats on the link while load reports already act as such."""
        link.skips_redundant_heartbeats = True

    def link_closed(self, link: Link) -> None:
        """Release the slots and queued requests of an entry that disconnected."""
        self.slots.release_owner(owner_of(link), self.now_ms())
        self.advance()


def owner_of(link: Link) -> str:
    """Return a name for the entry incarnation at the other end of a link."""
    return f"{link.peer_id}/{link.peer.incarnation}"


def outcome_of(message: messages.Release) -> SendOutcome:
    """Return what the engine did with a request, from a `Release` message."""
    if message.turned_away:
        return SendOutcome.REJECTED
    return SendOutcome.ACCEPTED if message.taken else SendOutcome.UNKNOWN


def slot_request(message: messages.Reserve, link: Link) -> SlotRequest:
    """Return the slot request in a `Reserve` message."""
    return SlotRequest(
        message.request_id,
        owner_of(link),
        message.prompt_tokens,
        message.answer_tokens,
        message.priority,
        message.wait_ms,
        message.late,
        message.target,
        message.is_last,
        message.may_wait,
        message.route,
        message.large_prompt,
    )
