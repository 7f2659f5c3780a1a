"""An endpoint whose answers say that it leaves while the store is away."""

from __future__ import annotations

import asyncio
import itertools

from .entry_deployment import async_entry_deployment

DAEMONS = 3
DRAIN_S = 2.0
FLOOD_S = 1.0
PLAIN = "i-plain0"


async def async_send_for(deployment, duration_s: float, ids) -> None:
    """Send to all daemons in turn, one request after the other."""
    end_s = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_s:
        number = next(ids)
        name = f"q{number}"
        async with deployment.request(number % DAEMONS, "/once/x", name) as answer:
            await answer.read()
            assert answer.status in (200, 503)
        await asyncio.sleep(0.02)


async def async_arrivals(deployment) -> int:
    return len((await deployment.async_endpoints())[PLAIN]["arrived_s"])


def test_no_daemon_uses_an_endpoint_that_left_while_the_store_was_away(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            await deployment.async_store_faults(is_out=True)
            await deployment.async_endpoint(PLAIN, says_leaving=True)
            ids = itertools.count()
            await async_send_for(deployment, FLOOD_S, ids)
            assert await async_arrivals(deployment) >= 1
            await asyncio.sleep(DRAIN_S)
            before = await async_arrivals(deployment)
            await async_send_for(deployment, FLOOD_S, ids)
            assert await async_arrivals(deployment) == before

    asyncio.run(async_test())
