"""Waits of accepted requests, which end when the daemon stops."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ..endable import EndableSteps, RequestEnded
from ..entry.shutdown import Drain
from .exchange import Exchange


class StoppableWaits:
    """Ends the waits of requests that have not been sent to an endpoint.

    A request may wait for a model, a permit, a grant, or another daemon's answer. One
    that still waits when the process exits would end without an answer.

    Parameters
    ----------
    drain : Drain
        Which requests a stopping daemon can finish.
    """

    def __init__(self, drain: Drain) -> None:
        self._drain = drain
        self._steps: EndableSteps[Exchange] = EndableSteps()
        self._is_stopping = False

    @asynccontextmanager
    async def async_refuse_at_stop(self, exchange: Exchange) -> AsyncIterator[None]:
        """Refuse the request if it waits within the context now or later.

        Raises
        ------
        Refusal
            The daemon stops; another daemon may serve the request.
        """
        is_ended = self._must_end(exchange)
        try:
            async with self._steps.async_track(exchange, is_ended=is_ended):
                yield
        except RequestEnded as error:
            raise self._drain.make_refusal() from error

    def refuse_unfinishable(self) -> None:
        """End the waits of requests that could last longer than the daemon."""
        self._steps.end(self._must_end)

    def stop(self) -> None:
        """End all waits, and from now on each as it begins."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self.refuse_unfinishable()

    def _must_end(self, exchange: Exchange) -> bool:
        if self._is_stopping:
            return True
        if exchange.may_have_run:
            # No other daemon can continue it without its caller.
            return False
        return not self._drain.can_finish(exchange.deadline_s)
