"""The accepted catalogue: a state machine without I/O, driven by the log."""

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

# Accepted changes that are kept, to show the history and to recognise resends: three
# days at 640 changes a day, about 1 MB. A later resend is refused instead of accepted
# twice, because the revisions that it was based on have been superseded.
HISTORY_LENGTH = 2_000


class ChangeRecord(msgspec.Struct, frozen=True):
    """One accepted change, kept for the history and to recognise resends.

    Attributes
    ----------
    names : tuple of str
        Names of the entries that it put or deleted.
    digest : str
        Digest of the change, to tell a resend from another change with the same id.
    content : bytes
        The accepted entries, encoded.
    """

    revision: int
    change_id: str
    owner: str
    names: tuple[str, ...]
    digest: str
    content: bytes = b""

    def accepted(self) -> tuple[Entry, ...]:
        """Decode the entries that this change put."""
        if not self.content:
            return ()
        return msgspec.msgpack.decode(self.content, type=tuple[Entry, ...])


class HistoryRow(msgspec.Struct, frozen=True):
    """One accepted change in the form that operators receive."""

    revision: int
    change_id: str
    owner: str
    names: tuple[str, ...]
    accepted: tuple[Entry, ...]


class CatalogueImage(msgspec.Struct, frozen=True):
    """The revision and all entries, as sent to watchers."""

    revision: int
    entries: dict[str, Stored]


class Catalogue:
    """Accepted entries and a revision that grows with each change."""

    def __init__(self):
        self.revision = 0
        self.entries: dict[str, Stored] = {}
        self.history: dict[str, ChangeRecord] = {}

    def apply(self, change: Change) -> ChangeResult:
        """Accept or refuse a change; return the original result for a resend.

        Parameters
        ----------
        change : Change
            An atomic change: accepted as a whole or not at all.

        Returns
        -------
        ChangeResult
            With code OK, or the reason and the entries that are accepted instead.
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
        """Return the result for a change id that was used before."""
        if earlier.digest == change.digest():
            return ChangeResult(ResultCode.OK, earlier.revision)
        names = ", ".join(earlier.names)
        message = (
            f"change id {change.change_id!r} was used for other content at revision"
            f" {earlier.revision} (entries: {names}); send this change with a new id"
        )
        return ChangeResult(
            ResultCode.CHANGE_ID_CONFLICT, self.revision, message, earlier.accepted()
        )

    def check_change(self, change: Change) -> None:
        """Refuse a malformed change and one whose base revisions are superseded.

        Raises
        ------
        CatalogueError
            CATALOGUE_ENTRY_INVALID, NOT_OWNER or REVISION_CONFLICT.
        """
        for message in change_errors(change):
            raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, message)
        for item in (*change.puts, *change.deletes):
            self.check_base(item, change.owner)

    def check_base(self, item: Put | Delete, owner: str) -> None:
        """Refuse a put or delete with a wrong owner or a superseded base revision."""
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
                f"{item.name}: expected revision {item.base_revision}, but the"
                f" accepted revision is {current}",
            )

    def candidate_entries(self, change: Change) -> dict[str, Stored]:
        """Return the entries with the change applied, after validating them.

        Raises
        ------
        CatalogueError
            NOT_OWNER or CATALOGUE_ENTRY_INVALID.
        """
        entries = dict(self.entries)
        for delete in change.deletes:
            entries.pop(delete.name, None)
        for put in change.puts:
            if put.entry.owner != change.owner:
                raise CatalogueError(
                    ResultCode.NOT_OWNER,
                    f"{put.name}: owner is {put.entry.owner!r}, not {change.owner!r}",
                )
            for message in entry_errors(put.entry):
                raise CatalogueError(
                    ResultCode.CATALOGUE_ENTRY_INVALID, f"{put.name}: {message}"
                )
            entries[put.name] = Stored(put.entry, self.revision + 1)
        for message in service_errors(stored.entry for stored in entries.values()):
            raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, message)
        return entries

    def accept(self, change: Change, entries: dict[str, Stored]) -> ChangeResult:
        """Accept the change as the next revision."""
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
        """Return a refusal with the accepted entries of the names in the change."""
        accepted = tuple(
            self.entries[name].entry for name in change.names if name in self.entries
        )
        return ChangeResult(int(error.code), self.revision, error.message, accepted)

    def image(self) -> CatalogueImage:
        """Return the image that is sent to watchers."""
        return CatalogueImage(self.revision, dict(self.entries))


def history_rows(catalogue: Catalogue) -> Iterator[HistoryRow]:
    """Yield the accepted changes from oldest to newest."""
    for record in catalogue.history.values():
        yield HistoryRow(
            record.revision,
            record.change_id,
            record.owner,
            record.names,
            record.accepted(),
        )


def entries_by_service(image: CatalogueImage) -> dict[str, list[Entry]]:
    """Group the entries of an image by service, sorted by name."""
    grouped: dict[str, list[Entry]] = {}
    for name in sorted(image.entries):
        entry = image.entries[name].entry
        grouped.setdefault(entry.service, []).append(entry)
    return grouped
