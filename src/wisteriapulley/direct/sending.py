"""Sends a request to one target, and passes the answer on to its caller."""

import asyncio
import logging

from wisteriapulley.direct.crashes import CrashWatch
from wisteriapulley.direct.hearing import Hearing
from wisteriapulley.direct.placing import Place
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target, TargetRegistry
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

# A target that sends no first event, or no further one, for so long is taken for
# dead, and the stream goes on elsewhere. An engine that reads long prompts
# pauses for some hundred milliseconds.
STREAM_SILENCE_S = 1.6
# Share of a plain request's time after which a silent target is given up for
# another one; above the slowest ordinary work.
PLAIN_PATIENCE_SHARE = 0.5
# Ordinary work takes up to so long, however short the caller's time is.
LEAST_PATIENCE_S = 0.45
# Less time than this is no use to a target.
LEAST_SEND_S = 0.05
HTTP_OK = 200
SERVER_ERROR = 500
UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
# When to come back after a target was not reached, or did not take the request:
# another one, or another entry, can serve it at once.
UNREACHED_RETRY_S = 0.3
NOT_TAKEN_RETRY_S = 0.2


class Sender:
    """Sends of one entry.

    Parameters
    ----------
    registry : TargetRegistry
        Learns how sends end.
    client : TargetClient
        Sends.
    metrics : EntryMetrics
        Counts.
    crashes : CrashWatch
        Learns which requests targets broke off.
    hearing : Hearing
        Takes in what targets say of themselves.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        client: TargetClient,
        metrics: EntryMetrics,
        crashes: CrashWatch,
        hearing: Hearing,
    ):
        self.registry = registry
        self.client = client
        self.metrics = metrics
        self.crashes = crashes
        self.hearing = hearing

    def now_s(self) -> float:
        """Return the loop's clock."""
        return asyncio.get_running_loop().time()

    async def send(
        self,
        admitted: Admitted,
        place: Place,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Send to one target and pass its answer on.

        Returns
        -------
        Refusal or None
            None when the caller has its final answer.
        """
        target = place.target
        progress.tried.add(target.target_id)
        progress.outcome = SendOutcome.UNKNOWN
        remaining_s = admitted.deadline_s - self.now_s()
        if remaining_s < LEAST_SEND_S:
            return Refusal(RefusalKind.TIMED_OUT, reason="no time left")
        plan = SendPlan(
            target.address,
            target.target_id,
            admitted.account_name,
            remaining_s,
            place.version,
            progress.events.last_id,
            not admitted.route.repeatable,
        )
        sent_s = self.now_s()
        try:
            head = await self.head(admitted, place, plan, progress)
        except NotSentError as error:
            target.unreachable(self.now_s())
            reason = f"not sent: {error}"
            return Refusal(RefusalKind.UNAVAILABLE, UNREACHED_RETRY_S, reason)
        except (BrokenAnswerError, TimeoutError) as error:
            progress.may_have_run = True
            self.judge_silence(place)
            await self.crashes.broke_off(admitted, target, progress)
            return Refusal(RefusalKind.FAILED, reason=f"no answer: {error!r}")
        if not head.other_instance:
            progress.outcome = outcome_of(head)
            self.hearing.hear(target, head.says, sent_s)
        try:
            return await self.pass_on(admitted, place, head, progress, answer)
        finally:
            head.close()

    def judge_silence(self, place: Place) -> None:
        """Note that a target broke off, unless the entry itself gave it up.

        One whose weights had no time left did not fail.
        """
        if place.begins_by_s is None or self.now_s() < place.begins_by_s:
            self.registry.judge(place.target, True, self.now_s())

    def until_begun_s(self, place: Place, patience: float | None) -> float | None:
        """Return how long to wait for what shows that a request has begun.

        Load: engines that serve an older version of the weights until its last
        moment, one of them slower than its sidecar reckons. Harm prevented: a
        request that begins on weights after their time. It is dropped before.
        """
        if place.begins_by_s is None:
            return patience
        left_s = max(0.0, place.begins_by_s - self.now_s())
        return left_s if patience is None else min(patience, left_s)

    async def head(
        self, admitted: Admitted, place: Place, plan: SendPlan, progress: Progress
    ) -> TargetAnswer:
        """Send, and wait for the head as long as that makes sense."""
        patience = patience_s(admitted.route, plan.remaining_s, progress.has_sends_left)
        async with asyncio.timeout(self.until_begun_s(place, patience)):
            return await self.client.send(admitted.request, plan)

    async def pass_on(
        self,
        admitted: Admitted,
        place: Place,
        head: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Pass an answer on, unless it says that another target may do better."""
        target = place.target
        if head.other_instance:
            self.registry.other_at(target, self.now_s())
            reason = "another instance"
            return Refusal(RefusalKind.UNAVAILABLE, NOT_TAKEN_RETRY_S, reason)
        if head.not_run:
            self.log_turned_away(admitted, target, head)
            wait_s = self.registry.holds_back_s(progress.service, self.now_s())
            retry_s = max(NOT_TAKEN_RETRY_S, wait_s)
            return Refusal(RefusalKind.OVERLOADED, retry_s, "target refused")
        progress.may_have_run = True
        self.registry.judge(target, failed(head), self.now_s())
        if failed(head) and self.may_repeat(admitted, progress, answer):
            return Refusal(RefusalKind.FAILED, reason=f"target said {head.status}")
        if answer.started and head.status != HTTP_OK:
            return Refusal(RefusalKind.FAILED, reason=f"target said {head.status}")
        if admitted.route.kind is RouteKind.STREAM and head.status == HTTP_OK:
            return await self.stream(admitted, place, head, progress, answer)
        return await self.whole(admitted, target, head, progress, answer)

    def may_repeat(
        self, admitted: Admitted, progress: Progress, answer: CallerAnswer
    ) -> bool:
        """Tell whether a failed request may go to another target."""
        left_s = admitted.deadline_s - self.now_s()
        return (
            admitted.route.repeatable
            and progress.has_sends_left
            and not answer.started
            and left_s > LEAST_SEND_S
            and self.has_another(progress)
        )

    def has_another(self, progress: Progress) -> bool:
        """Tell whether a request may go to a target that was not tried."""
        candidates = self.registry.candidates(progress.service, self.now_s())
        return any(target.target_id not in progress.tried for target in candidates)

    def head_came(self, admitted: Admitted, target: Target) -> None:
        """Note the time to a stream's first event."""
        took_s = self.now_s() - admitted.request.arrived_s
        traffic_class = f"{target.state.service}/{admitted.route.kind.value}"
        self.metrics.record_first_part(admitted.account_name, traffic_class, took_s)

    async def whole(
        self,
        admitted: Admitted,
        target: Target,
        head: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Read an answer whole, then pass it on.

        An answer that breaks off can then still be had of another target.
        """
        try:
            body = b"".join([part async for part in head.parts()])
        except BrokenAnswerError as error:
            self.registry.judge(target, True, self.now_s())
            await self.crashes.broke_off(admitted, target, progress)
            return Refusal(RefusalKind.FAILED, reason=f"answer broke off: {error}")
        await answer.start(head.status, head.headers, len(body))
        await answer.write(body)
        await answer.finish()
        if not failed(head):
            self.crashes.answered(admitted, progress)
        self.log_answered(admitted, target, head.status)
        return None

    async def stream(
        self,
        admitted: Admitted,
        place: Place,
        head: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> Refusal | None:
        """Pass whole events on as they come.

        Another target can go on behind the last whole event where this one stops.
        """
        target, events = place.target, progress.events
        try:
            await self.pass_events(admitted, place, head, progress, answer)
        except (BrokenAnswerError, TimeoutError) as error:
            events.break_off()
            self.judge_silence(place)
            self.log_broken(admitted, target, events.last_id, error)
            await self.crashes.broke_off(admitted, target, progress)
            return Refusal(RefusalKind.FAILED, reason="stream broke off")
        if events.rest:
            events.break_off()
            return Refusal(RefusalKind.FAILED, reason="stream ended within an event")
        if not answer.started:
            await answer.start(head.status, head.headers, None)
        await answer.finish()
        self.crashes.answered(admitted, progress)
        self.log_answered(admitted, target, head.status, events.events)
        return None

    async def pass_events(
        self,
        admitted: Admitted,
        place: Place,
        head: TargetAnswer,
        progress: Progress,
        answer: CallerAnswer,
    ) -> None:
        """Pass events on until the stream ends.

        Raises
        ------
        BrokenAnswerError
            It ended early.
        TimeoutError
            The target fell silent.
        """
        parts = head.parts()
        silence_s = self.until_begun_s(place, STREAM_SILENCE_S)
        while True:
            try:
                async with asyncio.timeout(silence_s):
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            silence_s = STREAM_SILENCE_S
            whole = progress.events.feed(part)
            if not whole:
                continue
            if not answer.started:
                self.head_came(admitted, place.target)
                await answer.start(head.status, head.headers, None)
            await answer.write(whole)

    # -- logs ------------------------------------------------------------

    def log_answered(
        self, admitted: Admitted, target: Target, status: int, events: int = 0
    ) -> None:
        """Log that a caller has its whole answer."""
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

    def log_turned_away(
        self, admitted: Admitted, target: Target, head: TargetAnswer
    ) -> None:
        """Log that a target did not run a request, and what it said of itself."""
        says = head.says
        log.info(
            "target turned a request away",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                status=head.status,
                rest_s=says.cooldown.seconds,
                leaving=says.leaving,
                load=says.load,
            ),
        )

    def log_broken(
        self, admitted: Admitted, target: Target, last_event: str, error: Exception
    ) -> None:
        """Log that a target's stream ended early."""
        log.info(
            "stream broke off",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                last_event=last_event,
                reason=repr(error),
            ),
        )


def failed(head: TargetAnswer) -> bool:
    """Tell whether a target answers that it failed."""
    return head.status >= SERVER_ERROR


def outcome_of(head: TargetAnswer) -> SendOutcome:
    """Tell what a target did with a request.

    Other refusals are for the request's sake, and tell nothing of the target.
    """
    busy = head.not_run and head.status in (UNAVAILABLE, TOO_MANY_REQUESTS)
    if busy or head.says.cooldown.seconds:
        return SendOutcome.REJECTED
    return SendOutcome.UNKNOWN if head.not_run else SendOutcome.ACCEPTED


def patience_s(route: Route, remaining_s: float, has_sends_left: bool) -> float | None:
    """Return how long to wait for a head; None for as long as the request has.

    A silent target is given up early only where another one may be asked: the
    caller of a last send has nothing else to hope for. Streams are given up in any
    case, since their callers leave after as long a silence.
    """
    if not route.repeatable:
        return None
    if route.kind is RouteKind.STREAM:
        return STREAM_SILENCE_S
    if not has_sends_left:
        return None
    return max(LEAST_PATIENCE_S, remaining_s * PLAIN_PATIENCE_SHARE)
