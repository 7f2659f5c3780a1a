"""Signals that a daemon receives while it starts."""

from __future__ import annotations

import asyncio
import signal

import pytest

from .entry_deployment import BASE_PORT, async_entry_deployment
from .shutdown_sweep import ClientConnection
from .test_shutdown import make_entry_request

ANSWER_TIMEOUT_S = 10.0


async def async_open_connection(host: str) -> ClientConnection:
    """Connect as soon as the daemon listens, which is long before it has started."""
    while True:
        try:
            return await ClientConnection.async_open(host, BASE_PORT)
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_start_does_not_reset_connections(tmp_path, number):
    """Both signals used to end the process."""

    async def async_test():
        async with async_entry_deployment(tmp_path, 2) as deployment:
            daemon = deployment.processes["vm-0"]
            daemon.terminate()
            await daemon.async_wait()
            daemon = deployment.start_daemon(0)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                connection = await async_open_connection(deployment.address(0))
                await connection.async_send(make_entry_request("q1"))
                assert not daemon.has_started
                daemon.send(number)
                assert await connection.async_status() in (200, 503)
            connection.close()
            if number == signal.SIGHUP:
                assert daemon.is_running
                daemon.terminate()
            assert await daemon.async_wait() == 0

    asyncio.run(async_test())
