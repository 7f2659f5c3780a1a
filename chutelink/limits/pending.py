"""Requests to other daemons that wait for their answers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

AnswerT = TypeVar("AnswerT")


class PendingAnswers(Generic[AnswerT]):
    """Matches answers with the requests that wait for them, by number."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._futures: dict[int, asyncio.Future[AnswerT]] = {}

    def next_number(self) -> int:
        """Return the number of a new request."""
        return next(self._numbers)

    async def async_wait(
        self, number: int, send: Callable[[], None], timeout_s: float
    ) -> AnswerT | None:
        """Send a request and return its answer, None if there is none in time."""
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        send()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._futures[number]

    def resolve(self, number: int, answer: AnswerT) -> None:
        """Pass on an answer; a late one is discarded."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_result(answer)
