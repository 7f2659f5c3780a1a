"""Split a stream of server-sent events into whole events with their ids."""

from __future__ import annotations

import re

import msgspec

MAX_EVENT_BYTES = 1024 * 1024
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?m)^id: ?(\d+)\r?$")


class StreamEvent(msgspec.Struct, frozen=True):
    """One event, with its bytes as they arrived; ``id`` may be absent."""

    id: int | None
    data: bytes


class EventSplitter:
    """Cuts chunks of bytes at the ends of events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are whole now.

        Raises
        ------
        ValueError
            An event is larger than any can be.
        """
        self._rest += chunk
        events = []
        while (end := _END.search(self._rest)) is not None:
            data = self._rest[: end.end()]
            self._rest = self._rest[end.end() :]
            found = _ID.search(data)
            events.append(StreamEvent(int(found[1]) if found else None, data))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return events
