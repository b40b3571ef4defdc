"""Finds out under which requests targets end, and stops those that go on."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.progress import Admitted, Progress
from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.policy.crash_suspects import CrashSuspects
from wisteriapulley.policy.fingerprint import fingerprint
from wisteriapulley.wire.messages import SuspectNews

log = logging.getLogger(__name__)

# A request whose target broke off waits so long for the word whether it has ended
# before it goes to another one; a host that runs answers sooner.
CRASH_CHECK_WAIT_S = 0.03
# All requests at a target break off in the same moment: they are told in one frame.
UPDATE_BATCH_S = 0.01


class CrashTracker:
    """Requests that were in progress at targets when these ended.

    Parameters
    ----------
    key : bytes
        The fleet key; names requests.
    liveness : Liveness
        Tells whether a target has ended.
    tell : callable
        Sends news to the control instances that the entry follows.

    Attributes
    ----------
    suspects : CrashSuspects
        What is known here, of all entries' requests.
    """

    def __init__(
        self, key: bytes, liveness: Liveness, publish: Callable[[SuspectNews], None]
    ):
        self.key = key
        self.liveness = liveness
        self.publish = publish
        self.suspects = CrashSuspects()
        self.checks: set[asyncio.Task] = set()
        self.unpublished: set[bytes] = set()

    def fingerprint(self, admitted: Admitted, progress: Progress) -> bytes:
        """Name a request, once; see `policy.fingerprint`."""
        if not progress.fingerprint:
            request, account = admitted.request, admitted.account_name
            progress.fingerprint = fingerprint(
                self.key, request.host, request.path, account, request.body
            )
        return progress.fingerprint

    def is_quarantined(self, admitted: Admitted, progress: Progress) -> bool:
        """Tell whether a request may not be sent to any target.

        Without suspects no request needs a name, so that long bodies cost nothing.
        """
        if not self.suspects.records:
            return False
        return self.suspects.is_quarantined(self.fingerprint(admitted, progress))

    # -- what happens here -----------------------------------------------

    async def check_for_crash(
        self, admitted: Admitted, target: Target, progress: Progress
    ) -> None:
        """Find out whether a target ended under a request that broke off there.

        A target that had said that it leaves ends as planned. The word that takes
        longer than `VERDICT_S` still is taken in when it comes.
        """
        if target.is_leaving:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.record_if_crashed(admitted, target, progress))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)
        await asyncio.wait({task}, timeout=CRASH_CHECK_WAIT_S)

    async def record_if_crashed(
        self, admitted: Admitted, target: Target, progress: Progress
    ) -> None:
        """Note a request under which a target has ended."""
        if not await self.liveness.has_ended(target):
            return
        digest = self.fingerprint(admitted, progress)
        record = self.suspects.record_crash(digest, target.incarnation, steady_s())
        self.schedule_update(digest)
        log.warning(
            "target ended under request",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                address=target.address,
                account=admitted.account_name,
                route=admitted.route.name,
                fingerprint=digest.hex(),
                ended=len(record.ended),
                quarantined=self.suspects.is_quarantined(digest),
            ),
        )

    def record_answered(self, admitted: Admitted, progress: Progress) -> None:
        """Clear a request that a target answered whole."""
        if not self.suspects.records:
            return
        digest = self.fingerprint(admitted, progress)
        if self.suspects.record_answer(digest, steady_s()):
            self.schedule_update(digest)

    # -- what others know ------------------------------------------------

    def schedule_update(self, digest: bytes) -> None:
        """Tell of a request, with all that changes in these milliseconds."""
        if not self.unpublished:
            asyncio.get_running_loop().call_later(UPDATE_BATCH_S, self.publish_pending)
        self.unpublished.add(digest)

    def publish_pending(self) -> None:
        """Send what changed."""
        changed, self.unpublished = self.unpublished, set()
        self.publish(self.make_update(changed))

    def full_update(self) -> SuspectNews:
        """Make what an instance is told that is followed from now on."""
        return self.make_update(self.suspects.top_suspects())

    def make_update(self, digests: Iterable[bytes]) -> SuspectNews:
        """Make the news of some requests."""
        return SuspectNews(tuple(self.suspects.updates(steady_s(), digests)))

    def apply_update(self, update: SuspectNews) -> None:
        """Take in what control instances tell."""
        for digest in self.suspects.merge_updates(update.suspects, steady_s()):
            if self.suspects.is_quarantined(digest):
                log.warning(
                    "request quarantined", extra=fields(fingerprint=digest.hex())
                )

    def sweep(self) -> None:
        """Forget what is long past."""
        self.suspects.remove_expired(steady_s())
