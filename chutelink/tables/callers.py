"""Token buckets per caller, with the rate shared between gateways."""

from __future__ import annotations

import msgspec

from ..fleet.model import FleetSpec
from ..ids import CallerName


class TokenBucket(msgspec.Struct):
    """Token bucket that limits a rate, such as that of a caller's requests."""

    rate_per_s: float
    burst: float
    tokens: float
    updated_s: float

    def _refill(self, now_s: float) -> None:
        refilled = max(0.0, now_s - self.updated_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refilled)
        self.updated_s = now_s

    def take(self, now_s: float) -> float:
        """Take one token; return 0, or the seconds until one is available."""
        self._refill(now_s)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s


MIN_PUBLISHED_SHARE = 0.5
"""Usage below this fraction of an even share is not sent to other gateways."""
MAX_PUBLISHED_CALLERS = 16


class CallerTable:
    """Token buckets by caller.

    A gateway may use the part of a caller's rate that the others do not use, and
    always its even share. Usage that is too small to be published may bring the
    total of all gateways to half above the rate.
    """

    def __init__(self) -> None:
        self._buckets: dict[CallerName, TokenBucket] = {}
        self._even_share_per_s: dict[CallerName, float] = {}
        self._rates_per_s: dict[CallerName, float] = {}
        self._admitted_counts: dict[CallerName, int] = {}

    def sync(self, fleet: FleetSpec, gateways: int, now_s: float) -> None:
        """Apply the callers of a fleet; rates and bursts are split between gateways."""
        even_share = 1.0 / max(1, gateways)
        self._rates_per_s = {n: c.rate_per_s for n, c in fleet.callers.items()}
        self._even_share_per_s = {
            n: r * even_share for n, r in self._rates_per_s.items()
        }
        for name in self._buckets.keys() - fleet.callers.keys():
            del self._buckets[name]
        for name, caller in fleet.callers.items():
            rate_per_s = caller.rate_per_s * even_share
            burst = max(1.0, caller.burst * even_share)
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate_per_s, burst, burst, now_s)
                continue
            bucket.rate_per_s = rate_per_s
            bucket.burst = burst
            bucket.tokens = min(bucket.tokens, burst)

    def take(self, caller: CallerName, now_s: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        wait_s = self._buckets[caller].take(now_s)
        if wait_s == 0:
            self._admitted_counts[caller] = self._admitted_counts.get(caller, 0) + 1
        return wait_s

    def apply_usage_of_others(self, others_per_s: dict[str, float]) -> None:
        """Reduce rates by the usage of other gateways, but not below the even share."""
        for name, bucket in self._buckets.items():
            available_per_s = self._rates_per_s[name] - others_per_s.get(name, 0.0)
            bucket.rate_per_s = max(self._even_share_per_s[name], available_per_s)

    def collect_usage(self, period_s: float) -> dict[str, float]:
        """Return the request rates of the busiest callers, and reset the counts."""
        rates = {
            name: count / period_s for name, count in self._admitted_counts.items()
        }
        self._admitted_counts.clear()
        publishable = [
            (rate, name)
            for name, rate in rates.items()
            if rate >= MIN_PUBLISHED_SHARE * self._even_share_per_s.get(name, 0.0)
        ]
        largest = sorted(publishable, reverse=True)[:MAX_PUBLISHED_CALLERS]
        return {name: round(rate, 1) for rate, name in largest}
