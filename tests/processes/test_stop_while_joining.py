"""A daemon that is stopped before it has read a configuration exits."""

from __future__ import annotations

import asyncio

import pytest

from .deployment import async_deploy
from .entry_deployment import EntryDeployment

EXIT_TIMEOUT_S = 20.0


async def async_stop_once_started(process) -> int:
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        while not process.has_started:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.05)
    process.terminate()
    return await process.async_wait(EXIT_TIMEOUT_S)


@pytest.mark.parametrize("role", ["gateway", "director"])
def test_daemon_without_configuration_exits(tmp_path, role):
    """Guards against a join loop that spins forever while the daemon stops."""

    async def async_test():
        async with async_deploy(tmp_path) as deployment:
            start = getattr(deployment, f"start_{role}")
            assert await async_stop_once_started(start(1)) == 0

    asyncio.run(async_test())


def test_entry_daemon_without_store_exits(tmp_path):
    """Guards against the same loop of the entry daemon."""

    async def async_test():
        process = EntryDeployment(tmp_path).start_daemon(0)
        try:
            assert await async_stop_once_started(process) == 0
        finally:
            process.kill()

    asyncio.run(async_test())
