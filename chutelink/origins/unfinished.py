"""Streams that have begun and may still have to be resumed. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..ids import BootId, RequestId, ServiceName
from .const import MAX_RECORDED_STREAMS, MAX_STORED_ID_CHARS, RETENTION_S
from .messages import BegunStreams, StreamOrigin


class _Entry(msgspec.Struct, frozen=True):
    """A stream, and when it was last reported as unfinished."""

    origin: StreamOrigin
    noted_s: float


class UnfinishedStreams:
    """The streams that one daemon process relays, or relayed until they broke.

    The first event of a stream determines its version for good.
    """

    def __init__(self) -> None:
        self._entries: dict[RequestId, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, origin: StreamOrigin, now_s: float) -> None:
        """Add a stream that has brought an event, or goes on after a resumption."""
        if origin.version is None or len(origin.request) > MAX_STORED_ID_CHARS:
            return
        # Removed first, so that the entry moves to the end.
        self._entries.pop(origin.request, None)
        self._entries[origin.request] = _Entry(origin, now_s)
        if len(self._entries) > MAX_RECORDED_STREAMS:
            del self._entries[next(iter(self._entries))]

    def end(self, request: RequestId) -> None:
        """Remove a stream that is complete."""
        self._entries.pop(request, None)

    def replace(self, origins: Iterable[StreamOrigin], now_s: float) -> None:
        """Set the streams to those that the process has."""
        self._entries.clear()
        for origin in origins:
            self.begin(origin, now_s)

    def expire(self, now_s: float) -> None:
        """Remove the streams that can't be resumed any more."""
        while self._entries:
            oldest = next(iter(self._entries))
            if now_s - self._entries[oldest].noted_s <= RETENTION_S:
                return
            del self._entries[oldest]

    def all(self) -> list[StreamOrigin]:
        """Return the streams, the oldest first."""
        return [entry.origin for entry in self._entries.values()]

    def select(self, services: set[ServiceName]) -> dict[RequestId, StreamOrigin]:
        """Return the streams of some services, the oldest first."""
        return {
            request: entry.origin
            for request, entry in self._entries.items()
            if entry.origin.service in services
        }


class StreamRecorder:
    """The streams of all daemon processes that this daemon stores for them."""

    def __init__(self) -> None:
        self._processes: dict[BootId, UnfinishedStreams] = {}
        self.changes = 0
        """Number of times that the streams have changed."""

    def apply(self, message: BegunStreams, now_s: float) -> None:
        """Apply what a daemon process reports."""
        streams = self._processes.setdefault(message.boot_id, UnfinishedStreams())
        before = {origin.request for origin in streams.all()}
        if message.is_full:
            streams.replace(message.begun, now_s)
        else:
            for origin in message.begun:
                streams.begin(origin, now_s)
        for request in message.ended:
            streams.end(request)
        self.changes += {origin.request for origin in streams.all()} != before

    def streams(self, now_s: float) -> list[StreamOrigin]:
        """Return the streams to store, those of each process the newest first."""
        found: list[StreamOrigin] = []
        for boot_id, streams in list(self._processes.items()):
            streams.expire(now_s)
            if not len(streams):
                del self._processes[boot_id]
            found += reversed(streams.all())
        return found[:MAX_RECORDED_STREAMS]
