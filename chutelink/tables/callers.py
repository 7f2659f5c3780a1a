"""Token buckets, one for each caller."""

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


class CallerTable:
    """Buckets by caller; rates are this gateway's share of the caller's."""

    def __init__(self) -> None:
        self._buckets: dict[CallerName, TokenBucket] = {}

    def sync(self, fleet: FleetSpec, gateways: int, now_s: float) -> None:
        """Split each caller's rate and burst evenly over the live gateways."""
        share = 1.0 / max(1, gateways)
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
        return self._buckets[caller].take(now_s)
