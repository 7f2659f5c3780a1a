"""Decides which requests a daemon still accepts while it shuts down.

A request that can't finish within the grace period would be cut off. It is refused as
soon as it is read, so that its caller can retry with another daemon at once.
"""

from __future__ import annotations

from .config import Route

STREAM_DURATION_FACTOR = 2.0
"""Multiple of the mean duration within which nearly all streams finish.

Durations vary by about half of the mean.
"""
OTHER_DAEMON_RETRY_S = 0.02
"""Retry delay for callers that can reconnect to another daemon immediately."""


def can_finish(route: Route, left_s: float, stream_s: float) -> bool:
    """Return whether a request will most likely finish in the remaining time.

    Parameters
    ----------
    route : Route
        Route of the request.
    left_s : float
        Time until this daemon cuts off requests in flight.
    stream_s : float
        Mean duration of a stream.
    """
    if not route.is_stream:
        return left_s > (route.timeout_s or route.objective_s)
    return left_s > route.objective_s + STREAM_DURATION_FACTOR * stream_s


def can_finish_sent(route: Route, left_s: float, stream_s: float) -> bool:
    """Return whether a request that is sent now will most likely finish in time.

    A stream may have waited for its model for longer than its objective. The time that
    other requests take at most was checked when they were accepted.
    """
    return not route.is_stream or left_s > STREAM_DURATION_FACTOR * stream_s
