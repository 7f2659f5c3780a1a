"""Rate estimates and budgets for admitting and retrying requests."""

from __future__ import annotations

import msgspec

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 300.0


class DrainRate:
    """Moving average of the rate at which requests leave a queue."""

    def __init__(self, period_s: float = 5.0) -> None:
        self._period_s = period_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0

    def record(self, now_s: float) -> None:
        """Count one request that was dispatched from the queue to an endpoint."""
        self._decay(now_s)
        self._rate_per_s += 1.0 / self._period_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate in requests per second, decayed to the current time."""
        self._decay(now_s)
        return self._rate_per_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._rate_per_s *= max(0.0, 1.0 - elapsed_s / self._period_s)
        self._updated_s = now_s


def retry_after_s(queue_length: int, drain_per_s: float) -> float:
    """Return the delay in seconds after which a refused caller should retry."""
    if drain_per_s <= 0:
        return MIN_RETRY_AFTER_S * 2
    wait_s = queue_length / drain_per_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


class RetryBudget(msgspec.Struct):
    """Limits retries to a fraction of the requests, so that they never amplify load.

    ``ratio`` is the number of retries earned per request. ``reserve`` is the
    maximum number of saved retries, which an idle gateway can spend at once.
    """

    ratio: float
    reserve: float = 10.0
    tokens: float = 10.0

    def note_request(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Consume one retry and return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
