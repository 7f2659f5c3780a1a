"""Connections of callers while a daemon stops."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web


class CallerConnections:
    """The connections on which requests are being answered."""

    def __init__(self) -> None:
        self.busy: Counter[asyncio.Transport] = Counter()

    @contextmanager
    def answering(self, request: web.BaseRequest) -> Iterator[None]:
        """Count a request while it is being answered."""
        transport = request.transport
        self.busy[transport] += 1
        try:
            yield
        finally:
            self.busy[transport] -= 1
            if not self.busy[transport]:
                del self.busy[transport]

    def close_idle(self, server: web.Server) -> None:
        """Close the connections on which no request is being answered.

        The server's own ``pre_shutdown`` leaves idle connections open and drops what
        arrives on any of them, also the rest of a body.
        """
        for connection in server.connections:
            if connection.transport not in self.busy:
                connection.force_close()
