"""Requests through one daemon while failure domains are evacuated."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import PendingLoad
from chutelink.relaying.upstream import _StrictConnector
from chutelink.watching.table_state import RowChange
from standins.prepared_config import make_config

from .relay_harness import SERVICES, async_relay_harness

STREAM = {"X_Model": "m0", "X_Token_Count": "10,8"}


async def async_add(harness, name, path, zone, model="m0"):
    """Add an endpoint for a path in a failure domain."""
    is_engine = path.startswith("/stream")
    service, models = ("llm", {model: []}) if is_engine else ("plain", {})
    endpoint = await harness.async_add(name, service, models)
    row = endpoint.registration() | {"zone": zone}
    harness.state.apply_row(RowChange(f"endpoints/{name}", row))
    return endpoint


def run(test) -> None:
    async def async_run():
        async with async_relay_harness() as harness:
            harness.configure()
            await test(harness)

    asyncio.run(async_run())


async def async_send(harness, path, **headers):
    headers |= STREAM if path.startswith("/stream") else {}
    async with harness.request(path, **headers) as answer:
        return answer.status, await answer.read()


@pytest.mark.parametrize("path", ["/again/x", "/once/x", "/stream/x"])
def test_evacuation_while_connecting_sends_the_request_elsewhere(path, monkeypatch):
    """Guards against requests that are sent up to a connection's timeout too late.

    Once nothing else is left, they are refused at once.
    """
    async_create = _StrictConnector._create_connection

    async def async_test(harness):
        first = await async_add(harness, "i-1", path, "zone-a")

        async def async_create_and_evacuate(*arguments):
            harness.evacuate("zone-a", {})
            return await async_create(*arguments)

        monkeypatch.setattr(
            _StrictConnector, "_create_connection", async_create_and_evacuate
        )
        other = await async_add(harness, "i-2", path, "zone-b")
        # The daemon is in zone-a, whose endpoints it prefers.
        assert (await async_send(harness, path))[0] == 200
        assert (first.runs, other.runs) == ([], ["q1"])
        assert harness.state.health.is_reachable("i-1", harness.core.clock())
        harness.evacuate("zone-b", {})
        status, body = await async_send(harness, path)
        assert status == 503 and b"not-run" in body and b"evacuated" in body

    run(async_test)


def test_wait_for_a_model_ends_when_its_last_endpoint_is_evacuated():
    """Guards against a wait for a load that nobody can use."""

    async def async_test(harness):
        routes = make_config(2, SERVICES)["routes"]
        for route in routes:
            route |= {"slo_ms": 60_000, "timeout_ms": 90_000}
        harness.configure(2, routes=routes)
        await async_add(harness, "i-1", "/stream/x", "zone-a", "m1")
        loads = [PendingLoad("i-1", "m0", "", 50.0)]
        harness.pending.take(loads, 1, harness.core.clock())
        sent = async_send(harness, "/stream/x", X_Deadline_Ms="90000")
        waiting = asyncio.ensure_future(sent)
        async with asyncio.timeout(5):
            while not harness.loads.waiting[("m0", "")]:
                await asyncio.sleep(0.001)
            harness.evacuate("zone-a", {})
            assert b"evacuated" in (await waiting)[1]

    run(async_test)
