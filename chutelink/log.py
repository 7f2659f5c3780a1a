"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

import logbook

from .clock import now_s

REPEAT_PERIOD_S = 10.0
REPEAT_LIMIT = 20
RECORD_LIMIT = 2000
"""Limit for events of which every occurrence matters, such as failed requests."""
MAX_BUFFERED_BYTES = 64 * 1024
"""Size of the buffer for a slow reader; if it is full, lines are only counted."""
_MAX_TRACKED_EVENTS = 512


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(c in text for c in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return ``event=NAME key=value ...`` on one line."""
    pairs = [f"event={_format_value(event)}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


class EventLog:
    """Logs events and limits the repetitions of the same event.

    Parameters
    ----------
    name : str
        Channel name, usually the name of the program.
    clock : callable, default=now_s
        Monotonic clock in seconds.
    """

    def __init__(self, name: str, *, clock: Callable[[], float] = now_s) -> None:
        self._logger = logbook.Logger(name)
        self._clock = clock
        self._seen: dict[str, tuple[float, int]] = {}

    def debug(self, event: str, **fields: object) -> None:
        """Log at debug level."""
        self._emit(logbook.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log at info level."""
        self._emit(logbook.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log at warning level."""
        self._emit(logbook.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log at error level."""
        self._emit(logbook.ERROR, event, fields)

    def record(self, event: str, **fields: object) -> None:
        """Log an event of which every occurrence matters, up to ``RECORD_LIMIT``.

        The level is warning if there is an ``error`` field, otherwise info.
        """
        level = logbook.WARNING if "error" in fields else logbook.INFO
        self._emit(level, event, fields, RECORD_LIMIT)

    def _emit(
        self,
        level: int,
        event: str,
        fields: dict[str, object],
        limit: int = REPEAT_LIMIT,
    ) -> None:
        suppressed = self._count_suppressed(event, limit)
        if suppressed is None:
            return
        if suppressed:
            fields = {**fields, "suppressed": suppressed}
        self._logger.log(level, "{}", format_event(event, fields))

    def _count_suppressed(self, event: str, limit: int) -> int | None:
        """Return how many repeats were suppressed, or None to suppress this one."""
        now_s = self._clock()
        start_s, count = self._seen.get(event, (now_s, 0))
        if now_s - start_s < REPEAT_PERIOD_S:
            self._seen[event] = (start_s, count + 1)
            return None if count >= limit else 0
        if len(self._seen) >= _MAX_TRACKED_EVENTS:
            self._seen.clear()
        self._seen[event] = (now_s, 1)
        return max(0, count - limit)


class NonBlockingHandler(logbook.Handler):
    """Writes lines to a file descriptor without blocking on a slow reader.

    Parameters
    ----------
    fd : int
        Target file descriptor, which is set to non-blocking.
    level : int
        Lowest level that is written.
    format_string : str
        Format of a record, for ``logbook.StringFormatter``.
    """

    def __init__(self, fd: int, level: int, format_string: str) -> None:
        super().__init__(level=level)
        self.formatter = logbook.StringFormatter(format_string)
        self._fd = fd
        self._buffer = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write or buffer a line; drop and count it if the buffer is full."""
        line = self.format(record).encode(errors="replace") + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        try:
            while self._buffer:
                written = os.write(self._fd, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the lines can't be delivered.
            self._buffer.clear()
            return
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self._buffer += f"event=log_lines_dropped count={dropped}\n".encode()


def setup_logging(level_name: str) -> None:
    """Send log lines at or above the level to standard output."""
    handler = NonBlockingHandler(
        sys.stdout.fileno(),
        logbook.lookup_level(level_name.upper()),
        "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
        "channel={record.channel} {record.message}",
    )
    handler.push_application()
