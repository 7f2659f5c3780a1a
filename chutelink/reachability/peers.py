"""The other daemons that reach no endpoint, as last reported. Does no I/O."""

from __future__ import annotations

from ..ids import DaemonId
from .const import PEER_REPORT_VALIDITY_S


class PartitionedPeers:
    """Daemons that reported that they are partitioned from the endpoints."""

    def __init__(self) -> None:
        self._reported_s: dict[DaemonId, float] = {}

    def note(self, daemon: DaemonId, *, is_partitioned: bool, now_s: float) -> None:
        """Record a daemon's report."""
        if is_partitioned:
            self._reported_s[daemon] = now_s
        else:
            self._reported_s.pop(daemon, None)

    def is_partitioned(self, daemon: DaemonId, now_s: float) -> bool:
        """Return whether a daemon recently reported that it is partitioned."""
        reported_s = self._reported_s.get(daemon)
        return reported_s is not None and now_s - reported_s < PEER_REPORT_VALIDITY_S
