"""Bodies that share a limited amount of memory."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from chutelink.memory import FREE_BYTES, OWNER_SHARE, MemoryBudget, MemoryLease

LIMIT_BYTES = 1_000_000
BODY_BYTES = 400_000
PART_BYTES = 50_000


async def async_read(lease: MemoryLease, size_bytes: int = BODY_BYTES) -> None:
    """Take the memory of a body in parts, and give it back."""
    try:
        for read_bytes in range(PART_BYTES, size_bytes + 1, PART_BYTES):
            await lease.async_resize(read_bytes)
            await asyncio.sleep(0)
    finally:
        lease.close()


def test_bodies_of_one_sender_do_not_keep_others_waiting():
    async def async_test():
        budget = MemoryBudget(LIMIT_BYTES)
        stuck = [budget.open("bad") for _ in range(20)]
        holding = [
            asyncio.ensure_future(lease.async_resize(PART_BYTES + FREE_BYTES))
            for lease in stuck
        ]
        await asyncio.sleep(0)
        assert not all(task.done() for task in holding)
        for _ in range(5):
            await asyncio.wait_for(async_read(budget.open("good"), 200_000), 1.0)
        for task in holding:
            task.cancel()

    asyncio.run(async_test())


def test_usual_bodies_do_not_wait_when_the_memory_is_used_up():
    async def async_test():
        budget = MemoryBudget(LIMIT_BYTES)
        for owner in "abcd":
            lease = budget.open(owner)
            await lease.async_resize(int(OWNER_SHARE * LIMIT_BYTES) + FREE_BYTES)
        assert budget.used_bytes == LIMIT_BYTES
        await asyncio.wait_for(budget.open("e").async_resize(FREE_BYTES), 1.0)

    asyncio.run(async_test())


def test_lease_that_gave_its_memory_back_is_limited_again():
    """A stream that had once exceeded the budget kept others waiting until its end."""

    async def async_test():
        budget = MemoryBudget(LIMIT_BYTES, owner_share=1.0)
        stream, first, second = (budget.open(owner) for owner in "abc")
        half_bytes = LIMIT_BYTES // 2 + FREE_BYTES
        await first.async_resize(half_bytes)
        await second.async_resize(half_bytes)
        await asyncio.wait_for(stream.async_resize(PART_BYTES), 1.0)
        await stream.async_resize(0)
        waits = [
            asyncio.ensure_future(lease.async_resize(half_bytes + PART_BYTES))
            for lease in (first, second)
        ]
        done, pending = await asyncio.wait(
            waits, timeout=1.0, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in pending:
            wait.cancel()
        assert done

    asyncio.run(async_test())


@given(
    owners=st.lists(st.sampled_from("abcdef"), min_size=1, max_size=40),
    cancelled=st.sets(st.integers(0, 39)),
)
def test_bodies_that_wait_for_each_other_all_end(owners, cancelled):
    """Bodies that each held a part and waited for more would never have ended."""

    async def async_test():
        budget = MemoryBudget(LIMIT_BYTES)
        tasks = [
            asyncio.ensure_future(async_read(budget.open(owner))) for owner in owners
        ]
        await asyncio.sleep(0)
        for number in cancelled & set(range(len(tasks))):
            tasks[number].cancel()
        while not all(task.done() for task in tasks):
            assert budget.used_bytes <= LIMIT_BYTES + BODY_BYTES
            await asyncio.sleep(0)
        assert budget.used_bytes == 0

    asyncio.run(asyncio.wait_for(async_test(), 10.0))
