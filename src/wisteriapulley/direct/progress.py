"""State of one request: its admission, and its progress so far."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from wisteriapulley.direct.events import EventSplitter
from wisteriapulley.direct.types import CallerRequest
from wisteriapulley.policy.patience import begin_limit_s
from wisteriapulley.routing import Account, Engine, Route, RouteIndex, RoutingTable

EMPTY_INDEX = RouteIndex(RoutingTable(0))


class Admitted(NamedTuple):
    """A request with a matching route and an accepted key.

    Attributes
    ----------
    request : CallerRequest
        The request.
    route : Route
        Matching route.
    account : Account or None
        Client account of its key, if any.
    deadline_s : float
        When it times out, by the caller's or the route's limit, on the loop's clock.
    is_retry : bool
        Whether it is a retry after a refusal, which can't meet its objective any more.
    homes : tuple of str
        Regions that may serve it, by its route and its account; empty for all.
    index : RouteIndex
        Index of the routing table that admitted it. It applies until the request ends,
        since a newer table may lack the services of its route.
    has_begun : bool
        Whether its response has begun.
    large_prompt : int
        Tokens of a typical large prompt of its route; 0 if that is not known.
    expected_s : float or None
        How long its response is expected to take at most, from when it is sent; None if
        that is not known.
    mean_s : float or None
        The mean of that.
    may_have_run : bool
        Whether a target may have started to run it.
    is_last_send : bool
        Whether its next send is the last one that its route permits.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    deadline_s: float
    is_retry: bool = False
    homes: tuple[str, ...] = ()
    index: RouteIndex = EMPTY_INDEX
    has_begun: bool = False
    large_prompt: int = 0
    expected_s: float | None = None
    mean_s: float | None = None
    may_have_run: bool = False
    is_last_send: bool = False

    def engine_of(self, service: str) -> Engine | None:
        """Return the engine parameters of a service; None for plain targets."""
        return self.index.services[service].engine

    @property
    def ends_s(self) -> float:
        """When its time to begin ends, or to end once it has begun; loop's clock."""
        if self.has_begun:
            return self.deadline_s
        request = self.request
        limit_s = begin_limit_s(self.route, request.max_wait_s, request.queued_s)
        return min(self.deadline_s, request.arrived_s + limit_s)

    @property
    def has_one_send(self) -> bool:
        """Whether it can't be sent to another target after the next one."""
        is_last = self.is_last_send or self.route.attempts <= 1
        return is_last or not self.route.repeatable

    @property
    def revision(self) -> int:
        """Version of the routing table that admitted the request."""
        return self.index.table.version

    @property
    def priority(self) -> int:
        """Priority of the request; that of the account overrides that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str:
        """Name of the client account, empty without one."""
        return self.account.name if self.account is not None else ""


class Progress:
    """Progress of a request.

    Parameters
    ----------
    request : CallerRequest
        The request.
    service : str
        Service selected for it.
    max_sends : int
        Targets that it may be sent to in total.

    Attributes
    ----------
    prompt_parts : tuple of str
        Parts of its prompt that other prompts may share.
    sends : int
        Targets that it was sent to so far.
    first_sent_s : float
        When it was sent to the first of them, on the loop's clock; 0 before that.
    may_have_run : bool
        Whether one of them may have started to run it.
    tried : set of str
        Ids of targets that are not tried again.
    open_exchanges : int
        Targets that the request is at now.
    given_up : set of str
        Ids of targets left for one that had been silent and went on. They have not
        failed, and the route's limit counts them already.
    rejected_until_s : dict of str to float
        By id, until when a target that turned the request away accepts none.
    look_until_s : float
        Until when the request looks for another target, on the loop's clock, after its
        version of the weights ended at the one before, or that one has exited as
        planned; 0 if neither happened.
    min_version : int
        Oldest version of the weights that may go on with the request then; 0 for any.
    has_begun : bool
        Whether the response to the caller has begun.
    status : int
        Status of that response; 0 before.
    body_begun : bool
        Whether the caller has a part of a body, which no other target can resume.
    time_limit : asyncio.Timeout or None
        Ends the request when its time to begin ends, or at its deadline.
    budget_spent : bool
        Whether the retry budget once did not permit another send.
    events : EventSplitter
        Events that were relayed to the caller.
    fingerprint : bytes
        Identifies the request across attempts; empty until it is needed.
    part_fingerprints : tuple of bytes or None
        Identify the parts that other prompts may share; None until they are needed.
    """

    def __init__(self, request: CallerRequest, service: str = "", max_sends: int = 1):
        self.service = service
        self.prompt_parts = request.prompt_parts
        self.max_sends = max(1, max_sends)
        self.sends = 0
        self.first_sent_s = 0.0
        self.may_have_run = False
        self.tried: set[str] = set()
        self.open_exchanges = 0
        self.given_up: set[str] = set()
        self.rejected_until_s: dict[str, float] = {}
        self.look_until_s = 0.0
        self.min_version = 0
        self.has_begun = False
        self.status = 0
        self.body_begun = False
        self.time_limit: asyncio.Timeout | None = None
        self.budget_spent = False
        self.events = EventSplitter(request.resume_after)
        self.fingerprint = b""
        self.part_fingerprints: tuple[bytes, ...] | None = None

    @property
    def has_targets_left(self) -> bool:
        """Whether the route permits one more target."""
        return not self.body_begun and len(self.tried) < self.max_sends

    @property
    def has_sends_left(self) -> bool:
        """Whether the request may be sent once more.

        The route limits the targets. One that may have run can't be refused, so it goes
        back to a target that turned it away, or was given up, rather than fail.
        """
        returns = self.was_dropped and bool(self.rejected_until_s)
        goes_back = returns or bool(self.given_up)
        return self.has_targets_left or (goes_back and not self.body_begun)

    @property
    def was_dropped(self) -> bool:
        """Whether its target is lost to the end of a version or to a planned exit."""
        return self.look_until_s > 0.0

    def excluded(self, known: Iterable[str], now_s: float) -> set[str]:
        """Return which of the known targets the request can't be sent to now."""
        until_s = self.rejected_until_s.items()
        resting = {target_id for target_id, at_s in until_s if now_s < at_s}
        return self.closed_targets(known) | resting

    def closed_targets(self, known: Iterable[str]) -> set[str]:
        """Return which of the known targets the request can't be sent to any more."""
        closed = set(self.tried if self.has_targets_left else known) - self.given_up
        if self.was_dropped:
            closed.difference_update(self.rejected_until_s)
        return closed

    def as_of_now(self, admitted: Admitted) -> Admitted:
        """Return the admitted request, updated with what has become of it so far."""
        return admitted._replace(
            has_begun=self.has_begun,
            may_have_run=self.may_have_run or self.open_exchanges > 0,
            is_last_send=self.is_last_send,
        )

    def record_begun(self, deadline_s: float, status: int) -> None:
        """Record that the response begins, and lift the time limit for that."""
        self.has_begun, self.status = True, status
        if self.time_limit is not None:
            self.time_limit.reschedule(deadline_s)

    @property
    def is_last_send(self) -> bool:
        """Whether the next send is the last one that the route permits."""
        return self.sends + 1 >= self.max_sends
