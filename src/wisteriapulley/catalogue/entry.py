"""Catalogue entries and their validation."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from wisteriapulley.errors import CatalogueError, ResultCode

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
NODE_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
DISTRIBUTIONS = ("time_to_replicas", "origin_bytes")
ROLES = ("serve", "prefill", "decode", "batch")
PRIORITY_RANGE = range(-100, 101)
# Accepted values of the limits: far above current and planned ones, but low enough to
# refuse a value that is wrong by three digits before it takes effect in the whole
# fleet.
LIMIT_RANGES = {
    "requests_per_s": (0.001, 100_000.0),
    "burst": (1, 100_000),
    "in_flight": (1, 10_000),
    "deadline_ms": (1, 600_000),
}
MAX_LEAVING = 1000


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Request limits of an entry.

    Attributes
    ----------
    requests_per_s : float
        Sustained rate of one client account.
    burst : int
        Requests that one client account may send at once.
    in_flight : int
        Concurrent requests of all client accounts at one target.
    deadline_ms : int
        Deadline of a request that does not set one, in milliseconds.
    """

    requests_per_s: float = 100.0
    burst: int = 200
    in_flight: int = 32
    deadline_ms: int = 30_000


class Entry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"traffic_class": "class"},
):
    """One catalogue entry.

    Attributes
    ----------
    name : str
        Name that callers send as ``model`` or as the path of the service.
    owner : str
        Owner that may change the entry.
    traffic_class : str
        Traffic class of its requests; ``class`` in files.
    limits : Limits
        Request limits.
    service : str
        Service that its targets announce.
    version : str
        Digest of the manifest, 64 hexadecimal digits; empty for a plain service.
    idempotent : bool
        Whether a request may run more than once.
    priority : int
        Priority that is passed to engines; requests with a lower value run first.
    distribution : {'time_to_replicas', 'origin_bytes'}
        What to minimise when many targets download a version at once.
    max_unavailable : int
        Maximum number of targets in one failure domain that switch version at once.
    leaving : tuple of str
        Node ids of targets that receive no new requests.
    """

    name: str
    owner: str
    traffic_class: str
    service: str
    limits: Limits = Limits()
    version: str = ""
    role: str = "serve"
    idempotent: bool = True
    priority: int = 0
    distribution: str = "time_to_replicas"
    max_unavailable: int = 1
    leaving: tuple[str, ...] = ()


# Keys that must be equal in all entries of a service, because each target has a single
# value for them. The owner is included: an entry of another owner could otherwise block
# new versions of the service.
SHARED_SERVICE_KEYS = (
    "owner",
    "version",
    "role",
    "distribution",
    "max_unavailable",
    "leaving",
)


def entry_errors(entry: Entry) -> Iterator[str]:
    """Yield the errors of one entry as ``key: expected ..., got ...``."""
    yield from name_errors(entry)
    yield from weights_errors(entry)
    yield from limit_errors(entry)
    yield from leaving_errors(entry)


def name_errors(entry: Entry) -> Iterator[str]:
    """Yield the errors in the names of an entry."""
    for key in ("name", "owner", "traffic_class", "service"):
        if not NAME_PATTERN.fullmatch(getattr(entry, key)):
            yield (
                f"{key.removeprefix('traffic_')}: expected 1 to 63 of a-z 0-9 . -,"
                f" got {getattr(entry, key)!r}"
            )


def weights_errors(entry: Entry) -> Iterator[str]:
    """Yield the errors in version, role and distribution."""
    if entry.version and not DIGEST_PATTERN.fullmatch(entry.version):
        yield (
            "version: expected a manifest digest of 64 hexadecimal digits,"
            f" got {entry.version!r}"
        )
    if entry.distribution not in DISTRIBUTIONS:
        yield (
            f"distribution: expected one of {DISTRIBUTIONS}, got {entry.distribution!r}"
        )
    if entry.role not in ROLES:
        yield f"role: expected one of {ROLES}, got {entry.role!r}"
    if not entry.version and entry.role != ROLES[0]:
        yield (
            f"role: expected {ROLES[0]!r} of a plain service (it has no version),"
            f" got {entry.role!r}"
        )


