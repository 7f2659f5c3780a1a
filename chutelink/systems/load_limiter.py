"""Limits the loads that a director starts from the weight store."""

from __future__ import annotations

from ..tables.callers import TokenBucket


class LoadLimiter:
    """Limits the rate of loads and the number of concurrent loads.

    Parameters
    ----------
    loads_per_s : float
        Maximum load rate of all directors together.
    loads_at_once : int
        Maximum number of concurrent loads of all directors together.
    """

    def __init__(self, loads_per_s: float, loads_at_once: int) -> None:
        self._loads_per_s = loads_per_s
        self._loads_at_once = loads_at_once
        self._bucket = TokenBucket(loads_per_s, 1.0, 1.0, 0.0)
        self._max_loading = loads_at_once

    def set_share(self, held: int, total: int) -> None:
        """Set the limits in proportion to the number of failure domains held."""
        fraction = held / max(1, total)
        self._bucket.rate_per_s = max(self._loads_per_s * fraction, 1e-6)
        self._max_loading = max(1, int(self._loads_at_once * fraction))

    def try_start(self, now_s: float, loading: int) -> bool:
        """Return whether another load may start now, and count it if so."""
        if loading >= self._max_loading:
            return False
        return self._bucket.take(now_s) == 0.0
