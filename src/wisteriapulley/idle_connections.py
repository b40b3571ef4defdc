"""Closes idle connections of an aiohttp server."""

from collections.abc import Container

from aiohttp import web


def close_idle(server: web.Server, active: Container[web.RequestHandler]) -> None:
    """Close idle connections now and the others after their response.

    aiohttp only ends the task of an idle connection and leaves the connection open, so
    that nothing would read a request that a caller still sends on it.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server whose connections to close.
    active : container of aiohttp.web.RequestHandler
        Connections with a request in progress.
    """
    for connection in server.connections:
        idle = is_idle(connection, active)
        connection.close()
        if idle and connection.transport is not None:
            connection.transport.close()


def is_idle(
    connection: web.RequestHandler, active: Container[web.RequestHandler]
) -> bool:
    """Return whether a connection waits for a request.

    A connection whose request was parsed, but is not yet handled, is not idle.
    """
    waiter = connection._waiter
    waiting = waiter is not None and not waiter.done()
    return waiting and connection not in active
