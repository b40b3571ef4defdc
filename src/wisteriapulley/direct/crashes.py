"""Finds out under which requests of one entry targets end."""

import asyncio
import logging

from wisteriapulley.direct.liveness import Liveness
from wisteriapulley.direct.progress import Admitted
from wisteriapulley.direct.registry import Target
from wisteriapulley.logs import fields
from wisteriapulley.policy.fingerprint import fingerprint

log = logging.getLogger(__name__)

# A request whose target broke off waits so long for the word whether it has ended
# before it goes to another one; a host that runs answers sooner.
VERDICT_S = 0.03


class CrashWatch:
    """Requests that were in progress at targets when these ended.

    Parameters
    ----------
    key : bytes
        The fleet key; names requests.
    liveness : Liveness
        Tells whether a target has ended.
    """

    def __init__(self, key: bytes, liveness: Liveness):
        self.key = key
        self.liveness = liveness
        self.judging: set[asyncio.Task] = set()

    def fingerprint(self, admitted: Admitted) -> bytes:
        """Name a request; see `policy.fingerprint`."""
        request = admitted.request
        return fingerprint(
            self.key, request.host, request.path, admitted.account_name, request.body
        )

    async def broke_off(self, admitted: Admitted, target: Target) -> None:
        """Find out whether a target ended under a request that broke off there.

        A target that had said that it leaves ends as planned. The word that takes
        longer than `VERDICT_S` still is taken in when it comes.
        """
        if target.state.leaving or target.state.gone:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.judge(admitted, target))
        self.judging.add(task)
        task.add_done_callback(self.judging.discard)
        await asyncio.wait({task}, timeout=VERDICT_S)

    async def judge(self, admitted: Admitted, target: Target) -> None:
        """Note a request under which a target has ended."""
        if not await self.liveness.has_ended(target):
            return
        log.warning(
            "target ended under request",
            extra=fields(
                admitted.request.request_id,
                target=target.target_id,
                address=target.address,
                account=admitted.account_name,
                route=admitted.route.name,
                fingerprint=self.fingerprint(admitted).hex(),
            ),
        )
