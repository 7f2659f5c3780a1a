"""Listening socket for callers, opened early during startup."""

from __future__ import annotations

import socket

ACCEPT_QUEUE = 512
"""Backlog of connections waiting to be accepted; callers wait up to 1 s."""


def open_listener(listen: str) -> socket.socket | None:
    """Return a listening socket, or None if it can't be opened.

    In that case the daemon tries again later in the startup and reports the error.
    """
    host, _, port = listen.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(ACCEPT_QUEUE)
    except OSError:
        # Logging isn't set up yet; the second attempt reports the error.
        listener.close()
        return None
    listener.setblocking(False)
    return listener
