"""The accepted catalogue: a pure state machine that the log drives."""

import msgspec

from wisteriapulley.catalogue.changes import Change, ChangeResult, Stored
from wisteriapulley.catalogue.entry import Entry, validate
from wisteriapulley.errors import CatalogueError, ResultCode

# At 640 changes a day these hold the resends and history of two weeks.
HISTORY_LENGTH = 10_000


class ChangeRecord(msgspec.Struct, frozen=True):
    """History of one accepted change."""

    revision: int
    change_id: str
    owner: str
    names: tuple[str, ...]
    digest: str


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
            return self.resend(change, earlier)
        try:
            self.check_bases(change)
            entries = self.candidate(change)
        except CatalogueError as error:
            return self.refusal(error.code, error.message, change)
        return self.accept(change, entries)

    def resend(self, change: Change, earlier: ChangeRecord) -> ChangeResult:
        """Answer a change id that was used before."""
        if earlier.digest == change.digest():
            return ChangeResult(ResultCode.OK, earlier.revision)
        return self.refusal(
            ResultCode.CHANGE_ID_CONFLICT,
            f"change id {change.change_id!r} accepted other content at revision"
            f" {earlier.revision}",
            change,
            earlier.names,
        )

    def check_bases(self, change: Change) -> None:
        """Refuse a change made against a revision that no longer stands."""
        named = [(put.entry.name, put.base_revision) for put in change.puts]
        named += [(delete.name, delete.base_revision) for delete in change.deletes]
        for name, base in named:
            stored = self.entries.get(name)
            if stored is not None and stored.entry.owner != change.owner:
                raise CatalogueError(
                    ResultCode.NOT_OWNER,
                    f"{name}: owner is {stored.entry.owner!r}, not {change.owner!r}",
                )
            current = stored.revision if stored is not None else 0
            if current != base:
                raise CatalogueError(
                    ResultCode.REVISION_CONFLICT,
                    f"{name}: expected revision {base}, stands at {current}",
                )

    def candidate(self, change: Change) -> dict[str, Stored]:
        """Build and check the entries as the change would leave them."""
        entries = dict(self.entries)
        for delete in change.deletes:
            entries.pop(delete.name, None)
        for put in change.puts:
            if put.entry.owner != change.owner:
                raise CatalogueError(
                    ResultCode.NOT_OWNER,
                    f"{put.entry.name}: owner is {put.entry.owner!r},"
                    f" not {change.owner!r}",
                )
            entries[put.entry.name] = Stored(put.entry, self.revision + 1)
        validate(stored.entry for stored in entries.values())
        return entries

    def accept(self, change: Change, entries: dict[str, Stored]) -> ChangeResult:
        """Take the change in under the next revision."""
        self.revision += 1
        self.entries = entries
        names = tuple(put.entry.name for put in change.puts)
        names += tuple(delete.name for delete in change.deletes)
        self.history[change.change_id] = ChangeRecord(
            self.revision, change.change_id, change.owner, names, change.digest()
        )
        while len(self.history) > HISTORY_LENGTH:
            del self.history[next(iter(self.history))]
        return ChangeResult(ResultCode.OK, self.revision)

    def refusal(
        self,
        code: ResultCode,
        message: str,
        change: Change,
        names: tuple[str, ...] = (),
    ) -> ChangeResult:
        """Refuse, saying what was accepted under the names concerned."""
        names = names or tuple(put.entry.name for put in change.puts)
        accepted = tuple(self.entries[n].entry for n in names if n in self.entries)
        return ChangeResult(int(code), self.revision, message, accepted)

    def image(self) -> CatalogueImage:
        """Return what watchers receive."""
        return CatalogueImage(self.revision, dict(self.entries))


def entries_by_service(image: CatalogueImage) -> dict[str, list[Entry]]:
    """Group the entries of an image by service, in name order."""
    grouped: dict[str, list[Entry]] = {}
    for name in sorted(image.entries):
        entry = image.entries[name].entry
        grouped.setdefault(entry.service, []).append(entry)
    return grouped
