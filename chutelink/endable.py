"""Steps of requests that are ended when a daemon stops."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Generic, TypeVar

SubjectT = TypeVar("SubjectT")


class RequestEnded(Exception):
    """A step of a request was ended before it was complete."""


class EndableSteps(Generic[SubjectT]):
    """Steps in progress, each with its subject, such as a request that waits."""

    def __init__(self) -> None:
        self._scopes: dict[asyncio.Timeout, SubjectT] = {}

    @asynccontextmanager
    async def async_track(
        self, subject: SubjectT, *, is_ended: bool = False
    ) -> AsyncIterator[None]:
        """Let the step within the context be ended; ``is_ended`` does so at once.

        Raises
        ------
        RequestEnded
            The step was ended.
        """
        scope = asyncio.timeout(0 if is_ended else None)
        self._scopes[scope] = subject
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise RequestEnded from error
        finally:
            del self._scopes[scope]

    def end(self, must_end: Callable[[SubjectT], bool]) -> None:
        """End the steps of some subjects."""
        now_s = asyncio.get_running_loop().time()
        for scope, subject in self._scopes.items():
            if must_end(subject) and not scope.expired():
                scope.reschedule(now_s)

    def end_all(self) -> None:
        """End all steps."""
        self.end(lambda _: True)
