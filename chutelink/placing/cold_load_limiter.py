"""Limit the rate of cold loads, which fetch weights from the weight store."""

from __future__ import annotations

from collections import deque

from ..core import Application
from ..entry.pending import PendingTable
from ..ids import ServiceName

BURST_ALLOWANCE = 3.0
"""Loads per window that the operators tolerate above the rate."""
LATE_START_ALLOWANCE = 1
"""Loads kept in reserve, because one may start later than its order was sent."""
LATE_START_MARGIN_S = 0.5
"""Maximum delay between sending an order and the start of its load."""


class ColdLoadLimiter:
    """Sliding-window rate limiter that allows bursts.

    After the loss of an endpoint all of its models are needed at once. Without bursts,
    the last of three loads started 5 s after the first.

    Parameters
    ----------
    loads_per_s : float
        The weight store's rate limit.
    window_s : float
        The window over which the operators count loads.
    excess : float
        Multiple of the rate that the operators tolerate.
    """

    def __init__(self, loads_per_s: float, window_s: float, excess: float) -> None:
        allowed = loads_per_s * window_s * excess + BURST_ALLOWANCE
        self._limit = max(1, int(allowed) - LATE_START_ALLOWANCE)
        self._window_s = window_s + LATE_START_MARGIN_S
        self._started_s: deque[float] = deque()

    def assume_full(self, at_s: float) -> None:
        """Assume that an unknown previous lease holder used the whole window."""
        self._started_s.extend([at_s] * self._limit)

    def available(self, now_s: float) -> int:
        """Return how many loads may start now."""
        while self._started_s and now_s - self._started_s[0] > self._window_s:
            self._started_s.popleft()
        return max(0, self._limit - len(self._started_s))

    def next_start_in_s(self, now_s: float) -> float:
        """Return how many seconds remain until a load may start, 0 if one may now."""
        if self.available(now_s):
            return 0.0
        return (
            self._started_s[len(self._started_s) - self._limit] + self._window_s - now_s
        )

    def record_start(self, now_s: float) -> None:
        """Count a load that starts or has started; call in order of start time."""
        self._started_s.append(now_s)


class ColdLoadLimiters:
    """One limiter per service, which accounts for loads of earlier placer terms.

    Parameters
    ----------
    core : Application
        The daemon's shared services.
    pending : PendingTable
        Loads that previous lease holders announced.

    Attributes
    ----------
    window_s, excess : float
        The operators' counting window, and the multiple of the rate that they
        tolerate.
    """

    def __init__(self, core: Application, pending: PendingTable) -> None:
        self._core = core
        self._pending = pending
        self._created_s = core.clock()
        self._by_service: dict[ServiceName, ColdLoadLimiter] = {}
        self.window_s = 5.0
        self.excess = 1.0

    def clear(self) -> None:
        """Drop all limiters, because another holder may have sent orders since."""
        self._by_service.clear()

    def get(
        self, service: ServiceName, loads_per_s: float, *, is_first_term: bool
    ) -> ColdLoadLimiter:
        """Return a service's limiter; a first term has no earlier loads to count."""
        limiter = self._by_service.get(service)
        if limiter is None:
            limiter = ColdLoadLimiter(loads_per_s, self.window_s, self.excess)
            if not is_first_term:
                self._count_earlier_loads(limiter)
            self._by_service[service] = limiter
        return limiter

    def _count_earlier_loads(self, limiter: ColdLoadLimiter) -> None:
        """Count loads of a previous holder that may still be within the window.

        A daemon that has run for less than a window may have missed announcements, so
        it assumes that the window is used up.
        """
        has_full_history = self._core.clock() - self._created_s > self.window_s
        if not has_full_history:
            limiter.assume_full(self._created_s)
            return
        for started_s in self._pending.cold_begun_s():
            limiter.record_start(started_s)
