"""Detection of periods without messages from any peer. Does no I/O."""

from __future__ import annotations

import math


class IsolationDetector:
    """Records the last period in which this daemon received nothing from any peer.

    This distinguishes an isolation of this daemon from an outage of the store, which
    its peers observe as well.

    Parameters
    ----------
    max_silence_s : float
        Healthy peers are never all silent for longer than this.
    """

    def __init__(self, max_silence_s: float) -> None:
        self._max_silence_s = max_silence_s
        self._last_received_s = -math.inf
        self._silence_ended_s = -math.inf

    def note_message(self, now_s: float) -> None:
        """Record that a message was received from some peer."""
        if self._is_silent(now_s):
            self._silence_ended_s = now_s
        self._last_received_s = now_s

    def isolated_until_s(self, now_s: float) -> float:
        """Return when the last silence of all peers ended; now if it still lasts.

        Minus infinity if no message was ever received or no such silence occurred.
        """
        return now_s if self._is_silent(now_s) else self._silence_ended_s

    def _is_silent(self, now_s: float) -> bool:
        return (
            self._last_received_s > -math.inf
            and now_s - self._last_received_s > self._max_silence_s
        )
