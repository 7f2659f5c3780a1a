"""Closing of callers' connections while a daemon shuts down."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Callable

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

ACCEPT_ITERATIONS = 4
"""Iterations of the event loop in which a listener accepts a connection."""


async def async_close_listener(
    listener: asyncio.Server, make_connection: Callable[[], asyncio.Protocol]
) -> None:
    """Stop listening, and accept the connections that callers have opened before.

    The kernel completes connections, and receives requests on them, on behalf of a slow
    or suspended process. It resets those that are not accepted when the socket closes.

    Parameters
    ----------
    listener : asyncio.Server
        Listener that is closed.
    make_connection : callable
        Returns the protocol of an accepted connection.
    """
    loop = asyncio.get_running_loop()
    for bound in listener.sockets:
        loop.remove_reader(bound.fileno())
    # asyncio drops a connection if its listener closes while it is being accepted.
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    accepted = [sock for bound in listener.sockets for sock in _accept_all(bound)]
    listener.close()
    connecting = [
        loop.connect_accepted_socket(make_connection, sock) for sock in accepted
    ]
    # A connection that its caller has closed by then may fail.
    await asyncio.gather(*connecting, return_exceptions=True)


def _accept_all(bound: asyncio.trsock.TransportSocket) -> list[socket.socket]:
    """Accept all connections that wait at a listening socket."""
    accepted: list[socket.socket] = []
    with socket.socket(fileno=os.dup(bound.fileno())) as listening:
        listening.setblocking(False)
        # Also ends if no file descriptor is left.
        with contextlib.suppress(OSError):
            while True:
                accepted.append(listening.accept()[0])
    for sock in accepted:
        sock.setblocking(False)
    return accepted


def close_idle(server: web.Server) -> int:
    """Close the connections on which no request has arrived.

    This replaces the server's ``pre_shutdown``, which leaves idle connections open and
    discards data received on any connection, including the rest of a request body.

    Parameters
    ----------
    server : web.Server
        Server whose connections are closed.

    Returns
    -------
    int
        Number of remaining connections, on each of which data was received.
    """
    connections = server.connections
    return len(connections) - sum(_close_if_idle(c) for c in connections)


def _close_if_idle(connection: RequestHandler) -> bool:
    """Close a connection on which no request has arrived; return whether it is closed.

    The kernel may hold data that a slow or suspended process has yet to read. The
    caller can't tell later whether its request was read.
    """
    if not _is_idle(connection):
        return False
    transport = connection.transport
    if transport is not None and not transport.is_closing():
        sock = transport.get_extra_info("socket")
        if count_unread_bytes(sock.fileno()):
            return False
        if not transport.get_write_buffer_size():
            # The transport closes the socket in a later iteration of the event loop,
            # before which the next request may arrive.
            _shut_down(sock)
    connection.force_close()
    return True


def _is_idle(connection: RequestHandler) -> bool:
    """Return whether the connection has no request that is still to be answered.

    A request is received some iterations of the event loop before its handler starts.
    In between, only aiohttp's private waiter shows it; aiohttp's keep-alive timer
    relies on the same state.
    """
    if getattr(connection, "has_request", False):
        return False
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


def count_unread_bytes(descriptor: int) -> int:
    """Return how many received bytes of a socket have not been read."""
    count = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(struct.calcsize("i")))
    return struct.unpack("i", count)[0]


def _shut_down(sock: socket.socket) -> None:
    """Tell the caller at once that its connection ends."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
