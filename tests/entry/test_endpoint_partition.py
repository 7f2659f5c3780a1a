"""Daemons that are partitioned from all endpoints, but not from each other."""

from __future__ import annotations

import asyncio

import pytest

from .partitioned_fleet import (
    PartitionedFleet,
    PartitionKind,
    async_partitioned_fleet,
    run_in_partition_loop,
)

CONTACT_S = 3.0
"""Time after which a partitioned daemon must serve about as well as the others."""
MIN_SERVED_SHARE = 2 / 3
"""Share of the other daemons' service that the operators demand of it."""
ROUNDS = 8
PATHS = ("/again/x", "/once/x", "/once/y", "/stream/x")
STREAM_HEADERS = {"X_Model": "m0", "X_Token_Count": "10,5"}


async def async_send(
    fleet: PartitionedFleet, daemon: int, path: str, name: str
) -> bool:
    """Return whether a request is served at its first attempt."""
    headers = STREAM_HEADERS if path.startswith("/stream") else {}
    async with fleet.request(daemon, path, name, **headers) as answer:
        body = await answer.read()
    if path.startswith("/stream"):
        return answer.status == 200 and b"id: 5" in body
    return answer.status == 200 and body == b"done body"


async def async_served(
    fleet: PartitionedFleet, daemon: int, label: str, paths: tuple[str, ...] = PATHS
) -> int:
    """Return how many requests a daemon serves, of several to each path."""
    served = 0
    for number in range(ROUNDS):
        results = await asyncio.gather(
            *(
                async_send(fleet, daemon, path, f"{label}-{daemon}-{number}-{path[1:]}")
                for path in paths
            )
        )
        served += sum(results)
    return served


async def async_keep_sending(fleet: PartitionedFleet, daemon: int) -> None:
    """Send requests to a daemon, one round after the other."""
    number = 0
    while True:
        number += 1
        await async_served(fleet, daemon, f"load{number}")


async def async_partition_for(
    fleet: PartitionedFleet, daemon: int, kind: PartitionKind
) -> None:
    """Partition a daemon that gets requests, and wait until it must have adapted."""
    load = asyncio.ensure_future(async_keep_sending(fleet, daemon))
    await asyncio.sleep(0.3)
    fleet.partition(daemon, kind)
    await asyncio.sleep(CONTACT_S)
    load.cancel()


@pytest.mark.parametrize("kind", list(PartitionKind), ids=lambda kind: kind.value)
def test_partitioned_daemon_serves_requests_through_its_peers(tmp_path, kind):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            cut = next(n for n in fleet.apps if n != fleet.placer())
            other = next(n for n in fleet.apps if n != cut)
            await async_partition_for(fleet, cut, kind)
            served = await async_served(fleet, cut, "cut")
            served_elsewhere = await async_served(fleet, other, "other")
            assert served_elsewhere > 0
            assert served >= MIN_SERVED_SHARE * served_elsewhere

    run_in_partition_loop(async_test)


def test_partitioned_placer_does_not_unlist_models_elsewhere(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            placer = fleet.placer()
            other = next(n for n in fleet.apps if n != placer)
            before = await async_served(fleet, other, "before")
            await async_partition_for(fleet, placer, PartitionKind.RESET)
            assert (
                await async_served(fleet, other, "after") >= MIN_SERVED_SHARE * before
            )
            rows = fleet.apps[other].known.endpoints.rows
            assert all(rows[name].models for name in ("i-llm0", "i-llm1"))

    run_in_partition_loop(async_test)


def test_partition_is_not_counted_as_endpoint_crash(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            cut = next(n for n in fleet.apps if n != fleet.placer())
            headers = {"X_Model": "m0", "X_Token_Count": "10,400"}
            async with fleet.request(cut, "/stream/x", "long", **headers) as answer:
                assert b"id: 1" in await answer.content.readany()
                await async_partition_for(fleet, cut, PartitionKind.RESET)
            suspects = {n: len(app.quarantine.table) for n, app in fleet.apps.items()}
            assert not any(suspects.values()), suspects

    run_in_partition_loop(async_test)


def test_partition_that_ends_while_it_is_checked_is_not_counted_as_crash(tmp_path):
    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            cut = next(n for n in fleet.apps if n != fleet.placer())
            monitor = fleet.apps[cut].partition
            async_check = monitor.async_check

            async def async_heal_and_check(address: str) -> bool:
                fleet.loop.partitions.pop(cut, None)
                return await async_check(address)

            monitor.async_check = async_heal_and_check
            monitor.note_failure = lambda address: None
            headers = {"X_Model": "m0", "X_Token_Count": "10,400"}
            async with fleet.request(cut, "/stream/x", "long", **headers) as answer:
                assert b"id: 1" in await answer.content.readany()
                fleet.partition(cut, PartitionKind.RESET)
                await asyncio.sleep(1.0)
            suspects = {n: len(app.quarantine.table) for n, app in fleet.apps.items()}
            assert not any(suspects.values()), suspects

    run_in_partition_loop(async_test)
