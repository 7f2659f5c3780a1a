"""Evacuations in a fleet of daemons with a store that is restored from a backup."""

from __future__ import annotations

from ..entry.partitioned_fleet import async_partitioned_fleet, run_in_partition_loop

KEY = "evacuate/zone-a"


async def async_until_evacuated(fleet, *domains) -> None:
    async def async_check() -> bool:
        apps = fleet.apps.values()
        return all(app.evacuations.domains == {*domains} for app in apps)

    await fleet.async_until(async_check)


def test_evacuation_outlasts_the_store_that_forgot_it(tmp_path):
    """Guards against requests that reach the domain once its row is lost.

    The daemons are in that failure domain themselves and serve all the time. One that
    starts after the restoration never reads the row.
    """

    async def async_test():
        async with async_partitioned_fleet(tmp_path, daemons=2) as fleet:
            store, other = fleet.machines.store, fleet.machines.endpoints["i-plain1"]
            row = other.registration() | {"zone": "zone-b"}
            other.registration = lambda: row
            fleet.machines.register("i-plain1")
            snapshot = store.snapshot()
            store.put_raw("op", KEY, "!!!")
            await async_until_evacuated(fleet, "zone-a")
            await fleet.machines.async_restore(snapshot)

            async def async_is_restored() -> bool:
                return {app.watch.era for app in fleet.apps.values()} == {store.era}

            await fleet.async_until(async_is_restored)
            await fleet.async_start_app(2)
            await async_until_evacuated(fleet, "zone-a")
            for number in range(6):
                async with fleet.request(number % 3, "/once/x", "q") as answer:
                    assert answer.status == 200
            assert other.runs == ["q"] * 6
            store.remove("op", KEY)
            await async_until_evacuated(fleet)

    run_in_partition_loop(async_test)
