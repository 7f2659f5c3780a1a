"""Ends the requests that outlast the grace period of a stopping gateway."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from ..endable import EndableSteps, RequestEnded
from .refusals import Refusal, unavailable, unknown_outcome

STOPPING = "this gateway is stopping"
RETRY_AFTER_S = 1.0


class RequestEnder:
    """Ends the steps of requests with a refusal when the gateway stops."""

    def __init__(self) -> None:
        self._steps: EndableSteps[None] = EndableSteps()
        self._has_ended = False

    @asynccontextmanager
    async def async_end_at_stop(
        self, make_refusal: Callable[[], Refusal], *, may_have_run: bool = False
    ) -> AsyncIterator[None]:
        """End the step within the context when the gateway stops, now or later.

        Parameters
        ----------
        make_refusal : callable
            Returns the refusal if the step is ended.
        may_have_run : bool, default=False
            Whether an earlier step may have run the request.

        Raises
        ------
        Refusal
            The step was ended, or not begun.
        """
        if self._has_ended:
            raise refuse_unknown() if may_have_run else refuse_not_run()
        try:
            async with self._steps.async_track(None):
                yield
        except RequestEnded as error:
            raise make_refusal() from error

    def end_all(self) -> None:
        """End all steps in progress, and from now on each as it begins."""
        self._has_ended = True
        self._steps.end_all()


def refuse_not_run() -> Refusal:
    """Return the refusal of a request that was not sent to an endpoint."""
    return unavailable(STOPPING, RETRY_AFTER_S)


def refuse_unknown() -> Refusal:
    """Return the refusal of a request that an endpoint may have run."""
    return unknown_outcome(STOPPING)
