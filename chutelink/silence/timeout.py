"""Timeout of an attempt that is due only if another attempt may follow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType

FIRST_RECHECK_INTERVAL_S = 0.1
MAX_RECHECK_INTERVAL_S = 0.4
"""Limits of the interval between two decisions, which doubles while a silence lasts.

Each decision looks at all endpoints of the service.
"""
RECEIVE_DELAY_S = 0.01
"""Delay of a decision, in which received data reaches the attempt.

After a suspension of this process, timers are due before the data that arrived during
it is read.
"""


class SilenceTimeout:
    """Timeout of an attempt that is due only if another attempt may follow.

    Time in which nothing is awaited from the endpoint doesn't count.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    may_switch : callable
        Called with the start of a silence, in seconds of the clock, when it has lasted
        for the limit, and at intervals afterwards. Returns whether to end the attempt.
    """

    def __init__(
        self, clock: Callable[[], float], may_switch: Callable[[float], bool]
    ) -> None:
        self._clock = clock
        self._may_switch = may_switch
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._awaited_since_s: float | None = None
        self._limit_s: float | None = None
        self._recheck_interval_s = FIRST_RECHECK_INTERVAL_S
        self.has_expired = False
        """Whether the attempt was ended because of a silence."""

    async def __aenter__(self) -> SilenceTimeout:
        await self._timeout.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        """Raise TimeoutError if the attempt was ended because of a silence."""
        self._cancel_timer()
        return await self._timeout.__aexit__(exc_type, exc, traceback)

    @contextmanager
    def awaiting(self, limit_s: float | None) -> Iterator[None]:
        """Limit the wait for the endpoint's next data to ``limit_s``; None is no limit.

        The timer is kept between waits, as most take a few ms.
        """
        self._awaited_since_s = self._clock()
        self._limit_s = limit_s
        if limit_s is not None:
            self._ensure_timer(limit_s)
        try:
            yield
        finally:
            self._awaited_since_s = None
            if self.has_expired and not self._timeout.expired():
                # Data arrived between the decision and the timeout.
                self.has_expired = False
                self._timeout.reschedule(None)

    def _ensure_timer(self, delay_s: float) -> None:
        """Start the timer, unless it is due before ``delay_s`` has passed."""
        loop = asyncio.get_running_loop()
        if self._timer is not None and self._timer.when() <= loop.time() + delay_s:
            return
        self._start_timer(delay_s, self._check)

    def _start_timer(
        self, delay_s: float, callback: Callable[..., None], *args: float
    ) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, callback, *args)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._awaited_since_s is None or self._limit_s is None:
            # The next wait starts the timer again.
            return
        left_s = self._limit_s - (self._clock() - self._awaited_since_s)
        if left_s > 0:
            self._recheck_interval_s = FIRST_RECHECK_INTERVAL_S
            self._ensure_timer(left_s)
            return
        self._start_timer(RECEIVE_DELAY_S, self._decide, self._awaited_since_s)

    def _decide(self, since_s: float) -> None:
        self._timer = None
        if self._awaited_since_s != since_s:
            if self._awaited_since_s is not None and self._limit_s is not None:
                self._ensure_timer(self._limit_s)
            return
        if self._may_switch(since_s):
            self.has_expired = True
            self._timeout.reschedule(asyncio.get_running_loop().time())
            return
        self._ensure_timer(self._recheck_interval_s)
        self._recheck_interval_s = min(
            2 * self._recheck_interval_s, MAX_RECHECK_INTERVAL_S
        )
