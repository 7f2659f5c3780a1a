"""The one clock by which daemons measure time.

A VM may be suspended for seconds, which ``time.monotonic`` does not count: a lease, a
deadline or the age of what was read would outlast their time by as much. This clock
counts it, and no change of the time of day moves it.
"""

from __future__ import annotations

import asyncio
import time


def now_s() -> float:
    """Return seconds since the VM's start, those of suspensions among them."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Timers by the same clock: those that are due run first after a suspension.

    The wait for the earliest timer may last on for what was left of it; daemons have
    one every few ms.
    """

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return now_s()
