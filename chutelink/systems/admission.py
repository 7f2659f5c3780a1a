"""Admit or refuse at once, with an estimate of when to come back."""

from __future__ import annotations

import msgspec

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 300.0


class DrainRate:
    """How fast a queue has been emptying: an average over recent seconds."""

    def __init__(self, period_s: float = 5.0) -> None:
        self._period_s = period_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0

    def note(self, now_s: float) -> None:
        """Count one request that left the queue for an endpoint."""
        self._decay(now_s)
        self._rate_per_s += 1.0 / self._period_s

    def rate_per_s(self, now_s: float) -> float:
        """Return requests a second, decayed to now."""
        self._decay(now_s)
        return self._rate_per_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._rate_per_s *= max(0.0, 1.0 - elapsed_s / self._period_s)
        self._updated_s = now_s


def retry_after_s(queue_length: int, drain_per_s: float) -> float:
    """Return when a refused caller should come back, in seconds."""
    if drain_per_s <= 0:
        return MIN_RETRY_AFTER_S * 2
    wait_s = queue_length / drain_per_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


class RetryBudget(msgspec.Struct):
    """Bounds retries to a share of the requests, so that they never amplify.

    ``ratio`` is retries per request; ``reserve`` is what a quiet gateway has.
    """

    ratio: float
    reserve: float = 10.0
    tokens: float = 10.0

    def note_request(self) -> None:
        """Earn a share of a retry."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
