"""Responses that are not read while there is no memory for them."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.learning.health import FAILURES_BEFORE_BACKOFF
from chutelink.memory import FREE_BYTES, MemoryBudget
from standins.endless import EndlessPart

from ..entry.test_unread_responses import async_add_large
from .relay_harness import async_relay_harness
from .test_endless_answers import STREAM, async_add_endless

LIMIT_BYTES = 1024 * 1024


async def async_make_used_up() -> MemoryBudget:
    """Return a budget that is used up, and that another body already exceeds."""
    memory = MemoryBudget(LIMIT_BYTES, owner_share=1.0)
    await memory.open("a").async_resize(LIMIT_BYTES + FREE_BYTES)
    await memory.open("b").async_resize(LIMIT_BYTES)
    return memory


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_wait_for_memory_is_no_failure_of_the_endpoint(path):
    """Sound endpoints got no requests while the daemon did not read their responses."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            server = await async_add_large(harness)
            harness.dispatcher.response_memory = await async_make_used_up()
            for number in range(FAILURES_BEFORE_BACKOFF):
                headers = {"X_Deadline_Ms": "500"}
                async with harness.request(path, f"q{number}", **headers) as answer:
                    assert answer.status == 504
            now_s = harness.core.clock()
            assert harness.state.health.failure_share("i-large", now_s) == 0
            server.close()

    asyncio.run(async_test())


@pytest.mark.parametrize("part", [EndlessPart.CHUNKS, EndlessPart.EVENT])
def test_failed_attempt_holds_no_memory_while_its_request_waits(part):
    """Requests kept the memory of a failed attempt while they waited for another."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            memory = MemoryBudget(16 * LIMIT_BYTES, owner_share=1.0)
            harness.dispatcher.response_memory = memory
            is_stream = part is EndlessPart.EVENT
            path = "/stream/x" if is_stream else "/again/x"
            service = "llm" if is_stream else "plain"
            server = await async_add_endless(harness, part, service)
            used_bytes = []
            acquire = harness.dispatcher.async_acquire

            async def async_acquire(exchange):
                used_bytes.append(memory.used_bytes)
                return await acquire(exchange)

            harness.dispatcher.async_acquire = async_acquire
            headers = STREAM if is_stream else {}
            async with harness.request(path, "q0", **headers) as answer:
                await answer.read()
            assert server.requests
            assert len(used_bytes) > 1
            assert not any(used_bytes)

    asyncio.run(async_test())
