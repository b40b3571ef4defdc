"""Takes one request from its arrival to its final word."""

import asyncio
import logging
import random
from collections import defaultdict
from collections.abc import Callable

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sending import Sender
from wisteriapulley.direct.settings import DirectSettings
from wisteriapulley.direct.signal_recorder import SignalRecorder
from wisteriapulley.direct.slot_allocation import AllocatedSlot, SlotAllocator
from wisteriapulley.direct.types import (
    CallerAnswer,
    CallerRequest,
    Refusal,
    RefusalKind,
    TargetClient,
)
from wisteriapulley.entry.metrics import EntryMetrics
from wisteriapulley.errors import ResultCode
from wisteriapulley.logs import fields
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector
from wisteriapulley.policy.shared_budget import SharedRetryBudget
from wisteriapulley.routing import Route, RouteIndex, RoutingTable

log = logging.getLogger(__name__)

# A request that comes before the first routing table waits for it so long: an entry
# that starts alone has it sooner, and the wait stays below the objectives.
FIRST_TABLE_WAIT_S = 0.3
# When to come back to an entry that has no table, or knows no target yet. Callers
# are spread over more than this: see `policy.comeback`.
STARTING_RETRY_S = 0.5
# After a failure that left the request not run.
FAILED_RETRY_S = 0.3
RESULT_CODES = {
    RefusalKind.NO_ROUTE: ResultCode.NO_ROUTE,
    RefusalKind.BAD_KEY: ResultCode.UNAUTHORIZED,
    RefusalKind.OVERLOADED: ResultCode.OVERLOADED,
    RefusalKind.UNAVAILABLE: ResultCode.NO_TARGET,
    RefusalKind.NOT_READY: ResultCode.NO_TARGET,
    RefusalKind.QUARANTINED: ResultCode.QUARANTINED,
    RefusalKind.FAILED: ResultCode.MAY_HAVE_RUN,
    RefusalKind.TIMED_OUT: ResultCode.DEADLINE_EXCEEDED,
}
QUARANTINED_REFUSAL = Refusal(
    RefusalKind.QUARANTINED, reason="targets end under this request"
)
# Refusals after which coming back at once would meet the same again.
SPREAD_RETRY_KINDS = frozenset({RefusalKind.OVERLOADED, RefusalKind.NOT_READY})


