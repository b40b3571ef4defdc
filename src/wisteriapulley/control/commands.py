"""Commands of the replicated log and their results."""

import msgspec

from wisteriapulley.catalogue import Change, ChangeResult
from wisteriapulley.claims import Claim, ClaimKey, ClaimResult
from wisteriapulley.control.evacuations import EvacuationOrder


class ChangeCatalogue(msgspec.Struct, frozen=True, tag="change"):
    """Apply a catalogue change."""

    change: Change


class PutClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Set a claim by compare-and-set; the leader sets `now_ms`."""

    key: ClaimKey
    claim: Claim
    expected_attempt: int
    now_ms: int = 0


class AcquirePermit(msgspec.Struct, frozen=True, tag="acquire"):
    """Permit a target to switch to `version`.

    `serving` tells whether the target serves requests now. A target that does not
    takes nothing out of service and is not limited by ``max_unavailable``.
    """

    service: str
    failure_domain: str
    target: str
    incarnation: int
    version: str
    serving: bool


class ReleasePermit(msgspec.Struct, frozen=True, tag="release"):
    """Release the permit of a target that has switched or is gone.

    `fencing` names the permit to release, so that a late release does not free a newer
    one; 0 releases any.
    """

    target: str
    fencing: int = 0


class PutRouting(msgspec.Struct, frozen=True, tag="routing"):
    """Put a routing table in force if its version is the highest so far.

    Attributes
    ----------
    version : int
        Version that the operator gave the table.
    table : bytes
        Compressed table in this project's encoding.
    original : bytes
        Compressed text as the operator sent it, returned to operators on request.
    evacuation : EvacuationOrder or None
        Order to apply instead of a table; see `order_evacuation`.
    """

    version: int
    table: bytes
    original: bytes
    evacuation: EvacuationOrder | None = None


class PutWeights(msgspec.Struct, frozen=True, tag="weights"):
    """Set the desired version of a model's weights if it is the highest so far."""

    model: str
    version: int


class VersionResult(msgspec.Struct, frozen=True):
    """Version in force after a command that sets one.

    `evacuated` is whether the domain of an evacuation order is evacuated now; None
    for other commands, and if a leader of an earlier release dropped the order.
    """

    version: int
    evacuated: bool | None = None


class PermitResult(msgspec.Struct, frozen=True):
    """Outcome of a permit request; `fencing` increases with each permit."""

    code: int
    fencing: int = 0


Command = (
    ChangeCatalogue | PutClaim | AcquirePermit | ReleasePermit | PutRouting | PutWeights
)
Result = ChangeResult | ClaimResult | PermitResult | VersionResult

COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
# Commands that each role may send over its links.
ALLOWED_COMMANDS = {
    "entry": (PutClaim,),
    "sidecar": (AcquirePermit, ReleasePermit),
    "control": (
        ChangeCatalogue,
        PutClaim,
        AcquirePermit,
        ReleasePermit,
        PutRouting,
        PutWeights,
    ),
}
RESULT_TYPES = {
    ChangeCatalogue: ChangeResult,
    PutClaim: ClaimResult,
    AcquirePermit: PermitResult,
    ReleasePermit: PermitResult,
    PutRouting: VersionResult,
    PutWeights: VersionResult,
}


def order_evacuation(order: EvacuationOrder) -> PutRouting:
    """Return the command for an evacuation order.

    A replica of an earlier release fails on an unknown command, and its instance with
    it. It reads this one as a table with the lowest version, which is never in force.
    """
    return PutRouting(0, b"", b"", order)


def encode(value: Command | Result) -> bytes:
    """Encode a command or result for the log and the wire."""
    return msgspec.msgpack.encode(value)


def decode_result(command: Command, data: bytes) -> Result:
    """Decode the result of `command`."""
    return msgspec.msgpack.decode(data, type=RESULT_TYPES[type(command)])
