"""Dispatches requests of callers to targets, with retries, until a final result."""

import asyncio
import contextlib
import functools
import logging
import random
from collections import Counter, defaultdict
from collections.abc import Callable

from wisteriapulley.direct.crashes import CrashTracker
from wisteriapulley.direct.drain_limits import DrainLimits, work_of
from wisteriapulley.direct.exchange import Exchange
from wisteriapulley.direct.hedging import HedgedRelay
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.sending import MIN_SEND_S, Sender
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
from wisteriapulley.policy.drain_window import STOPPING_RETRY_S
from wisteriapulley.policy.outage_hold import OutageHold
from wisteriapulley.policy.prompt_sizes import PromptSizes
from wisteriapulley.policy.retry_after import retry_after_s
from wisteriapulley.policy.retry_detection import RetryDetector
from wisteriapulley.policy.service_times import bound_of
from wisteriapulley.policy.shared_budget import SharedRetryBudget
from wisteriapulley.policy.silence import MAX_LOOK_INTERVAL_S, next_look_s
from wisteriapulley.routing import Account, Route, RouteIndex, RoutingTable
from wisteriapulley.routing.homes import describe_homes, shared_homes

log = logging.getLogger(__name__)

# How long a request waits for the first routing table. A single starting entry
# receives it sooner, and the wait stays below the latency objectives.
FIRST_TABLE_WAIT_S = 0.3
# Retry time while this entry has no routing table or target yet. The retries of callers
# are spread over a longer time; see `policy.retry_after`.
STARTING_RETRY_S = 0.5
# Retry time after a failure in which the request did not run.
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
NO_SEND_LEFT = Refusal(RefusalKind.FAILED, reason="no attempt left")
STOPPED_UNSENT = Refusal(
    RefusalKind.UNAVAILABLE, STOPPING_RETRY_S, "entry stopped before a slot was free"
)
TOO_LATE = Refusal(
    RefusalKind.UNAVAILABLE, STOPPING_RETRY_S, "not enough time left to send it"
)
NO_TIME_LEFT = Refusal(
    RefusalKind.UNAVAILABLE, FAILED_RETRY_S, "no time left to send it"
)
SUSPECTED = Refusal(
    RefusalKind.FAILED, reason="part of the prompt may crash another target"
)
# Refusals after which an immediate retry would be refused again.
SPREAD_RETRY_KINDS = frozenset({RefusalKind.OVERLOADED, RefusalKind.NOT_READY})
# Refusals for want of a target or of a slot.
NO_ROOM_KINDS = SPREAD_RETRY_KINDS | {RefusalKind.UNAVAILABLE}


