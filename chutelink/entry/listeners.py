"""Listening socket for callers, opened early during startup."""

from __future__ import annotations

import socket

from ..serving.listening import bind_socket

ACCEPT_QUEUE = 512
"""Backlog of connections waiting to be accepted; callers wait up to 1 s."""


def open_listener(listen: str) -> socket.socket | None:
    """Return a listening socket, or None if it can't be opened.

    In that case the daemon tries again later in the startup and reports the error.
    """
    host, _, port = listen.rpartition(":")
    try:
        listener = bind_socket(host, int(port))
    except OSError:
        # Logging isn't set up yet; the second attempt reports the error.
        return None
    listener.listen(ACCEPT_QUEUE)
    return listener
