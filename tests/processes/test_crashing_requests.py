"""A request that crashes endpoints, sent to each daemon in turn.

Each daemon on its own would let such a request crash further endpoints. The daemons
run as separate processes here, and must share what one of them has observed, also
with a daemon that starts later. The tests of crashing requests in tests/relaying
describe the underlying failure.
"""

from __future__ import annotations

import asyncio

from standins.prepared_endpoint import CRASH_BODY, CRASH_PARTS

from .entry_deployment import async_entry_deployment

ATTEMPTS = 12
MAX_CRASHES = 3
"""Crashes that operators allow before repeats are counted."""
MAX_PART_CRASHES = 5 + 3
"""Crashes that operators allow for a part of a prompt, repeats included."""
PART_ATTEMPTS = 16
PROPAGATION_S = 0.3
"""Pause between attempts; daemons on one machine inform each other within ms."""

SAVED_WITHIN_S = 1.0


async def async_send(deployment, number: int, request_id: str) -> int:
    async with deployment.request(number, "/again/x", request_id, CRASH_BODY) as answer:
        await answer.read()
        return answer.status


async def async_count_crashes(deployment) -> int:
    return sum(e["ends"] for e in (await deployment.async_endpoints()).values())


def test_daemons_share_observed_crashes(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, 3) as deployment:
            for attempt in range(ATTEMPTS):
                await async_send(deployment, attempt % 3, f"bad-{attempt}")
                await asyncio.sleep(PROPAGATION_S)
            assert 1 <= await async_count_crashes(deployment) <= MAX_CRASHES

    asyncio.run(async_test())


def test_restarted_daemons_know_earlier_crashes(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, 2) as deployment:
            for attempt in range(6):
                await async_send(deployment, attempt % 2, f"bad-{attempt}")
                await asyncio.sleep(PROPAGATION_S)
            before = await async_count_crashes(deployment)
            for number in range(2):
                deployment.processes[f"vm-{number}"].kill()
            for number in range(2):
                deployment.start_daemon(number)
            await deployment.async_until_all_listed([0, 1])
            for attempt in range(6, 12):
                await async_send(deployment, attempt % 2, f"bad-{attempt}")
            assert await async_count_crashes(deployment) == before

    asyncio.run(async_test())


def test_crashes_are_counted_across_repeated_losses_of_all_daemons(tmp_path):
    """Each new fleet counted from 0, as only held requests were stored."""

    async def async_test():
        async with async_entry_deployment(tmp_path, 2) as deployment:
            for attempt in range(4):
                await async_send(deployment, attempt % 2, f"bad-{attempt}")
                await asyncio.sleep(SAVED_WITHIN_S)
                for number in range(2):
                    deployment.processes[f"vm-{number}"].kill()
                for number in range(2):
                    deployment.start_daemon(number)
                await deployment.async_until_all_listed([0, 1])
            assert 1 <= await async_count_crashes(deployment) <= 2 * MAX_CRASHES

    asyncio.run(async_test())


async def async_send_with_part(deployment, number: int, request_id: str) -> None:
    """Send a request of its own content, with a part that crashes endpoints."""
    part = min(CRASH_PARTS)
    headers = {
        "X_Model": f"m{number % 4}",
        "X_Token_Count": "900,8",
        "X_Prompt_Prefix": f"first:800,{part}:50,{request_id}:50",
    }
    body = request_id.encode()
    async with deployment.request(
        number % 3, "/stream/x", request_id, body, **headers
    ) as answer:
        await answer.read()


def test_daemons_share_crashing_prompt_parts_across_restarts(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, 3) as deployment:
            for number in range(PART_ATTEMPTS):
                await async_send_with_part(deployment, number, f"bad-{number}")
                await asyncio.sleep(PROPAGATION_S)
            before = await async_count_crashes(deployment)
            for number in range(3):
                deployment.processes[f"vm-{number}"].kill()
            for number in range(3):
                deployment.start_daemon(number)
            await deployment.async_until_all_listed([0, 1, 2])
            for number in range(PART_ATTEMPTS):
                await async_send_with_part(deployment, number, f"again-{number}")
            assert 1 <= before <= MAX_PART_CRASHES
            assert await async_count_crashes(deployment) == before

    asyncio.run(async_test())


def test_daemons_serve_while_quarantine_table_is_unreadable(tmp_path):
    """In a partial outage of the store, its other tables are enough to serve."""

    async def async_test():
        async with async_entry_deployment(tmp_path, 1) as deployment:
            await deployment.async_set_store_faults(out_tables=["chutelink-quarantine"])
            deployment.processes["vm-0"].kill()
            deployment.start_daemon(0)
            await deployment.async_until_all_listed([0])
            async with deployment.request(0, "/again/x", "good") as answer:
                assert answer.status == 200

    asyncio.run(async_test())
