"""Sends a request to one target and relays the response to the caller."""

import asyncio
import logging

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.signal_recorder import SignalRecorder
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerAnswer,
    NotSentError,
    Refusal,
    RefusalKind,
    SendPlan,
    TargetAnswer,
    TargetClient,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.logs import fields
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.routing import Route, RouteKind

log = logging.getLogger(__name__)

# A target that sends no first or next event for this long is considered dead, and the
# stream resumes at another one. An engine pauses for some hundred milliseconds during
# the prefill of long prompts.
STREAM_IDLE_TIMEOUT_S = 1.6
# Fraction of a plain request's time after which an unresponsive target is abandoned
# for another one. It is above the slowest normal processing time.
HEAD_TIMEOUT_FRACTION = 0.5
# Normal processing takes up to this long, however short the caller's deadline is.
MIN_HEAD_TIMEOUT_S = 0.45
# A request with less time left than this is not sent: no target could serve it.
MIN_SEND_S = 0.05
HTTP_OK = 200
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
# Retry times after a target was unreachable or rejected the request. They are short,
# since another target or another entry can serve it at once.
UNREACHABLE_RETRY_S = 0.3
REJECTED_RETRY_S = 0.2


class Sender:
    """Sends requests of one entry to targets.

    Parameters
    ----------
    registry : TargetRegistry
        Records the results of sends.
    client : TargetClient
        Sends requests.
    metrics : EntryMetrics
        Records the time to the first event.
    crashes : CrashTracker
        Records requests whose target broke off.
    recorder : SignalRecorder
        Records the signals in responses.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        client: TargetClient,
        metrics: EntryMetrics,
        crashes: CrashTracker,
        recorder: SignalRecorder,
    ):
        self.registry = registry
        self.client = client
        self.metrics = metrics
        self.crashes = crashes
        self.recorder = recorder

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    async def send(
        self,
        admitted: Admitted,
        slot: AllocatedSlot,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Send a request to one target and relay its response.

        Returns
        -------
        Refusal or None
            None if the caller has its final response.
        """
        target = slot.target
        progress.tried.add(target.target_id)
        progress.begin_send()
        remaining_s = admitted.deadline_s - self.now_s()
        if remaining_s < MIN_SEND_S:
            return Refusal(RefusalKind.TIMED_OUT, reason="no time left")
        plan = SendPlan(
            target.address,
            target.target_id,
            admitted.account_name,
            remaining_s,
            slot.version,
            progress.events.last_id,
            not admitted.route.repeatable,
        )
        sent_s = self.now_s()
        try:
            response = await self.wait_for_head(admitted, slot, plan, progress)
        except NotSentError as error:
            target.record_unreachable(self.now_s())
            reason = f"target unreachable: {error}"
            return Refusal(RefusalKind.UNAVAILABLE, UNREACHABLE_RETRY_S, reason)
        except (BrokenAnswerError, TimeoutError) as error:
            progress.may_have_run = True
            self.log_no_response(admitted, slot, sent_s, error)
            self.record_no_response(slot)
            await self.crashes.check_for_crash(admitted, target, progress)
            return Refusal(
                RefusalKind.FAILED, reason=f"no response from target: {error!r}"
            )
        if not response.other_instance:
            progress.outcome = outcome_of(response)
            self.recorder.record(target, response.signals, sent_s)
        progress.last_part_s = self.now_s()
        progress.waited_s = progress.last_part_s - sent_s
        try:
            return await self.relay(admitted, slot, response, progress, answer)
        finally:
            response.close()

    def record_no_response(self, slot: AllocatedSlot) -> None:
        """Record a failure of a target that broke off or did not respond.

        It is not a failure if the entry dropped the request, because the grace period
        of its version of the weights ended.
        """
        if slot.start_deadline_s is None or self.now_s() < slot.start_deadline_s:
            self.registry.record_outcome(slot.target, True, self.now_s())

    def start_timeout_s(
        self, slot: AllocatedSlot, max_wait_s: float | None
    ) -> float | None:
        """Return how long to wait for the first sign that a request has started.

        Engines serve a superseded version of the weights until the end of its grace
        period, and an engine may be slower than its sidecar estimates. A request that
        has not started by then is dropped, so that none starts on expired weights.
        """
        if slot.start_deadline_s is None:
            return max_wait_s
        left_s = max(0.0, slot.start_deadline_s - self.now_s())
        return left_s if max_wait_s is None else min(max_wait_s, left_s)

    async def wait_for_head(
        self,
        admitted: Admitted,
        slot: AllocatedSlot,
        plan: SendPlan,
        progress: Progress,
    ) -> TargetAnswer:
        """Send a request and wait for status and headers until a timeout."""
        max_wait_s = head_timeout_s(
            admitted.route, plan.remaining_s, progress.has_sends_left
        )
        async with asyncio.timeout(self.start_timeout_s(slot, max_wait_s)):
            return await self.client.send(admitted.request, plan)

    async def relay(
        self,
        admitted: Admitted,
        slot: AllocatedSlot,
        response: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Relay a response, unless another target may serve the request."""
        target = slot.target
        if response.other_instance:
            self.registry.record_other_instance(target, self.now_s())
            reason = "another instance at the address"
            return Refusal(RefusalKind.UNAVAILABLE, REJECTED_RETRY_S, reason)
        if response.not_run:
            self.log_rejected(admitted, target, response)
            wait_s = self.registry.throttled_s(
                progress.service, self.now_s(), homes=admitted.homes
            )
            retry_s = max(REJECTED_RETRY_S, wait_s)
            return Refusal(
                RefusalKind.OVERLOADED, retry_s, "target rejected the request"
            )
        progress.may_have_run = True
        self.registry.record_outcome(target, is_server_error(response), self.now_s())
        if is_server_error(response) and self.may_retry(admitted, progress, answer):
            return Refusal(
                RefusalKind.FAILED, reason=f"target returned status {response.status}"
            )
        if answer.started and response.status != HTTP_OK:
            return Refusal(
                RefusalKind.FAILED, reason=f"target returned status {response.status}"
            )
        if admitted.route.kind is RouteKind.STREAM and response.status == HTTP_OK:
            return await self.relay_stream(admitted, slot, response, progress, answer)
        return await self.relay_buffered(admitted, target, response, progress, answer)

    def may_retry(
        self, admitted: Admitted, progress: Progress, answer: CallerAnswer
    ) -> bool:
        """Return whether a failed request may be sent to another target."""
        left_s = admitted.deadline_s - self.now_s()
        return (
            admitted.route.repeatable
            and progress.has_sends_left
            and not answer.started
            and left_s > MIN_SEND_S
            and self.has_untried_target(admitted, progress)
        )

    def has_untried_target(self, admitted: Admitted, progress: Progress) -> bool:
        """Return whether an available target has not been tried yet."""
        candidates = self.registry.candidates(
            progress.service, self.now_s(), homes=admitted.homes
        )
        return any(target.target_id not in progress.tried for target in candidates)

    def record_first_event(self, admitted: Admitted, target: Target) -> None:
        """Record the time to the first event of a stream."""
        took_s = self.now_s() - admitted.request.arrived_s
        traffic_class = f"{target.state.service}/{admitted.route.kind.value}"
        self.metrics.record_first_part(admitted.account_name, traffic_class, took_s)

    async def relay_buffered(
        self,
        admitted: Admitted,
        target: Target,
        response: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Read a response completely, then relay it.

        If the response breaks off, the request can still be sent to another target.
        """
        try:
            body = b"".join([part async for part in response.parts()])
        except BrokenAnswerError as error:
            self.registry.record_outcome(target, True, self.now_s())
            await self.crashes.check_for_crash(admitted, target, progress)
            return Refusal(RefusalKind.FAILED, reason=f"response broke off: {error}")
        await answer.start(response.status, response.headers, len(body))
        await answer.write(body)
        await answer.finish()
        if not is_server_error(response):
            self.crashes.record_answered(admitted, progress)
        self.log_answered(admitted, target, response.status)
        return None

    async def relay_stream(
        self,
        admitted: Admitted,
        slot: AllocatedSlot,
        response: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Relay complete events as they arrive.

        If the stream breaks off, another target can resume it after the last complete
        event.
        """
        target, events = slot.target, progress.events
        try:
            await self.relay_events(admitted, slot, response, progress, answer)
        except (BrokenAnswerError, TimeoutError) as error:
            progress.waited_s = 0.0
            events.discard_partial()
            self.record_no_response(slot)
            self.log_broken_stream(admitted, target, progress, error)
            await self.crashes.check_for_crash(admitted, target, progress)
            return Refusal(RefusalKind.FAILED, reason="stream broke off")
        if events.partial:
            events.discard_partial()
            return Refusal(RefusalKind.FAILED, reason="stream ended within an event")
        if not answer.started:
            await answer.start(response.status, response.headers, None)
        await answer.finish()
        self.crashes.record_answered(admitted, progress)
        self.log_answered(admitted, target, response.status, events.event_count)
        return None

    async def relay_events(
        self,
        admitted: Admitted,
        slot: AllocatedSlot,
        response: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> None:
        """Relay events until the stream ends.

        Raises
        ------
        BrokenAnswerError
            The stream ended early.
        TimeoutError
            No event arrived in time.
        """
        parts = response.parts()
        idle_timeout_s = self.start_timeout_s(slot, STREAM_IDLE_TIMEOUT_S)
        while True:
            begin_s = self.now_s()
            try:
                async with asyncio.timeout(idle_timeout_s):
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            progress.last_part_s = self.now_s()
            progress.waited_s += progress.last_part_s - begin_s
            idle_timeout_s = STREAM_IDLE_TIMEOUT_S
            events = progress.events.feed(part)
            if not events:
                continue
            if not answer.started:
                self.record_first_event(admitted, slot.target)
                await answer.start(response.status, response.headers, None)
            await answer.write(events)

    # -- logs ------------------------------------------------------------

    def log_answered(
        self, admitted: Admitted, target: Target, status: int, events: int = 0
    ) -> None:
        """Log that a caller has its complete response."""
        took_s = self.now_s() - admitted.request.arrived_s
        log.info(
            "answered",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                status=status,
                events=events,
                took_ms=int(took_s * 1000),
            ),
        )

    def log_rejected(
        self, admitted: Admitted, target: Target, response: TargetAnswer
    ) -> None:
        """Log that a target rejected a request, with the signals in its response."""
        signals = response.signals
        log.info(
            "target turned a request away",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                status=response.status,
                rest_s=signals.cooldown.seconds,
                leaving=signals.leaving,
                load=signals.load,
            ),
        )

    def log_no_response(
        self, admitted: Admitted, slot: AllocatedSlot, sent_s: float, error: Exception
    ) -> None:
        """Log that a target sent no head, and how long it had been silent."""
        log.info(
            "no response from target",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=slot.target.target_id,
                silent_ms=self.since_ms(sent_s),
                start_left_ms=slot.start_left_ms(self.now_s()),
                reason=repr(error),
            ),
        )

    def log_broken_stream(
        self, admitted: Admitted, target: Target, progress: Progress, error: Exception
    ) -> None:
        """Log that a stream ended early, and how long its target had been silent."""
        log.info(
            "stream broke off",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=target.target_id,
                last_event=progress.events.last_id,
                silent_ms=self.since_ms(progress.last_part_s),
                reason=repr(error),
            ),
        )

    def since_ms(self, then_s: float) -> int:
        """Return the time since a moment, in milliseconds."""
        return int((self.now_s() - then_s) * 1000)


def is_server_error(response: TargetAnswer) -> bool:
    """Return whether a target reported a server error."""
    return response.status >= SERVER_ERROR


def outcome_of(response: TargetAnswer) -> SendOutcome:
    """Return what a target did with a request.

    Rejections with other statuses depend on the request and do not indicate the state
    of the target.
    """
    busy = response.not_run and response.status in (
        SERVICE_UNAVAILABLE,
        TOO_MANY_REQUESTS,
    )
    if busy or response.signals.cooldown.seconds:
        return SendOutcome.REJECTED
    return SendOutcome.UNKNOWN if response.not_run else SendOutcome.ACCEPTED


def head_timeout_s(
    route: Route, remaining_s: float, has_sends_left: bool
) -> float | None:
    """Return how long to wait for status and headers; None until the deadline.

    An unresponsive target is abandoned early only if another send is left; otherwise
    waiting is the only chance of a response. Streams are abandoned in any case, since
    their callers disconnect after the same idle time.
    """
    if not route.repeatable:
        return None
    if route.kind is RouteKind.STREAM:
        return STREAM_IDLE_TIMEOUT_S
    if not has_sends_left:
        return None
    return max(MIN_HEAD_TIMEOUT_S, remaining_s * HEAD_TIMEOUT_FRACTION)
