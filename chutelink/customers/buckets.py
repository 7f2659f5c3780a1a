"""One daemon's share of one customer's quota. No I/O.

All shares together form one token bucket: in any window the daemons admit at most the
level that they had at its start plus what they gained since. This depends on no
message from other daemons, so it holds while daemons are disconnected, frozen or
restarted. Levels move between daemons only by loans, which the lender deducts before
it sends them.
"""

from __future__ import annotations

import msgspec

from .const import (
    AT_LIMIT_S,
    CAPACITY_SHARE,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PEAK_COST_DECAY,
    SETTLE_S,
    SMALL_REQUEST_SHARE,
    START_S,
    START_SHARE,
)
from .model import Quota


class QuotaBounds(msgspec.Struct, frozen=True):
    """The margin by which all daemons together may exceed a quota.

    In any ``window_s`` they admit at most (rate x window + burst) x
    (1 + ``excess_share``) + ``slack``, which is in the unit of the quota.
    """

    window_s: float
    excess_share: float
    slack: float

    def allowed(self, quota: Quota) -> float:
        """Return the maximum amount that may be admitted in a window."""
        nominal = quota.rate_per_s * self.window_s + quota.burst
        return nominal * (1.0 + self.excess_share) + self.slack


class ShareBucket:
    """Token bucket for this daemon's share of a quota.

    Parameters
    ----------
    quota : Quota
        The quota of all daemons together.
    bounds : QuotaBounds
        The margin by which all daemons together may exceed the quota.
    share : float
        This daemon's share of the quota, between 0 and 1.
    now_s : float
        Start time of the bucket.

    Attributes
    ----------
    level : float
        The amount that may be used now.
    share : float
        This daemon's share of the quota.
    """

    def __init__(
        self, quota: Quota, bounds: QuotaBounds, share: float, now_s: float
    ) -> None:
        self.quota = quota
        self._bounds = bounds
        self.share = share
        # The previous process may have used everything; this was gained since.
        self._start_allowance = START_S * quota.rate_per_s
        self._start_granted = 0.0
        self._started_s = now_s
        self.level = 0.0
        self._reserved_amount = 0.0
        self._peak_cost = 0.0
        self._at_limit_until_s = float("-inf")
        self._updated_s = now_s
        self._grant_start()

    @property
    def capacity(self) -> float:
        """Maximum level: this daemon's share of a part of the margin."""
        return self.share * CAPACITY_SHARE * self._margin

    @property
    def _margin(self) -> float:
        """Amount beyond the rate that all daemons together may admit in one window."""
        steady = self.quota.rate_per_s * self._bounds.window_s
        return self._bounds.allowed(self.quota) - steady

    @property
    def rate_per_s(self) -> float:
        """Amount gained per second."""
        return self.share * self.quota.rate_per_s

    def update_share(self, share: float, now_s: float) -> None:
        """Set the share of the quota, between 0 and 1."""
        self._refill(now_s)
        self.share = share
        if now_s - self._started_s <= SETTLE_S:
            self._grant_start()
        self.level = min(self.level, self.capacity)

    def update_quota(self, quota: Quota, now_s: float) -> None:
        """Set the quota; the level is kept up to the new capacity."""
        self._refill(now_s)
        self.quota = quota
        self.level = min(self.level, self.capacity)

    def add_start_allowance(self, now_s: float) -> None:
        """Add the start allowance, if no process started earlier in this window.

        Otherwise the first requests after a kill of all daemons are refused: the
        smallest customers gain the cost of one request only in some seconds.
        """
        self._refill(now_s)
        self._start_allowance += START_SHARE * self._margin
        self._grant_start()

    def _grant_start(self) -> None:
        """Add this daemon's share of the start allowance to the level.

        If the share has grown since the last call, only the difference is added.
        """
        granted = self.share * self._start_allowance
        gained = max(0.0, granted - self._start_granted)
        self._start_granted += gained
        self.level = min(self.level + gained, self.capacity)

    def fill(self) -> None:
        """Fill the bucket of a new customer, which can't have used anything yet."""
        self.level = self.capacity

    def take(self, cost: float, now_s: float) -> bool:
        """Deduct a request's cost; return whether the level was sufficient."""
        return self.take_with_loan(cost, 0.0, now_s)

    def take_with_loan(self, cost: float, lent: float, now_s: float) -> bool:
        """Deduct a cost from level and loans; return whether they were sufficient.

        The rest of a loan is kept up to the capacity.
        """
        self._refill(now_s)
        self._peak_cost = max(cost, PEAK_COST_DECAY * self._peak_cost)
        is_enough = self.missing(cost, now_s) <= lent
        used = cost if is_enough else 0.0
        self.level = min(self.level + lent, self.capacity + used) - used
        return is_enough

    def missing(self, cost: float, now_s: float) -> float:
        """Return the amount that a request lacks, 0 or less if it may run.

        While the customer is at its limit, smaller requests also need the level that
        its largest ones need. Otherwise the level would never rise that far, and the
        largest requests would be refused for as long as the customer is at its limit.
        Requests with a very small cost are exempt, since they hardly lower the level.
        """
        needed = cost
        large = min(self._peak_cost, self.capacity / 2)
        if now_s < self._at_limit_until_s and cost > SMALL_REQUEST_SHARE * large:
            needed = max(cost, large)
        return needed - self.level

    def charge(self, cost: float, now_s: float) -> None:
        """Deduct the cost of a repeated run, even if the level is insufficient."""
        self._refill(now_s)
        self.level -= cost

    def refund(self, cost: float, now_s: float) -> None:
        """Refund a cost that was not used."""
        self._refill(now_s)
        self.level = min(self.level + cost, self.capacity)

    def lend(self, requested: float, share: float, now_s: float) -> float:
        """Deduct and return the amount that is lent to another daemon."""
        self._refill(now_s)
        lent = max(0.0, min(requested, share * self.level))
        self.level -= lent
        return lent

    def refuse(self, cost: float, now_s: float) -> float:
        """Record a request that is over the quota; return its retry delay.

        Requests that were refused before it are served first. Otherwise all would be
        given the same time, and all but one would be refused again.
        """
        self._refill(now_s)
        self._at_limit_until_s = now_s + AT_LIMIT_S
        if self.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        missing = max(0.0, self.missing(cost, now_s))
        wait_s = (missing + self._reserved_amount) / self.rate_per_s
        self._reserved_amount += cost
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._updated_s = now_s
        self.level = min(self.level + gained, self.capacity)
        max_reserved = MAX_RETRY_AFTER_S * self.rate_per_s
        self._reserved_amount = min(
            max(0.0, self._reserved_amount - gained), max_reserved
        )
