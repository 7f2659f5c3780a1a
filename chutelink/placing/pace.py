"""How many loads from the weight store may begin."""

from __future__ import annotations

from collections import deque

WINDOW_SLACK = 3.0
"""Loads in a window that the operators allow beyond the rate."""
RESERVE = 1
"""Loads that are left to doubt: one may begin later than it was sent."""
WINDOW_MARGIN_S = 0.5
"""How much later than it was sent a load may begin."""


class ColdLoadPace:
    """Counts the loads of a sliding window, so that many may begin at once.

    After the loss of an endpoint all its models are needed together; a rate without
    a burst let the last of three begin 5 s after the first.

    Parameters
    ----------
    loads_per_s : float
        The weight store's rate.
    window_s : float
        The time over which the operators count.
    excess : float
        How far above the rate they tolerate.
    """

    def __init__(self, loads_per_s: float, window_s: float, excess: float) -> None:
        allowed = loads_per_s * window_s * excess + WINDOW_SLACK
        self._limit = max(1, int(allowed) - RESERVE)
        self._window_s = window_s + WINDOW_MARGIN_S
        self._begun_s: deque[float] = deque()

    def assume_full(self, at_s: float) -> None:
        """Take it that a former holder, of whom nothing is known, used it all."""
        self._begun_s.extend([at_s] * self._limit)

    def available(self, now_s: float) -> int:
        """Return how many loads may begin now."""
        while self._begun_s and now_s - self._begun_s[0] > self._window_s:
            self._begun_s.popleft()
        return max(0, self._limit - len(self._begun_s))

    def take(self, now_s: float) -> None:
        """Count one that begins, or began; the oldest first."""
        self._begun_s.append(now_s)
