"""State machine of the log: catalogue, routing, claims, permits and evacuations."""

from functools import singledispatchmethod
from typing import NamedTuple

import msgspec

from wisteriapulley.catalogue import Catalogue, ChangeResult
from wisteriapulley.catalogue.catalogue import CatalogueImage, ChangeRecord
from wisteriapulley.claims import Claim, ClaimKey, ClaimLedger, ClaimResult
from wisteriapulley.control.commands import (
    COMMAND_DECODER,
    AcquirePermit,
    ChangeCatalogue,
    Command,
    PermitResult,
    PutClaim,
    PutRouting,
    PutWeights,
    ReleasePermit,
    Result,
    VersionResult,
)
from wisteriapulley.control.evacuations import DomainState, Evacuations
from wisteriapulley.control.permits import Permit, PermitTable
from wisteriapulley.errors import ResultCode

NO_ROUTING = PutRouting(0, b"", b"")


class StateImage(msgspec.Struct, frozen=True):
    """Complete replicated state, as stored in a snapshot."""

    index: int
    catalogue: CatalogueImage
    history: tuple[ChangeRecord, ...]
    claims: tuple[tuple[ClaimKey, Claim], ...]
    claims_now_ms: int
    permits: dict[str, Permit]
    routing: PutRouting = NO_ROUTING
    weights: dict[str, int] = {}
    evacuations: dict[str, DomainState] = {}


class NamedVersion(NamedTuple):
    """A version of weights that a record of the log named.

    `accepted_s` is a time of `clocks.steady_s` at which it was not acknowledged yet,
    None if it is not known here.
    """

    model: str
    version: int
    accepted_s: float | None


class ControlState:
    """The replicated state of a control instance.

    Attributes
    ----------
    named : list of NamedVersion
        Versions of weights that were named since the publisher took them, oldest
        first. Their times differ by instance, so they are not part of the snapshot.
    """

    def __init__(self):
        self.catalogue = Catalogue()
        self.claims = ClaimLedger()
        self.permits = PermitTable()
        self.routing = NO_ROUTING
        self.weights: dict[str, int] = {}
        self.evacuations = Evacuations()
        self.named: list[NamedVersion] = []
        self.index = 0
        self.appended_s: float | None = None

    def apply(self, index: int, data: bytes, appended_s: float | None = None) -> Result:
        """Apply the command at `index`.

        Parameters
        ----------
        index : int
            Index of the record in the log.
        data : bytes
            The command.
        appended_s : float, optional
            When the record was appended on this disk, if that is known.
        """
        self.index = index
        self.appended_s = appended_s
        return self.run(COMMAND_DECODER.decode(data))

    def snapshot(self) -> bytes:
        """Encode the complete state for a snapshot."""
        image = StateImage(
            self.index,
            self.catalogue.image(),
            tuple(self.catalogue.history.values()),
            tuple(self.claims.claims.items()),
            self.claims.now_ms,
            self.permits.permits,
            self.routing,
            self.weights,
            self.evacuations.domains,
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Replace the complete state with that of a snapshot."""
        image = msgspec.msgpack.decode(data, type=StateImage)
        self.index = image.index
        self.catalogue.revision = image.catalogue.revision
        self.catalogue.entries = dict(image.catalogue.entries)
        self.catalogue.history = {r.change_id: r for r in image.history}
        self.claims.restore(dict(image.claims), image.claims_now_ms)
        self.permits.permits = dict(image.permits)
        self.routing = image.routing
        self.weights = dict(image.weights)
        self.evacuations.restore(image.evacuations)

    @singledispatchmethod
    def run(self, command: Command) -> Result:
        """Run a command, by its type."""
        raise TypeError(f"unknown command: {command!r}")

    @run.register
    def run_change(self, command: ChangeCatalogue) -> ChangeResult:
        """Handle the command `ChangeCatalogue`."""
        return self.catalogue.apply(command.change)

    @run.register
    def run_claim(self, command: PutClaim) -> ClaimResult:
        """Handle the command `PutClaim`."""
        return self.claims.put(
            command.key, command.claim, command.expected_attempt, command.now_ms
        )

    @run.register
    def run_acquire(self, command: AcquirePermit) -> PermitResult:
        """Handle the command `AcquirePermit`."""
        entries = [
            stored.entry
            for stored in self.catalogue.entries.values()
            if stored.entry.service == command.service
        ]
        if not entries or entries[0].version != command.version:
            return PermitResult(ResultCode.PERMIT_DENIED)
        return self.permits.acquire(command, self.index, entries[0].max_unavailable)

    @run.register
    def run_release(self, command: ReleasePermit) -> PermitResult:
        """Handle the command `ReleasePermit`."""
        return self.permits.release(command.target, command.fencing)

    @run.register
    def run_routing(self, command: PutRouting) -> VersionResult:
        """Handle the command `PutRouting`: the highest version wins."""
        if command.evacuation is not None:
            evacuated = self.evacuations.apply(command.evacuation, self.index)
            return VersionResult(self.routing.version, evacuated)
        if command.version > self.routing.version:
            self.routing = command
        return VersionResult(self.routing.version)

    @run.register
    def run_weights(self, command: PutWeights) -> VersionResult:
        """Handle the command `PutWeights`: the highest version wins."""
        known = self.weights.get(command.model, 0)
        if command.version > known:
            self.named.append(
                NamedVersion(command.model, command.version, self.appended_s)
            )
        version = max(command.version, known)
        self.weights[command.model] = version
        return VersionResult(version)

    def take_named(self) -> list[NamedVersion]:
        """Return the versions that were named since the last call."""
        named, self.named = self.named, []
        return named


def stamp(command: Command, now_ms: int) -> Command:
    """Return a command with the leader's time, if it has a field for it."""
    if isinstance(command, PutClaim):
        return msgspec.structs.replace(command, now_ms=now_ms)
    return command
