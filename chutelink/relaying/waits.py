"""Waits of accepted requests, which end when the daemon stops."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..entry.shutdown import OTHER_DAEMON_RETRY_S
from ..gateway.refusals import unavailable


class StoppableWaits:
    """Ends the waits of requests that have not been sent to an endpoint.

    A request may wait for a model, a permit, a grant, or another daemon's answer. One
    that still waits when the process exits would end without an answer.
    """

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()
        self._is_stopping = False

    @asynccontextmanager
    async def async_refuse_at_stop(self) -> AsyncIterator[None]:
        """Refuse the request if it waits within the context now or later.

        Raises
        ------
        Refusal
            The daemon stops; another daemon may serve the request.
        """
        scope = asyncio.timeout(0 if self._is_stopping else None)
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise unavailable("this daemon is stopping", OTHER_DAEMON_RETRY_S) from (
                error
            )
        finally:
            self._scopes.discard(scope)

    def stop(self) -> None:
        """End all waits, and from now on each as it begins."""
        if self._is_stopping:
            return
        self._is_stopping = True
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now_s)
