"""A store restored from a backup, with daemons as separate processes."""

from __future__ import annotations

import asyncio

import pytest

from .entry_deployment import CONNECTION_ERRORS, async_entry_deployment

DAEMONS = 3
LOST_VERSIONS = 12
"""Number of lost configurations.

Large enough that the versions assigned after the restore stay below the lost ones.
"""


async def async_statuses(deployment, path: str) -> list[int]:
    statuses = []
    for number in range(DAEMONS):
        try:
            async with deployment.request(number, path, f"{path}-{number}") as answer:
                statuses.append(answer.status)
        except CONNECTION_ERRORS:
            statuses.append(0)
    return statuses


async def async_until_all(deployment, path: str, status: int) -> None:
    async def async_check() -> bool:
        return await async_statuses(deployment, path) == [status] * DAEMONS

    await deployment.async_until(async_check)


async def async_apply_versions_to_lose(deployment) -> None:
    """Apply configurations that the store will lose when it is restored."""
    await deployment.async_control_store("store/copy")
    for version in range(2, 2 + LOST_VERSIONS):
        await deployment.async_configure(version)
    await deployment.async_configure(2 + LOST_VERSIONS, routes=[])
    await async_until_all(deployment, "/again/x", 404)


def run_test(test, tmp_path) -> None:
    async def async_run():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            await test(deployment)

    asyncio.run(async_run())


def test_changes_are_applied_after_store_restore(tmp_path):
    """Daemons used to ignore changes until as many versions were assigned again."""

    async def async_test(deployment):
        await async_apply_versions_to_lose(deployment)
        await deployment.async_control_store("store/restore")
        # The active configuration stays, although the store holds an older one.
        for _ in range(10):
            assert await async_statuses(deployment, "/again/x") == [404] * DAEMONS
        await deployment.async_configure(3 + LOST_VERSIONS)
        await async_until_all(deployment, "/again/x", 200)
        await deployment.async_set_endpoint("i-plain0", state="draining")
        await deployment.async_set_endpoint("i-plain1", state="draining")
        await async_until_all(deployment, "/once/x", 503)

    run_test(async_test, tmp_path)


@pytest.mark.parametrize("is_restored_first", [True, False])
def test_all_daemons_killed_during_store_restore(tmp_path, is_restored_first):
    """No daemon is left that knows the lost configurations."""

    async def async_test(deployment):
        await async_apply_versions_to_lose(deployment)
        for number in range(DAEMONS):
            deployment.processes[f"vm-{number}"].kill()
        restored = asyncio.create_task(deployment.async_control_store("store/restore"))
        if is_restored_first:
            await restored
        for number in range(DAEMONS):
            deployment.start_daemon(number)
        await restored
        await deployment.async_until_all_listed(list(range(DAEMONS)))
        await async_until_all(deployment, "/again/x", 404)
        await deployment.async_configure(3 + LOST_VERSIONS)
        await async_until_all(deployment, "/again/x", 200)
        logs = [deployment.directory / f"vm-{n}.log" for n in range(DAEMONS)]

        async def async_has_placer() -> bool:
            return any("lease_taken" in log.read_text() for log in logs)

        await deployment.async_until(async_has_placer)

    run_test(async_test, tmp_path)
