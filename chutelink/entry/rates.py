"""How often something is asked for, from counts that arrive now and then. Pure."""

from __future__ import annotations

import math

import msgspec

FAST_S = 1.0
"""Time constant of what follows a change: daemons tell of arrivals each 0.2 s."""
SLOW_S = 4.0
"""Time constant of what is steady: about the time of a load from the weight store."""
DOUBT = 2.0
"""Standard deviations by which both must differ to show a change."""
MIN_AGE_S = 0.2
"""Counts over less time than between two messages say nothing of a rate."""


class Rate(msgspec.Struct):
    """A rate as two averages, brought to ``updated_s``; counted since ``since_s``.

    While both agree the slow one is taken, which varies least; where they differ by
    more than chance the rate is changing, and as much again is added: what is
    decided now takes effect seconds later.
    """

    since_s: float
    updated_s: float
    fast: float = 0.0
    slow: float = 0.0

    def add(self, count: float, now_s: float) -> None:
        """Count arrivals up to now."""
        self.decay(now_s)
        self.fast += count / FAST_S
        self.slow += count / SLOW_S

    def decay(self, now_s: float) -> None:
        """Bring the averages to now."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.fast *= math.exp(-elapsed_s / FAST_S)
        self.slow *= math.exp(-elapsed_s / SLOW_S)
        self.updated_s = now_s

    def steady(self, now_s: float) -> float:
        """Return the slow average, as of all the time that was counted."""
        self.decay(now_s)
        return self.slow / _covered(self._age_s(now_s), SLOW_S)

    def expected(self, now_s: float) -> float:
        """Return the rate to be expected in some seconds."""
        slow = self.steady(now_s)
        fast = self.fast / _covered(self._age_s(now_s), FAST_S)
        noise = math.sqrt(max(slow, fast) / (2 * FAST_S))
        if abs(fast - slow) <= DOUBT * noise:
            return slow
        return max(0.0, fast + (fast - slow))

    def _age_s(self, now_s: float) -> float:
        return max(MIN_AGE_S, now_s - self.since_s)


def _covered(age_s: float, constant_s: float) -> float:
    """Return which part of a steady rate an average has reached at an age."""
    return 1.0 - math.exp(-age_s / constant_s)
