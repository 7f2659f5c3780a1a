"""Traffic counters of the peer links, by kind of message."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

from ..log import EventLog
from ..metrics import Metrics

LOG_PERIOD_S = 10.0


class Direction(Enum):
    """The direction of a message."""

    SENT = "sent"
    RECEIVED = "received"


class Scope(Enum):
    """Whether a message stayed within the failure domain."""

    LOCAL = "local"
    REMOTE = "remote"


class _Volume:
    """Counts of messages and their bytes."""

    def __init__(self) -> None:
        self.messages = 0
        self.size_bytes = 0

    def add(self, messages: int, size_bytes: int) -> None:
        self.messages += messages
        self.size_bytes += size_bytes


class TrafficMeter:
    """Counts messages and bytes of all links by kind, direction and scope."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, Direction, Scope], _Volume] = defaultdict(
            _Volume
        )
        self._since_last_log: dict[tuple[str, Direction], _Volume] = defaultdict(
            _Volume
        )
        self._last_log_s: float | None = None

    def note(
        self, kind: str, direction: Direction, size_bytes: int, *, is_remote: bool
    ) -> None:
        """Count one message."""
        scope = Scope.REMOTE if is_remote else Scope.LOCAL
        self._pending[kind, direction, scope].add(1, size_bytes)

    def export(self, metrics: Metrics) -> None:
        """Add the counts since the last export to the metrics."""
        for (kind, direction, scope), volume in self._pending.items():
            labels = {
                "kind": kind,
                "direction": direction.value,
                "scope": scope.value,
            }
            metrics.peer_messages.add(labels, volume.messages)
            metrics.peer_bytes.add(labels, volume.size_bytes)
            self._since_last_log[kind, direction].add(
                volume.messages, volume.size_bytes
            )
        self._pending.clear()

    def log(self, events: EventLog, now_s: float) -> None:
        """Log the exported counts once every ``LOG_PERIOD_S``."""
        if self._last_log_s is None:
            self._last_log_s = now_s
        period_s = now_s - self._last_log_s
        if period_s < LOG_PERIOD_S:
            return
        fields = {
            f"{kind}_{direction.value}": f"{volume.messages}/{volume.size_bytes}"
            for (kind, direction), volume in sorted(
                self._since_last_log.items(), key=lambda item: -item[1].size_bytes
            )
        }
        events.info("peer_traffic", period_s=period_s, **fields)
        self._since_last_log.clear()
        self._last_log_s = now_s
