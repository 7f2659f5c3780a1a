"""How old what was read of the store is, by the store's own clock. Pure.

Every answer of the store says what its steady clock showed. What was read is as old as
that, whoever read it and however long the answer or the news of it took to arrive.
"""

from __future__ import annotations

import math

DRIFT = 500e-6
"""How much two steady clocks may run apart, as a share of the time that passes.

The most by which time services slew a clock.
"""


class StoreClock:
    """Bounds the store's clock by the answers to this daemon's own calls.

    The store's clock less the own one lies between what an answer showed less the time
    when it arrived, and the same less the time when its call was sent.
    """

    def __init__(self) -> None:
        self._least_offset_s = -math.inf
        self._most_offset_s = math.inf
        self._noted_s = 0.0

    def note(self, sent_s: float, received_s: float, answered_s: float) -> None:
        """Take in what the store's clock showed in answer to a call."""
        apart_s = DRIFT * (received_s - sent_s)
        least_s = answered_s - received_s - apart_s
        most_s = answered_s - sent_s + apart_s
        drift_s = DRIFT * max(0.0, received_s - self._noted_s)
        self._noted_s = received_s
        before_least_s = self._least_offset_s - drift_s
        before_most_s = self._most_offset_s + drift_s
        is_another_clock = least_s > before_most_s or most_s < before_least_s
        if is_another_clock:
            self._least_offset_s, self._most_offset_s = least_s, most_s
            return
        self._least_offset_s = max(before_least_s, least_s)
        self._most_offset_s = min(before_most_s, most_s)

    def age_s(self, answered_s: float, now_s: float) -> float:
        """Return how old an answer is at most; infinite before the first own call."""
        drift_s = DRIFT * max(0.0, now_s - self._noted_s)
        return max(0.0, now_s + self._most_offset_s + drift_s - answered_s)
