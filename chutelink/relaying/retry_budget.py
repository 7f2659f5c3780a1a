"""Retry budget of each service, divided among all daemons."""

from __future__ import annotations

import math
from collections import deque

from ..ids import ServiceName

BUDGET_SAFETY_FACTOR = 0.8
"""Share of the budget that is used, as requests are spread unevenly over daemons."""


class _SlidingWindowCounter:
    """Counts events within a sliding time window."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times.append(now_s)

    def count(self, now_s: float, window_s: float) -> int:
        while self._times and now_s - self._times[0] > window_s:
            self._times.popleft()
        return len(self._times)


class RetryBudgetShare:
    """One daemon's share of the retry budget of each service.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries, shared by all daemons.
    window_s : float
        The time window in which requests and retries are counted.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[ServiceName, _SlidingWindowCounter] = {}
        self._retries: dict[ServiceName, _SlidingWindowCounter] = {}
        self.daemons = 1

    def note_request(self, service: ServiceName, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, _SlidingWindowCounter()).add(now_s)

    def has_left(self, service: ServiceName, now_s: float, share: float = 1.0) -> bool:
        """Return whether a retry is left in the budget, or in a share of it.

        What a share keeps back is rounded to whole retries: a small budget would
        otherwise leave its share none.
        """
        requests = self._requests.setdefault(service, _SlidingWindowCounter())
        retries = self._retries.setdefault(service, _SlidingWindowCounter())
        allowed = self._ratio * requests.count(now_s, self._window_s)
        allowed += self._slack / max(1, self.daemons)
        budget = BUDGET_SAFETY_FACTOR * allowed
        kept_back = math.floor((1.0 - share) * budget + 0.5)
        return retries.count(now_s, self._window_s) + 1 <= budget - kept_back

    def take(self, service: ServiceName, now_s: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if not self.has_left(service, now_s):
            return False
        self._retries[service].add(now_s)
        return True
