"""Clocks and timers include the time during which the VM is suspended."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from chutelink import clock
from chutelink.clock import BoottimeLoop
from chutelink.core import Application
from chutelink.settings import DaemonSection, PlatformSection
from chutelink.store.http import PlatformServiceClient

SUSPENDED_S = 30.0
"""Equal to the timeout in the test, which expires only if suspension counts."""


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension of the VM.

    As on a real VM, ``time.monotonic`` does not include the suspension.
    """
    offset_s = [0.0]
    read = time.clock_gettime

    def clock_gettime(clock_id):
        return read(clock_id) + (
            offset_s[0] if clock_id == time.CLOCK_BOOTTIME else 0.0
        )

    monkeypatch.setattr(clock.time, "clock_gettime", clock_gettime)

    def suspend_vm() -> None:
        offset_s[0] += SUSPENDED_S

    return suspend_vm


class Daemon(Application):
    async def async_setup_parts(self):
        pass

    def add_routes(self, app):
        pass

    async def async_drain(self):
        pass

    def is_ready(self):
        return True


def test_application_clock_includes_suspension(suspend):
    async def async_test():
        section = DaemonSection("d", "v", "z", "127.0.0.1", 7000, "key")
        daemon = Daemon("test", section)
        before_s = daemon.clock()
        suspend()
        assert daemon.clock() - before_s >= SUSPENDED_S

    asyncio.run(async_test())


def test_timers_due_during_suspension_fire_immediately(suspend):
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


def test_store_circuit_breaker_clock_includes_suspension(suspend):
    async def async_test():
        async with aiohttp.ClientSession() as session:
            settings = PlatformSection(url="http://127.0.0.1:1", key="none")
            client = PlatformServiceClient(session, settings, "store")
            before_s = client.breaker._clock()
            suspend()
            assert client.breaker._clock() - before_s >= SUSPENDED_S

    asyncio.run(async_test())