class Dispatcher:
    """Dispatches the requests of one entry.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the entry, with the retry budget.
    registry : TargetRegistry
        Known targets.
    allocator : SlotAllocator
        Allocates slots at targets.
    client : TargetClient
        Sends requests to targets.
    metrics : EntryMetrics
        Metrics of requests.
    crashes : CrashTracker
        Tracks requests that crash targets.
    is_confirmed : callable, optional
        Returns whether a quorum has confirmed the routing table since this entry
        started. By default, every table counts as confirmed.

    Attributes
    ----------
    is_overdue : callable
        Returns whether requests are cancelled because the entry stops.
    drain_limits : DrainLimits
        Which requests can still end before the drain does.
    retry_budgets : dict of str to SharedRetryBudget
        Retry budgets by service.
    entry_count : int
        Largest number of entries in the fleet seen so far.
    retry_detectors : dict of str to RetryDetector
        Detects retries of refused callers, by route.
    prompt_sizes : dict of str to PromptSizes
        Sizes of the prompts of new requests, by route.
    outages : dict of tuple to OutageHold
        Hold requests during outages, by service and home regions.
    in_progress : Counter of str
        Requests in progress, by service.
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
        recorder = SignalRecorder(allocator.report_rate)
        self.sender = Sender(
            registry, client, metrics, crashes, recorder, settings.response_limits
        )
        self.is_overdue: Callable[[], bool] = lambda: False
        self.drain_limits = DrainLimits(self.find_route)
        self.sender.has_time = self.drain_limits.has_time
        self.index: RouteIndex | None = None
        self.has_table = asyncio.Event()
        self.retry_budgets: dict[str, SharedRetryBudget] = {}
        self.entry_count = 0
        self.retry_detectors: defaultdict[str, RetryDetector] = defaultdict(
            RetryDetector
        )
        self.prompt_sizes: defaultdict[str, PromptSizes] = defaultdict(PromptSizes)
        self.outages: defaultdict[tuple[str, tuple[str, ...]], OutageHold] = (
            defaultdict(OutageHold)
        )
        self.in_progress: Counter[str] = Counter()
        self.random = random.Random(settings.node_id)

    def set_table(self, table: RoutingTable) -> None:
        """Switch to a newer routing table."""
        self.index = RouteIndex(table)
        self.has_table.set()

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        if service not in self.retry_budgets:
            self.retry_budgets[service] = SharedRetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
            self.retry_budgets[service].update_entries(self.entry_count)
        return self.retry_budgets[service]

    def set_entry_count(self, entry_count: int) -> None:
        """Update the number of entries that share the retry budgets."""
        self.entry_count = max(self.entry_count, entry_count)
        for budget in self.retry_budgets.values():
            budget.update_entries(self.entry_count)

    # -- admission -------------------------------------------------------

    def admit(self, request: CallerRequest) -> Admitted | Refusal:
        """Find the route and the client account of a request."""
        index = self.index
        if index is None:
            reason = "no routing table yet"
            return Refusal(RefusalKind.NOT_READY, STARTING_RETRY_S, reason)
        route = index.find_route(request.host, request.path)
        if route is None:
            return self.refuse_unlisted(RefusalKind.NO_ROUTE, "no route")
        account = index.find_account(request.key) if request.key else None
        if account is None and index.table.needs_keys and not route.public:
            return self.refuse_unlisted(RefusalKind.BAD_KEY, "unknown key")
        account_homes = account.homes if account is not None else ()
        homes = shared_homes(route.homes, account_homes)
        if homes is None:
            return self.refuse_homeless(route, account)
        # The route's limit applies to a caller without a deadline or with a longer one.
        limit_s = min(route.timeout_ms / 1000, request.max_wait_s)
        arrived_s = request.arrived_s
        is_retry = self.retry_detectors[route.name].is_retry(limit_s, arrived_s)
        deadline_s = arrived_s + limit_s
        return Admitted(request, route, account, deadline_s, is_retry, homes, index)

    def refuse_homeless(self, route: Route, account: Account) -> Refusal:
        """Refuse a request whose route and account share no home region.

        A retry does not help: only another routing table does.
        """
        self.metrics.record_refused_in_homes(account.name)
        reason = (
            f"route {route.name!r} with {describe_homes(route.homes)} and account"
            f" {account.name!r} with {describe_homes(account.homes)} share none"
        )
        return self.refuse_unlisted(RefusalKind.UNAVAILABLE, reason)

    def refuse_unlisted(self, kind: RefusalKind, reason: str) -> Refusal:
        """Refuse a request whose route, key or home is not in the routing table.

        The refusal is final only if a quorum has confirmed the table. Until then it
        may be stale, and what is missing may have been added since.
        """
        if self.is_confirmed():
            return Refusal(kind, reason=reason)
        reason = f"{reason} in unconfirmed routing table"
        return Refusal(RefusalKind.NOT_READY, STARTING_RETRY_S, reason)

    def choose_service(
        self, route: Route, now_s: float, homes: tuple[str, ...] = ()
    ) -> str:
        """Choose by weight among the services that have an available target."""
        splits = [split for split in route.splits if split.weight > 0]
        available = [
            split
            for split in splits
            if self.registry.candidates(split.service, now_s, homes=homes)
        ]
        pool = available or splits
        chosen = self.random.choices(pool, [split.weight for split in pool])
        return chosen[0].service

    # -- serving ---------------------------------------------------------

    async def serve(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> Refusal | None:
        """Serve a request, or return why no target responded to it.

        Once `answer` has started, the result is None: it was finished or cut. That
        also holds for an internal error, of which nothing else would tell the caller.
        """
        try:
            return await self.serve_by_table(request, answer)
        except ConnectionError:
            # The caller has left.
            raise
        except Exception:
            log.exception(
                "request ended by an internal error",
                extra=fields(request.request_id, answer_started=answer.started),
            )
            self.metrics.internal_errors.inc({})
            if answer.started:
                answer.cut()
                return None
            return Refusal(RefusalKind.FAILED, reason="internal error")

    async def serve_by_table(
        self, request: CallerRequest, answer: CallerAnswer
    ) -> Refusal | None:
        """Serve a request by the routing table of its admission; see `serve`."""
        await self.wait_for_table(request)
        admitted = self.admit(request)
        if isinstance(admitted, Refusal):
            return self.finish_refusal(request, admitted)
        admitted = self.add_expected(self.record_prompt(admitted))
        service = self.choose_service(admitted.route, self.now_s(), admitted.homes)
        self.retry_budget(service).record_request(self.now_s())
        progress = Progress(request, service, admitted.route.attempts)
        self.in_progress[service] += 1
        try:
            async with asyncio.timeout_at(admitted.ends_s) as progress.time_limit:
                refusal = await self.send_until_answered(admitted, progress, answer)
        except TimeoutError:
            refusal = refuse_overdue(progress, answer)
        except asyncio.CancelledError:
            if not self.is_overdue():
                log.info("caller left", extra=fields(request.request_id))
            if progress.sends or not self.is_overdue():
                raise
            refusal = STOPPED_UNSENT
        finally:
            self.in_progress[service] -= 1
        self.count_result(admitted, progress, refusal)
        if refusal is None:
            return None
        if refusal.kind in SPREAD_RETRY_KINDS:
            self.retry_detectors[admitted.route.name].record_refusal(self.now_s())
        if answer.started:
            log.warning(
                "answer cut",
                extra=fields(
                    request.request_id, admitted.revision, reason=refusal.reason
                ),
            )
            answer.cut()
            return None
        return self.finish_refusal(request, refusal, admitted)

    def record_prompt(self, admitted: Admitted) -> Admitted:
        """Record the size of a new request's prompt, and add what is large there."""
        prompt_tokens = admitted.request.prompt_tokens
        if not prompt_tokens:
            return admitted
        sizes = self.prompt_sizes[admitted.route.name]
        if not admitted.is_retry:
            sizes.record(prompt_tokens)
        return admitted._replace(large_prompt=sizes.typical_large)

    def add_expected(self, admitted: Admitted) -> Admitted:
        """Add how long the response is expected to take, by those before it."""
        work = work_of(admitted.route, admitted.request)
        estimate = self.drain_limits.run_times.estimate(work)
        return admitted._replace(
            expected_s=bound_of(estimate) or None, mean_s=estimate.mean or None
        )

    def find_route(self, request: CallerRequest) -> Route | None:
        """Return the route of a request by the routing table in force, if any."""
        if self.index is None:
            return None
        return self.index.find_route(request.host, request.path)

    async def wait_for_table(self, request: CallerRequest) -> None:
        """Wait a short time for the first routing table."""
        if self.index is not None:
            return
        wait_s = min(FIRST_TABLE_WAIT_S, request.max_wait_s)
        # Without a table, `admit` refuses the request, and the refusal is logged.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.has_table.wait()

    def count_result(
        self, admitted: Admitted, progress: Progress, refusal: Refusal | None
    ) -> None:
        """Count the result of a request by client account and traffic class."""
        code = RESULT_CODES[refusal.kind] if refusal is not None else ResultCode.OK
        took_s = self.now_s() - admitted.request.arrived_s
        traffic_class = f"{progress.service}/{admitted.route.kind.value}"
        self.metrics.record_response(admitted.account_name, traffic_class, code, took_s)
        if refusal is None:
            self.drain_limits.record(admitted, progress)
        prompt_tokens = admitted.request.prompt_tokens
        if prompt_tokens:
            name = admitted.route.name
            is_large = self.prompt_sizes[name].is_large(prompt_tokens)
            self.metrics.record_size(name, is_large, code)
        if admitted.homes and refusal is not None and refusal.kind in NO_ROOM_KINDS:
            self.metrics.record_refused_in_homes(admitted.account_name)

    def finish_refusal(
        self,
        request: CallerRequest,
        refusal: Refusal,
        admitted: Admitted | None = None,
    ) -> Refusal:
        """Log a refusal and fit its retry time to the time that the caller has left."""
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
                denials=refusal.denials,
                route=admitted.route.name if admitted is not None else "",
                returned=admitted is not None and admitted.is_retry,
                prompt_tokens=request.prompt_tokens,
                answer_tokens=request.answer_tokens,
            ),
        )
        return refusal._replace(retry_s=retry_s)

    def now_s(self) -> float:
        """Return the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    async def send_until_answered(
        self, admitted: Admitted, progress: Progress, answer: CallerAnswer
    ) -> Refusal | None:
        """Send to one target after the other, as often as the route permits."""
        open_another = functools.partial(self.open_exchange, admitted, progress)
        refusal: Refusal | None = None
        while progress.has_sends_left:
            exchange = await self.open_exchange(admitted, progress, refusal)
            if isinstance(exchange, Refusal):
                self.extend_look(admitted, progress)
                if not self.may_look_again(admitted, progress):
                    return self.final_refusal(admitted, progress, exchange)
                await asyncio.sleep(next_look_s(exchange.retry_s))
                continue
            relay = HedgedRelay(self.sender, admitted, progress, answer, open_another)
            refusal = await relay.run(exchange)
            if refusal is None:
                return None
            if progress.may_have_run and not admitted.route.repeatable:
                break
        return self.final_refusal(admitted, progress, refusal)

    def may_look_again(self, admitted: Admitted, progress: Progress) -> bool:
        """Return whether a request without another target looks for one again.

        One that this entry dropped, since its version of the weights ended, goes on
        where an engine switches to the newer version until then.
        """
        now_s = self.now_s()
        return (
            now_s < progress.look_until_s
            and admitted.route.repeatable
            and self.drain_limits.has_time(admitted, progress)
            and self.retry_budget(progress.service).has_budget(now_s)
            and not self.crashes.quarantine_reason(admitted, progress)
        )

    def extend_look(self, admitted: Admitted, progress: Progress) -> None:
        """Let a dropped request look for as long as a target may still go on with it.

        It may have run, so it can't be refused, and fails without another target. One
        may end a rest that it has stated, or have newer weights and no slot yet.
        """
        now_s = self.now_s()
        from_s = self.rest_ends_s(admitted, progress)
        if self.waits_for_slot(admitted, progress):
            from_s = now_s
        ends_s = progress.as_of_now(admitted).ends_s
        if from_s + MIN_SEND_S < ends_s:
            look_until_s = from_s + MAX_LOOK_INTERVAL_S
            progress.look_until_s = max(progress.look_until_s, look_until_s)

    def waits_for_slot(self, admitted: Admitted, progress: Progress) -> bool:
        """Return whether a target that may go on with a dropped request is open."""
        if not progress.was_dropped:
            return False
        now_s = self.now_s()
        closed = progress.closed_targets(self.registry.targets)
        return any(
            target.target_id not in closed
            and target.state.version >= progress.min_version
            for target in self.registry.candidates(
                progress.service, now_s, True, admitted.homes
            )
        )

    def rest_ends_s(self, admitted: Admitted, progress: Progress) -> float:
        """Return when the first target ends a rest that it has stated.

        Infinite if the request was not dropped, or no target that it may still be sent
        to rests.
        """
        if not progress.was_dropped:
            return float("inf")
        now_s = self.now_s()
        closed = progress.closed_targets(self.registry.targets)
        alive = self.registry.alive(progress.service, now_s, admitted.homes)
        rests_s = (
            target.throttled_s(now_s, True)
            for target in alive
            if target.target_id not in closed
        )
        return now_s + min(filter(None, rests_s), default=float("inf"))

    async def open_exchange(
        self,
        admitted: Admitted,
        progress: Progress,
        refusal: Refusal | None = None,
    ) -> Exchange | Refusal:
        """Return an exchange with one more target, or why there is none.

        Parameters
        ----------
        admitted : Admitted
            The request.
        progress : Progress
            Its progress.
        refusal : Refusal, optional
            Why the target before did not serve it.
        """
        if not progress.has_sends_left:
            return refusal or NO_SEND_LEFT
        if self.sender.left_s(admitted, progress) < MIN_SEND_S:
            return refusal or NO_TIME_LEFT
        quarantined = self.refuse_quarantined(admitted, progress)
        if quarantined is not None:
            return quarantined
        budget = self.retry_budget(progress.service)
        if progress.open_exchanges and not budget.has_budget(self.now_s()):
            # Each look would take a slot, and a request of the target's rate, in vain.
            self.log_no_budget(admitted, progress, budget)
            return NO_SEND_LEFT
        slot = await self.allocate_in_time(admitted, progress)
        if isinstance(slot, Refusal):
            return merge_refusals(refusal, slot)
        quarantined = self.refuse_quarantined(admitted, progress)
        if quarantined is not None:
            # Updates of other entries may have arrived during the slot allocation.
            slot.release()
            return quarantined
        if progress.sends and not budget.spend(self.now_s()):
            slot.release()
            self.log_no_budget(admitted, progress, budget)
            return refusal or NO_SEND_LEFT
        progress.first_sent_s = progress.first_sent_s or self.now_s()
        progress.sends += 1
        progress.given_up.discard(slot.target.target_id)
        self.log_placed(admitted, slot, progress)
        return self.sender.open(slot, progress)

    def refuse_quarantined(
        self, admitted: Admitted, progress: Progress
    ) -> Refusal | None:
        """Return why a request may not be sent, since it may crash the target."""
        reason = self.crashes.quarantine_reason(admitted, progress)
        if reason:
            return Refusal(RefusalKind.QUARANTINED, reason=reason)
        was_sent = progress.may_have_run or progress.open_exchanges
        if was_sent and self.crashes.parts.may_crash_another(progress):
            return SUSPECTED
        return None

    def log_placed(
        self, admitted: Admitted, slot: AllocatedSlot, progress: Progress
    ) -> None:
        """Log the target of a request, and the state that the choice depended on."""
        target, now_s = slot.target, self.now_s()
        log.info(
            "placed",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                route=admitted.route.name,
                account=admitted.account_name,
                target=target.target_id,
                address=target.address,
                failure_domain=target.failure_domain,
                send=progress.sends,
                weights=slot.version,
                start_left_ms=slot.start_left_ms(now_s),
                own_start_left_ms=slot.own_start_left_ms(now_s),
                first_event_ms=slot.first_event_ms,
                expected_ms=int((admitted.expected_s or 0.0) * 1000),
                drain_left_ms=self.drain_limits.window().left_ms(now_s),
                prompt_tokens=admitted.request.prompt_tokens,
                answer_tokens=admitted.request.answer_tokens,
                granted=slot.granted,
                rate=target.rate.per_s,
                outstanding=target.outstanding,
                heard_ms=int((now_s - target.last_seen_s) * 1000),
                waited_ms=int((now_s - admitted.request.arrived_s) * 1000),
                returned=admitted.is_retry,
            ),
        )

    def log_no_budget(
        self, admitted: Admitted, progress: Progress, budget: SharedRetryBudget
    ) -> None:
        """Log that the retry budget permits no further send of a request, once."""
        if progress.budget_spent:
            return
        progress.budget_spent = True
        log.info(
            "retry budget spent",
            extra=fields(
                admitted.request.request_id,
                admitted.revision,
                service=progress.service,
                sends=progress.sends,
                requests=len(budget.requests),
                retries=len(budget.retries),
            ),
        )

    async def allocate_in_time(
        self, admitted: Admitted, progress: Progress
    ) -> AllocatedSlot | Refusal:
        """Allocate a slot for the next send, if that can end before a drain does.

        Beside a silent target another one only helps, however late it is.
        """
        limits = self.drain_limits
        if progress.open_exchanges:
            return await self.allocate_slot(admitted, progress)
        if not limits.has_time(admitted, progress):
            return TOO_LATE
        try:
            async with asyncio.timeout(None) as time_limit:
                with limits.limiting(time_limit, admitted, progress):
                    slot = await self.allocate_slot(admitted, progress)
        except TimeoutError:
            if not time_limit.expired():
                raise
            return TOO_LATE
        if isinstance(slot, Refusal) or limits.has_time(admitted, progress):
            return slot
        # The slot was free just as the time limit passed.
        slot.release()
        return TOO_LATE

    async def allocate_slot(
        self, admitted: Admitted, progress: Progress
    ) -> AllocatedSlot | Refusal:
        """Allocate a slot for the next send, and hold the request during an outage."""
        outage = self.outages[progress.service, admitted.homes]
        was_held = False
        while True:
            slot = await self.allocate_slot_now(admitted, progress)
            hold_s = self.hold_s(admitted, progress, slot, outage)
            if not hold_s:
                break
            was_held = True
            # Callers whom the outage cut off or kept out come back like refused ones.
            detector = self.retry_detectors[admitted.route.name]
            detector.record_refusal(self.now_s())
            with outage.holding():
                await asyncio.sleep(hold_s)
        if was_held:
            self.metrics.record_held(progress.service, isinstance(slot, AllocatedSlot))
        return slot

    def hold_s(
        self,
        admitted: Admitted,
        progress: Progress,
        slot: AllocatedSlot | Refusal,
        outage: OutageHold,
    ) -> float:
        """Return how long to hold a request before it looks for a slot again.

        The result is 0 if it has a slot, or is to be refused now.
        """
        refused = isinstance(slot, Refusal) and slot.kind in SPREAD_RETRY_KINDS
        if not refused and outage.since_s is None:
            return 0.0
        now_s = self.now_s()
        open_fraction = self.update_outage(admitted, progress.service, outage)
        if not refused or progress.sends:
            return 0.0
        request = admitted.request
        left_s = outage.left_s(
            request.arrived_s,
            request.max_wait_s,
            now_s,
            admitted.route.latency_ms / 1000,
            admitted.is_retry,
        )
        return_s = self.registry.return_s(
            progress.service, now_s, False, admitted.homes
        )
        return outage.next_look_s(left_s, open_fraction > 0, return_s)

    def update_outage(
        self, admitted: Admitted, service: str, outage: OutageHold
    ) -> float:
        """Update the outage of a service; return which fraction of it is open."""
        now_s = self.now_s()
        open_fraction = self.allocator.open_fraction(
            service, admitted.engine_of(service), now_s, admitted.homes
        )
        was_out = outage.since_s is not None
        outage.record_open(open_fraction, now_s)
        if was_out != (outage.since_s is not None):
            event = "outage ends" if was_out else "outage begins"
            log.warning(event, extra=fields(service=service, open=open_fraction))
        return open_fraction

    async def allocate_slot_now(
        self, admitted: Admitted, progress: Progress
    ) -> AllocatedSlot | Refusal:
        """Allocate a slot if there is one now."""
        service, now_s = progress.service, self.now_s()
        engine = admitted.engine_of(service)
        is_last = progress.is_last_send or not self.retry_budget(service).has_budget(
            now_s
        )
        excluded = progress.excluded(self.registry.targets, now_s)
        return await self.allocator.allocate(
            progress.as_of_now(admitted), service, engine, excluded, now_s, is_last
        )

    def final_refusal(
        self, admitted: Admitted, progress: Progress, refusal: Refusal | None
    ) -> Refusal:
        """Return the final refusal.

        It guarantees that the request did not run only if that is certain.
        """
        refusal = refusal or NO_SEND_LEFT
        if progress.may_have_run:
            return Refusal(RefusalKind.FAILED, reason=refusal.reason)
        if refusal.kind is RefusalKind.FAILED:
            return Refusal(RefusalKind.UNAVAILABLE, FAILED_RETRY_S, refusal.reason)
        return refusal


def refuse_overdue(progress: Progress, answer: CallerAnswer) -> Refusal:
    """Return the refusal of a request whose time has passed.

    One that was sent nowhere has not run, and its caller may come back.
    """
    if not progress.sends:
        return Refusal(RefusalKind.OVERLOADED, FAILED_RETRY_S, "no slot in time")
    reason = "request timed out" if answer.started else "no response in time"
    return Refusal(RefusalKind.TIMED_OUT, reason=reason)


def merge_refusals(refusal: Refusal | None, no_slot: Refusal) -> Refusal:
    """Return the final refusal of a request that can't get another slot.

    A request that was rejected by its last target gets the time until a slot may be
    free. One that a stop leaves no time for may go to another entry at once.
    """
    if refusal is None or no_slot is TOO_LATE:
        return no_slot
    is_full = no_slot.kind is RefusalKind.OVERLOADED
    if is_full and refusal.kind is RefusalKind.OVERLOADED:
        return refusal._replace(retry_s=no_slot.retry_s)
    return refusal
