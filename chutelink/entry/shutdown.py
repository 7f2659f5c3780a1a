"""Which requests a daemon that stops still takes. Pure.

What could not end before the grace is over would be cut. It is refused when it is
read, and its caller goes elsewhere at once.
"""

from __future__ import annotations

from .config import Route

STREAM_DURATION_FACTOR = 2.0
"""Mean streams after which nearly all have ended: their lengths vary by half."""
OTHER_DAEMON_RETRY_S = 0.02
"""When to come back: at once, on a connection to another daemon."""


def can_finish(route: Route, left_s: float, stream_s: float) -> bool:
    """Return whether a request most likely ends in the time that is left.

    Parameters
    ----------
    route : Route
        Its route.
    left_s : float
        Time until this daemon cuts what is under way.
    stream_s : float
        How long a stream takes in the mean.
    """
    if not route.is_stream:
        return left_s > (route.timeout_s or route.objective_s)
    return left_s > route.objective_s + STREAM_DURATION_FACTOR * stream_s
