"""One daemon's share of one customer's quota. Pure.

All shares together are one token bucket: what the daemons let through in any window
is at most what they had saved up at its start and what they gained since. None of it
depends on what others say, so it holds while daemons are cut off, frozen or started
again; levels move between daemons only by loans, which the lender takes off before it
sends them.
"""

from __future__ import annotations

import msgspec

from .const import (
    LIMITED_S,
    MAX_BACK_S,
    MIN_BACK_S,
    PEAK_FADE,
    SAVED_SHARE,
    SETTLE_S,
    SMALL_SHARE,
    START_S,
    START_SHARE,
)
from .model import Quota


class QuotaBounds(msgspec.Struct, frozen=True):
    """How far above a quota all daemons together may go.

    In any ``window_s`` at most (rate x window + burst) x (1 + ``excess_share``) +
    ``slack``, which is in the unit of the quota.
    """

    window_s: float
    excess_share: float
    slack: float

    def allowed(self, quota: Quota) -> float:
        """Return the most that may run in a window."""
        owed = quota.rate_per_s * self.window_s + quota.burst
        return owed * (1.0 + self.excess_share) + self.slack


class ShareBucket:
    """Counts what this daemon may still let through.

    Parameters
    ----------
    quota : Quota
        Of all daemons together.
    bounds : QuotaBounds
        How far all daemons together may go above it.
    share : float
        This daemon's part of the whole, between 0 and 1.
    now_s : float
        When it begins.

    Attributes
    ----------
    level : float
        What may be used now.
    share : float
        This daemon's part of the whole.
    """

    def __init__(
        self, quota: Quota, bounds: QuotaBounds, share: float, now_s: float
    ) -> None:
        self.quota = quota
        self._bounds = bounds
        self.share = share
        # The process before may have used all; since then it has gained this much.
        self._start_amount = START_S * quota.rate_per_s
        self._start_granted = 0.0
        self._began_s = now_s
        self.level = 0.0
        self._promised = 0.0
        self._peak_cost = 0.0
        self._limited_until_s = float("-inf")
        self._updated_s = now_s
        self._grant_start()

    @property
    def capacity(self) -> float:
        """The most that is saved up: this share of a part of the margin."""
        return self.share * SAVED_SHARE * self._margin

    @property
    def _margin(self) -> float:
        """What all daemons may let through beyond the rate, in one window."""
        steady = self.quota.rate_per_s * self._bounds.window_s
        return self._bounds.allowed(self.quota) - steady

    @property
    def rate_per_s(self) -> float:
        """What is gained a second."""
        return self.share * self.quota.rate_per_s

    def set_share(self, share: float, now_s: float) -> None:
        """Take a new share of the whole quota, between 0 and 1."""
        self._refill(now_s)
        self.share = share
        if now_s - self._began_s <= SETTLE_S:
            self._grant_start()
        self.level = min(self.level, self.capacity)

    def set_quota(self, quota: Quota, now_s: float) -> None:
        """Take a new quota; what is saved up stays as far as the new one allows."""
        self._refill(now_s)
        self.quota = quota
        self.level = min(self.level, self.capacity)

    def start_afresh(self, now_s: float) -> None:
        """Begin with more: the process before did not begin within this window.

        Else the first requests after all daemons were killed are refused: the smallest
        customers gain what one request costs in some seconds.
        """
        self._refill(now_s)
        self._start_amount += START_SHARE * self._margin
        self._grant_start()

    def _grant_start(self) -> None:
        """Turn this share of the start's amount into level, each part once."""
        granted = self.share * self._start_amount
        gained = max(0.0, granted - self._start_granted)
        self._start_granted += gained
        self.level = min(self.level + gained, self.capacity)

    def fill(self) -> None:
        """Begin with a full share: nobody can have used anything yet."""
        self.level = self.capacity

    def take(self, cost: float, now_s: float) -> bool:
        """Use some; return whether there was enough."""
        return self.take_with(cost, 0.0, now_s)

    def take_with(self, cost: float, lent: float, now_s: float) -> bool:
        """Use some, with what others have lent; return whether there was enough.

        What is left of a loan is kept as far as the share allows.
        """
        self._refill(now_s)
        self._peak_cost = max(cost, PEAK_FADE * self._peak_cost)
        is_enough = self.missing(cost, now_s) <= lent
        used = cost if is_enough else 0.0
        self.level = min(self.level + lent, self.capacity + used) - used
        return is_enough

    def missing(self, cost: float, now_s: float) -> float:
        """Return what a request lacks, 0 or less when it may run.

        While the customer is at its limit, other requests wait for the level that its
        largest ones need: else the level would never rise so far, and those would be
        refused for as long as it is at its limit. Such as cost next to nothing don't
        wait: they are most of what would be refused, and hardly lower the level.
        """
        needed = cost
        large = min(self._peak_cost, self.capacity / 2)
        if now_s < self._limited_until_s and cost > SMALL_SHARE * large:
            needed = max(cost, large)
        return needed - self.level

    def charge(self, cost: float, now_s: float) -> None:
        """Count what runs once more, whether there is enough or not."""
        self._refill(now_s)
        self.level -= cost

    def give_back(self, cost: float, now_s: float) -> None:
        """Take back what was not used after all."""
        self._refill(now_s)
        self.level = min(self.level + cost, self.capacity)

    def lend(self, wanted: float, share: float, now_s: float) -> float:
        """Take off and return what another daemon gets."""
        self._refill(now_s)
        lent = max(0.0, min(wanted, share * self.level))
        self.level -= lent
        return lent

    def refuse(self, cost: float, now_s: float) -> float:
        """Note a request that is over the quota; return when it may come back.

        Those that were told before it come first; else all would be told the same
        time, and all but one be refused again.
        """
        self._refill(now_s)
        self._limited_until_s = now_s + LIMITED_S
        if self.rate_per_s <= 0:
            return MAX_BACK_S
        missing = max(0.0, self.missing(cost, now_s))
        wait_s = (missing + self._promised) / self.rate_per_s
        self._promised += cost
        return min(MAX_BACK_S, max(MIN_BACK_S, wait_s))

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._updated_s = now_s
        self.level = min(self.level + gained, self.capacity)
        most = MAX_BACK_S * self.rate_per_s
        self._promised = min(max(0.0, self._promised - gained), most)