class Dispatcher:
    """Requests of one entry.

    Parameters
    ----------
    settings : DirectSettings
        Budgets.
    registry : TargetRegistry
        Targets.
    placing : Placing
        Finds places.
    client : TargetClient
        Sends.
    metrics : EntryMetrics
        Counts.
    crashes : CrashWatch
        Knows under which requests targets end.
    is_confirmed : callable, optional
        Tells whether a quorum has confirmed the table since this entry started;
        without it, every table counts as confirmed.
    """

    def __init__(
        self,
        settings: DirectSettings,
        registry: TargetRegistry,
        allocator: SlotAllocator,
        client: TargetClient,
        metrics: EntryMetrics,
        crashes: CrashTracker,
        is_confirmed: Callable[[], bool] = lambda: True,
    ):
        self.metrics = metrics
        self.is_confirmed = is_confirmed
        self.settings = settings
        self.registry = registry
        self.allocator = allocator
        self.crashes = crashes
        hearing = SignalRecorder(allocator.report_rate)
        self.sender = Sender(registry, client, metrics, crashes, hearing)
        self.index: RouteIndex | None = None
        self.has_table = asyncio.Event()
        self.retry_budgets: dict[str, SharedRetryBudget] = {}
        # Of the whole fleet, as far as known.
        self.entry_count = 0
        # By route.
        self.returning: defaultdict[str, RetryDetector] = defaultdict(RetryDetector)
        self.random = random.Random(settings.node_id)

    def set_table(self, table: RoutingTable) -> None:
        """Use a newer routing table."""
        self.index = RouteIndex(table)
        self.has_table.set()

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return a service's budget of second sends."""
        if service not in self.retry_budgets:
            self.retry_budgets[service] = SharedRetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
            self.retry_budgets[service].update_entries(self.entry_count)
        return self.retry_budgets[service]

    def set_entry_count(self, entry_count: int) -> None:
        """Take in how many entries share the budgets."""
        self.entry_count = max(self.entry_count, entry_count)
        for budget in self.retry_budgets.values():
            budget.update_entries(self.entry_count)

    # -- admission -------------------------------------------------------

    def admit(self, request: CallerRequest) -> Admitted | Refusal:
        """Find the route and the account of a request."""
        if self.index is None:
            reason = "no routing table yet"
            return Refusal(RefusalKind.NOT_READY, STARTING_RETRY_S, reason)
        route = self.index.find_route(request.host, request.path)
        if route is None:
            return self.refuse_unlisted(RefusalKind.NO_ROUTE, "no route")
        account = self.index.find_account(request.key) if request.key else None
        if account is None and self.index.table.needs_keys and not route.public:
            return self.refuse_unlisted(RefusalKind.BAD_KEY, "unknown key")
        # A caller that states no time, or too long a one, waits for the route's limit.
        limit_s = min(route.timeout_ms / 1000, request.max_wait_s)
        arrived_s = request.arrived_s
        returned = self.returning[route.name].is_retry(limit_s, arrived_s)
        return Admitted(request, route, account, arrived_s + limit_s, returned)

    def refuse_unlisted(self, kind: RefusalKind, reason: str) -> Refusal:
        """Refuse for good only by a table that a quorum has confirmed.

        Until then the table may be older than the one in force, and what it lacks
        may have been added.
        """
        if self.is_confirmed():
            return Refusal(kind, reason=reason)
        reason = f"{reason} in a table not confirmed yet"
        return Refusal(RefusalKind.NOT_READY, STARTING_RETRY_S, reason)

    def choose_service(self, route: Route, now_s: float) -> str:
        """Choose by weight among the services that have a target now."""
        splits = [split for split in route.splits if split.weight > 0]
        able = [s for s in splits if self.registry.candidates(s.service, now_s)]
        pool = able or splits
        chosen = self.random.choices(pool, [split.weight for split in pool])
        return chosen[0].service

    # -- serving ---------------------------------------------------------

    async def serve(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> Refusal | None:
        """Answer a request, or return why it gets no answer of a target.

        After `answer` was started nothing is returned: it is finished or cut.
        """
        await self.wait_for_table(request)
        admitted = self.admit(request)
        if isinstance(admitted, Refusal):
            return self.finish_refusal(request, admitted)
        service = self.choose_service(admitted.route, self.now_s())
        self.retry_budget(service).record_request(self.now_s())
        try:
            async with asyncio.timeout_at(admitted.deadline_s):
                refusal = await self.send_until_answered(admitted, service, answer)
        except TimeoutError:
            refusal = Refusal(RefusalKind.TIMED_OUT, reason="time limit")
        except asyncio.CancelledError:
            log.info("caller left", extra=fields(request.request_id))
            raise
        self.count_result(admitted, service, refusal)
        if refusal is None:
            return None
        if refusal.kind in SPREAD_RETRY_KINDS:
            self.returning[admitted.route.name].record_refusal(self.now_s())
        if answer.started:
            log.warning(
                "answer cut",
                extra=fields(request.request_id, reason=refusal.reason),
            )
            answer.cut()
            return None
        return self.finish_refusal(request, refusal)

    async def wait_for_table(self, request: CallerRequest) -> None:
        """Let a request wait for the first routing table, but not for long."""
        if self.index is not None:
            return
        wait_s = min(FIRST_TABLE_WAIT_S, request.max_wait_s)
        try:
            async with asyncio.timeout(wait_s):
                await self.has_table.wait()
        except TimeoutError:
            # Refused by `admit`, which also logs it.
            return

    def count_result(
        self, admitted: Admitted, service: str, refusal: Refusal | None
    ) -> None:
        """Count how a request ended, by account and class."""
        code = RESULT_CODES[refusal.kind] if refusal is not None else ResultCode.OK
        took_s = self.now_s() - admitted.request.arrived_s
        traffic_class = f"{service}/{admitted.route.kind.value}"
        self.metrics.record_response(admitted.account_name, traffic_class, code, took_s)

    def finish_refusal(self, request: CallerRequest, refusal: Refusal) -> Refusal:
        """Log a refusal, and fit its time to come back to the caller's."""
        waited_s = self.now_s() - request.arrived_s
        left_s = request.max_wait_s - waited_s
        retry_s = 0.0
        if refusal.retry_s:
            spread = refusal.kind in SPREAD_RETRY_KINDS
            retry_s = retry_after_s(spread, refusal.retry_s, left_s, self.random.random)
        log.info(
            "refused",
            extra=fields(
                request.request_id,
                self.index.table.version if self.index is not None else 0,
                code=RESULT_CODES[refusal.kind],
                kind=refusal.kind.value,
                reason=refusal.reason,
                retry_s=round(retry_s, 3),
                left_s=round(left_s, 3),
                waited_s=round(waited_s, 3),
            ),
        )
        return refusal._replace(retry_s=retry_s)

    def now_s(self) -> float:
        """Return the loop's clock."""
        return asyncio.get_running_loop().time()

    async def send_until_answered(
        self, admitted: Admitted, service: str, answer: CallerAnswer
    ) -> Refusal | None:
        """Send to one target after another, as far as the route allows."""
        progress = Progress(admitted.request, service, admitted.route.attempts)
        refusal: Refusal | None = None
        while progress.has_sends_left:
            if self.crashes.is_quarantined(admitted, progress):
                return self.final_refusal(admitted, progress, QUARANTINED_REFUSAL)
            place = await self.allocate_slot(admitted, progress)
            if isinstance(place, Refusal):
                return self.final_refusal(
                    admitted, progress, merge_refusals(refusal, place)
                )
            if self.crashes.is_quarantined(admitted, progress):
                # What others tell may have come while it waited for the place.
                place.release()
                return self.final_refusal(admitted, progress, QUARANTINED_REFUSAL)
            if progress.sends and not self.retry_budget(service).spend(self.now_s()):
                place.release()
                return self.final_refusal(admitted, progress, refusal)
            progress.sends += 1
            self.log_placed(admitted, place, progress)
            try:
                refusal = await self.sender.send(admitted, place, progress, answer)
            finally:
                place.release(progress.outcome)
            if refusal is None:
                return None
            if progress.may_have_run and not admitted.route.repeatable:
                break
        return self.final_refusal(admitted, progress, refusal)

    def log_placed(
        self, admitted: Admitted, slot: AllocatedSlot, progress: Progress
    ) -> None:
        """Log where a request goes, and what decided it."""
        target, now_s = slot.target, self.now_s()
        log.info(
            "placed",
            extra=fields(
                admitted.request.request_id,
                self.index.table.version,
                route=admitted.route.name,
                account=admitted.account_name,
                target=target.target_id,
                address=target.address,
                send=progress.sends,
                weights=slot.version,
                prompt_tokens=admitted.request.prompt_tokens,
                answer_tokens=admitted.request.answer_tokens,
                granted=slot.granted,
                rate=target.rate.per_s,
                outstanding=target.outstanding,
                heard_ms=int((now_s - target.last_seen_s) * 1000),
                waited_ms=int((now_s - admitted.request.arrived_s) * 1000),
                returned=admitted.returned,
            ),
        )

    async def allocate_slot(
        self, admitted: Admitted, progress: Progress
    ) -> AllocatedSlot | Refusal:
        """Find a place for the next send."""
        service, now_s = progress.service, self.now_s()
        engine = self.index.services[service].engine
        is_last = progress.is_last_send or not self.retry_budget(service).has_budget(
            now_s
        )
        return await self.allocator.allocate(
            admitted, service, engine, progress.tried, now_s, is_last
        )

    def final_refusal(
        self, admitted: Admitted, progress: Progress, refusal: Refusal | None
    ) -> Refusal:
        """Promise that a request did not run only where that is sure."""
        refusal = refusal or Refusal(RefusalKind.FAILED, reason="no attempt left")
        if progress.may_have_run:
            return Refusal(RefusalKind.FAILED, reason=refusal.reason)
        if refusal.kind is RefusalKind.FAILED:
            return Refusal(RefusalKind.UNAVAILABLE, FAILED_RETRY_S, refusal.reason)
        return refusal


def merge_refusals(refusal: Refusal | None, no_slot: Refusal) -> Refusal:
    """Return the last word on a request that no further target can be found for.

    One that was turned away is told when there may be a place for it.
    """
    if refusal is None:
        return no_slot
    is_full = no_slot.kind is RefusalKind.OVERLOADED
    if is_full and refusal.kind is RefusalKind.OVERLOADED:
        return refusal._replace(retry_s=no_slot.retry_s)
    return refusal
