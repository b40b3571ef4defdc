"""Closes a server's connections that wait for a request."""

from collections.abc import Container

from aiohttp import web


def close_idle(server: web.Server, active: Container[web.RequestHandler]) -> None:
    """Close connections without a request; others close after their answer.

    The library only ends the task of an idle connection and leaves it open:
    what a caller still sends on it would be read by nobody.

    Parameters
    ----------
    server : aiohttp.web.Server
        Whose connections they are.
    active : container of aiohttp.web.RequestHandler
        Those with a request in progress.
    """
    for connection in server.connections:
        idle = is_idle(connection, active)
        connection.close()
        if idle and connection.transport is not None:
            connection.transport.close()


def is_idle(
    connection: web.RequestHandler, active: Container[web.RequestHandler]
) -> bool:
    """Tell whether a connection waits for a request.

    One whose request is parsed, but not yet handled, waits no more.
    """
    waiter = connection._waiter
    waits = waiter is not None and not waiter.done()
    return waits and connection not in active
