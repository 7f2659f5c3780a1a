"""Spreads the parsing of data that takes much time per byte over the event loop."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from .const import PARSE_SLICE_S


class QueuedParser(ABC):
    """A connection with received data that is expensive to parse."""

    @abstractmethod
    def parse_next(self) -> None:
        """Parse one part of the data; the rest is added to the queue again."""


class ParseQueue:
    """Parses expensive data of all connections in turn, for a short time at once.

    Requests whose data are cheap to parse don't wait in the queue, so that their
    latency doesn't depend on its length.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: deque[QueuedParser] = deque()
        self._handle: asyncio.Handle | None = None

    def add(self, parser: QueuedParser) -> None:
        """Add a connection, which must not be in the queue yet."""
        self._waiting.append(parser)
        if self._handle is None:
            self._schedule()

    def _schedule(self) -> None:
        self._handle = asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._handle = None
        end_s = self._clock() + PARSE_SLICE_S
        try:
            while self._waiting:
                self._waiting.popleft().parse_next()
                if self._clock() >= end_s:
                    break
        finally:
            if self._waiting and self._handle is None:
                self._schedule()
