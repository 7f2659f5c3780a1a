"""An event loop whose clock does not count the time that the process stood still."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

MAX_STEP_S = 0.01
"""Time that passes at most between two readings of the clock."""


class _ShortWaitSelector(selectors.DefaultSelector):
    """Waits no longer than the clock may advance at once."""

    def select(self, timeout=None):
        limit_s = MAX_STEP_S if timeout is None else min(timeout, MAX_STEP_S)
        return super().select(limit_s)


class SteadyTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with I/O, on which a stall of any length is short."""

    def __init__(self) -> None:
        self._read_s = self._now_s = time.monotonic()
        super().__init__(_ShortWaitSelector())

    def time(self) -> float:
        """Return the time in seconds, without stalls."""
        read_s = time.monotonic()
        self._now_s += min(read_s - self._read_s, MAX_STEP_S)
        self._read_s = read_s
        return self._now_s


def run_in_steady_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion; stalls of the process don't use up its time."""
    with asyncio.Runner(loop_factory=SteadyTimeLoop) as runner:
        return runner.run(main)
