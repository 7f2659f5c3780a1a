"""Circuit breaker and rate limit for calls to an external service."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..exceptions import PlatformUnavailable

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.5
DEFAULT_MAX_PAUSE_S = 4.0


class CircuitBreaker:
    """Circuit breaker that rejects calls for a while after consecutive failures.

    Pauses are randomized so that the daemons do not all retry at the same time.

    Parameters
    ----------
    peer : str
        Name of the service, used in error messages.
    calls_per_s : int
        Maximum number of calls per second; further calls are rejected.
    clock : callable
        Monotonic clock, in seconds.
    rng : random.Random
        Randomizes the pauses.
    max_pause_s : float, default=DEFAULT_MAX_PAUSE_S
        Upper bound of a pause.
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
        """Whether calls are currently rejected."""
        return self._clock() < self._open_until_s

    @property
    def is_failing(self) -> bool:
        """Whether at least ``FAILURES_TO_OPEN`` calls in a row failed, up to now."""
        return self._failures >= FAILURES_TO_OPEN

    def before_call(self, step: str) -> None:
        """Count a call against the rate limit.

        Raises
        ------
        PlatformUnavailable
            The breaker is open, or the rate limit was reached.
        """
        if self.is_open:
            raise PlatformUnavailable(
                "circuit breaker is open", step=step, peer=self._peer
            )
        now_s = self._clock()
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._window_calls = 0
        if self._window_calls >= self._calls_per_s:
            raise PlatformUnavailable(
                "call rate limit reached", step=step, peer=self._peer
            )
        self._window_calls += 1
        self.calls += 1

    def note_success(self) -> None:
        """Reset the count of consecutive failures."""
        self._failures = 0

    def note_failure(self) -> None:
        """Count a failure; ``FAILURES_TO_OPEN`` in a row open the breaker."""
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN:
            return
        doublings = min(self._failures - FAILURES_TO_OPEN, 8)
        pause_s = min(self._max_pause_s, FIRST_PAUSE_S * 2**doublings)
        self._open_until_s = self._clock() + pause_s * self._rng.uniform(0.5, 1.0)
