"""Changes sent by operators, their results, and the diff that generates them."""

import re
from collections.abc import Iterator

import msgspec
from blake3 import blake3

from wisteriapulley.catalogue.entry import Entry

CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,63}")


class Put(msgspec.Struct, frozen=True):
    """Store `entry` if the accepted revision is still `base_revision`.

    `base_revision` is 0 for an entry that must not exist yet.
    """

    entry: Entry
    base_revision: int

    @property
    def name(self) -> str:
        """Name of the entry."""
        return self.entry.name


class Delete(msgspec.Struct, frozen=True):
    """Remove the entry `name` if its accepted revision is still `base_revision`."""

    name: str
    base_revision: int


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One atomic change of the catalogue.

    Attributes
    ----------
    change_id : str
        Id that the operator chose for this change; the same in a resend.
    owner : str
        Owner of the token that it was sent with.
    puts, deletes : tuple
        Entries to store and to remove.
    """

    change_id: str
    owner: str
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all entries in the change."""
        return tuple(item.name for item in (*self.puts, *self.deletes))

    def digest(self) -> str:
        """Return a digest of the content, to tell a resend from a reused change id."""
        return blake3(msgspec.msgpack.encode(self)).hexdigest()


class ChangeResult(msgspec.Struct, frozen=True):
    """Result of a change.

    Attributes
    ----------
    code : int
        Result code.
    revision : int
        Catalogue revision after the change, or the current one if it was refused.
    message : str
        Reason of a refusal.
    accepted : tuple of Entry
        If the change id was used before, the entries accepted with it; for other
        refusals, the accepted entries of the names in the change.
    """

    code: int
    revision: int
    message: str = ""
    accepted: tuple[Entry, ...] = ()


class Stored(msgspec.Struct, frozen=True):
    """Accepted entry and the catalogue revision in which it was accepted."""

    entry: Entry
    revision: int


def change_errors(change: Change) -> Iterator[str]:
    """Yield an error message for each rule that a change breaks by itself."""
    if not CHANGE_ID_PATTERN.fullmatch(change.change_id):
        yield (
            "change_id: expected 1 to 64 of A-Z a-z 0-9 . _ : / -, got"
            f" {change.change_id!r}"
        )
    if not change.names:
        yield "expected at least one put or delete, got none"
    seen: set[str] = set()
    for name in change.names:
        if name in seen:
            yield f"{name}: expected each name once in a change, got it again"
        seen.add(name)
    for delete in change.deletes:
        if delete.base_revision < 1:
            yield f"{delete.name}: expected the base revision of the entry to delete"


def diff(
    desired: dict[str, Entry], stored: dict[str, Stored], owner: str
) -> tuple[tuple[Put, ...], tuple[Delete, ...]]:
    """Return the puts and deletes that turn the accepted entries into `desired`.

    Parameters
    ----------
    desired : dict
        Entries by name, read from files.
    stored : dict
        Accepted entries by name.
    owner : str
        Accepted entries that are not in `desired` are deleted if they have this owner.

    Returns
    -------
    puts, deletes : tuple
        Content of the change to send; both empty if there is no difference.
    """
    puts = tuple(
        Put(entry, stored[name].revision if name in stored else 0)
        for name, entry in desired.items()
        if name not in stored or stored[name].entry != entry
    )
    deletes = tuple(
        Delete(name, item.revision)
        for name, item in stored.items()
        if name not in desired and item.entry.owner == owner
    )
    return puts, deletes


def format_changes(
    puts: tuple[Put, ...], deletes: tuple[Delete, ...], stored: dict[str, Stored]
) -> Iterator[str]:
    """Yield one line per difference: ``+`` added, ``-`` removed, ``~`` changed."""
    for put in puts:
        if put.name in stored:
            yield f"~ {put.name}"
            yield from format_keys(stored[put.name].entry, put.entry)
        else:
            yield f"+ {put.name}"
            yield from format_keys(None, put.entry)
    for delete in deletes:
        yield f"- {delete.name}"


def format_keys(before: Entry | None, after: Entry) -> Iterator[str]:
    """Yield one line per key that differs."""
    old = dict(flatten_keys(before)) if before is not None else {}
    for key, value in flatten_keys(after):
        if before is None:
            yield f"    {key}: {value}"
        elif old[key] != value:
            yield f"    {key}: {old[key]} -> {value}"


def flatten_keys(entry: Entry) -> Iterator[tuple[str, str]]:
    """Yield each key of an entry as in its file, with its value as JSON."""
    for key, value in msgspec.to_builtins(entry).items():
        if isinstance(value, dict):
            for inner, item in value.items():
                yield f"{key}.{inner}", msgspec.json.encode(item).decode()
        elif key != "name":
            yield key, msgspec.json.encode(value).decode()
