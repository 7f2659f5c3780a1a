"""Records of which software version began a stream, bounded in number and time."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from ..ids import RequestId, ServiceName
from .const import MAX_ORIGINS, RETENTION_S
from .messages import StreamOrigin


class _Entry(msgspec.Struct, frozen=True):
    """A record with the time at which it was last written.

    ``is_own`` says that this daemon sent the request, and shares the record.
    ``has_begun`` says that the stream has brought an event, which settles its version.
    """

    origin: StreamOrigin
    written_s: float
    is_own: bool
    has_begun: bool


class OriginTable:
    """Records by the request id of the attempt, the oldest first."""

    def __init__(self) -> None:
        self._entries: dict[RequestId, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def put(
        self,
        origin: StreamOrigin,
        now_s: float,
        *,
        is_own: bool,
        has_begun: bool = False,
    ) -> None:
        """Write a record, unless it is older than the known one of the attempt."""
        known = self._entries.get(origin.request)
        if known is not None and origin.sends < known.origin.sends:
            return
        # Removed first, so that the entry moves to the end.
        self._entries.pop(origin.request, None)
        self._entries[origin.request] = _Entry(origin, now_s, is_own, has_begun)
        self._expire(now_s)

    def get(
        self, request: RequestId, service: ServiceName, now_s: float
    ) -> StreamOrigin | None:
        """Return the record of an attempt at a service, if there is one."""
        entry = self._entries.get(request)
        if entry is None or entry.origin.service != service:
            return None
        return None if now_s - entry.written_s > RETENTION_S else entry.origin

    def is_settled(self, request: RequestId) -> bool:
        """Return whether no other daemon can have a newer record of an attempt."""
        entry = self._entries.get(request)
        return entry is not None and (entry.is_own or entry.has_begun)

    def own(self, service: ServiceName) -> Iterator[StreamOrigin]:
        """Yield the records that this daemon has written for a service."""
        for entry in self._entries.values():
            if entry.is_own and entry.origin.service == service:
                yield entry.origin

    def _expire(self, now_s: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries))
            is_expired = now_s - self._entries[oldest].written_s > RETENTION_S
            if not is_expired and len(self._entries) <= MAX_ORIGINS:
                return
            del self._entries[oldest]
