"""Run the scheduler of each service: queue requests and assign them to targets."""

import asyncio
import functools
import itertools
import random
import time
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager

from wisteriapulley.catalogue import Entry
from wisteriapulley.entry.drain_limits import DrainLimits
from wisteriapulley.entry.request import CallerRequest
from wisteriapulley.entry.targets import Target, Targets
from wisteriapulley.errors import RequestError, ResultCode
from wisteriapulley.policy import LeastOutstanding, Scheduler, TargetView, Work
from wisteriapulley.wire import Link

# Interval at which slow targets are detected, and slots found that the requests of
# other entries have freed.
SWEEP_INTERVAL_S = 0.1
# Free slots are seen in the targets' heartbeats, which lag by up to one interval.
RETRY_AFTER_MS = 1000


class Slot:
    """A slot at a target, held by one request until it is released."""

    def __init__(self, pool: "ServicePool", work: Work, target: Target):
        self.pool = pool
        self.work = work
        self.target = target
        link = target.link
        self.node_id = target.member.node_id
        self.incarnation = link.peer.incarnation if link is not None else 0
        self.held = True
        target.add_request()

    @property
    def link(self) -> Link | None:
        """The open link to the target, if there is one."""
        return self.target.link

    def is_superseded(self, link: Link) -> bool:
        """Return whether the target goes on over its next link, but not over `link`.

        A target that stood still sends heartbeats over both when it goes on.
        """
        replacement = self.link
        if replacement is None or replacement is link:
            return False
        heartbeat_s = self.target.connection.settings.heartbeat_ms / 1000
        open_s = asyncio.get_running_loop().time() - replacement.opened_s
        return open_s > heartbeat_s and link.last_received < replacement.opened_s

    def release(self, ok: bool, cancelled: bool = False) -> None:
        """Release the slot; every call after the first does nothing."""
        if not self.held:
            return
        self.held = False
        self.target.in_flight -= 1
        self.pool.finish(self.work, ok and not cancelled)


