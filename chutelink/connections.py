"""Closing of callers' connections while a daemon shuts down."""

from __future__ import annotations

from aiohttp import web
from aiohttp.web_protocol import RequestHandler


def close_idle(server: web.Server) -> int:
    """Close the connections that wait for a request.

    This replaces the server's ``pre_shutdown``, which leaves idle connections open and
    discards data received on any connection, including the rest of a request body.

    Parameters
    ----------
    server : web.Server
        Server whose connections are closed.

    Returns
    -------
    int
        Number of remaining connections, on each of which a request was received.
    """
    connections = server.connections
    idle = [connection for connection in connections if _is_idle(connection)]
    for connection in idle:
        connection.force_close()
    return len(connections) - len(idle)


def _is_idle(connection: RequestHandler) -> bool:
    """Return whether the connection has no request that is still to be answered.

    A request is received some iterations of the event loop before its handler starts.
    In between, only aiohttp's private waiter shows it; aiohttp's keep-alive timer
    relies on the same state.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()
