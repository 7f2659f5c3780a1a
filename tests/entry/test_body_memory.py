"""Memory of request bodies is limited over all requests."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.memory import FREE_BYTES, MemoryBudget
from standins.prepared_endpoint import EndpointFaults

from ..relaying.relay_harness import async_relay_harness

BODY_BYTES = 90_000
CALLERS = 20
FITTING = 5


async def async_stream_body(body: bytes):
    yield body


@pytest.mark.parametrize("has_length", [True, False])
def test_requests_whose_bodies_do_not_fit_into_the_memory_are_refused(has_length):
    """Each body was limited, but not their sum."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            charged_bytes = BODY_BYTES - FREE_BYTES
            memory = MemoryBudget(FITTING * charged_bytes, owner_share=1.0)
            harness.http.body_memory = memory
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = EndpointFaults(work_s=0.5)
            body = b"a" * BODY_BYTES

            async def async_status(number: int) -> int:
                sent = body if has_length else async_stream_body(body)
                async with harness.request("/once/x", f"q{number}", sent) as answer:
                    if answer.status == 503:
                        assert answer.headers["Chutelink-Outcome"] == "not-run"
                    return answer.status

            tasks = [async_status(number) for number in range(CALLERS)]
            statuses = await asyncio.gather(*tasks)
            assert sorted(statuses) == [200] * FITTING + [503] * (CALLERS - FITTING)
            assert len(endpoint.runs) == FITTING
            assert await async_status(CALLERS) == 200
            assert memory.used_bytes == 0

    asyncio.run(async_test())