class ServicePool:
    """Queued and running requests of one service.

    Attributes
    ----------
    limits : DrainLimits
        Shared by the pools of an entry.
    queued_futures, queued_work : dict
        By id of the work, for each queued request.
    entry : Entry or None
        Catalogue entry of the newest revision that a request came with. It decides
        which targets may get requests, those that an older revision admitted too.
    """

    def __init__(self, targets: Targets, rng: random.Random, limits: DrainLimits):
        self.targets = targets
        self.limits = limits
        self.scheduler = Scheduler(LeastOutstanding(rng))
        self.queued_futures: dict[int, asyncio.Future] = {}
        self.queued_work: dict[int, Work] = {}
        self.entry: Entry | None = None
        self.revision = 0

    def views(self, avoid: Sequence[str] = (), version: str = "") -> list[TargetView]:
        """Return the targets that may take a request now."""
        return self.targets.views(self.entry, avoid, version)

    def observe_entry(self, entry: Entry, revision: int) -> None:
        """Use the catalogue entry of a request unless a newer one is known."""
        if revision >= self.revision:
            self.entry = entry
            self.revision = revision

    async def acquire(
        self, work: Work, limit: int, avoid: set[str], version: str = ""
    ) -> Slot:
        """Wait for a slot at a target with fewer than `limit` requests.

        Raises
        ------
        RequestError
            The request was refused, at once or as soon as it can no longer meet
            its deadline.
        """
        views = self.views(avoid, version)
        now_s = time.monotonic()
        if avoid:
            return self.take_slot(work, self.place_retry(work, views, limit, now_s))
        node_id = self.scheduler.submit(work, views, limit, now_s)
        if node_id is not None:
            return self.take_slot(work, node_id)
        return await self.wait_in_queue(work)

    def place_retry(
        self, work: Work, views: list[TargetView], limit: int, now_s: float
    ) -> str:
        """Assign a retry to a target without queueing it a second time."""
        room = self.scheduler.available_targets(views, limit)
        if not room:
            code = ResultCode.OVERLOADED if views else ResultCode.NO_TARGET
            raise RequestError(code, "no other target has a free slot", RETRY_AFTER_MS)
        return self.scheduler.start(work, room, now_s)

    def take_slot(self, work: Work, node_id: str) -> Slot:
        """Return the slot at the target that the scheduler chose."""
        target = self.targets.targets.get(node_id)
        if target is None:
            self.scheduler.finish(work.id, False, time.monotonic())
            raise RequestError(
                ResultCode.NO_TARGET,
                f"target {node_id!r} is no longer connected",
                RETRY_AFTER_MS,
            )
        return Slot(self, work, target)

    async def wait_in_queue(self, work: Work) -> Slot:
        """Wait in the queue for a slot, or until the deadline can't be met."""
        future = asyncio.get_running_loop().create_future()
        self.queued_futures[work.id] = future
        self.queued_work[work.id] = work
        remaining_s = work.deadline_s - time.monotonic()
        longest_s = self.scheduler.times.upper_bound(work)
        try:
            async with asyncio.timeout(max(0.0, remaining_s - longest_s)):
                return await future
        except TimeoutError as error:
            release_granted_slot(future)
            raise queue_deadline_error() from error
        except asyncio.CancelledError:
            release_granted_slot(future)
            raise
        finally:
            self.queued_futures.pop(work.id, None)
            self.queued_work.pop(work.id, None)
            self.scheduler.remove(work)

    def finish(self, work: Work, ok: bool) -> None:
        """Record that a request has left its target and start queued ones."""
        self.scheduler.finish(work.id, ok, time.monotonic())
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while slots are free."""
        self.refuse_too_late()
        if not self.queued_futures or self.entry is None:
            return
        limit = self.entry.limits.in_flight
        for start in self.scheduler.start_queued(self.views, limit, time.monotonic()):
            future = self.queued_futures.get(start.work.id)
            if future is None or future.done():
                self.scheduler.finish(start.work.id, False, time.monotonic())
            elif start.node_id is None:
                future.set_exception(queue_deadline_error())
            else:
                self.grant_slot(future, start.work, start.node_id)

    def grant_slot(self, future: asyncio.Future, work: Work, node_id: str) -> None:
        """Give a queued request its slot, or the error that there is none any more.

        The error belongs to that request, not to the one whose end started it.
        """
        try:
            future.set_result(self.take_slot(work, node_id))
        except RequestError as error:
            future.set_exception(error)

    def may_start(self, work: Work, may_have_run: bool = False) -> bool:
        """Return whether work is expected to end before the drain of this entry."""
        return time.monotonic() < self.latest_start_s(work, may_have_run)

    def latest_start_s(self, work: Work, may_have_run: bool = False) -> float:
        """Return until when work may start, so that it ends before the drain."""
        return self.limits.latest_start_s(work, self.scheduler.times, may_have_run)

    def refuse_queued(self) -> None:
        """Refuse the queued requests because this entry stops."""
        for work in tuple(self.queued_work.values()):
            self.refuse(work)

    def refuse_too_late(self) -> None:
        """Refuse the queued requests that can't end before the drain any more."""
        if not self.limits.is_draining:
            return
        for work in tuple(self.queued_work.values()):
            if not self.may_start(work):
                self.refuse(work)

    def refuse(self, work: Work) -> None:
        """Refuse a queued request because this entry stops."""
        self.scheduler.remove(work)
        future = self.queued_futures[work.id]
        if not future.done():
            future.set_exception(leaving_error())

    def sweep(self) -> None:
        """Detect slow targets and use slots that other entries have freed."""
        self.scheduler.record_overdue(time.monotonic())
        self.scheduler.outliers.retain(self.targets.targets)
        self.start_queued()


