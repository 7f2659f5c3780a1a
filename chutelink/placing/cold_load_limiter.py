"""How many loads from the weight store may begin."""

from __future__ import annotations

from collections import deque

from ..core import Application
from ..entry.pending import PendingTable
from ..ids import ServiceName

BURST_ALLOWANCE = 3.0
"""Loads in a window that the operators allow beyond the rate."""
LATE_START_ALLOWANCE = 1
"""Loads that are left to doubt: one may begin later than it was sent."""
LATE_START_MARGIN_S = 0.5
"""How much later than it was sent a load may begin."""


class ColdLoadLimiter:
    """Counts the loads of a sliding window, so that many may begin at once.

    After the loss of an endpoint all its models are needed together; a rate without
    a burst let the last of three begin 5 s after the first.

    Parameters
    ----------
    loads_per_s : float
        The weight store's rate.
    window_s : float
        The time over which the operators count.
    excess : float
        How far above the rate they tolerate.
    """

    def __init__(self, loads_per_s: float, window_s: float, excess: float) -> None:
        allowed = loads_per_s * window_s * excess + BURST_ALLOWANCE
        self._limit = max(1, int(allowed) - LATE_START_ALLOWANCE)
        self._window_s = window_s + LATE_START_MARGIN_S
        self._started_s: deque[float] = deque()

    def assume_full(self, at_s: float) -> None:
        """Take it that a former holder, of whom nothing is known, used it all."""
        self._started_s.extend([at_s] * self._limit)

    def available(self, now_s: float) -> int:
        """Return how many loads may begin now."""
        while self._started_s and now_s - self._started_s[0] > self._window_s:
            self._started_s.popleft()
        return max(0, self._limit - len(self._started_s))

    def record_start(self, now_s: float) -> None:
        """Count one that begins, or began; the oldest first."""
        self._started_s.append(now_s)


class ColdLoadLimiters:
    """One pace for each service, over the terms of placers.

    Parameters
    ----------
    core : Application
        The owner.
    pending : PendingTable
        Loads that former holders announced.

    Attributes
    ----------
    window_s, excess : float
        The time over which the operators count, and how far they tolerate more.
    """

    def __init__(self, core: Application, pending: PendingTable) -> None:
        self._core = core
        self._pending = pending
        self._created_s = core.clock()
        self._by_service: dict[ServiceName, ColdLoadLimiter] = {}
        self.window_s = 5.0
        self.excess = 1.0

    def clear(self) -> None:
        """Forget all paces: others may have sent orders since."""
        self._by_service.clear()

    def get(
        self, service: ServiceName, loads_per_s: float, *, is_first_term: bool
    ) -> ColdLoadLimiter:
        """Return a service's pace; before the first term there was no holder."""
        limiter = self._by_service.get(service)
        if limiter is None:
            limiter = ColdLoadLimiter(loads_per_s, self.window_s, self.excess)
            if not is_first_term:
                self._count_earlier_loads(limiter)
            self._by_service[service] = limiter
        return limiter

    def _count_earlier_loads(self, limiter: ColdLoadLimiter) -> None:
        """Count the loads that a former holder began, as far as they may matter."""
        has_full_window = self._core.clock() - self._created_s > self.window_s
        if not has_full_window:
            limiter.assume_full(self._created_s)
            return
        for started_s in self._pending.cold_begun_s():
            limiter.record_start(started_s)
