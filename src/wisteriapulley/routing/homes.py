"""Home regions: where the requests of a route or a client account may be served. Pure.

They forbid, whatever the load: when the targets of the homes are full or gone while
others are empty, a request is refused rather than sent elsewhere.
"""

from collections.abc import Iterable, Iterator

from wisteriapulley.routing.table import RoutingTable


def shared_homes(
    route_homes: tuple[str, ...], account_homes: tuple[str, ...]
) -> tuple[str, ...] | None:
    """Return the regions that may serve a request; empty for all, None for no region.

    Parameters
    ----------
    route_homes, account_homes : tuple of str
        Homes of its route and of its client account. A side without homes does not
        bind; where both have some, both bind.
    """
    if not route_homes or not account_homes:
        return route_homes or account_homes
    return tuple(home for home in route_homes if home in account_homes) or None


def describe_homes(homes: Iterable[str]) -> str:
    """Return home regions as text for logs and refusals."""
    return f"home regions {', '.join(homes)}"


def home_regions(table: RoutingTable) -> dict[str, tuple[str, ...]]:
    """Return the regions that some requests of each service are bound to.

    Services without such requests are absent.
    """
    account_homes = dict.fromkeys(
        home for account in table.accounts for home in account.homes
    )
    bound: dict[str, dict[str, None]] = {}
    for route in table.routes:
        homes = route.homes or account_homes
        if not homes:
            continue
        for split in route.splits:
            bound.setdefault(split.service, {}).update(dict.fromkeys(homes))
    return {service: tuple(homes) for service, homes in bound.items()}


def home_warnings(table: RoutingTable, regions: Iterable[str]) -> Iterator[str]:
    """Yield the homes of a table that leave requests without any target.

    Such a table is valid: a region may get its first failure domain later, and an
    account may never call the route.

    Parameters
    ----------
    table : RoutingTable
        The table.
    regions : iterable of str
        Regions of all known failure domains; if there is none, no region counts as
        unknown.
    """
    known = sorted(set(regions))
    if known:
        yield from unknown_regions(table, known)
    yield from disjoint_homes(table)


def unknown_regions(table: RoutingTable, known: list[str]) -> Iterator[str]:
    """Yield home regions that no failure domain has, with their first user."""
    first_user: dict[str, str] = {}
    for kind, holders in (("route", table.routes), ("account", table.accounts)):
        for holder in holders:
            for home in holder.homes:
                first_user.setdefault(home, f"{kind} {holder.name!r}")
    for home, user in first_user.items():
        if home not in known:
            yield (
                f"{user}: expected a home region with a failure domain, one of"
                f" {', '.join(known)}, got {home!r}"
            )


def disjoint_homes(table: RoutingTable) -> Iterator[str]:
    """Yield homes of routes and of accounts that share no region.

    Routes and accounts with the same homes are named by the first of them.
    """
    routes = {route.homes: route.name for route in reversed(table.routes)}
    accounts = {account.homes: account.name for account in reversed(table.accounts)}
    for route_homes, route in routes.items():
        for account_homes, account in accounts.items():
            if shared_homes(route_homes, account_homes) is None:
                yield (
                    f"route {route!r} with {describe_homes(route_homes)} and account"
                    f" {account!r} with {describe_homes(account_homes)} share none:"
                    " requests of both are refused"
                )
