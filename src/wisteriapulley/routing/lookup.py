"""Lookup of a request's route and client account."""

from wisteriapulley.routing.table import Account, Route, RoutingTable


class RouteIndex:
    """Index of one routing table.

    A lookup costs one dictionary access for each slash of the path, however
    many routes the table has.
    """

    def __init__(self, table: RoutingTable):
        self.table = table
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route
        self.accounts: dict[str, Account] = {
            key: account for account in table.accounts for key in account.keys
        }
        self.services = {service.name: service for service in table.services}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
        prefixes = self.routes_by_host.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account that owns a key."""
        return self.accounts.get(key)
