"""Pacing of the requests of all daemons to one endpoint. No I/O."""

from __future__ import annotations

from .const import BURST_S, MIN_LIMIT_PER_S, PACER_IDLE_S
from .model import Permit


class Pacer:
    """Paces requests by the generic cell rate algorithm (GCRA).

    The initial state allows no burst, since earlier requests are unknown.

    Parameters
    ----------
    limit_per_s : float
        Requests per second that the endpoint accepts.
    now_s : float
        Start time of the pacer.
    """

    def __init__(self, limit_per_s: float, now_s: float) -> None:
        self._interval_s = 1.0 / max(MIN_LIMIT_PER_S, limit_per_s)
        self._theoretical_arrival_s = now_s + self._tolerance_s + self._interval_s

    @property
    def _tolerance_s(self) -> float:
        """How much earlier than its evenly spaced slot a request may be sent."""
        return max(0.0, BURST_S - self._interval_s)

    def reserve(self, limit_per_s: float, max_delay_s: float, now_s: float) -> Permit:
        """Return the delay of the next request, and reserve its slot if in time.

        It is in time if the delay is at most ``max_delay_s``.
        """
        self._set_limit(limit_per_s, now_s)
        delay_s = max(0.0, self._theoretical_arrival_s - self._tolerance_s - now_s)
        if delay_s > max_delay_s:
            return Permit(is_granted=False, delay_s=delay_s)
        self._theoretical_arrival_s = (
            max(self._theoretical_arrival_s, now_s) + self._interval_s
        )
        return Permit(is_granted=True, delay_s=delay_s)

    def _set_limit(self, limit_per_s: float, now_s: float) -> None:
        """Set the limit; the number of requests reserved in advance stays the same."""
        intervals_ahead = (
            self._theoretical_arrival_s - self._tolerance_s - now_s
        ) / self._interval_s
        self._interval_s = 1.0 / max(MIN_LIMIT_PER_S, limit_per_s)
        self._theoretical_arrival_s = (
            now_s + self._tolerance_s + intervals_ahead * self._interval_s
        )

    def is_idle(self, now_s: float) -> bool:
        """Return whether the pacer is unused for so long that it may be removed."""
        return now_s - self._theoretical_arrival_s > PACER_IDLE_S
