"""Limits the number of connections to a port, and closes the least useful ones.

A port that only refuses new connections can be filled with idle ones.
So a new connection is accepted as long as another can be closed for it.
"""

from __future__ import annotations

import heapq
import resource
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import IntEnum

import msgspec

from ..memory import BYTES_PER_MB
from .const import (
    CLOSED_SHARE,
    CONNECTION_BYTES,
    CONNECTION_MEMORY_SHARE,
    DEFAULT_DESCRIPTORS,
    FILE_DESCRIPTOR_SHARE,
    FILE_DESCRIPTORS,
    MIN_CONNECTIONS,
    PROCESS_MB,
    RECHECK_S,
)


class Standing(IntEnum):
    """What a connection is doing; the lowest are closed first to make room."""

    INCOMPLETE = 0
    """It has not sent a request, or only a part of a head."""
    STALLED = 1
    """Its client sends or reads slowly, or sends requests far ahead of their turn."""
    IDLE = 2
    """Its requests have been answered."""
    ACTIVE = 3
    """Its request is being served; never closed to make room."""


class PooledConnection(ABC):
    """A connection that counts towards the limit of its port."""

    @abstractmethod
    def standing(self, now_s: float) -> tuple[Standing, float]:
        """Return what the connection is doing, and since when in seconds."""

    @abstractmethod
    def close_for_room(self) -> bool:
        """Close the connection; return False if a request has just arrived on it."""


class ConnectionPool:
    """The open connections to one port.

    Parameters
    ----------
    limit : int
        Maximum number of connections.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, limit: int, clock: Callable[[], float]) -> None:
        self.limit = limit
        self._clock = clock
        self._connections: set[PooledConnection] = set()
        self._recheck_after_s = float("-inf")
        self.on_closed: Callable[[Standing], None] = lambda standing: None
        """Called for each connection that is closed to make room."""
        self.on_refused: Callable[[], None] = lambda: None
        """Called for each connection that is not accepted."""

    def __len__(self) -> int:
        return len(self._connections)

    def try_add(self, connection: PooledConnection) -> bool:
        """Add a connection, closing others if there are too many.

        Returns
        -------
        bool
            False if the limit is reached and all others are being served.
        """
        if len(self._connections) >= self.limit and not self._make_room():
            self.on_refused()
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that is closed, or no longer counts."""
        self._connections.discard(connection)

    def close_stalled(self) -> bool:
        """Close connections whose clients stall; return whether there were any."""
        return self._close_some(Standing.STALLED)

    def _make_room(self) -> bool:
        self._close_some(Standing.IDLE)
        return len(self._connections) < self.limit

    def _close_some(self, highest: Standing) -> bool:
        """Close the connections of the lowest standing, the oldest first."""
        now_s = self._clock()
        if now_s < self._recheck_after_s:
            return False
        standings = [(*c.standing(now_s), id(c), c) for c in self._connections]
        closable = [entry for entry in standings if entry[0] <= highest]
        count = max(1, int(self.limit * CLOSED_SHARE))
        closed = 0
        for standing, _, _, connection in heapq.nsmallest(count, closable):
            if connection.close_for_room():
                closed += 1
                self._connections.discard(connection)
                self.on_closed(standing)
        if not closed:
            self._recheck_after_s = now_s + RECHECK_S
        return closed > 0


class PortShares(msgspec.Struct, frozen=True):
    """Shares of the descriptors for connections, by port.

    The rest is for connections to endpoints, to the store and to peers. ``operators``
    is for the port that all programs have; a gateway serves its callers there as well,
    and gives it their share.
    """

    callers: float = 0.4
    directory: float = 0.05
    ready: float = 0.02
    operators: float = 0.02
    peers: float = 0.1


def count_descriptors(configured: int) -> int:
    """Return how many descriptors connections may take.

    Parameters
    ----------
    configured : int
        Descriptors that the process may have, 0 if only the system limits them.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [value for value in (configured, soft) if value > 0]
    total = min(limits, default=DEFAULT_DESCRIPTORS)
    return total - max(FILE_DESCRIPTORS, int(FILE_DESCRIPTOR_SHARE * total))


def limit_connections(share: float, descriptors: int, memory_mb: float) -> int:
    """Return how many connections a port accepts.

    Parameters
    ----------
    share : float
        The port's share of all descriptors.
    descriptors : int
        Descriptors of all connections.
    memory_mb : float
        Memory that the process may take.
    """
    free_bytes = max(0.0, memory_mb - PROCESS_MB) * BYTES_PER_MB
    by_memory = CONNECTION_MEMORY_SHARE * free_bytes / CONNECTION_BYTES
    by_memory *= share / PortShares().callers
    return max(MIN_CONNECTIONS, int(min(share * descriptors, by_memory)))