def release_granted_slot(future: asyncio.Future) -> None:
    """Release a slot that was granted at the moment its waiter gave up."""
    if future.done() and not future.cancelled() and not future.exception():
        future.result().release(ok=False, cancelled=True)


def queue_deadline_error() -> RequestError:
    """Return the error of a queued request that can't meet its deadline any more."""
    return RequestError(
        ResultCode.OVERLOADED,
        "no slot became free early enough to meet the deadline",
        RETRY_AFTER_MS,
    )


def leaving_error() -> RequestError:
    """Return the error of a request that was sent to no target before the stop."""
    return RequestError(
        ResultCode.LEAVING,
        "this entry stopped before the request was sent to a target",
        RETRY_AFTER_MS,
    )


class Placer:
    """Assigns requests to targets, with one scheduler for each service.

    Parameters
    ----------
    targets : Targets
        The targets that this entry has links to.
    rng : random.Random
        Breaks ties between targets.
    """

    def __init__(self, targets: Targets, rng: random.Random):
        self.targets = targets
        self.rng = rng
        self.limits = DrainLimits()
        self.pools: dict[str, ServicePool] = {}
        self.work_ids = itertools.count(1)

    def pool_of(self, request: CallerRequest) -> ServicePool:
        """Return the pool of a request's service, with its catalogue entry."""
        service = request.entry.service
        pool = self.pools.get(service)
        if pool is None:
            pool = ServicePool(self.targets, self.rng, self.limits)
            self.pools[service] = pool
        pool.observe_entry(request.entry, request.revision)
        return pool

    def work_of(self, request: CallerRequest) -> Work:
        """Return a request as the policies see it."""
        entry = request.entry
        return Work(
            next(self.work_ids),
            request.account,
            entry.name,
            entry.priority,
            request.units,
            request.deadline_s,
        )

    async def acquire(
        self, request: CallerRequest, avoid: set[str], version: str = ""
    ) -> Slot:
        """Wait for a slot at a target of the request's service.

        If `version` is given, only targets that serve that version count.

        Raises
        ------
        RequestError
            NO_TARGET or OVERLOADED; the request did not run.
        """
        limit = request.entry.limits.in_flight
        work = self.work_of(request)
        return await self.pool_of(request).acquire(work, limit, avoid, version)

    def may_send(self, request: CallerRequest, may_have_run: bool = False) -> bool:
        """Return whether a request is expected to end before the drain."""
        return self.pool_of(request).may_start(self.work_of(request), may_have_run)

    def limiting(self, request: CallerRequest) -> AbstractAsyncContextManager:
        """Raise TimeoutError in the block when it is too late to send the request."""
        pool, work = self.pool_of(request), self.work_of(request)
        return self.limits.limiting(functools.partial(pool.latest_start_s, work))

    def check_drain(self, request: CallerRequest, may_have_run: bool = False) -> None:
        """Refuse a request that would be cut at the end of the drain.

        Raises
        ------
        RequestError
            LEAVING; this attempt did not run.
        """
        if not self.may_send(request, may_have_run):
            raise leaving_error()

    def has_room(
        self, request: CallerRequest, avoid: set[str], version: str = ""
    ) -> bool:
        """Return whether a target other than those in `avoid` has a free slot."""
        pool = self.pools[request.entry.service]
        views = pool.views(avoid, version)
        limit = request.entry.limits.in_flight
        return bool(pool.scheduler.available_targets(views, limit))

    def begin_drain(
        self, drain_s: float, silence_s: float, signal_age_s: float = 0.0
    ) -> None:
        """Send nothing from now on that can't end before the drain."""
        self.limits.begin(drain_s, silence_s, signal_age_s)
        for pool in self.pools.values():
            pool.refuse_too_late()

    def refuse_queued(self) -> None:
        """Refuse the queued requests of every service because this entry stops."""
        for pool in self.pools.values():
            pool.refuse_queued()

    async def sweep_forever(self) -> None:
        """Sweep every pool at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for pool in self.pools.values():
                pool.sweep()
