"""How many loads from the weight store may begin."""

from __future__ import annotations

BURST_LOADS = 2.0
"""Loads that may begin at once; the operators' bound leaves room for three."""
SAFETY = 0.95
"""Share of the rate that is used: windows and clocks differ a little."""


class ColdLoadPace:
    """A token bucket that starts empty: a former holder may just have loaded.

    Parameters
    ----------
    loads_per_s : float
        The weight store's rate.
    window_s : float
        The time over which the operators count.
    excess : float
        How far above the rate they tolerate.
    now_s : float
        When the bucket was made.
    """

    def __init__(
        self, loads_per_s: float, window_s: float, excess: float, now_s: float
    ) -> None:
        allowed_per_s = loads_per_s * excess
        self._rate_per_s = min(allowed_per_s, loads_per_s) * SAFETY
        self._burst = min(BURST_LOADS, max(1.0, loads_per_s * window_s))
        self._tokens = 0.0
        self._updated_s = now_s

    def available(self, now_s: float) -> int:
        """Return how many loads may begin now."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        self._updated_s = now_s
        return int(self._tokens)

    def take(self, now_s: float) -> None:
        """Count one that begins."""
        self.available(now_s)
        self._tokens -= 1.0
