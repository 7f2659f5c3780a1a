"""Time that a VM is suspended counts."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from chutelink import clock
from chutelink.clock import BoottimeLoop
from chutelink.core import Application
from chutelink.settings import DaemonSection, PlatformSection
from chutelink.store.http import HttpCaller

SUSPENDED_S = 30.0
"""As long as a timer of the test, so that it would not end without it."""


@pytest.fixture
def suspend(monkeypatch):
    """Return a call after which the VM has been suspended for a while.

    ``time.monotonic`` does not count it, as on a real VM.
    """
    offset_s = [0.0]
    read = time.clock_gettime

    def gettime(which):
        return read(which) + (offset_s[0] if which == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(clock.time, "clock_gettime", gettime)

    def do() -> None:
        offset_s[0] += SUSPENDED_S

    return do


class Daemon(Application):
    async def async_setup_parts(self):
        pass

    def add_routes(self, app):
        pass

    async def async_drain(self):
        pass

    def is_ready(self):
        return True


def test_daemons_count_the_time_of_a_suspension(suspend):
    async def async_test():
        section = DaemonSection("d", "v", "z", "127.0.0.1", 7000, "key")
        daemon = Daemon("test", section)
        before_s = daemon.clock()
        suspend()
        assert daemon.clock() - before_s >= SUSPENDED_S

    asyncio.run(async_test())


def test_timers_that_were_due_in_a_suspension_end_at_once(suspend):
    async def async_test():
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, suspend)
        started_s = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENDED_S):
                while True:
                    await asyncio.sleep(0.005)
        assert time.monotonic() - started_s < SUSPENDED_S / 2

    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        runner.run(async_test())


def test_the_stores_breaker_counts_it_too(suspend):
    async def async_test():
        async with aiohttp.ClientSession() as session:
            settings = PlatformSection(url="http://127.0.0.1:1", key="none")
            caller = HttpCaller(session, settings, "store")
            before_s = caller.breaker._clock()
            suspend()
            assert caller.breaker._clock() - before_s >= SUSPENDED_S

    asyncio.run(async_test())
