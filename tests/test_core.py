"""Life cycle of the application object."""

from __future__ import annotations

import asyncio
import os
import signal
import time

from chutelink.core import Application, _async_run
from chutelink.settings import DaemonSection
from chutelink.startup import HeldSignals

START_S = 0.3
BUSY_S = 0.6


class SlowStart(Application):
    """An application that receives SIGTERM during a slow startup."""

    def __init__(self) -> None:
        daemon = DaemonSection("d", "v", "a", address="127.0.0.1", port=0, peer_key="k")
        super().__init__("test", daemon)
        self.drained_s = 0.0

    async def async_setup_parts(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        self.signalled_s = self.clock()
        await asyncio.sleep(START_S)

    def add_routes(self, app) -> None:
        pass

    async def async_drain(self) -> None:
        self.drained_s = self.clock()

    def is_ready(self) -> bool:
        return True


def test_grace_period_starts_at_signal_during_startup():
    """A daemon signalled during startup used to be killed with requests in flight."""

    async def async_test():
        app = SlowStart()
        assert await _async_run(lambda: app, lambda app: None, HeldSignals()) == 0
        assert app.drained_s - app.signalled_s >= START_S
        assert app.drain_requested_s - app.signalled_s < START_S / 2

    asyncio.run(async_test())


class BusyLoop(SlowStart):
    """An application that receives SIGTERM while its event loop is busy."""

    async def async_setup_parts(self) -> None:
        asyncio.get_running_loop().call_later(START_S, self._occupy)

    def _occupy(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        self.signalled_s = self.clock()
        time.sleep(BUSY_S)


def test_grace_period_starts_at_signal_while_event_loop_is_busy():
    """It used to start, and so to end, as much later as the loop was busy."""

    async def async_test():
        app = BusyLoop()
        assert await _async_run(lambda: app, lambda app: None, HeldSignals()) == 0
        assert app.drained_s - app.signalled_s >= BUSY_S
        assert app.drain_requested_s - app.signalled_s < BUSY_S / 2

    asyncio.run(async_test())


class ReloadingLoop(BusyLoop):
    """An application that receives SIGHUP as well while its event loop is busy."""

    def _occupy(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        super()._occupy()


def test_signals_that_arrive_together_are_all_handled():
    """Guards against a reload that is lost, or is taken for a stop."""

    async def async_test():
        app, reloaded = ReloadingLoop(), []
        assert await _async_run(lambda: app, reloaded.append, HeldSignals()) == 0
        assert reloaded == [app]
        assert app.drain_requested_s - app.signalled_s < BUSY_S / 2

    asyncio.run(async_test())
