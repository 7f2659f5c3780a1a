"""What the other daemons have under way at endpoints, as each last told. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from ..entry.news import EndpointLoad
from ..ids import DaemonId

DAEMON_TIMEOUT_S = 2.0
"""What a daemon said of its load counts for so long; it speaks every 0.2 s."""


class OtherLoads:
    """The loads that daemons told, and what they have sent since."""

    def __init__(self) -> None:
        self._reported: dict[DaemonId, list[EndpointLoad]] = {}
        self._sent_since: dict[DaemonId, list[EndpointLoad]] = {}
        self._reported_s: dict[DaemonId, float] = {}

    def take(self, daemon: DaemonId, loads: list[EndpointLoad], now_s: float) -> None:
        """Replace what a daemon has under way."""
        self._reported[daemon] = loads
        self._sent_since.pop(daemon, None)
        self._reported_s[daemon] = now_s

    def take_sent(self, daemon: DaemonId, load: EndpointLoad) -> None:
        """Add a request that a daemon sent since it told of its load."""
        self._sent_since.setdefault(daemon, []).append(load)

    def forget_silent(self, now_s: float) -> bool:
        """Drop daemons that have fallen silent; return whether there were any."""
        silent = [
            d for d, t in self._reported_s.items() if now_s - t > DAEMON_TIMEOUT_S
        ]
        for daemon in silent:
            del self._reported_s[daemon]
            del self._reported[daemon]
            self._sent_since.pop(daemon, None)
        return bool(silent)

    def loads(self) -> Iterator[EndpointLoad]:
        """Return all loads."""
        return chain.from_iterable(
            (*self._reported.values(), *self._sent_since.values())
        )
