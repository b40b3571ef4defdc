"""Sends a request to one target, reads its response and relays it to the caller."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.exchange import Arrival, Exchange
from wisteriapulley.direct.kept_bytes import KeptBytes
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import ResponseLimits
from wisteriapulley.direct.signal_recorder import SignalRecorder
from wisteriapulley.direct.slot_allocation import AllocatedSlot
from wisteriapulley.direct.types import (
    BrokenAnswerError,
    CallerAnswer,
    NoMemoryLeftError,
    NoTimeLeftError,
    NotSentError,
    OversizedAnswerError,
    Refusal,
    RefusalKind,
    SendPlan,
    TargetAnswer,
    TargetClient,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.logs import fields
from wisteriapulley.policy.circuit_breaker import SendOutcome
from wisteriapulley.policy.version_end import PAUSE_ALLOWANCE_MS, time_limit_ms
from wisteriapulley.routing import RouteKind

log = logging.getLogger(__name__)

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
# How often a request that has not started looks whether a newer version of the weights
# was named. Short against the time that a superseded version may serve.
DEADLINE_LOOK_INTERVAL_S = 0.25
# By how much a target may stop work before the end of its time limit, because limits
# are whole milliseconds and clocks differ in speed.
STOP_TOLERANCE_S = 0.01


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
    limits : ResponseLimits
        How much targets may send.

    Attributes
    ----------
    has_time : callable
        Returns whether a request that is sent once more can end before a drain does.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        client: TargetClient,
        metrics: EntryMetrics,
        crashes: CrashTracker,
        recorder: SignalRecorder,
        limits: ResponseLimits,
    ):
        self.registry = registry
        self.client = client
        self.metrics = metrics
        self.crashes = crashes
        self.recorder = recorder
        self.limits = limits
        self.kept_bytes = KeptBytes(limits.kept_bytes)
        self.has_time: Callable[[Admitted, Progress], bool] = lambda *_: True

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def open(self, slot: AllocatedSlot, progress: Progress) -> Exchange:
        """Return the exchange with one target, which has received nothing yet."""
        progress.tried.add(slot.target.target_id)
        exchange = Exchange(slot, progress, self.now_s(), self.limits, self.kept_bytes)
        exchange.known_suspects = self.crashes.parts.known_suspects(progress)
        return exchange

    async def next_arrival(
        self,
        exchange: Exchange,
        admitted: Admitted,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Arrival:
        """Return what arrives next, however long the target is silent before it."""
        if exchange.response is None:
            refusal = await self.receive_head(exchange, admitted, progress)
            if refusal is None:
                refusal = self.check_head(exchange, admitted, progress, answer)
            if refusal is not None:
                return Arrival(refusal=refusal)
        if is_event_stream(admitted, exchange.response):
            return await self.receive_events(exchange, admitted, progress)
        return await self.receive_body(exchange, admitted, progress)

    async def receive_head(
        self, exchange: Exchange, admitted: Admitted, progress: Progress
    ) -> Refusal | None:
        """Send a request and wait for status and headers."""
        target, slot, sent_s = exchange.target, exchange.slot, exchange.sent_s
        if self.left_s(admitted, progress) < MIN_SEND_S:
            reason = "no time left"
            return Refusal(RefusalKind.UNAVAILABLE, REJECTED_RETRY_S, reason)
        if not slot.may_send(self.now_s()):
            # A kept connection would take the request before a timeout cancels it.
            reason = "weights superseded"
            return Refusal(RefusalKind.UNAVAILABLE, REJECTED_RETRY_S, reason)
        plan = SendPlan(
            target.address,
            target.target_id,
            admitted.account_name,
            self.limit_time(exchange, admitted),
            slot.version,
            exchange.events.last_id,
            not admitted.route.repeatable,
        )
        try:
            async with start_limit(slot):
                response = await self.client.send(admitted.request, plan)
        except NoTimeLeftError as error:
            return Refusal(RefusalKind.UNAVAILABLE, REJECTED_RETRY_S, str(error))
        except NotSentError as error:
            target.record_unreachable(self.now_s())
            self.log_unreachable(admitted, target, error)
            reason = f"target unreachable: {error}"
            return Refusal(RefusalKind.UNAVAILABLE, UNREACHABLE_RETRY_S, reason)
        except (BrokenAnswerError, TimeoutError) as error:
            progress.may_have_run = True
            self.log_no_response(admitted, exchange, error)
            await self.record_no_response(exchange, admitted, error)
            return Refusal(
                RefusalKind.FAILED, reason=f"no response from target: {error!r}"
            )
        exchange.response, exchange.parts = response, response.parts()
        if not response.other_instance:
            exchange.outcome = outcome_of(response)
            self.recorder.record(target, response.signals, sent_s)
        exchange.record_part(sent_s, self.now_s())
        return None

    def limit_time(self, exchange: Exchange, admitted: Admitted) -> float:
        """Return the time limit for a target, in seconds, and record when it ends."""
        now_s = self.now_s()
        remaining_ms = (admitted.deadline_s - now_s) * 1000
        limit_ms = time_limit_ms(remaining_ms, exchange.slot.start_left_ms(now_s))
        exchange.limit_s = limit_ms / 1000
        if limit_ms < remaining_ms:
            exchange.stops_s = now_s + exchange.limit_s - STOP_TOLERANCE_S
        return exchange.limit_s

    async def record_no_response(
        self, exchange: Exchange, admitted: Admitted, error: Exception
    ) -> None:
        """Record that a target broke off, or that a version of the weights ended.

        After a timeout this entry has closed the connection. That tells nothing of the
        target, which may be exiting as planned. One that breaks off at the end of its
        time limit has not failed, unless it crashed.
        """
        now_s = self.now_s()
        if isinstance(error, TimeoutError):
            self.look_for_newer(exchange)
            return
        if exchange.has_stopped(now_s) and not isinstance(error, OversizedAnswerError):
            self.look_for_newer(exchange)
        elif not isinstance(error, NoMemoryLeftError):
            self.registry.record_outcome(exchange.target, True, now_s)
            self.look_for_slot(exchange)
        await self.crashes.check_for_crash(admitted, exchange)

    def look_for_newer(self, exchange: Exchange) -> None:
        """Let a request look for a target with newer weights, as its version ended.

        Engines that have not switched yet do so by the end of the version, which is
        this long after the last start on it.
        """
        look_until_s = self.now_s() + PAUSE_ALLOWANCE_MS / 1000
        exchange.progress.look_until_s = look_until_s
        exchange.progress.min_version = exchange.slot.version + 1

    def look_for_slot(self, exchange: Exchange) -> None:
        """Let a request whose target exits as planned wait for a slot at another."""
        target, progress = exchange.target, exchange.progress
        if target.is_retired or self.registry.is_evacuated(target):
            progress.look_until_s = max(progress.look_until_s, self.now_s())

    def check_head(
        self,
        exchange: Exchange,
        admitted: Admitted,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Return why a response is not relayed; None if it is."""
        target, response = exchange.target, exchange.response
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
            progress.rejected_until_s[target.target_id] = self.now_s() + retry_s
            return Refusal(
                RefusalKind.OVERLOADED, retry_s, "target rejected the request"
            )
        progress.may_have_run = True
        failed = is_server_error(response)
        self.registry.record_outcome(target, failed, self.now_s())
        is_useless = answer.started and response.status != HTTP_OK
        if is_useless or (failed and self.may_retry(admitted, progress, answer)):
            return Refusal(
                RefusalKind.FAILED, reason=f"target returned status {response.status}"
            )
        return None

    def may_retry(
        self, admitted: Admitted, progress: Progress, answer: CallerAnswer
    ) -> bool:
        """Return whether another target may still serve a failed request."""
        if not admitted.route.repeatable or answer.started:
            return False
        if self.left_s(admitted, progress) <= MIN_SEND_S:
            return False
        return progress.open_exchanges > 1 or (
            progress.has_targets_left
            and self.has_time(admitted, progress)
            and self.has_untried_target(admitted, progress)
        )

    def left_s(self, admitted: Admitted, progress: Progress) -> float:
        """Return how much time a request has left to begin, or then to end."""
        return progress.as_of_now(admitted).ends_s - self.now_s()

    def has_untried_target(self, admitted: Admitted, progress: Progress) -> bool:
        """Return whether an available target has not been tried yet."""
        candidates = self.registry.candidates(
            progress.service, self.now_s(), homes=admitted.homes
        )
        return any(target.target_id not in progress.tried for target in candidates)

    async def receive_body(
        self, exchange: Exchange, admitted: Admitted, progress: Progress
    ) -> Arrival:
        """Read a response completely, or until no more of it can be kept.

        If it breaks off before, the request can still be sent to another target.
        """
        try:
            data, ended = await self.read_body(exchange, progress)
            if ended:
                await self.check_end(exchange)
        except BrokenAnswerError as error:
            self.log_broken_body(admitted, exchange, error)
            await self.record_no_response(exchange, admitted, error)
            reason = f"response broke off: {error}"
            return Arrival(refusal=Refusal(RefusalKind.FAILED, reason=reason))
        if exchange.response.status == HTTP_OK:
            self.crashes.parts.record_begun(progress)
        return Arrival(data, ended)

    async def read_body(
        self, exchange: Exchange, progress: Progress
    ) -> tuple[bytes, bool]:
        """Return the rest of a body, or a part of it, and whether it has ended.

        The caller gets a part at a time once one could not be kept, and then its speed
        limits the target's.

        Raises
        ------
        BrokenAnswerError
            The body ended early, or is larger than a body may be.
        """
        self.check_body_size(exchange.response.length or 0)
        body = bytearray()
        async for part in exchange.parts:
            exchange.waiting_since_s = self.now_s()
            exchange.body_bytes += len(part)
            self.check_body_size(exchange.body_bytes)
            body += part
            if progress.body_begun or not exchange.kept.resize(len(body)):
                return bytes(body), False
        return bytes(body), True

    def check_body_size(self, size: int) -> None:
        """Check the size of a body so far, or the size that a target states.

        Raises
        ------
        OversizedAnswerError
            It is larger than a body may be.
        """
        if size > self.limits.body_bytes:
            raise OversizedAnswerError("body", size, self.limits.body_bytes)

    async def receive_events(
        self, exchange: Exchange, admitted: Admitted, progress: Progress
    ) -> Arrival:
        """Read a stream until an event is complete, or to its end.

        If it breaks off, another target can resume it after the last complete event.
        """
        events_before = exchange.events_received
        try:
            data = await self.read_events(exchange)
        except (BrokenAnswerError, TimeoutError) as error:
            exchange.broke_off = True
            self.log_broken_stream(admitted, exchange, error)
            await self.record_no_response(exchange, admitted, error)
            reason = "stream broke off"
            return Arrival(refusal=Refusal(RefusalKind.FAILED, reason=reason))
        if data:
            if not events_before:
                self.crashes.parts.record_begun(progress)
            return Arrival(data)
        return Arrival(ended=True)

    async def read_events(self, exchange: Exchange) -> bytes:
        """Return the next complete events, or the rest of a stream that has ended.

        The rest has comments alone, and is empty when it was returned before.

        Raises
        ------
        BrokenAnswerError
            The stream ended early, or an event is too large.
        TimeoutError
            The request did not start in time.
        """
        while True:
            begin_s = self.now_s()
            try:
                part = await self.read_part(exchange)
            except StopAsyncIteration:
                if exchange.events.partial:
                    raise BrokenAnswerError("stream ended within an event") from None
                await self.check_end(exchange)
                return exchange.events.take_rest()
            data = exchange.events.feed(part)
            is_progress = bool(data) or exchange.events.has_begun_event
            exchange.record_part(begin_s, self.now_s(), is_progress)
            exchange.begun = exchange.begun or is_progress
            self.keep_partial(exchange)
            if data:
                return data

    def keep_partial(self, exchange: Exchange) -> None:
        """Count what follows the last event as kept.

        Raises
        ------
        NoMemoryLeftError
            The entry can't keep it.
        """
        size = len(exchange.events.held)
        if not exchange.kept.resize(size):
            raise NoMemoryLeftError(f"no memory left for an event of {size} bytes")

    async def check_end(self, exchange: Exchange) -> None:
        """Check that a response that has ended is whole.

        One without a stated end may also have been stopped with its version.

        Raises
        ------
        BrokenAnswerError
            It may have been cut.
        """
        unframed = exchange.response.unframed
        if unframed and exchange.has_stopped(self.now_s()):
            raise BrokenAnswerError("target ended at its time limit")
        if await self.crashes.may_have_cut(exchange):
            raise BrokenAnswerError("target ended, and may have cut its response")

    async def read_part(self, exchange: Exchange) -> bytes:
        """Return the next part of a stream.

        Engines serve a superseded version of the weights until the end of its grace
        period, and an engine may be slower than its sidecar estimates. A request that
        has not started by then is dropped, so that none starts on expired weights.

        Raises
        ------
        StopAsyncIteration
            The stream has ended.
        """
        if exchange.begun:
            return await anext(exchange.parts)
        async with start_limit(exchange.slot):
            return await anext(exchange.parts)

    # -- relaying --------------------------------------------------------

    async def relay(
        self,
        exchange: Exchange,
        arrival: Arrival,
        admitted: Admitted,
        progress: Progress,
        answer: CallerAnswer,
    ) -> None:
        """Relay what arrived to the caller."""
        response, target = exchange.response, exchange.target
        progress.events = exchange.events
        is_stream = is_event_stream(admitted, response)
        if not answer.started:
            if is_stream and arrival.data:
                self.record_first_event(admitted, target)
            length = len(arrival.data) if arrival.ended else response.length
            if is_stream:
                length = None
            progress.body_begun = not is_stream
            progress.record_begun(admitted.deadline_s, response.status)
            await answer.start(response.status, response.headers, length)
        if arrival.data:
            await answer.write(arrival.data)
        if not is_stream:
            exchange.kept.release()
        if not arrival.ended:
            return
        await answer.finish()
        if not is_server_error(response):
            self.crashes.record_answered(admitted, progress)
        self.log_answered(
            admitted, target, response.status, exchange.events.event_count
        )

    # -- silent targets --------------------------------------------------

    def record_resumed(self, exchange: Exchange, admitted: Admitted) -> None:
        """Record that a silent target went on, so that it is sound."""
        self.log_silence("silent target went on", exchange, admitted)
        exchange.silent_since_s = None
        self.registry.record_resumed(exchange.target, self.now_s())
        self.metrics.record_silence("went_on")

    def record_abandoned(self, exchange: Exchange, admitted: Admitted) -> None:
        """Record that another target went on while this one was still silent."""
        exchange.broke_off = True
        self.log_silence("silent target left", exchange, admitted)
        self.metrics.record_silence("left")
        now_s = self.now_s()
        may_work = exchange.begun or exchange.slot.may_start(now_s)
        if may_work and not exchange.has_stopped(now_s):
            self.registry.record_silence(exchange.target, now_s)

    def record_given_up(self, exchange: Exchange, admitted: Admitted) -> None:
        """Record that a request is cancelled while its target works on it."""
        self.log_silence("request given up at target", exchange, admitted)
        self.metrics.record_given_up(exchange.begun)

    def record_spare_error(
        self, error: BaseException | None, admitted: Admitted
    ) -> None:
        """Record an internal error while another target was looked for, if any."""
        if error is None:
            return
        log.error(
            "no other target because of an internal error",
            exc_info=error,
            extra=fields(admitted.request.request_id, admitted.revision),
        )
        self.metrics.internal_errors.inc({})

    def log_silence(self, message: str, exchange: Exchange, admitted: Admitted) -> None:
        """Log a silence of a target, with its length so far."""
        now_s = self.now_s()
        log.info(
            message,
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=exchange.target.target_id,
                last_event=exchange.events.last_id,
                silent_ms=exchange.silent_ms(now_s),
                sent_ms=int((now_s - exchange.sent_s) * 1000),
                waited_ms=int((now_s - admitted.request.arrived_s) * 1000),
            ),
        )

    def record_first_event(self, admitted: Admitted, target: Target) -> None:
        """Record the time to the first event of a stream."""
        took_s = self.now_s() - admitted.request.arrived_s
        traffic_class = f"{target.state.service}/{admitted.route.kind.value}"
        self.metrics.record_first_part(admitted.account_name, traffic_class, took_s)

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

    def log_unreachable(
        self, admitted: Admitted, target: Target, error: Exception
    ) -> None:
        """Log that a request could not be sent, and when the target is next asked."""
        left_s = target.unreachable_until_s - self.now_s()
        log.info(
            "target unreachable",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                address=target.address,
                backoff_ms=int(left_s * 1000),
                reason=str(error),
            ),
        )

    def log_no_response(
        self, admitted: Admitted, exchange: Exchange, error: Exception
    ) -> None:
        """Log that a target sent no head, and how long it had been silent."""
        now_s = self.now_s()
        log.info(
            "no response from target",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=exchange.target.target_id,
                silent_ms=exchange.silent_ms(now_s),
                sent_ms=int((now_s - exchange.sent_s) * 1000),
                first_event_ms=exchange.slot.first_event_ms,
                start_left_ms=exchange.slot.start_left_ms(now_s),
                limit_ms=int(exchange.limit_s * 1000),
                reason=repr(error),
            ),
        )

    def log_broken_body(
        self, admitted: Admitted, exchange: Exchange, error: Exception
    ) -> None:
        """Log that a body ended early, or was too large."""
        log.info(
            "response broke off",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=exchange.target.target_id,
                silent_ms=exchange.silent_ms(self.now_s()),
                limit_ms=int(exchange.limit_s * 1000),
                reason=str(error),
            ),
        )

    def log_broken_stream(
        self, admitted: Admitted, exchange: Exchange, error: Exception
    ) -> None:
        """Log that a stream ended early, and how long its target had been silent."""
        now_s = self.now_s()
        log.info(
            "stream broke off",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                target=exchange.target.target_id,
                last_event=exchange.events.last_id,
                silent_ms=exchange.silent_ms(now_s),
                sent_ms=int((now_s - exchange.sent_s) * 1000),
                first_event_ms=exchange.slot.first_event_ms,
                start_left_ms=exchange.slot.start_left_ms(now_s),
                limit_ms=int(exchange.limit_s * 1000),
                reason=repr(error),
            ),
        )


@contextlib.asynccontextmanager
async def start_limit(slot: AllocatedSlot) -> AsyncIterator[None]:
    """Raise TimeoutError once a request may no longer start.

    A newer version may be named meanwhile, so the deadline is looked at again.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None

    def look() -> None:
        nonlocal timer
        if not limit.expired():
            limit.reschedule(slot.deadline_s())
            timer = loop.call_later(DEADLINE_LOOK_INTERVAL_S, look)

    async with asyncio.timeout_at(slot.deadline_s()) as limit:
        if slot.version_deadline_s is not None:
            timer = loop.call_later(DEADLINE_LOOK_INTERVAL_S, look)
        try:
            yield
        finally:
            if timer is not None:
                timer.cancel()


def is_server_error(response: TargetAnswer) -> bool:
    """Return whether a target reported a server error."""
    return response.status >= SERVER_ERROR


def is_event_stream(admitted: Admitted, response: TargetAnswer) -> bool:
    """Return whether a response is relayed event by event."""
    return admitted.route.kind is RouteKind.STREAM and response.status == HTTP_OK


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
