"""Strategies that enforce a quota across a fleet, for the simulation in ``quotas``."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections import deque

import msgspec

from chutelink.customers.buckets import QuotaBounds, ShareBucket
from chutelink.customers.const import (
    LOAN_REQUEST_FACTOR,
    LOAN_RETRY_PAUSE_S,
    MAX_HOLDERS,
    MAX_LENDERS,
    MAX_LENT_SHARE,
)
from chutelink.customers.model import Quota

BOUNDS = QuotaBounds(window_s=8.0, excess_share=0.1, slack=110_000.0)
"""The settings of the users' deployment that has quotas."""
BROADCAST_PERIOD_S = 0.2
COUNTER_FAILOVER_S = 3.0
"""Time until a lost counting daemon is replaced: its lease must expire first."""


class Fleet(msgspec.Struct, eq=False):
    """A fleet of daemons, and which of them can't be reached by the others."""

    count: int
    partitioned: frozenset[int] = frozenset()
    messages: int = 0

    def can_reach(self, sender: int, receiver: int) -> bool:
        """Return whether a message from one daemon reaches another."""
        return sender not in self.partitioned and receiver not in self.partitioned


class QuotaStrategy(ABC):
    """Decides which requests of one customer may run.

    Parameters
    ----------
    quota : Quota
        The customer's quota.
    fleet : Fleet
        The daemons that serve the customer.
    rng : random.Random
        Chooses the daemons to borrow from.
    """

    def __init__(self, quota: Quota, fleet: Fleet, rng: random.Random) -> None:
        self.quota = quota
        self.fleet = fleet
        self.rng = rng

    @abstractmethod
    def admit(self, daemon: int, cost: float, now_s: float) -> bool:
        """Return whether a daemon admits a request."""

    @abstractmethod
    def restart_all(self, now_s: float) -> None:
        """Discard the state of all daemons, as a restart of the whole fleet does."""


class FixedShares(QuotaStrategy):
    """Each daemon enforces an equal share, without communication."""

    def __init__(self, quota: Quota, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(quota, fleet, rng)
        self.buckets = self._make_buckets(0.0)
        for bucket in self.buckets:
            bucket.fill()

    def _holder_count(self) -> int:
        """Return how many daemons, counted from the first, share the quota."""
        return self.fleet.count

    def _make_buckets(self, now_s: float) -> list[ShareBucket]:
        holders = self._holder_count()
        shares = [1 / holders * (n < holders) for n in range(self.fleet.count)]
        return [ShareBucket(self.quota, BOUNDS, share, now_s) for share in shares]

    def admit(self, daemon: int, cost: float, now_s: float) -> bool:
        """Return whether the daemon's own share covers the cost."""
        bucket = self.buckets[daemon]
        if bucket.take(cost, now_s):
            return True
        bucket.refuse(cost, now_s)
        return False

    def restart_all(self, now_s: float) -> None:
        """Restart all daemons, after a run long enough for a start allowance."""
        self.buckets = self._make_buckets(now_s)
        for bucket in self.buckets:
            bucket.add_start_allowance(now_s)


class LentShares(FixedShares):
    """Daemons lend each other unused quota, as the entry daemons do."""

    def __init__(self, quota: Quota, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(quota, fleet, rng)
        self._next_borrow_s = [0.0] * fleet.count

    def _holder_count(self) -> int:
        return min(MAX_HOLDERS, self.fleet.count)

    def admit(self, daemon: int, cost: float, now_s: float) -> bool:
        """Return whether the own share and loans from others cover the cost."""
        bucket = self.buckets[daemon]
        if bucket.take(cost, now_s):
            return True
        lent = self._borrow(daemon, bucket.missing(cost, now_s), now_s)
        if bucket.take_with_loan(cost, lent, now_s):
            return True
        bucket.refuse(cost, now_s)
        return False

    def _borrow(self, daemon: int, needed: float, now_s: float) -> float:
        if now_s < self._next_borrow_s[daemon]:
            return 0.0
        others = [number for number in range(self._holder_count()) if number != daemon]
        lenders = self.rng.sample(others, min(MAX_LENDERS, len(others)))
        amount = needed * min(1.0, LOAN_REQUEST_FACTOR / len(lenders))
        lent = 0.0
        for lender in lenders:
            self.fleet.messages += 2
            if self.fleet.can_reach(daemon, lender):
                lent += self.buckets[lender].lend(amount, MAX_LENT_SHARE, now_s)
        if lent < needed:
            self._next_borrow_s[daemon] = now_s + LOAN_RETRY_PAUSE_S
        return lent


class ToldSums(QuotaStrategy):
    """Each daemon admits while the broadcast window totals of all are within the quota.

    The totals of other daemons are as old as their last broadcast that arrived.
    """

    def __init__(self, quota: Quota, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(quota, fleet, rng)
        self.restart_all(0.0)

    def restart_all(self, now_s: float) -> None:
        """Discard the windows and the totals received from other daemons."""
        count = self.fleet.count
        self.windows = [deque() for _ in range(count)]
        self.window_totals = [0.0] * count
        self.reported = [[0.0] * count for _ in range(count)]
        self.broadcast_s = now_s

    def _broadcast(self, now_s: float) -> None:
        if now_s - self.broadcast_s < BROADCAST_PERIOD_S:
            return
        self.broadcast_s = now_s
        for sender in range(self.fleet.count):
            self._expire(sender, now_s)
            if not self.window_totals[sender]:
                continue
            for receiver in range(self.fleet.count):
                self.fleet.messages += sender != receiver
                if self.fleet.can_reach(sender, receiver):
                    self.reported[receiver][sender] = self.window_totals[sender]

    def _expire(self, daemon: int, now_s: float) -> None:
        window = self.windows[daemon]
        while window and window[0][0] < now_s - BOUNDS.window_s:
            self.window_totals[daemon] -= window.popleft()[1]

    def admit(self, daemon: int, cost: float, now_s: float) -> bool:
        """Return whether the cost and the totals of all windows fit in the quota."""
        self._broadcast(now_s)
        self._expire(daemon, now_s)
        reported = self.reported[daemon]
        used = sum(reported) - reported[daemon] + self.window_totals[daemon]
        limit = self.quota.rate_per_s * BOUNDS.window_s + self.quota.burst
        if used + cost > limit:
            return False
        self.windows[daemon].append((now_s, cost))
        self.window_totals[daemon] += cost
        return True


class CountingDaemon(QuotaStrategy):
    """One daemon holds the only bucket, and is asked for every request."""

    def __init__(self, quota: Quota, fleet: Fleet, rng: random.Random) -> None:
        super().__init__(quota, fleet, rng)
        self.unavailable_until_s = 0.0
        self.bucket = ShareBucket(quota, BOUNDS, 1.0, 0.0)
        self.bucket.fill()

    def admit(self, daemon: int, cost: float, now_s: float) -> bool:
        """Return the counting daemon's decision; refuse if it can't be reached."""
        self.fleet.messages += 2
        is_reachable = daemon == 0 or self.fleet.can_reach(daemon, 0)
        if not is_reachable or now_s < self.unavailable_until_s:
            return False
        if self.bucket.take(cost, now_s):
            return True
        self.bucket.refuse(cost, now_s)
        return False

    def restart_all(self, now_s: float) -> None:
        """Start a new bucket; requests are refused until the lease has expired."""
        self.unavailable_until_s = now_s + COUNTER_FAILOVER_S
        self.bucket = ShareBucket(self.quota, BOUNDS, 1.0, now_s)
