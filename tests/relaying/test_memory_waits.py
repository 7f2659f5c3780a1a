"""Responses that are not read while there is no memory for them."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.learning.health import FAILURES_BEFORE_BACKOFF
from chutelink.memory import FREE_BYTES, MemoryBudget

from ..entry.test_unread_responses import async_add_large
from .relay_harness import async_relay_harness

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
