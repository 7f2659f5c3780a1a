"""Ports on which a daemon serves HTTP to callers and operators."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ..connections import async_close_listener, close_idle
from ..memory import MemoryBudget, make_request_memory
from .connection import HeadLimits
from .const import (
    ACCEPT_BATCH,
    ACCEPT_QUEUE,
    FREE_HEAD_BYTES,
    HEAD_MEMORY_SHARE,
)
from .parse_queue import ParseQueue
from .pool import ConnectionPool, Standing, count_descriptors, limit_connections
from .pooled_connection import PooledRequestHandler


class HttpPort:
    """A listener, and the connections that it has accepted.

    Parameters
    ----------
    server : web.Server
        Handles the requests.
    make_connection : callable
        Returns the protocol of a new connection.
    listener : asyncio.Server
        Accepts the connections.
    """

    def __init__(
        self,
        server: web.Server,
        make_connection: Callable[[], PooledRequestHandler],
        listener: asyncio.Server,
    ) -> None:
        self._server = server
        self._make_connection = make_connection
        self._listener = listener

    async def async_stop_accepting(self) -> None:
        """Stop listening; connections that clients have opened before are accepted."""
        await async_close_listener(self._listener, self._make_connection)

    def close_idle(self) -> int:
        """Close connections without a request, and return how many are left."""
        return close_idle(self._server)

    def close_slow_readers(self) -> None:
        """Close connections whose clients don't read their responses."""
        now_s = asyncio.get_running_loop().time()
        for connection in self._server.connections:
            if connection.reads_slowly(now_s):
                connection.transport.abort()

    def abort_connections(self) -> int:
        """Close all connections at once, and return how many there were."""
        connections = self._server.connections
        for connection in connections:
            if connection.transport is not None:
                connection.transport.abort()
        return len(connections)

    def close(self) -> None:
        """Stop listening at once."""
        self._listener.close()


class ServingBounds:
    """What the clients of all ports of a daemon may take.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    memory_mb : float
        Memory that the process may take.
    max_descriptors : int
        Descriptors that the process may have, 0 if only the system limits them.
    head_limits : callable
        Returns the limits of requests' heads.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        memory_mb: float,
        max_descriptors: int,
        head_limits: Callable[[], HeadLimits],
    ) -> None:
        self._head_limits = head_limits
        self._head_memory: MemoryBudget = make_request_memory(
            memory_mb, HEAD_MEMORY_SHARE, FREE_HEAD_BYTES
        )
        self._parse_queue = ParseQueue(clock)
        self._clock = clock
        self._memory_mb = memory_mb
        self._descriptors = count_descriptors(max_descriptors)
        self.on_closed: Callable[[str, Standing], None] = lambda port, standing: None
        """Called for each connection to a port that is closed to make room."""
        self.on_refused: Callable[[str], None] = lambda port: None
        """Called for each connection to a port that is not accepted."""

    def make_pool(self, port: str, share: float) -> ConnectionPool:
        """Return the pool of a port with a share of the descriptors."""
        limit = limit_connections(share, self._descriptors, self._memory_mb)
        pool = ConnectionPool(limit, self._clock)
        pool.on_closed = lambda standing: self.on_closed(port, standing)
        pool.on_refused = lambda: self.on_refused(port)
        return pool

    async def async_open_port(
        self,
        server: web.Server,
        pool: ConnectionPool,
        listener: socket.socket,
        **options: Any,
    ) -> HttpPort:
        """Accept connections on a bound socket.

        Parameters
        ----------
        server : web.Server
            Handles the requests.
        pool : ConnectionPool
            The connections to the port.
        listener : socket.socket
            The bound socket.
        **options : object
            Those of aiohttp's request handler.

        Raises
        ------
        OSError
            The socket can't listen.
        """

        def make_connection() -> PooledRequestHandler:
            return PooledRequestHandler(
                pool,
                server,
                self._parse_queue,
                self._head_limits,
                self._head_memory,
                **options,
            )

        loop = asyncio.get_running_loop()
        accepting = await loop.create_server(
            make_connection, sock=listener, backlog=ACCEPT_BATCH
        )
        # asyncio uses one number for its batches and for the kernel's queue.
        listener.listen(ACCEPT_QUEUE)
        return HttpPort(server, make_connection, accepting)
