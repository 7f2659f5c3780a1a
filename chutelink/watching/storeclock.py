"""Age of data read from the store, on the store's clock. Does no I/O.

Every answer of the store carries the time of its monotonic clock. The age of the data
is counted from that time, whichever daemon read it and however long the answer, or a
peer's update, took to arrive.
"""

from __future__ import annotations

import math

MAX_DRIFT = 500e-6
"""Maximum drift between two monotonic clocks, as a share of elapsed time.

Time synchronization services slew a clock by at most this rate.
"""


class StoreClock:
    """Bounds the offset of the store's clock, using the times of this daemon's calls.

    The offset (store time minus local time) is at least the time in an answer minus
    the local time of its arrival, and at most the time in the answer minus the local
    time at which the call was sent.
    """

    def __init__(self) -> None:
        self._min_offset_s = -math.inf
        self._max_offset_s = math.inf
        self._last_sample_s = 0.0

    def add_sample(self, sent_s: float, received_s: float, answered_s: float) -> None:
        """Narrow the bounds of the offset with the store's time in an answer.

        If the bounds contradict the earlier ones, the store's clock was replaced, and
        the earlier ones are dropped.
        """
        call_drift_s = MAX_DRIFT * (received_s - sent_s)
        min_s = answered_s - received_s - call_drift_s
        max_s = answered_s - sent_s + call_drift_s
        drift_s = MAX_DRIFT * max(0.0, received_s - self._last_sample_s)
        self._last_sample_s = received_s
        previous_min_s = self._min_offset_s - drift_s
        previous_max_s = self._max_offset_s + drift_s
        is_clock_replaced = min_s > previous_max_s or max_s < previous_min_s
        if is_clock_replaced:
            self._min_offset_s, self._max_offset_s = min_s, max_s
            return
        self._min_offset_s = max(previous_min_s, min_s)
        self._max_offset_s = min(previous_max_s, max_s)

    def min_time_s(self, now_s: float) -> float:
        """Return the minimum time of the store's clock; -inf before the first sample.

        Another daemon that takes an event for as old as this time doesn't take it for
        newer than it is.
        """
        drift_s = MAX_DRIFT * max(0.0, now_s - self._last_sample_s)
        return now_s + self._min_offset_s - drift_s

    def max_age_s(self, answered_s: float, now_s: float) -> float:
        """Return the maximum age of an answer; infinite before the first sample."""
        drift_s = MAX_DRIFT * max(0.0, now_s - self._last_sample_s)
        return max(0.0, now_s + self._max_offset_s + drift_s - answered_s)
