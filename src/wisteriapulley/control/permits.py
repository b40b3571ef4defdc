"""Switch permits, which limit how many targets are out of service at once."""

from collections.abc import Iterator, Mapping

import msgspec

from wisteriapulley.control.commands import AcquirePermit, PermitResult, ReleasePermit
from wisteriapulley.errors import ResultCode
from wisteriapulley.wire.messages import Announce


class Permit(msgspec.Struct, frozen=True):
    """Permission of a target to switch to a version."""

    service: str
    failure_domain: str
    incarnation: int
    version: str
    counted: bool
    fencing: int


class PermitTable:
    """Granted permits by target; a pure state machine applied from the log."""

    def __init__(self):
        self.permits: dict[str, Permit] = {}

    def acquire(
        self, request: AcquirePermit, index: int, max_unavailable: int
    ) -> PermitResult:
        """Grant or deny a permit.

        Parameters
        ----------
        request : AcquirePermit
            Target that asks, and the version to switch to.
        index : int
            Log index of the request. It becomes the fencing number, so a later
            permit always has a higher one, across all terms.
        max_unavailable : int
            Maximum number of unavailable targets per service and failure domain.

        Returns
        -------
        PermitResult
            OK with the fencing number, or PERMIT_DENIED.
        """
        counted = request.serving or self.is_unavailable(request)
        # A new version reaches all targets of a service at once, and without a limit
        # more of them would be out together than the owner allows. A target that
        # failed during its switch stays counted, so a version that no engine can
        # load stops at max_unavailable targets.
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
        """Return whether this target left service under its current permit."""
        permit = self.permits.get(request.target)
        return (
            permit is not None
            and permit.counted
            and permit.incarnation == request.incarnation
        )

    def count_unavailable(self, request: AcquirePermit) -> int:
        """Count the other unavailable targets in the same failure domain."""
        return sum(
            permit.counted
            and permit.service == request.service
            and permit.failure_domain == request.failure_domain
            and target != request.target
            for target, permit in self.permits.items()
        )

    def release(self, target: str, fencing: int = 0) -> PermitResult:
        """Remove a target's permit, if it has one.

        Returns
        -------
        PermitResult
            PERMIT_DENIED when `fencing` belongs to another permit.
        """
        permit = self.permits.get(target)
        if permit is not None and fencing not in (0, permit.fencing):
            return PermitResult(ResultCode.PERMIT_DENIED, permit.fencing)
        self.permits.pop(target, None)
        return PermitResult(ResultCode.OK)


class PermitSweeper:
    """Finds permits whose target is gone, for the leader to release.

    A target that died during its switch counts as unavailable until its member lease
    has ended. A new leader starts without a record of missing targets: it waits a
    full `lease_ms` before it treats a target as gone, since its own view of the
    members may still be incomplete.

    Parameters
    ----------
    lease_ms : float
        How long a target must be missing.
    """

    def __init__(self, lease_ms: float):
        self.lease_ms = lease_ms
        self.missing: dict[str, float] = {}

    def reset(self) -> None:
        """Clear the record of missing targets, since this instance does not lead."""
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
