"""Detects requests, and parts of prompts, that crash targets; quarantines them."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable, Iterator

from wisteriapulley.clocks import steady_s
from wisteriapulley.direct.exchange import Exchange
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.part_tracking import PartTracker
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.policy.crash_suspects import (
    MAX_SUSPECTS_PER_FRAME,
    CrashSuspects,
)
from wisteriapulley.policy.fingerprint import fingerprint, is_part
from wisteriapulley.wire.messages import SuspectNews

log = logging.getLogger(__name__)

# A request whose target broke off waits this long for the crash check before it is sent
# to another target. A running host responds sooner.
CRASH_CHECK_WAIT_S = 0.03
# All requests at a crashed target break off at the same time, so their updates are
# sent in one frame.
UPDATE_BATCH_S = 0.01
REQUEST_REASON = "request crashes targets"
PART_REASON = "part of the prompt crashes targets"


class CrashTracker:
    """Tracks requests that were in flight at targets when these crashed.

    Parameters
    ----------
    key : bytes
        The fleet key, which fingerprints of requests are derived from.
    liveness : Liveness
        Checks whether a target has exited.
    publish : callable
        Sends updates to the control instances that the entry follows.

    Attributes
    ----------
    suspects : CrashSuspects
        Suspected requests and parts of all entries, as far as received here.
    parts : PartTracker
        Tracks the parts of prompts.
    checks : set of asyncio.Task
        Crash checks in progress.
    unpublished : set of bytes
        Fingerprints whose changes are still to be published.
    """

    def __init__(
        self, key: bytes, liveness: Liveness, publish: Callable[[SuspectNews], None]
    ):
        self.key = key
        self.liveness = liveness
        self.publish = publish
        self.suspects = CrashSuspects()
        self.parts = PartTracker(key, self.suspects, self.schedule_update)
        self.checks: set[asyncio.Task] = set()
        self.unpublished: set[bytes] = set()

    def fingerprint(self, admitted: Admitted, progress: Progress) -> bytes:
        """Return the fingerprint of a request; see `policy.fingerprint`."""
        if not progress.fingerprint:
            request, account = admitted.request, admitted.account_name
            progress.fingerprint = fingerprint(
                self.key, request.host, request.path, account, request.body
            )
        return progress.fingerprint

    def quarantine_reason(self, admitted: Admitted, progress: Progress) -> str:
        """Return why a request may not be sent to any target; empty if it may.

        Without suspects no fingerprint is computed, so long bodies cost nothing.
        """
        if not self.suspects.records:
            return ""
        if self.parts.is_quarantined(progress):
            return PART_REASON
        if self.suspects.is_quarantined(self.fingerprint(admitted, progress)):
            return REQUEST_REASON
        return ""

    def count_quarantined(self) -> tuple[int, int]:
        """Return the numbers of quarantined requests and of parts of prompts."""
        quarantined = self.suspects.quarantined()
        parts = sum(map(is_part, quarantined))
        return len(quarantined) - parts, parts

    async def may_have_cut(self, exchange: Exchange) -> bool:
        """Return whether a crash may have ended a response that looks whole.

        A target that announced that it is leaving ends its responses before it exits.
        """
        if not exchange.response.unframed or exchange.target.is_leaving:
            return False
        return await self.liveness.has_ended(exchange.target)

    # -- local events -----------------------------------------------------

    async def check_for_crash(self, admitted: Admitted, exchange: Exchange) -> None:
        """Check whether a target crashed while it ran a request.

        A target that announced that it is leaving exits as planned. A check that takes
        longer than `CRASH_CHECK_WAIT_S` continues, and its result is still recorded.

        Parameters
        ----------
        admitted : Admitted
            The request.
        exchange : Exchange
            Its exchange with the target, which broke off.
        """
        if exchange.target.is_leaving:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.record_if_crashed(admitted, exchange))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)
        await asyncio.wait({task}, timeout=CRASH_CHECK_WAIT_S)

    async def record_if_crashed(self, admitted: Admitted, exchange: Exchange) -> None:
        """Record a request if its target has crashed, and put the target aside."""
        target, progress = exchange.target, exchange.progress
        if not await self.liveness.has_ended(target):
            return
        self.put_aside(target)
        self.parts.record_end(target.incarnation)
        digest = self.fingerprint(admitted, progress)
        record = self.suspects.record_crash(digest, target.incarnation, steady_s())
        self.schedule_update(digest)
        if not exchange.events.event_count:
            self.parts.record_crash(
                progress, target.incarnation, exchange.known_suspects
            )
        log.warning(
            "target ended under request",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                address=target.address,
                account=admitted.account_name,
                route=admitted.route.name,
                fingerprint=digest.hex(),
                parts=self.parts.names(progress),
                events=exchange.events_received,
                ended=len(record.ended),
                quarantined=self.suspects.is_quarantined(digest),
            ),
        )

    def put_aside(self, target: Target) -> None:
        """Start the backoff of a target that refuses connections.

        All requests that were in flight there find it out at the same time.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s >= target.unreachable_until_s:
            target.record_unreachable(now_s)

    def record_answered(self, admitted: Admitted, progress: Progress) -> None:
        """Clear a request that a target completed."""
        if not self.suspects.records:
            return
        digest = self.fingerprint(admitted, progress)
        if self.suspects.record_answer(digest, steady_s()):
            self.schedule_update(digest)

    # -- updates between instances ----------------------------------------

    def schedule_update(self, digest: bytes) -> None:
        """Schedule an update of a request, batched with concurrent changes."""
        if not self.unpublished:
            asyncio.get_running_loop().call_later(UPDATE_BATCH_S, self.publish_pending)
        self.unpublished.add(digest)

    def publish_pending(self) -> None:
        """Publish all pending changes."""
        changed, self.unpublished = self.unpublished, set()
        for digests in batched(changed, MAX_SUSPECTS_PER_FRAME):
            self.publish(self.make_update(digests))

    def full_update(self) -> SuspectNews:
        """Return the update for a control instance that is followed from now on."""
        return self.make_update(self.suspects.top_suspects())

    def make_update(self, digests: Iterable[bytes]) -> SuspectNews:
        """Return an update about some requests."""
        return SuspectNews(tuple(self.suspects.updates(steady_s(), digests)))

    def apply_update(self, update: SuspectNews) -> None:
        """Apply an update received from a control instance."""
        self.parts.record_ends(update)
        changed = self.suspects.merge_updates(update.suspects, steady_s())
        self.parts.clear_begun(changed)
        for digest in changed:
            if is_part(digest):
                self.parts.log_if_quarantined(digest)
            elif self.suspects.is_quarantined(digest):
                log.warning(
                    "request quarantined", extra=fields(fingerprint=digest.hex())
                )

    def sweep(self) -> None:
        """Remove expired records."""
        self.suspects.remove_expired(steady_s())
        self.parts.remove_expired()


def batched(digests: Iterable[bytes], size: int) -> Iterator[tuple[bytes, ...]]:
    """Yield groups of at most `size` fingerprints."""
    rest = iter(digests)
    while batch := tuple(itertools.islice(rest, size)):
        yield batch
