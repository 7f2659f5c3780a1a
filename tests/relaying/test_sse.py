"""Splitting of event streams."""

from __future__ import annotations

import pytest

from chutelink.relaying.sse import EventSplitter


@pytest.mark.parametrize(("digits", "event_id"), [(15, 10**15 - 1), (5000, None)])
def test_event_id_of_too_many_digits_is_ignored(digits, event_id):
    """Its conversion raised ValueError, which ended the stream."""
    (event,) = EventSplitter().feed(b"id: " + b"9" * digits + b"\ndata: x\n\n")
    assert event.id == event_id
