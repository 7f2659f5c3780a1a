"""Memory of responses is given back however a request ends."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from chutelink.memory import MemoryBudget
from standins.endless import EndlessPart
from standins.prepared_endpoint import EndpointFaults

from .relay_harness import async_relay_harness
from .test_endless_answers import STREAM, async_add_endless

LIMIT_BYTES = 4 * 1024 * 1024


async def async_end(harness, path: str, headers: dict[str, str]) -> None:
    """Send a request, and leave after at most 0.3 s."""
    try:
        async with (
            asyncio.timeout(0.3),
            harness.request(path, "q0", **headers) as answer,
        ):
            await answer.read()
    except (TimeoutError, aiohttp.ClientError):
        pass


async def async_until_idle(harness) -> None:
    async with asyncio.timeout(10.0):
        while harness.http.in_flight:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/once/x", {}),
        ("/again/x", {}),
        ("/stream/x", STREAM),
        ("/once/x", {"X_Deadline_Ms": "100"}),
    ],
)
@pytest.mark.parametrize("part", [None, EndlessPart.CHUNKS, EndlessPart.EVENT])
def test_memory_of_responses_is_given_back(path, headers, part):
    """Guards against leaks that would make all responses wait in the end."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            memory = MemoryBudget(LIMIT_BYTES)
            harness.dispatcher.response_memory = memory
            await harness.async_add("i-1", "plain")
            engine = await harness.async_add("i-2", "llm", {"m0": []})
            engine.faults = EndpointFaults(cut_after_events=2)
            if part is not None:
                service = "llm" if path == "/stream/x" else "plain"
                await async_add_endless(harness, part, service)
            await asyncio.gather(
                *(async_end(harness, path, headers) for _ in range(20))
            )
            await async_until_idle(harness)
            assert memory.used_bytes == 0

    asyncio.run(async_test())
