"""Timeouts that are due only if another attempt may follow."""

from __future__ import annotations

import asyncio
import time

from chutelink.silence.timeout import SilenceTimeout


def test_suspension_of_the_daemon_does_not_count_as_a_silence():
    async def async_test():
        checks = []
        timeout = SilenceTimeout(time.monotonic, lambda since_s: bool(checks.append(1)))
        received = asyncio.Event()
        loop = asyncio.get_running_loop()
        async with timeout:
            with timeout.awaiting(0.05):
                loop.call_later(0.02, received.set)
                loop.call_soon(time.sleep, 0.1)
                await received.wait()
        assert not checks

    asyncio.run(async_test())


def test_slow_caller_does_not_count_as_a_silent_endpoint():
    async def async_test():
        checks = []
        timeout = SilenceTimeout(time.monotonic, lambda since_s: bool(checks.append(1)))
        async with timeout:
            with timeout.awaiting(0.02):
                pass
            await asyncio.sleep(0.1)
        assert not checks and not timeout.has_expired

    asyncio.run(async_test())
