"""Helpers that check event rates over sliding windows."""

from __future__ import annotations

from collections.abc import Iterable

LIMIT_WINDOW_S = 4.0
"""The window in which operators count requests against a limit."""


def max_events_in_window(times_s: Iterable[float], window_s: float) -> int:
    """Return the largest number of events in any sliding window."""
    ordered = sorted(times_s)
    first = most = 0
    for last, time_s in enumerate(ordered):
        while time_s - ordered[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def max_requests_in_window(limit_per_s: float) -> float:
    """Return how many requests an endpoint with a limit may receive in a window."""
    return 1.5 * limit_per_s * LIMIT_WINDOW_S + 5