def limit_errors(entry: Entry) -> Iterator[str]:
    """Yield an error for each number that is out of range."""
    if not 1 <= entry.max_unavailable <= MAX_LEAVING:
        yield (
            f"max_unavailable: expected 1 to {MAX_LEAVING}, got {entry.max_unavailable}"
        )
    if entry.priority not in PRIORITY_RANGE:
        yield f"priority: expected -100 to 100, got {entry.priority}"
    for key, (minimum, maximum) in LIMIT_RANGES.items():
        value = getattr(entry.limits, key)
        if not minimum <= value <= maximum:
            yield f"limits.{key}: expected {minimum} to {maximum}, got {value}"


def leaving_errors(entry: Entry) -> Iterator[str]:
    """Yield the errors in the list of leaving targets."""
    if len(entry.leaving) > MAX_LEAVING:
        yield f"leaving: expected at most {MAX_LEAVING}, got {len(entry.leaving)}"
    seen: set[str] = set()
    for node_id in entry.leaving:
        if not NODE_ID_PATTERN.fullmatch(node_id):
            yield f"leaving: expected node ids, got {node_id!r}"
        if node_id in seen:
            yield f"leaving: expected each node id once, got {node_id!r} again"
        seen.add(node_id)


def service_errors(entries: Iterable[Entry]) -> Iterator[str]:
    """Yield an error for each key that differs within a service."""
    first: dict[str, Entry] = {}
    for entry in entries:
        other = first.setdefault(entry.service, entry)
        for key in SHARED_SERVICE_KEYS:
            if getattr(other, key) != getattr(entry, key):
                yield (
                    f"{entry.name}: {key}: expected {getattr(other, key)!r} as in"
                    f" {other.name!r} of the same service,"
                    f" got {getattr(entry, key)!r}"
                )


def validate(entries: Iterable[Entry]) -> None:
    """Check the entries of one catalogue.

    Raises
    ------
    CatalogueError
        The first error, with the name of the entry and the key.
    """
    entries = tuple(entries)
    errors = [
        f"{entry.name}: {error}" for entry in entries for error in entry_errors(entry)
    ]
    errors += service_errors(entries)
    if errors:
        raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, errors[0])


def load_entry(path: Path) -> Entry:
    """Read one entry file.

    Raises
    ------
    CatalogueError
        The file is unreadable or not a valid entry; the message has file and key.
    """
    try:
        entry = msgspec.json.decode(path.read_bytes(), type=Entry)
    except OSError as error:
        raise CatalogueError(
            ResultCode.CATALOGUE_FILE_UNREADABLE,
            f"{path}: expected a readable file: {error.strerror}",
        ) from error
    except msgspec.ValidationError as error:
        raise CatalogueError(
            ResultCode.CATALOGUE_ENTRY_INVALID, f"{path}: {error}"
        ) from error
    except msgspec.DecodeError as error:
        raise CatalogueError(
            ResultCode.CATALOGUE_FILE_UNREADABLE, f"{path}: expected JSON: {error}"
        ) from error
    errors = list(entry_errors(entry))
    if errors:
        raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, f"{path}: {errors[0]}")
    return entry


def load_folder(folder: str) -> dict[str, Entry]:
    """Read and validate all ``*.json`` entry files of a folder.

    Returns
    -------
    dict
        Entries by name.

    Raises
    ------
    CatalogueError
        A file is invalid, a name occurs twice, or entries contradict each other.
    """
    if not Path(folder).is_dir():
        raise CatalogueError(
            ResultCode.CATALOGUE_FILE_UNREADABLE,
            f"{folder}: expected a folder of entry files",
        )
    entries: dict[str, Entry] = {}
    for path in sorted(Path(folder).glob("*.json")):
        entry = load_entry(path)
        if entry.name in entries:
            raise CatalogueError(
                ResultCode.CATALOGUE_ENTRY_INVALID,
                f"{path}: name: expected one file per entry, got {entry.name!r} twice",
            )
        entries[entry.name] = entry
    validate(entries.values())
    return entries
