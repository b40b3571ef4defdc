"""Changes that operators send, their outcomes, and the diff that makes them."""

import msgspec
from blake3 import blake3

from wisteriapulley.catalogue.entry import Entry


class Put(msgspec.Struct, frozen=True):
    """Accept `entry` if its stored revision still is `base_revision`.

    `base_revision` is 0 for an entry that must not exist yet.
    """

    entry: Entry
    base_revision: int


class Delete(msgspec.Struct, frozen=True):
    """Remove the entry `name` if its revision still is `base_revision`."""

    name: str
    base_revision: int


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One atomic change.

    Attributes
    ----------
    change_id : str
        The operator's number for this change; a resend bears the same.
    owner : str
        Whose token sent it.
    puts, deletes : tuple
        What is to stand, or to go.
    """

    change_id: str
    owner: str
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()

    def digest(self) -> str:
        """Return a digest of the content, to tell a resend from a clash."""
        return blake3(msgspec.msgpack.encode(self)).hexdigest()


class ChangeResult(msgspec.Struct, frozen=True):
    """Outcome of a change.

    Attributes
    ----------
    code : int
        Result code.
    revision : int
        Catalogue revision after the change, or the one that stands.
    message : str
        Why it was refused.
    accepted : tuple of Entry
        On a conflict, what was accepted instead.
    """

    code: int
    revision: int
    message: str = ""
    accepted: tuple[Entry, ...] = ()


class Stored(msgspec.Struct, frozen=True):
    """Accepted entry with the revision that accepted it."""

    entry: Entry
    revision: int


def diff(
    wanted: dict[str, Entry], stored: dict[str, Stored], owner: str
) -> tuple[tuple[Put, ...], tuple[Delete, ...]]:
    """Compare files with what is accepted.

    Parameters
    ----------
    wanted : dict
        Entry by name, from files.
    stored : dict
        Accepted entry by name.
    owner : str
        Only this owner's entries are deleted when no file has them.

    Returns
    -------
    puts, deletes : tuple
        What to send; both empty when nothing differs.
    """
    puts = tuple(
        Put(entry, stored[name].revision if name in stored else 0)
        for name, entry in wanted.items()
        if name not in stored or stored[name].entry != entry
    )
    deletes = tuple(
        Delete(name, item.revision)
        for name, item in stored.items()
        if name not in wanted and item.entry.owner == owner
    )
    return puts, deletes
