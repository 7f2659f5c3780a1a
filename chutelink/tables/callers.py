"""Token buckets, one for each caller, shared with the other gateways."""

from __future__ import annotations

import msgspec

from ..fleet.model import FleetSpec
from ..ids import CallerName


class TokenBucket(msgspec.Struct):
    """Tokens that a caller may still spend at this gateway."""

    rate_per_s: float
    burst: float
    tokens: float
    updated_s: float

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_s = now_s

    def take(self, now_s: float) -> float:
        """Take one token; return 0, or the seconds until there is one."""
        self._refill(now_s)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s


PUBLISHED_SHARE = 0.5
"""Use below this part of an even share is not told to the other gateways."""
MAX_PUBLISHED_CALLERS = 16


class CallerTable:
    """Buckets by caller.

    A gateway may use what the others leave of a caller's rate, and always its
    even share. Use that is too small to be told may add up to half of the rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[CallerName, TokenBucket] = {}
        self._even_per_s: dict[CallerName, float] = {}
        self._rates_per_s: dict[CallerName, float] = {}
        self._taken: dict[CallerName, int] = {}

    def sync(self, fleet: FleetSpec, gateways: int, now_s: float) -> None:
        """Take the callers of a fleet; bursts are split evenly over gateways."""
        share = 1.0 / max(1, gateways)
        self._rates_per_s = {n: c.rate_per_s for n, c in fleet.callers.items()}
        self._even_per_s = {n: r * share for n, r in self._rates_per_s.items()}
        for name in self._buckets.keys() - fleet.callers.keys():
            del self._buckets[name]
        for name, caller in fleet.callers.items():
            rate_per_s = caller.rate_per_s * share
            burst = max(1.0, caller.burst * share)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate_per_s, burst, burst, now_s)
                continue
            bucket.rate_per_s = rate_per_s
            bucket.burst = burst
            bucket.tokens = min(bucket.tokens, burst)

    def take(self, caller: CallerName, now_s: float) -> float:
        """Take a token; return 0, or the seconds until one is there."""
        wait_s = self._buckets[caller].take(now_s)
        if wait_s == 0:
            self._taken[caller] = self._taken.get(caller, 0) + 1
        return wait_s

    def share(self, others_per_s: dict[str, float]) -> None:
        """Leave to the other gateways what they use, but keep the even share."""
        for name, bucket in self._buckets.items():
            left_per_s = self._rates_per_s[name] - others_per_s.get(name, 0.0)
            bucket.rate_per_s = max(self._even_per_s[name], left_per_s)

    def take_usage(self, period_s: float) -> dict[str, float]:
        """Return requests a second since the last call, for the largest users."""
        rates = {name: count / period_s for name, count in self._taken.items()}
        self._taken.clear()
        notable = [
            (rate, name)
            for name, rate in rates.items()
            if rate >= PUBLISHED_SHARE * self._even_per_s.get(name, 0.0)
        ]
        largest = sorted(notable, reverse=True)[:MAX_PUBLISHED_CALLERS]
        return {name: round(rate, 1) for rate, name in largest}
