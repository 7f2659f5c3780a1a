"""Tells the daemons that store streams which ones have begun and ended.

Only streams of services with several software versions are stored: the versions of the
others are known from the stored versions alone.
"""

from __future__ import annotations

from collections import defaultdict

from ..core import Application
from ..ids import DaemonId, RequestId
from ..systems.hashing import rendezvous_order
from .const import (
    DAEMONS_PER_RECORDER,
    MAX_ORIGINS_PER_MESSAGE,
    MAX_REPORTS_PER_S,
    REFRESH_PERIOD_S,
    SHARE_PERIOD_S,
)
from .manager import OriginManager
from .messages import BegunStreams, StreamOrigin

RECORDER_KEY = "stream-recorders"

Streams = dict[RequestId, StreamOrigin]


class StreamSharing:
    """Sends this daemon's unfinished streams to their recorders.

    Parameters
    ----------
    core : Application
        The owning application.
    manager : OriginManager
        The streams, and the links to the other daemons.
    """

    def __init__(self, core: Application, manager: OriginManager) -> None:
        self._core = core
        self._manager = manager
        self._sent: dict[DaemonId, Streams] = {}
        self._refreshed_s = float("-inf")

    @property
    def is_sharing(self) -> bool:
        """Whether this daemon has streams that are to be stored."""
        return bool(self._sent)

    @property
    def period_s(self) -> float:
        """Interval of the reports, longer where many daemons share a recorder."""
        reports = len(self._manager.domains()) / len(self.recorders())
        return max(SHARE_PERIOD_S, reports / MAX_REPORTS_PER_S)

    def recorders(self) -> list[DaemonId]:
        """Return the daemons that store streams; all daemons choose the same ones.

        A daemon without links stores its own streams.
        """
        own = self._core.daemon_id
        domains = self._manager.domains()
        reachable = self._manager.linked() | {own}
        order = rendezvous_order(RECORDER_KEY, domains)
        usable = [DaemonId(daemon) for daemon in order if daemon in reachable]
        return usable[: 1 + len(domains) // DAEMONS_PER_RECORDER] or [own]

    def update(self) -> None:
        """Send what has changed, and everything from time to time."""
        now_s = self._core.clock()
        streams = self._manager.mixed_streams()
        if not streams and not self._sent:
            return
        current: dict[DaemonId, Streams] = defaultdict(dict)
        recorders = self.recorders()
        for request, origin in streams.items():
            recorder = DaemonId(rendezvous_order(request, recorders)[0])
            current[recorder][request] = origin
        is_refresh = now_s - self._refreshed_s >= REFRESH_PERIOD_S
        if is_refresh:
            self._refreshed_s = now_s
        for recorder in self._sent.keys() | current.keys():
            is_full = is_refresh or recorder not in self._sent
            self._send_changes(recorder, current[recorder], is_full=is_full)
        self._sent = {name: found for name, found in current.items() if found}

    def _send_changes(
        self, recorder: DaemonId, streams: Streams, *, is_full: bool
    ) -> None:
        sent = {} if is_full else self._sent[recorder]
        begun = [origin for request, origin in streams.items() if request not in sent]
        ended = [request for request in sent if request not in streams]
        if not begun and not ended and not is_full:
            return
        # The first message, which may be empty, replaces what was sent before.
        starts = range(0, len(begun), MAX_ORIGINS_PER_MESSAGE) or [0]
        for start in starts:
            message = BegunStreams(
                self._core.boot_id,
                begun[start : start + MAX_ORIGINS_PER_MESSAGE],
                ended if not start else [],
                is_full and not start,
            )
            if recorder == self._core.daemon_id:
                self._manager.handle_message(message)
            else:
                self._manager.send(recorder, message)
