"""Split a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from ..responses import ResponseTooLarge

MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 3
"""Part of an event's end that may be at the end of the buffer."""
_DATA_FIELD = re.compile(rb"(?:\A|[\r\n])data\b")
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?(\d{1,15})(?=[\r\n])")


class StreamEvent(msgspec.Struct, frozen=True):
    """An event with its raw bytes; ``id`` is None where the event has none."""

    id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has neither an id nor data, as comments that keep it alive."""
        return self.id is None and _DATA_FIELD.search(self.data) is None


class EventSplitter:
    """Splits received chunks at event boundaries."""

    def __init__(self) -> None:
        self._buffer = b""
        self._searched = 0
        """Number of buffered bytes in which no event ends."""

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that this chunk completes, each split as it is taken.

        All of them have to be taken before the next chunk is fed.

        Raises
        ------
        ResponseTooLarge
            An event exceeds MAX_EVENT_BYTES.
        """
        buffer, searched = self._buffer + chunk, self._searched
        self._buffer = b""
        start = 0
        while (end := _EVENT_END.search(buffer, searched)) is not None:
            data = buffer[start : end.end()]
            start = searched = end.end()
            found = _EVENT_ID.search(data)
            yield StreamEvent(int(found[1]) if found else None, data)
        if len(buffer) - start > MAX_EVENT_BYTES:
            # The traceback of the error may keep it until the next garbage collection.
            del buffer
            raise ResponseTooLarge(f"event has more than {MAX_EVENT_BYTES} bytes")
        self._buffer = buffer[start:]
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES)
