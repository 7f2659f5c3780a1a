"""Backoff of calls to a store that does not answer. Does no I/O."""

from __future__ import annotations

import random

from .timing import MAX_RANK_STEPS, MIN_RETRY_PAUSE_S, RETRY_JITTER

MIN_FAILURES_TO_BACK_OFF = 2
"""A single failed call is not an outage, and is retried soon."""


class ProbeBackoff:
    """Limits the calls of a fleet during an outage of the store.

    The first daemon that reaches the store again sends what it read to the others.
    Daemons of higher rank therefore back off, while the pause never exceeds the
    staleness bound.

    Parameters
    ----------
    staleness_bound_s : float
        The longest pause.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, staleness_bound_s: float, rng: random.Random) -> None:
        self._staleness_bound_s = staleness_bound_s
        self._rng = rng
        self._failures = 0
        self._next_call_s = float("-inf")

    @property
    def is_failing(self) -> bool:
        """Whether the latest call failed."""
        return self._failures > 0

    def record_success(self) -> None:
        """Reset the backoff."""
        self._failures = 0
        self._next_call_s = float("-inf")

    def record_failure(self, now_s: float, rank: int, *, is_urgent: bool) -> None:
        """Choose the pause before the next call.

        ``is_urgent`` is set if this daemon can't wait for others to reach the store:
        it receives nothing from them, or its copy is empty or has a gap.
        """
        self._failures += 1
        pause_s = MIN_RETRY_PAUSE_S * self._rng.uniform(1.0, RETRY_JITTER)
        ranks_behind = max(0, rank - MAX_RANK_STEPS)
        if (
            ranks_behind
            and not is_urgent
            and self._failures >= MIN_FAILURES_TO_BACK_OFF
        ):
            factor = 1.0 + ranks_behind / (MAX_RANK_STEPS + 1)
            longest_s = self._staleness_bound_s * self._rng.uniform(0.5, 1.0)
            pause_s = max(pause_s, min(longest_s, pause_s * factor))
        self._next_call_s = now_s + pause_s

    def pause_s(self, now_s: float) -> float:
        """Return how long to wait before the next call."""
        return self._next_call_s - now_s
