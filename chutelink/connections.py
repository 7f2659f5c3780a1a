"""Connections of callers while a daemon stops."""

from __future__ import annotations

from aiohttp import web
from aiohttp.web_protocol import RequestHandler


def close_idle(server: web.Server) -> int:
    """Close the connections that wait for a request.

    The server's own ``pre_shutdown`` leaves them open and drops what arrives on any
    connection, also the rest of a body.

    Parameters
    ----------
    server : web.Server
        Owner of the connections.

    Returns
    -------
    int
        How many connections are left: a request was read on each of them.
    """
    connections = server.connections
    idle = [connection for connection in connections if _is_idle(connection)]
    for connection in idle:
        connection.force_close()
    return len(connections) - len(idle)


def _is_idle(connection: RequestHandler) -> bool:
    """Return whether no request was read that is still to be answered.

    Between the arrival of a request and its handler there are turns of the loop, in
    which only the library's own state tells; its keep-alive timer goes by the same.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()
