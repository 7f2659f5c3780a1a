"""An event loop with virtual time, whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

STEP_S = 1e-6
"""Minimum time per loop iteration.

Without it, a wait below the clock's resolution would never end.
"""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting; there is no I/O."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled")
        self.now_s += max(STEP_S, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A deterministic event loop without I/O and without real waiting."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
