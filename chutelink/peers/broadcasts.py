"""Deduplication of broadcasts, so that each is delivered and forwarded once."""

from __future__ import annotations

from ..ids import BootId, DaemonId
from .messages import Broadcast

SEQUENCE_WINDOW = 256
"""How far a sequence number may lag behind the highest one received.

Messages that take different paths are reordered by a few places only.
"""


class _Origin:
    """The sequence numbers received from one process."""

    def __init__(self, boot_id: BootId) -> None:
        self.boot_id = boot_id
        self.highest = 0
        self.seen: set[int] = set()


class BroadcastHistory:
    """The broadcasts received from the latest process of each daemon.

    Sequence numbers start again when a daemon restarts, which a new boot id shows.
    """

    def __init__(self) -> None:
        self._origins: dict[DaemonId, _Origin] = {}
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number of this process's next broadcast."""
        self._sequence += 1
        return self._sequence

    def mark_seen(self, message: Broadcast) -> bool:
        """Record a broadcast; return whether it is received for the first time."""
        origin = self._origins.get(message.origin)
        if origin is None or origin.boot_id != message.boot_id:
            origin = self._origins[message.origin] = _Origin(message.boot_id)
        if (
            message.sequence in origin.seen
            or message.sequence <= origin.highest - SEQUENCE_WINDOW
        ):
            return False
        origin.seen.add(message.sequence)
        origin.highest = max(origin.highest, message.sequence)
        if len(origin.seen) > 2 * SEQUENCE_WINDOW:
            oldest = origin.highest - SEQUENCE_WINDOW
            origin.seen = {number for number in origin.seen if number > oldest}
        return True
