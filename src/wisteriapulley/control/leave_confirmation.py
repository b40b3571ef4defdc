"""Confirms leaves of targets with the other control instances.

Leaves are confirmed in batches, as they are published: an operator may scale in many
targets at once.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_ms
from wisteriapulley.consensus.types import Members
from wisteriapulley.control.driver import no_quorum
from wisteriapulley.control.leaves import KnownLeaves, Leave
from wisteriapulley.control.majority import (
    CONFIRM_TIMEOUT_S,
    check_reachable,
    is_majority,
)
from wisteriapulley.control.target_feed import BATCH_DELAY_S, TargetFeed
from wisteriapulley.logs import fields
from wisteriapulley.wire import Link
from wisteriapulley.wire.messages import TargetQuery, TargetState

log = logging.getLogger(__name__)

# A link may close before its peer has read or answered.
REPEAT_INTERVAL_S = 0.1


class LeaveConfirmer:
    """Waits until leaves outlive this control instance.

    Parameters
    ----------
    node_id : str
        Node id of this instance.
    feed : TargetFeed
        Publishes the targets of this instance.
    links : callable
        Returns one open link to each other instance that has any.
    members : callable
        Returns the members of the quorum.

    Attributes
    ----------
    leaves : KnownLeaves
        Which instances know of which leave.
    confirmed : set of Leave
        Leaves that are published and known to a majority.
    waiting : dict of str to set of asyncio.Future
        Callers that wait, by target id.
    asked : set of str
        Targets for which the other instances were asked, and callers wait.
    """

    def __init__(
        self,
        node_id: str,
        feed: TargetFeed,
        links: Callable[[], Iterable[Link]],
        members: Callable[[], Members],
    ):
        self.node_id = node_id
        self.feed = feed
        self.links = links
        self.members = members
        self.leaves = KnownLeaves(feed.targets)
        self.confirmed: set[Leave] = set()
        self.waiting: dict[str, set[asyncio.Future]] = {}
        self.asked: set[str] = set()
        self.timer: asyncio.TimerHandle | None = None

    async def confirm(self, target_id: str) -> None:
        """Wait until followers and a majority of the instances know of a leave.

        It returns at once for a target that is not leaving: a later incarnation has
        replaced it.

        Raises
        ------
        WisteriapulleyError
            NO_QUORUM: this instance knows of the leave, but too few others do. The
            target should tell another instance.
        """
        if self.is_done(target_id):
            return
        check_reachable(self.node_id, self.links(), self.members())
        since_ms = steady_ms()
        waiter = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(target_id, set()).add(waiter)
        self.schedule(BATCH_DELAY_S)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await waiter
        except TimeoutError as error:
            raise no_quorum(
                f"no majority confirmed in time that {target_id} leaves"
            ) from error
        finally:
            self.remove_waiter(target_id, waiter)
        log.info(
            "leave confirmed",
            extra=fields(target=target_id, wait_ms=int(steady_ms() - since_ms)),
        )

    def is_done(self, target_id: str) -> bool:
        """Return whether a target is not leaving, or its leave is confirmed."""
        leave = self.leaves.leave_of(target_id)
        return leave is None or leave in self.confirmed

    def remove_waiter(self, target_id: str, waiter: asyncio.Future) -> None:
        """Remove a caller that waits no more."""
        waiters = self.waiting.get(target_id, set())
        waiters.discard(waiter)
        if not waiters:
            self.waiting.pop(target_id, None)

    def schedule(self, delay_s: float) -> None:
        """Ask the other instances after a delay, if that is not scheduled already."""
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(delay_s, self.ask)

    def ask(self) -> None:
        """Ask who knows of the leaves that callers wait for; repeat what was lost."""
        self.timer = None
        # Those that were not asked for yet are in a batch of the feed.
        self.feed.publish(self.asked & self.waiting.keys())
        self.settle()
        self.asked = set(self.waiting)
        if self.waiting:
            self.feed.send_to_peers(TargetQuery(tuple(self.waiting)))
            self.schedule(REPEAT_INTERVAL_S)

    def observe(self, states: Iterable[TargetState], peer: str) -> None:
        """Record what another instance told, after it was merged into the table."""
        self.leaves.observe(states, peer)
        self.settle()

    def settle(self) -> None:
        """Release the callers whose leaves a majority knows of."""
        members = self.members()
        settled = [t for t in self.waiting if self.is_known(t, members)]
        if not settled:
            return
        # A majority may know before this instance's own followers do.
        self.feed.flush()
        for target_id in settled:
            leave = self.leaves.leave_of(target_id)
            if leave is not None:
                self.confirmed.add(leave)
            for waiter in self.waiting.pop(target_id):
                if not waiter.done():
                    waiter.set_result(None)

    def is_known(self, target_id: str, members: Members) -> bool:
        """Return whether a target is not leaving, or a majority knows that it is."""
        leave = self.leaves.leave_of(target_id)
        if leave is None:
            return True
        return is_majority({self.node_id} | self.leaves.knowers(leave), members)

    def sweep(self) -> None:
        """Forget leaves that are no longer recorded."""
        self.leaves.sweep()
        self.confirmed = {
            leave
            for leave in self.confirmed
            if self.leaves.leave_of(leave.target_id) == leave
        }

    def stop(self) -> None:
        """Cancel what is scheduled; callers wait until their time limit."""
        if self.timer is not None:
            self.timer.cancel()
