"""A request that ends its endpoints, sent to one daemon after the other.

The failure that these tests guard against is told in
tests/relaying/test_deadly_requests.py.
Here daemons are processes of their own: what one has seen, the others must know, also
one that is started afterwards.
"""

from __future__ import annotations

import asyncio

from standins.prepared_endpoint import DEADLY

from .entry_deployment import async_entry_deployment

ATTEMPTS = 12
MAX_ENDS = 3
"""What the operators allow before repeats are counted."""
TELL_S = 0.3
"""Between two attempts: daemons on one machine hear of each other in some ms."""


async def async_send(deployment, number: int, name: str) -> int:
    async with deployment.request(number, "/again/x", name, DEADLY) as answer:
        await answer.read()
        return answer.status


async def async_ends(deployment) -> int:
    return sum(e["ends"] for e in (await deployment.async_endpoints()).values())


def test_what_one_daemon_saw_ends_no_endpoint_through_another(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, 3) as deployment:
            for attempt in range(ATTEMPTS):
                await async_send(deployment, attempt % 3, f"bad-{attempt}")
                await asyncio.sleep(TELL_S)
            assert 1 <= await async_ends(deployment) <= MAX_ENDS

    asyncio.run(async_test())


def test_a_daemon_that_was_started_afterwards_knows_it_too(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, 2) as deployment:
            for attempt in range(6):
                await async_send(deployment, attempt % 2, f"bad-{attempt}")
                await asyncio.sleep(TELL_S)
            before = await async_ends(deployment)
            for number in range(2):
                deployment.processes[f"vm-{number}"].kill()
            for number in range(2):
                deployment.start_daemon(number)
            await deployment.async_until_all_listed([0, 1])
            for attempt in range(6, 12):
                await async_send(deployment, attempt % 2, f"bad-{attempt}")
            assert await async_ends(deployment) == before

    asyncio.run(async_test())


def test_daemons_serve_though_the_table_of_holds_can_not_be_read(tmp_path):
    """The store may be away in part; what it holds besides is enough to serve."""

    async def async_test():
        async with async_entry_deployment(tmp_path, 1) as deployment:
            await deployment.async_store_faults(out_tables=["chutelink-quarantine"])
            deployment.processes["vm-0"].kill()
            deployment.start_daemon(0)
            await deployment.async_until_all_listed([0])
            async with deployment.request(0, "/again/x", "good") as answer:
                assert answer.status == 200

    asyncio.run(async_test())
