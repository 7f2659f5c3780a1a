"""A client's HTTP connection that can be closed to make room for others."""

from __future__ import annotations

import asyncio
from typing import Any

from .connection import BoundedRequestHandler
from .const import (
    MIN_BODY_BYTES_PER_S,
    MIN_READ_BYTES_PER_S,
    MIN_STALL_S,
    SLOW_READ_S,
)
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
        """Since when responses wait for the client to read, None if they don't."""
        self._checked_s = 0.0
        self._unsent_bytes = 0
        """What it had to read when its rate was last checked."""
        self._reads_slowly = False

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
        self._write_paused_s = self._checked_s = self._loop.time()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._reads_slowly = False
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
        if self.reads_slowly(now_s):
            return Standing.STALLED, self._write_paused_s
        if self._buffer_paused or self._is_body_stalled(now_s):
            return Standing.STALLED, self._body_since_s
        if self._unfinished:
            return Standing.ACTIVE, self._body_since_s
        if self._input:
            return Standing.INCOMPLETE, self._input_since_s
        if not self._request_count:
            return Standing.INCOMPLETE, self._since_s
        return Standing.IDLE, self._since_s

    def reads_slowly(self, now_s: float) -> bool:
        """Return whether the client reads its responses slowly or not at all.

        Its rate is checked over periods of ``SLOW_READ_S`` or more, as the kernel takes
        a part at once.
        """
        if self._write_paused_s is None or self.transport is None:
            return False
        elapsed_s = now_s - self._checked_s
        if elapsed_s >= SLOW_READ_S:
            unsent_bytes = self.transport.get_write_buffer_size()
            read_bytes = self._unsent_bytes - unsent_bytes
            self._reads_slowly = read_bytes < MIN_READ_BYTES_PER_S * elapsed_s
            self._checked_s, self._unsent_bytes = now_s, unsent_bytes
        return self._reads_slowly

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
