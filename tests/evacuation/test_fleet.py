"""Evacuations in a fleet of daemons with a store that is restored from a backup."""

from __future__ import annotations

from chutelink.watching.table_state import RowChange

from ..entry.partitioned_fleet import (
    PartitionedFleet,
    PartitionKind,
    async_partitioned_fleet,
    run_in_partition_loop,
)

KEY = "evacuate/zone-a"
EVACUATED = ("i-llm0", "i-plain0")


def split_domains(fleet: PartitionedFleet) -> None:
    """Move the second endpoint of each service to another failure domain."""
    for name in ("i-llm1", "i-plain1"):
        endpoint = fleet.machines.endpoints[name]
        row = endpoint.registration() | {"zone": "zone-b"}
        endpoint.registration = lambda row=row: row
        fleet.machines.register(name)


def runs_there(fleet: PartitionedFleet) -> int:
    return sum(len(fleet.machines.endpoints[name].runs) for name in EVACUATED)


async def async_until_evacuated(fleet: PartitionedFleet, *domains: str) -> None:
    async def async_check() -> bool:
        known = {app.evacuations.domains for app in fleet.apps.values()}
        return known == {frozenset(domains)}

    await fleet.async_until(async_check)


async def async_status(fleet, daemon: int, path: str, name: str, **headers) -> int:
    async with fleet.request(daemon, path, name, **headers) as answer:
        await answer.read()
        return answer.status


def test_evacuation_outlasts_the_store_that_forgot_it(tmp_path):
    """Guards against requests that reach the domain once its row is lost.

    The daemons are in that failure domain themselves and serve all the time. A daemon
    that starts after the restoration never reads the row.
    """

    async def async_test():
        async with async_partitioned_fleet(tmp_path, daemons=2) as fleet:
            split_domains(fleet)
            store = fleet.machines.store
            snapshot = store.snapshot()
            store.put("op", KEY, {})
            await async_until_evacuated(fleet, "zone-a")
            ran = runs_there(fleet)
            await fleet.machines.async_restore(snapshot)

            async def async_is_restored() -> bool:
                return {app.watch.era for app in fleet.apps.values()} == {store.era}

            await fleet.async_until(async_is_restored)
            await fleet.async_start_app(2)
            await async_until_evacuated(fleet, "zone-a")
            for number in range(9):
                name = f"q{number}"
                assert await async_status(fleet, number % 2, "/once/x", name) == 200
            assert runs_there(fleet) == ran
            store.remove("op", KEY)
            await async_until_evacuated(fleet)

    run_in_partition_loop(async_test)


def test_model_of_the_evacuated_domain_is_loaded_elsewhere(tmp_path):
    """Guards against requests for it that are refused until the domain is back."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path, daemons=1) as fleet:
            split_domains(fleet)
            fleet.machines.store.put_raw("op", KEY, "!!!")
            await async_until_evacuated(fleet, "zone-a")
            ran, number = runs_there(fleet), 0

            async def async_is_served() -> bool:
                nonlocal number
                number += 1
                headers = {"X_Model": "m0", "X_Token_Count": "10,5"}
                name = f"q{number}"
                return await async_status(fleet, 0, "/stream/x", name, **headers) == 200

            await fleet.async_until(async_is_served)
            assert runs_there(fleet) == ran
            assert "m0" in fleet.machines.endpoints["i-llm0"].models

    run_in_partition_loop(async_test)


def test_peer_that_knows_of_an_evacuation_relays_no_call(tmp_path):
    """Guards against a partitioned daemon that doesn't know of the evacuation."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path, daemons=2) as fleet:
            fleet.partition(0, PartitionKind.RESET)
            assert await async_status(fleet, 0, "/again/x", "q1") == 200
            fleet.apps[1].evacuations.apply_row("zone-a", RowChange("k", {}))
            assert not fleet.apps[0].evacuations.has_any
            assert await async_status(fleet, 0, "/once/x", "q2") == 503
            endpoints = fleet.machines.endpoints.values()
            assert not any("q2" in endpoint.runs for endpoint in endpoints)

    run_in_partition_loop(async_test)
