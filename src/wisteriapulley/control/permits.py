"""Switch permits: how many targets may be out of service at once."""

from collections.abc import Iterator, Mapping

import msgspec

from wisteriapulley.control.commands import AcquirePermit, PermitResult, ReleasePermit
from wisteriapulley.errors import ResultCode
from wisteriapulley.wire.messages import Announce


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
        counted = request.serving or self.is_unavailable(request)
        # Load: a new version reaches all targets of a service at once. Harm
        # prevented: more of them out together than the owner allowed. A target
        # that failed in its switch keeps its place: a version that no engine
        # loads then stops at max_unavailable targets.
        if request.serving and self.count_unavailable(request) >= max_unavailable:
            return PermitResult(ResultCode.PERMIT_DENIED)
        self.permits[request.target] = Permit(
            request.service,
            request.failure_domain,
            request.incarnation,
            request.version,
            counted,
            index,
        )
        return PermitResult(ResultCode.OK, index)

    def is_unavailable(self, request: AcquirePermit) -> bool:
        """Tell whether this target left service under its standing permit."""
        permit = self.permits.get(request.target)
        return (
            permit is not None
            and permit.counted
            and permit.incarnation == request.incarnation
        )

    def count_unavailable(self, request: AcquirePermit) -> int:
        """Count other targets that are out in the same failure domain."""
        return sum(
            permit.counted
            and permit.service == request.service
            and permit.failure_domain == request.failure_domain
            and target != request.target
            for target, permit in self.permits.items()
        )

    def release(self, target: str, fencing: int = 0) -> PermitResult:
        """Drop a target's permit; one that has none is fine.

        Returns
        -------
        PermitResult
            PERMIT_DENIED when `fencing` names another permit.
        """
        permit = self.permits.get(target)
        if permit is not None and fencing not in (0, permit.fencing):
            return PermitResult(ResultCode.PERMIT_DENIED, permit.fencing)
        self.permits.pop(target, None)
        return PermitResult(ResultCode.OK)


class PermitSweeper:
    """Finds permits whose target is gone, for the leader to release.

    A target that died in its switch counts as unavailable until its member
    lease ended. A new leader starts with an empty memory: it waits a whole
    `lease_ms` before it calls a target gone, since its own view of the members
    may still be filling.

    Parameters
    ----------
    lease_ms : float
        How long a target must be missing.
    """

    def __init__(self, lease_ms: float):
        self.lease_ms = lease_ms
        self.missing: dict[str, float] = {}

    def reset(self) -> None:
        """Forget what was seen: this instance does not lead."""
        self.missing.clear()

    def sweep(
        self,
        permits: Mapping[str, Permit],
        members: Mapping[str, Announce],
        now_ms: float,
    ) -> Iterator[ReleasePermit]:
        """Yield the releases that are due at `now_ms`."""
        for target in set(self.missing) - (set(permits) - set(members)):
            del self.missing[target]
        for target, permit in permits.items():
            member = members.get(target)
            if member is None:
                since = self.missing.setdefault(target, now_ms)
                if now_ms - since >= self.lease_ms:
                    yield ReleasePermit(target, permit.fencing)
            elif member.incarnation > permit.incarnation:
                yield ReleasePermit(target, permit.fencing)
