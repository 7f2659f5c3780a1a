"""An event loop whose clock jumps to the next timer: hours pass in moments."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

STEP_S = 1e-6
"""What each turn of the loop takes, so that waits too short to count end too."""


class _JumpingSelector(selectors.DefaultSelector):
    """Lets time pass instead of waiting; nothing outside the loop ever happens."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.now_s += max(STEP_S, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs without network and without waiting; the same each time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def run_virtually(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
