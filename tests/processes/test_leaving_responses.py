"""An endpoint whose responses announce that it is leaving during a store outage."""

from __future__ import annotations

import asyncio
import itertools

from .entry_deployment import async_entry_deployment

DAEMONS = 3
DRAIN_S = 2.0
FLOOD_S = 1.0
PLAIN = "i-plain0"


async def async_send_for(deployment, duration_s: float, ids) -> None:
    """Send requests to the daemons in turn, one at a time."""
    end_s = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_s:
        number = next(ids)
        request_id = f"q{number}"
        async with deployment.request(
            number % DAEMONS, "/once/x", request_id
        ) as answer:
            await answer.read()
            assert answer.status in (200, 503)
        await asyncio.sleep(0.02)


async def async_count_arrivals(deployment) -> int:
    return len((await deployment.async_endpoints())[PLAIN]["arrived_s"])


def test_endpoint_leaving_during_store_outage_receives_no_requests(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            await deployment.async_set_store_faults(is_out=True)
            await deployment.async_set_endpoint(PLAIN, says_leaving=True)
            ids = itertools.count()
            await async_send_for(deployment, FLOOD_S, ids)
            assert await async_count_arrivals(deployment) >= 1
            await asyncio.sleep(DRAIN_S)
            before = await async_count_arrivals(deployment)
            await async_send_for(deployment, FLOOD_S, ids)
            assert await async_count_arrivals(deployment) == before

    asyncio.run(async_test())
