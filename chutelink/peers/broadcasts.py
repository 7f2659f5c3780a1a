"""Which broadcasts were seen already, so that each is passed on once."""

from __future__ import annotations

from ..ids import BootId, DaemonId
from .messages import Broadcast

SEQUENCE_WINDOW = 256
"""How far behind the newest a message may arrive; links reorder by a few."""


class _Origin:
    """What was seen of one process."""

    def __init__(self, boot_id: BootId) -> None:
        self.boot_id = boot_id
        self.highest = 0
        self.seen: set[int] = set()


class BroadcastHistory:
    """Sequence numbers seen of each daemon's latest process."""

    def __init__(self) -> None:
        self._origins: dict[DaemonId, _Origin] = {}
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the number of this process's next message."""
        self._sequence += 1
        return self._sequence

    def mark_seen(self, news: Broadcast) -> bool:
        """Note a message; return whether it was not seen before."""
        origin = self._origins.get(news.origin)
        if origin is None or origin.boot_id != news.boot_id:
            origin = self._origins[news.origin] = _Origin(news.boot_id)
        if (
            news.sequence in origin.seen
            or news.sequence <= origin.highest - SEQUENCE_WINDOW
        ):
            return False
        origin.seen.add(news.sequence)
        origin.highest = max(origin.highest, news.sequence)
        if len(origin.seen) > 2 * SEQUENCE_WINDOW:
            oldest = origin.highest - SEQUENCE_WINDOW
            origin.seen = {number for number in origin.seen if number > oldest}
        return True
