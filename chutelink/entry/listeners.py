"""The listening socket for callers, opened before the rest of a start."""

from __future__ import annotations

import socket

ACCEPT_QUEUE = 512
"""Connections that wait until the daemon takes them; callers wait up to 1 s."""


def open_listener(listen: str) -> socket.socket | None:
    """Return a socket that queues connections, or None where it can't be had.

    The daemon opens it again later then, and fails with the reason.
    """
    host, _, port = listen.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(ACCEPT_QUEUE)
    except OSError:
        # Not logged: there is no log yet, and the second try reports it.
        listener.close()
        return None
    listener.setblocking(False)
    return listener
