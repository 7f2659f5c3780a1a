"""Cold phase of an endpoint: after a start it tolerates only a limited request rate."""

from __future__ import annotations

import time
from collections import deque

import msgspec

COLD_EXCESS = 1.5
COLD_SLACK = 5
"""A cold process crashes above ``cold_per_s`` x the excess + the slack in a second."""
RATE_WINDOW_S = 1.0


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached an endpoint and was not answered with 421.

    ``process`` numbers the endpoint's processes. ``cold_limit`` is the number of
    requests that it tolerates per second, 0 if it was warm.
    """

    request: str
    endpoint: str
    domain: str
    region: str
    process: int
    arrived_s: float
    cold_limit: float = 0.0


class ColdState:
    """Whether an endpoint's process is cold, and its arrivals of the last second.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    """

    def __init__(self, clock=time.monotonic) -> None:
        self._clock = clock
        self.cold_s = 0.0
        self._per_s = 0.0
        self._since_s = clock()
        self._recent_s: deque[float] = deque()

    def set_limit(self, cold_s: float, cold_per_s: float) -> None:
        """Set the duration and the rate; without both, the endpoint is never cold."""
        has_limit = cold_s > 0 and cold_per_s > 0
        self.cold_s, self._per_s = (cold_s, cold_per_s) if has_limit else (0.0, 0.0)

    def restart(self) -> None:
        """Begin a cold phase with an empty window, as a new process does."""
        self._since_s = self._clock()
        self._recent_s.clear()

    @property
    def left_ms(self) -> int:
        """For how long the endpoint will still be cold."""
        left_s = self._since_s + self.cold_s - self._clock()
        return max(0, round(left_s * 1000)) if self.cold_s else 0

    @property
    def limit(self) -> float:
        """Number of requests tolerated in a second, 0 if the endpoint is warm."""
        return self._per_s * COLD_EXCESS + COLD_SLACK if self.left_ms else 0.0

    def exceeds_limit(self, arrived_s: float) -> bool:
        """Record an arrival; return whether it is one too many for a cold process."""
        if not self.limit:
            return False
        while self._recent_s and arrived_s - self._recent_s[0] >= RATE_WINDOW_S:
            self._recent_s.popleft()
        self._recent_s.append(arrived_s)
        return len(self._recent_s) > self.limit
