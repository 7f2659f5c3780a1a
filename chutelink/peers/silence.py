"""When a daemon last heard none of the others. Pure."""

from __future__ import annotations

import math


class PeerSilence:
    """Tells a daemon that was cut off from one whose peers heard nothing either.

    Parameters
    ----------
    longest_s : float
        Peers in good order are never all silent for longer.
    """

    def __init__(self, max_silence_s: float) -> None:
        self._max_silence_s = max_silence_s
        self._last_received_s = -math.inf
        self._silence_ended_s = -math.inf

    def note_heard(self, now_s: float) -> None:
        """Take in that some peer has spoken."""
        if self._is_silent(now_s):
            self._silence_ended_s = now_s
        self._last_received_s = now_s

    def alone_until_s(self, now_s: float) -> float:
        """Return when the last silence of all peers ended, now if it goes on.

        Minus infinity where none was heard of ever, or there was no such silence.
        """
        return now_s if self._is_silent(now_s) else self._silence_ended_s

    def _is_silent(self, now_s: float) -> bool:
        return (
            self._last_received_s > -math.inf
            and now_s - self._last_received_s > self._max_silence_s
        )
