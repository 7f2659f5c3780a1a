"""A client's HTTP connection that can be closed to make room for others."""

from __future__ import annotations

import asyncio
from typing import Any

from .connection import BoundedRequestHandler
from .const import MIN_BODY_BYTES_PER_S, MIN_STALL_S, SLOW_READ_S
from .pool import ConnectionPool, PooledConnection, Standing


class PooledRequestHandler(BoundedRequestHandler, PooledConnection):
    """A connection that counts towards the limit of its port.

    Parameters
    ----------
    pool : ConnectionPool
        The connections to the port.
    *arguments, **options : object
        Those of the base class.
    """

    def __init__(self, pool: ConnectionPool, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._pool = pool
        self._write_paused_s: float | None = None
        """Since when the client has not read its responses, None if it has."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, unless there are too many."""
        super().connection_made(transport)
        if not self._pool.try_add(self):
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._pool.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Note since when the client has not read its responses."""
        self._write_paused_s = self._loop.time()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the client has read its responses."""
        self._write_paused_s = None
        super().resume_writing()

    def make_room(self) -> bool:
        """Close connections whose clients stall; return whether there were any."""
        return self._pool.close_stalled()

    def standing(self, now_s: float) -> tuple[Standing, float]:
        """Return what the connection is doing, and since when in seconds."""
        paused_s = self._write_paused_s
        if paused_s is not None and now_s - paused_s >= SLOW_READ_S:
            return Standing.STALLED, paused_s
        if self._buffer_paused or self._is_body_stalled(now_s):
            return Standing.STALLED, self._body_since_s
        if self._unfinished:
            return Standing.ACTIVE, self._body_since_s
        if self._input:
            return Standing.INCOMPLETE, self._input_since_s
        if not self._request_count:
            return Standing.INCOMPLETE, self._since_s
        return Standing.IDLE, self._since_s

    def _is_body_stalled(self, now_s: float) -> bool:
        """Return whether the client sends the rest of a body slowly or not at all."""
        if self._body.is_eof() or self._reading_paused:
            return False
        if now_s - self._received_s >= MIN_STALL_S:
            return True
        elapsed_s = now_s - self._body_since_s
        slow_bytes = MIN_BODY_BYTES_PER_S * elapsed_s
        return elapsed_s >= MIN_STALL_S and self._body.total_bytes < slow_bytes

    def close_for_room(self) -> bool:
        """Close the connection, unless a request may have arrived on it.

        The kernel holds data that a slow or suspended process has yet to receive.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        is_waiting = self._body.is_eof() and not self._unfinished
        if is_waiting and self._count_unread_bytes():
            return False
        self.transport.abort()
        return True
