"""Switch permits: how many targets may be out of service at once."""

import msgspec

from wisteriapulley.control.commands import AcquirePermit, PermitResult
from wisteriapulley.errors import ResultCode


class Permit(msgspec.Struct, frozen=True):
    """A target that may switch now."""

    service: str
    failure_domain: str
    incarnation: int
    version: str
    counted: bool
    fencing: int


class PermitTable:
    """Standing permits by target; a pure state machine that the log drives."""

    def __init__(self):
        self.permits: dict[str, Permit] = {}

    def acquire(
        self, request: AcquirePermit, index: int, max_unavailable: int
    ) -> PermitResult:
        """Grant or deny a permit.

        Parameters
        ----------
        request : AcquirePermit
            Who wants to switch to what.
        index : int
            Log index of the request: it becomes the fencing number, so a later
            permit always has a higher one, over all terms.
        max_unavailable : int
            Most targets of one service and failure domain that may be out.

        Returns
        -------
        PermitResult
            OK with the fencing number, or PERMIT_DENIED.
        """
        out = [
            target
            for target, permit in self.permits.items()
            if permit.counted
            and permit.service == request.service
            and permit.failure_domain == request.failure_domain
            and target != request.target
        ]
        if request.serving and len(out) >= max_unavailable:
            return PermitResult(ResultCode.PERMIT_DENIED)
        self.permits[request.target] = Permit(
            request.service,
            request.failure_domain,
            request.incarnation,
            request.version,
            request.serving,
            index,
        )
        return PermitResult(ResultCode.OK, index)

    def release(self, target: str) -> PermitResult:
        """Drop a target's permit; one that has none is fine."""
        self.permits.pop(target, None)
        return PermitResult(ResultCode.OK)
