"""Calls that a peer relays while it stops; each caller gets an honest answer."""

from __future__ import annotations

import asyncio

import pytest

from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointFaults

from ..entry.partitioned_fleet import (
    PartitionedFleet,
    async_partitioned_fleet,
    run_in_partition_loop,
)
from ..processes.entry_deployment import SERVICES
from .test_relay import async_partition, runs_of

ELAPSED_S = 6.5
"""Part of the grace period, 8 s, that has passed when the peer starts to drain."""
CONFIG_APPLY_S = 2.0
UNTIL_SENT_S = 0.4
WORK_S = 3.0
STREAM_EVENTS = 100
TIME_LIMIT_MS = 15_000


async def async_stop_relaying_peer(fleet: PartitionedFleet) -> None:
    """Stop the daemon that relays a call, near the end of its grace period."""
    [app] = [a for a in fleet.apps.values() if a.callers._relay_handler._in_flight]
    app.request_drain(app.clock() - ELAPSED_S)
    app.is_draining = True
    await app.async_drain()
    await app.stop()


async def async_call(fleet: PartitionedFleet, path: str) -> tuple[int, str, int]:
    """Return the status, the outcome and the number of events of a call."""
    headers = {"X_Deadline_Ms": str(TIME_LIMIT_MS)}
    if path == "/stream/x":
        headers |= {"X_Model": "m0", "X_Token_Count": f"10,{STREAM_EVENTS}"}
    async with fleet.request(0, path, "q1", **headers) as answer:
        body = await answer.read()
    outcome = answer.headers.get("Chutelink-Outcome", "")
    return answer.status, outcome, body.count(b"id: ")


@pytest.mark.parametrize(
    ("path", "expected", "runs"),
    [
        ("/once/x", (502, "unknown", 0), 1),
        ("/again/x", (200, "", 0), 2),
        ("/stream/x", (200, "", STREAM_EVENTS), 2),
    ],
)
def test_call_relayed_by_a_peer_that_stops(tmp_path, path, expected, runs):
    """Guards against cut streams, and against calls repeated though not idempotent."""

    async def async_test():
        async with async_partitioned_fleet(tmp_path) as fleet:
            config = make_config(2, SERVICES)
            for route in config["routes"]:
                route["timeout_ms"] = TIME_LIMIT_MS
            fleet.machines.configure(config)
            await asyncio.sleep(CONFIG_APPLY_S)
            await async_partition(fleet, [0])
            work_s = 0.0 if path == "/stream/x" else WORK_S
            for endpoint in fleet.machines.endpoints.values():
                endpoint.faults = EndpointFaults(
                    work_s=work_s, event_interval_s=WORK_S / STREAM_EVENTS
                )
            task = asyncio.ensure_future(async_call(fleet, path))
            await asyncio.sleep(UNTIL_SENT_S)
            await async_stop_relaying_peer(fleet)
            assert await task == expected
            assert runs_of(fleet, "q1") == runs
            assert not any(len(a.quarantine.table) for a in fleet.apps.values())

    run_in_partition_loop(async_test)
