"""Sliding window that counts the grants for one endpoint. No I/O."""

from __future__ import annotations

from collections import deque

from .const import COLD_WINDOW_S


class GrantWindow:
    """Counts the grants of the last ``COLD_WINDOW_S``, for all processes in turn.

    Grants for the previous process of an endpoint count for the next one: until all
    daemons know of the restart, requests with such grants arrive at the new process.

    Parameters
    ----------
    born_ms : int
        Start time of the process.
    """

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms
        """Start time of the newest process for which a grant was requested."""
        self._granted_s: deque[float] = deque()
        self._next_retry_s = float("-inf")

    def take(self, max_grants: int, now_s: float) -> bool:
        """Count a grant and return True, unless the window is full."""
        self._remove_expired(now_s)
        if len(self._granted_s) >= max_grants:
            return False
        self._granted_s.append(now_s)
        return True

    def retry_in_s(self, max_grants: int, now_s: float) -> float:
        """Return when a refused daemon should ask again.

        Refused daemons get different times, at the rate at which places become free:
        hundreds of daemons that ask for the same place would overload this daemon.
        """
        if max_grants < 1 or not self._granted_s:
            return COLD_WINDOW_S
        surplus = max(0, len(self._granted_s) - max_grants)
        free_s = self._granted_s[surplus] + COLD_WINDOW_S
        retry_s = min(max(free_s, self._next_retry_s), now_s + COLD_WINDOW_S)
        self._next_retry_s = retry_s + COLD_WINDOW_S / max_grants
        return retry_s - now_s

    def is_empty(self, now_s: float) -> bool:
        """Return whether no grant is left in the window."""
        self._remove_expired(now_s)
        return not self._granted_s

    def _remove_expired(self, now_s: float) -> None:
        while self._granted_s and now_s - self._granted_s[0] > COLD_WINDOW_S:
            self._granted_s.popleft()
