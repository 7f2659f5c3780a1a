"""Endpoints that are upgraded one after the other while streams break."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standins.prepared_endpoint import EndpointFaults

from .relay_harness import async_relay_harness

UPGRADES = 4
STREAM = {"X_Model": "m0", "X_Token_Count": "10,8"}


@pytest.mark.parametrize("notice", ["registration", "response"])
def test_announced_departure_is_not_counted_as_a_crash(notice):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})
            for number in range(UPGRADES):
                endpoint.faults = EndpointFaults(cut_after_events=2, cuts=9)
                with pytest.raises(aiohttp.ClientPayloadError):
                    async with harness.request(
                        "/stream/x", f"q{number}", **STREAM
                    ) as answer:
                        await answer.read()
                if notice == "registration":
                    endpoint.change_state("draining")
                    harness.register(endpoint)
                else:
                    born_ms = endpoint.born_ms or 0
                    harness.state.endpoints.note_leaving("i-1", born_ms)
                await asyncio.sleep(0.002)
                endpoint.upgrade(f"v{number}")
                endpoint.models = {"m0": []}
                harness.register(endpoint)
            endpoint.faults = EndpointFaults()
            assert len(harness.quarantine.table) == 0
            async with harness.request("/stream/x", "last", **STREAM) as answer:
                assert answer.status == 200

    asyncio.run(async_test())
