"""The requests of other daemons in progress at endpoints, as last reported. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from ..entry.messages import EndpointLoad
from ..ids import DaemonId

DAEMON_TIMEOUT_S = 2.0
"""How long a daemon's report is valid; one is sent every 0.2 s."""


class PeerLoads:
    """The loads that other daemons reported, and the requests they sent since."""

    def __init__(self) -> None:
        self._reported: dict[DaemonId, list[EndpointLoad]] = {}
        self._sent_since: dict[DaemonId, list[EndpointLoad]] = {}
        self._reported_s: dict[DaemonId, float] = {}

    def set_loads(
        self, daemon: DaemonId, loads: list[EndpointLoad], now_s: float
    ) -> None:
        """Replace the loads of a daemon by a new report."""
        self._reported[daemon] = loads
        self._sent_since.pop(daemon, None)
        self._reported_s[daemon] = now_s

    def add_sent(self, daemon: DaemonId, load: EndpointLoad) -> None:
        """Add a request that a daemon sent since its last report."""
        self._sent_since.setdefault(daemon, []).append(load)

    def forget_silent(self, now_s: float) -> bool:
        """Remove daemons whose reports are too old; return whether there were any."""
        expired = [
            d for d, t in self._reported_s.items() if now_s - t > DAEMON_TIMEOUT_S
        ]
        for daemon in expired:
            del self._reported_s[daemon]
            del self._reported[daemon]
            self._sent_since.pop(daemon, None)
        return bool(expired)

    def loads(self) -> Iterator[EndpointLoad]:
        """Return the loads of all daemons."""
        return chain.from_iterable(
            (*self._reported.values(), *self._sent_since.values())
        )
