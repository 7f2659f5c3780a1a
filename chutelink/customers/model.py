"""Customers and their quotas, as configured by operators."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import CustomerName, KeyHash, RegionName


class QuotaUnit(Enum):
    """Unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """A customer's quota over all daemons together.

    ``rate_per_s`` and ``burst`` are in the unit; ``plain_tokens`` is the cost of a
    request that states no number of tokens.
    """

    unit: QuotaUnit
    rate_per_s: float
    burst: float
    plain_tokens: float = 1.0

    def cost(self, tokens: int | None) -> float:
        """Return a request's cost; ``tokens`` is None if it states no number."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.plain_tokens if tokens is None else float(max(0, tokens))


class Customer(msgspec.Struct, frozen=True):
    """A customer; ``priority`` overrides that of its requests' routes.

    ``home_regions`` are the regions in which its requests may be served, None for any.
    """

    name: CustomerName
    key_hashes: tuple[KeyHash, ...] = ()
    priority: int | None = None
    quota: Quota | None = None
    home_regions: frozenset[RegionName] | None = None
