"""Validation of a routing table before it is proposed."""

from collections import Counter
from collections.abc import Iterator

from wisteriapulley.errors import CatalogueError, ResultCode
from wisteriapulley.routing.table import RoutingTable


def check_table(table: RoutingTable) -> None:
    """Reject a table that could not be applied completely.

    Raises
    ------
    CatalogueError
        CATALOGUE_ENTRY_INVALID, with the first error found.
    """
    error = next(table_errors(table), None)
    if error is not None:
        raise CatalogueError(ResultCode.CATALOGUE_ENTRY_INVALID, error)


def table_errors(table: RoutingTable) -> Iterator[str]:
    """Yield the errors of a table."""
    yield from route_errors(table)
    yield from prefix_errors(table)
    yield from key_errors(table)


def route_errors(table: RoutingTable) -> Iterator[str]:
    """Yield errors in single routes, and references to unknown services."""
    services = {service.name for service in table.services}
    for route in table.routes:
        for split in route.splits:
            if split.service not in services:
                yield (
                    f"route {route.name!r}: expected one of {len(services)} services,"
                    f" got {split.service!r}"
                )
            if split.weight < 0:
                yield f"route {route.name!r}: expected weights of 0 or more"
        if sum(split.weight for split in route.splits) <= 0:
            yield f"route {route.name!r}: expected a sum of weights above 0"
        if route.timeout_ms <= 0:
            yield f"route {route.name!r}: expected a timeout above 0 ms"


def prefix_errors(table: RoutingTable) -> Iterator[str]:
    """Yield hosts and prefixes that several routes use."""
    prefixes = Counter((route.host, route.prefix) for route in table.routes)
    for (host, prefix), count in prefixes.items():
        if count > 1:
            yield f"expected one route for {host}{prefix}, got {count}"


def key_errors(table: RoutingTable) -> Iterator[str]:
    """Yield accounts that share a key, without the key itself."""
    owners: dict[str, str] = {}
    for account in table.accounts:
        for key in account.keys:
            other = owners.setdefault(key, account.name)
            if other != account.name:
                yield f"accounts {other!r} and {account.name!r} share a key"
