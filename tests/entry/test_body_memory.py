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
ANNOUNCED_HEAD = (
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: a{number}\r\n"
    "X-Deadline-Ms: 3000\r\nContent-Length: {size_bytes}\r\n\r\n"
)


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


def test_announced_bodies_that_do_not_come_take_no_memory():
    """Callers that sent only the heads of requests kept all other bodies out."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limit_bytes = FITTING * (BODY_BYTES - FREE_BYTES)
            harness.http.body_memory = MemoryBudget(limit_bytes, owner_share=1.0)
            await harness.async_add("i-1", "plain")
            host, _, port = harness.url.removeprefix("http://").partition(":")
            writers = []
            for number in range(FITTING):
                _, writer = await asyncio.open_connection(host, int(port))
                head = ANNOUNCED_HEAD.format(number=number, size_bytes=BODY_BYTES)
                writer.write(head.encode())
                writers.append(writer)
            async with asyncio.timeout(5.0):
                while harness.http.in_flight < FITTING:
                    await asyncio.sleep(0.01)
            body = b"a" * BODY_BYTES
            async with harness.request("/once/x", "q0", body) as answer:
                assert answer.status == 200
            for writer in writers:
                writer.close()

    asyncio.run(async_test())
