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
VERDICT_S = 0.03
# All requests at a target break off in the same moment: they are told in one frame.
BATCH_S = 0.01


class CrashWatch:
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
        self, key: bytes, liveness: Liveness, tell: Callable[[SuspectNews], None]
    ):
        self.key = key
        self.liveness = liveness
        self.tell = tell
        self.suspects = CrashSuspects()
        self.judging: set[asyncio.Task] = set()
        self.untold: set[bytes] = set()

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

    async def broke_off(
        self, admitted: Admitted, target: Target, progress: Progress
    ) -> None:
        """Find out whether a target ended under a request that broke off there.

        A target that had said that it leaves ends as planned. The word that takes
        longer than `VERDICT_S` still is taken in when it comes.
        """
        if target.leaves:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.judge(admitted, target, progress))
        self.judging.add(task)
        task.add_done_callback(self.judging.discard)
        await asyncio.wait({task}, timeout=VERDICT_S)

    async def judge(
        self, admitted: Admitted, target: Target, progress: Progress
    ) -> None:
        """Note a request under which a target has ended."""
        if not await self.liveness.has_ended(target):
            return
        digest = self.fingerprint(admitted, progress)
        record = self.suspects.record_crash(digest, target.start, steady_s())
        self.tell_soon(digest)
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

    def answered(self, admitted: Admitted, progress: Progress) -> None:
        """Clear a request that a target answered whole."""
        if not self.suspects.records:
            return
        digest = self.fingerprint(admitted, progress)
        if self.suspects.record_answer(digest, steady_s()):
            self.tell_soon(digest)

    # -- what others know ------------------------------------------------

    def tell_soon(self, digest: bytes) -> None:
        """Tell of a request, with all that changes in these milliseconds."""
        if not self.untold:
            asyncio.get_running_loop().call_later(BATCH_S, self.flush)
        self.untold.add(digest)

    def flush(self) -> None:
        """Send what changed."""
        changed, self.untold = self.untold, set()
        self.tell(self.news(changed))

    def own_news(self) -> SuspectNews:
        """Make what an instance is told that is followed from now on."""
        return self.news(self.suspects.top_suspects())

    def news(self, digests: Iterable[bytes]) -> SuspectNews:
        """Make the news of some requests."""
        return SuspectNews(tuple(self.suspects.updates(steady_s(), digests)))

    def take(self, news: SuspectNews) -> None:
        """Take in what control instances tell."""
        for digest in self.suspects.merge_updates(news.suspects, steady_s()):
            if self.suspects.is_quarantined(digest):
                log.warning(
                    "request quarantined", extra=fields(fingerprint=digest.hex())
                )

    def sweep(self) -> None:
        """Forget what is long past."""
        self.suspects.remove_expired(steady_s())
