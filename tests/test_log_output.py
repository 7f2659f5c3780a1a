"""Logging never blocks on the reader, and reports how many lines were dropped."""

from __future__ import annotations

import os

import logbook

from chutelink.log import MAX_BUFFERED_BYTES, EventLog, NonBlockingHandler


def test_unread_pipe_does_not_block_logging():
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer, logbook.DEBUG, "{record.message}")
    log = EventLog("test")
    with handler:
        for number in range(20_000):
            log.record(f"event-{number % 500}", text="x" * 40)
    assert handler.dropped > 0
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    assert 0 < len(data) <= 1 << 20
    with handler:
        log.record("after")
    output = os.read(reader, MAX_BUFFERED_BYTES * 2)
    with handler:
        log.record("last")
    output += os.read(reader, MAX_BUFFERED_BYTES * 2)
    assert b"event=log_lines_dropped" in output
    os.close(reader)
    os.close(writer)


def test_closed_reader_does_not_raise():
    reader, writer = os.pipe()
    handler = NonBlockingHandler(writer, logbook.DEBUG, "{record.message}")
    os.close(reader)
    with handler:
        EventLog("test").record("event")
    os.close(writer)
