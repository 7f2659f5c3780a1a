"""A breaker and a call budget before an outside service."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..exceptions import PlatformUnavailable

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.5
DEFAULT_MAX_PAUSE_S = 4.0


class Breaker:
    """Refuses calls for a while after several failures in a row.

    Pauses are spread at random, so that daemons do not come back together.

    Parameters
    ----------
    peer : str
        The service, for errors.
    calls_per_s : int
        The most calls a second; one more is refused.
    clock : callable
        Seconds on a clock that never goes back.
    rng : random.Random
        Source of the spread.
    max_pause_s : float, default=DEFAULT_MAX_PAUSE_S
        The longest pause.
    """

    def __init__(
        self,
        peer: str,
        calls_per_s: int,
        clock: Callable[[], float],
        rng: random.Random,
        max_pause_s: float = DEFAULT_MAX_PAUSE_S,
    ) -> None:
        self._peer = peer
        self._calls_per_s = calls_per_s
        self._clock = clock
        self._rng = rng
        self._max_pause_s = max_pause_s
        self._failures = 0
        self._open_until_s = float("-inf")
        self._window_start_s = float("-inf")
        self._window_calls = 0
        self.calls = 0

    @property
    def is_open(self) -> bool:
        """Whether calls are refused now."""
        return self._clock() < self._open_until_s

    @property
    def is_failing(self) -> bool:
        """Whether several calls in a row have failed, up to the latest."""
        return self._failures >= FAILURES_TO_OPEN

    def before_call(self, step: str) -> None:
        """Count a call, or refuse it."""
        if self.is_open:
            raise PlatformUnavailable("breaker is open", step=step, peer=self._peer)
        now_s = self._clock()
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._window_calls = 0
        if self._window_calls >= self._calls_per_s:
            raise PlatformUnavailable("call budget spent", step=step, peer=self._peer)
        self._window_calls += 1
        self.calls += 1

    def note_success(self) -> None:
        """Close the breaker."""
        self._failures = 0

    def note_failure(self) -> None:
        """Count a failure; several in a row open the breaker."""
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        doublings = min(self._failures - FAILURES_TO_OPEN, 8)
        pause_s = min(self._max_pause_s, FIRST_PAUSE_S * 2**doublings)
        self._open_until_s = self._clock() + pause_s * self._rng.uniform(0.5, 1.0)
