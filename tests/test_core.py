"""The application object's own life cycle."""

from __future__ import annotations

import asyncio
import os
import signal

from chutelink.core import Application, _async_run
from chutelink.settings import DaemonSection

START_S = 0.3


class SlowStart(Application):
    """Takes some time to start, and is told to stop meanwhile."""

    def __init__(self) -> None:
        daemon = DaemonSection("d", "v", "a", address="127.0.0.1", port=0, peer_key="k")
        super().__init__("test", daemon)
        self.drained_s = 0.0

    async def async_setup_parts(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        self.told_s = self.clock()
        await asyncio.sleep(START_S)

    def add_routes(self, app) -> None:
        pass

    async def async_drain(self) -> None:
        self.drained_s = self.clock()

    def is_ready(self) -> bool:
        return True


def test_the_grace_counts_from_the_signal_and_not_from_the_end_of_the_start():
    """A daemon told to stop while it started was killed with requests under way."""

    async def async_test():
        app = SlowStart()
        assert await _async_run(lambda: app, lambda app: None) == 0
        assert app.drained_s - app.told_s >= START_S
        assert app.drain_requested_s - app.told_s < START_S / 2

    asyncio.run(async_test())
