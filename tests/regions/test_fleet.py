"""Daemons that apply home regions from the configuration row and the settings."""

from __future__ import annotations

import json

from standins.prepared_config import make_config

from ..entry.partitioned_fleet import (
    PartitionKind,
    async_partitioned_fleet,
    run_in_partition_loop,
)
from ..processes.entry_deployment import BASE_PORT, SERVICES
from .test_requests import make_routes

REGIONS = {"zone-a": "south", "zone-n": "north"}
OTHERS = {0: "zone-n", 1: "zone-n", 3: "zone-x"}
"""Failure domains of daemons; all endpoints are in the south."""


def test_partitioned_daemon_has_calls_relayed_in_the_home_region_only(tmp_path):
    """Guards against parts of a daemon that don't know the regions or the homes."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path, 4, REGIONS, OTHERS) as fleet:
            apps = fleet.apps
            assert apps[0].placer.regions is apps[0].regions
            fleet.machines.configure(
                make_config(2, SERVICES, routes=make_routes(["south"]))
            )

            async def async_knows() -> bool:
                return all(app.homes.is_configured for app in apps.values())

            await fleet.async_until(async_knows)
            south = [f"{fleet.address(2)}:{BASE_PORT}"]
            assert apps[0].directory.addresses("zone-x", "a.example") == south
            assert await fleet.async_addresses(1) == south
            query = "/api/resolve?name=a.example&region=north&zone=zone-a"
            url = f"http://{fleet.address(2)}:{BASE_PORT + 2}{query}"
            _, body = await fleet.async_get(url)
            assert len(json.loads(body)["addresses"]) == 2
            fleet.partition(0, PartitionKind.RESET)
            for number in range(10):
                async with fleet.request(0, "/again/x", f"q{number}") as answer:
                    assert answer.status == 200
            peers = [
                number
                for number, app in apps.items()
                for labels, _ in app.metrics.relayed_calls.get_all()
                if labels["role"] == "relay"
            ]
            assert set(peers) == {2}

    run_in_partition_loop(async_test)
