"""Routing tables: routes, services and client accounts, which apply as one version."""

from wisteriapulley.routing.checks import check_table
from wisteriapulley.routing.lookup import RouteIndex
from wisteriapulley.routing.table import (
    Account,
    EdgeLimits,
    Engine,
    Origin,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Split,
)

__all__ = [
    "Account",
    "EdgeLimits",
    "Engine",
    "Origin",
    "Route",
    "RouteIndex",
    "RouteKind",
    "RoutingTable",
    "Service",
    "Split",
    "check_table",
]
