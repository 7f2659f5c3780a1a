"""Asks endpoints whether they respond, at most one call to each at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..entry.endpoints import Endpoint
from .check import Presence, PresenceCheck

MIN_INTERVAL_S = 0.5
"""Interval between two calls to an endpoint."""


class EndpointInquiry:
    """Asks endpoints whether they respond, and remembers their latest answers.

    Parameters
    ----------
    check : PresenceCheck
        Calls an endpoint.
    clock : callable
        Returns the time in seconds, as for ``Endpoint.heard_s``.
    """

    def __init__(self, check: PresenceCheck, clock: Callable[[], float]) -> None:
        self._check = check
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, row: Endpoint) -> None:
        """Call an endpoint in the background, unless it was called just before.

        One that may crash if it has to reject a call is not called while it is full.
        """
        now_s = self._clock()
        if row.is_full or row.is_being_asked or now_s - row.asked_s < MIN_INTERVAL_S:
            return
        row.asked_s = now_s
        row.is_being_asked = True
        task = asyncio.ensure_future(self._async_ask(row))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_ask(self, row: Endpoint) -> None:
        try:
            row.presence = await self._check.async_check(row.record)
            row.presence_s = self._clock()
        finally:
            row.is_being_asked = False

    def has_responded(self, row: Endpoint, since_s: float) -> bool:
        """Return whether an endpoint has responded to anything after ``since_s``."""
        if row.heard_s > since_s:
            return True
        return row.presence is Presence.SAME and row.presence_s > since_s

    def is_gone(self, row: Endpoint, since_s: float, *, is_registered: bool) -> bool:
        """Return whether the process of a silent endpoint has ended.

        That is so if its address refuses connections or another process responds
        there. One that is no longer registered has ended if it doesn't respond either.
        """
        if row.presence is None or row.presence_s <= since_s:
            return False
        if row.presence is Presence.UNKNOWN:
            return not is_registered
        return row.presence is not Presence.SAME

    def close(self) -> None:
        """Cancel the calls in progress."""
        for task in self._tasks:
            task.cancel()
