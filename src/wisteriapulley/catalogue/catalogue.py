"""The accepted catalogue: a pure state machine that the log drives."""

from collections.abc import Iterator

import msgspec

from wisteriapulley.catalogue.changes import (
    Change,
    ChangeResult,
    Delete,
    Put,
    Stored,
    change_errors,
)
from wisteriapulley.catalogue.entry import Entry, entry_errors, service_errors
from wisteriapulley.errors import CatalogueError, ResultCode

# Load: 640 changes a day; these hold the resends and history of three days, in
# about 1 MB. A resend that comes later still meets the revisions it was made
# against, so it is refused rather than accepted twice.
HISTORY_LENGTH = 2_000


class ChangeRecord(msgspec.Struct, frozen=True):
    """History of one accepted change.

    Attributes
    ----------
    names : tuple of str
        Entries that it put or deleted.
    digest : str
        Of the change, to tell a resend from a clash.
    content : bytes
        The entries as accepted then, encoded.
    """

    revision: int
    change_id: str
    owner: str
    names: tuple[str, ...]
    digest: str
    content: bytes = b""

    def accepted(self) -> tuple[Entry, ...]:
        """Return the entries that this change put."""
        if not self.content:
            return ()
        return msgspec.msgpack.decode(self.content, type=tuple[Entry, ...])


class HistoryRow(msgspec.Struct, frozen=True):
    """One accepted change as operators read it."""

    revision: int
    change_id: str
    owner: str
    names: tuple[str, ...]
    accepted: tuple[Entry, ...]


class CatalogueImage(msgspec.Struct, frozen=True):
    """What watchers receive: the revision and every entry."""

    revision: int
    entries: dict[str, Stored]


class Catalogue:
    """Accepted entries under one growing revision."""

    def __init__(self):
        self.revision = 0
        self.entries: dict[str, Stored] = {}
        self.history: dict[str, ChangeRecord] = {}

    def apply(self, change: Change) -> ChangeResult:
        """Accept or refuse a change; a resend gets its first result.

        Parameters
        ----------
        change : Change
            An atomic change: all of it is accepted, or none.

        Returns
        -------
        ChangeResult
            With code OK, or the reason and what was accepted instead.
        """
        earlier = self.history.get(change.change_id)
        if earlier is not None:
            return self.resend_result(change, earlier)
        try:
            self.check_change(change)
            entries = self.candidate_entries(change)
        except CatalogueError as error:
            return self.refusal(error, change)
        return self.accept(change, entries)

    def resend_result(self, change: Change, earlier: ChangeRecord) -> ChangeResult:
        """Answer a change id that was used before."""
        if earlier.digest == change.digest():
            return ChangeResult(ResultCode.OK, earlier.revision)
        names = ", ".join(earlier.names)
        message = (
            f"change id {change.change_id!r} accepted other content at revision"
            f" {earlier.revision}, of {names}; send this under a new change id"
        )
        return ChangeResult(
            ResultCode.CHANGE_ID_CONFLICT, self.revision, message, earlier.accepted()
        )

    def check_change(self, change: Change) -> None:
        """Refuse a malformed change, and one whose bases no longer stand.

        Raises
        ------
        CatalogueError
            CATALOGUE_ENTRY_INVALID, NOT_OWNER or REVISION_CONFLICT.
        """
        for fault in change_errors(change):
            raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, fault)
        for item in (*change.puts, *change.deletes):
            self.check_base(item, change.owner)

    def check_base(self, item: Put | Delete, owner: str) -> None:
        """Refuse a put or delete of another owner or of an older revision."""
        stored = self.entries.get(item.name)
        if stored is not None and stored.entry.owner != owner:
            raise CatalogueError(
                ResultCode.NOT_OWNER,
                f"{item.name}: owner is {stored.entry.owner!r}, not {owner!r}",
            )
        current = stored.revision if stored is not None else 0
        if current != item.base_revision:
            raise CatalogueError(
                ResultCode.REVISION_CONFLICT,
                f"{item.name}: expected revision {item.base_revision}, stands at"
                f" {current}",
            )

    def candidate_entries(self, change: Change) -> dict[str, Stored]:
        """Build and check the entries as the change would leave them."""
        entries = dict(self.entries)
        for delete in change.deletes:
            entries.pop(delete.name, None)
        for put in change.puts:
            if put.entry.owner != change.owner:
                raise CatalogueError(
                    ResultCode.NOT_OWNER,
                    f"{put.name}: owner is {put.entry.owner!r}, not {change.owner!r}",
                )
            for fault in entry_errors(put.entry):
                raise CatalogueError(
                    ResultCode.CATALOGUE_ENTRY_INVALID, f"{put.name}: {fault}"
                )
            entries[put.name] = Stored(put.entry, self.revision + 1)
        for fault in service_errors(stored.entry for stored in entries.values()):
            raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, fault)
        return entries

    def accept(self, change: Change, entries: dict[str, Stored]) -> ChangeResult:
        """Take the change in under the next revision."""
        self.revision += 1
        self.entries = entries
        self.history[change.change_id] = ChangeRecord(
            self.revision,
            change.change_id,
            change.owner,
            change.names,
            change.digest(),
            msgspec.msgpack.encode([put.entry for put in change.puts]),
        )
        while len(self.history) > HISTORY_LENGTH:
            del self.history[next(iter(self.history))]
        return ChangeResult(ResultCode.OK, self.revision)

    def refusal(self, error: CatalogueError, change: Change) -> ChangeResult:
        """Refuse, saying what stands under the names concerned."""
        standing = tuple(
            self.entries[name].entry for name in change.names if name in self.entries
        )
        return ChangeResult(int(error.code), self.revision, error.message, standing)

    def image(self) -> CatalogueImage:
        """Return what watchers receive."""
        return CatalogueImage(self.revision, dict(self.entries))


def history_rows(catalogue: Catalogue) -> Iterator[HistoryRow]:
    """Yield the accepted changes, oldest first."""
    for record in catalogue.history.values():
        yield HistoryRow(
            record.revision,
            record.change_id,
            record.owner,
            record.names,
            record.accepted(),
        )


def entries_by_service(image: CatalogueImage) -> dict[str, list[Entry]]:
    """Group the entries of an image by service, in name order."""
    grouped: dict[str, list[Entry]] = {}
    for name in sorted(image.entries):
        entry = image.entries[name].entry
        grouped.setdefault(entry.service, []).append(entry)
    return grouped
