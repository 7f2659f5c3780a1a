"""Space the requests of all daemons to one endpoint. Pure."""

from __future__ import annotations

from .const import BURST_S, IDLE_S, MIN_LIMIT_PER_S
from .model import Permit


class Pacer:
    """Spaces requests by the generic cell rate algorithm.

    It begins without any burst: what was sent before is not known.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the endpoint takes.
    now_s : float
        When it begins.
    """

    def __init__(self, limit_per_s: float, now_s: float) -> None:
        self._interval_s = 1.0 / max(MIN_LIMIT_PER_S, limit_per_s)
        self._due_s = now_s + self._tolerance_s + self._interval_s

    @property
    def _tolerance_s(self) -> float:
        """How much earlier than evenly spaced a request may be sent."""
        return max(0.0, BURST_S - self._interval_s)

    def reserve(self, limit_per_s: float, max_delay_s: float, now_s: float) -> Permit:
        """Return when the next request may be sent, and count it if that is in time."""
        self._set_limit(limit_per_s, now_s)
        delay_s = max(0.0, self._due_s - self._tolerance_s - now_s)
        if delay_s > max_delay_s:
            return Permit(is_granted=False, delay_s=delay_s)
        self._due_s = max(self._due_s, now_s) + self._interval_s
        return Permit(is_granted=True, delay_s=delay_s)

    def _set_limit(self, limit_per_s: float, now_s: float) -> None:
        """Take a new limit; as many requests as before are reserved in advance."""
        ahead = (self._due_s - self._tolerance_s - now_s) / self._interval_s
        self._interval_s = 1.0 / max(MIN_LIMIT_PER_S, limit_per_s)
        self._due_s = now_s + self._tolerance_s + ahead * self._interval_s

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing was sent for so long that it may be dropped."""
        return now_s - self._due_s > IDLE_S
