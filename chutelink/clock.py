"""The clock with which daemons measure time.

A VM may be suspended for seconds. ``time.monotonic`` does not count that time, so that
leases, deadlines and the age of cached data would be off by as much. This clock counts
it, and is not affected by changes of the wall clock.
"""

from __future__ import annotations

import asyncio
import time


def now_s() -> float:
    """Return seconds since the VM booted, including time while it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers use the same clock, so that suspensions count.

    Timers that became due during a suspension run right after it, except that the
    selector may first wait for the rest of its timeout. Daemons have a timer every few
    ms, which keeps this short.
    """

    def time(self) -> float:
        """Return the event loop's time in seconds."""
        return now_s()
