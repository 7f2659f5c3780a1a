"""The share that one process has of the weight store's loads."""

from __future__ import annotations

from ..tables.callers import TokenBucket


class LoadLimiter:
    """Bounds loads a second and at once.

    Parameters
    ----------
    loads_per_s : float
        Over all directors together.
    loads_at_once : int
        Over all directors together.
    """

    def __init__(self, loads_per_s: float, loads_at_once: int) -> None:
        self._loads_per_s = loads_per_s
        self._loads_at_once = loads_at_once
        self._bucket = TokenBucket(loads_per_s, 1.0, 1.0, 0.0)
        self._max_loading = loads_at_once

    def set_share(self, held: int, total: int) -> None:
        """Take the share of so many failure domains of all."""
        fraction = held / max(1, total)
        self._bucket.rate_per_s = max(self._loads_per_s * fraction, 1e-6)
        self._max_loading = max(1, int(self._loads_at_once * fraction))

    def try_start(self, now_s: float, loading: int) -> bool:
        """Return whether one more load may start now."""
        if loading >= self._max_loading:
            return False
        return self._bucket.take(now_s) == 0.0
