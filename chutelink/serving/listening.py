"""Sockets on which daemons listen; imported before most of a program."""

from __future__ import annotations

import socket
from typing import Final

RECEIVE_BUFFER_BYTES: Final = 16 * 1024
"""Unread data that the kernel holds; it takes about twice as much memory."""
SEND_BUFFER_BYTES: Final = 64 * 1024
"""Data that the kernel holds until the client has received it, with the same factor."""


def bind_socket(
    host: str, port: int, *, has_small_buffers: bool = True
) -> socket.socket:
    """Return a socket that is bound to an address, for a listener.

    With ``has_small_buffers``, the kernel holds little for each accepted connection.

    Raises
    ------
    OSError
        The address is in use or not one of this VM.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if has_small_buffers:
            # Accepted connections inherit both. They count towards the VM's memory.
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        bound.bind((host, port))
        bound.setblocking(False)
    except OSError:
        bound.close()
        raise
    return bound
