"""Requests that share a prompt part which crashes every endpoint that answers on it."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp

from standins.prepared_endpoint import CRASH_PARTS

from .relay_harness import RelayHarness, async_relay_harness
from .test_crashing_requests import async_register_restarts

REQUESTS = 24
MAX_CRASHES = 5 + 3
"""The number of crashes that the operators allow for a part of a prompt."""
ENDPOINTS = 8
FIRST_PART = "c0ffee:800"
BAD_PART = sorted(CRASH_PARTS)[0]


async def async_send(harness: RelayHarness, name: str, *middle: str) -> int:
    """Return the status of a request whose body and last part are its own.

    A stream that is broken off counts as status 502.
    """
    parts = [FIRST_PART, *(f"{part}:40" for part in middle), f"own-{name}:20"]
    headers = {
        "X_Model": "m0",
        "X_Token_Count": "900,8",
        "X_Prompt_Prefix": ",".join(parts),
    }
    try:
        async with harness.request(
            "/stream/x", name, name.encode(), **headers
        ) as answer:
            body = await answer.read()
    except aiohttp.ClientPayloadError:
        return 502
    return answer.status if answer.status != 200 or b"id: 8" in body else 502


async def async_start_endpoints(harness: RelayHarness) -> asyncio.Task[None]:
    """Start endpoints that restart soon, and report their restarts to the daemon."""
    harness.machines.restart_delay_s = 0.1
    harness.configure()
    for number in range(ENDPOINTS):
        await harness.async_add(f"i-{number}", "llm", {"m0": []})
    return asyncio.ensure_future(async_register_restarts(harness))


def count_crashes(harness: RelayHarness) -> int:
    return sum(e.crash_count for e in harness.machines.endpoints.values())


def test_prompt_part_that_crashes_endpoints_is_quarantined():
    async def async_test():
        async with async_relay_harness() as harness:
            task = await async_start_endpoints(harness)
            for number in range(REQUESTS):
                await async_send(harness, f"bad-{number}", BAD_PART)
                await asyncio.sleep(0.03)
            assert 1 <= count_crashes(harness) <= MAX_CRASHES
            task.cancel()

    asyncio.run(async_test())


def test_sound_requests_with_the_other_parts_are_served_during_quarantine():
    async def async_test():
        async with async_relay_harness() as harness:
            task = await async_start_endpoints(harness)
            statuses = []
            for number in range(REQUESTS):
                names = (f"bad-{number}", f"good-{number}")
                _, status = await asyncio.gather(
                    async_send(harness, names[0], f"subject-{number}", BAD_PART),
                    async_send(harness, names[1], f"subject-{number}"),
                )
                statuses.append(status)
                await asyncio.sleep(0.03)
            assert count_crashes(harness) <= MAX_CRASHES
            later = statuses[REQUESTS // 2 :]
            assert later.count(200) == len(later), statuses
            task.cancel()

    asyncio.run(async_test())


def test_two_crashing_parts_are_both_quarantined():
    async def async_test():
        async with async_relay_harness() as harness:
            task = await async_start_endpoints(harness)
            bad_parts = itertools.cycle(sorted(CRASH_PARTS))
            for number, part in zip(range(2 * REQUESTS), bad_parts, strict=False):
                await async_send(harness, f"bad-{number}", part)
                await asyncio.sleep(0.03)
            assert count_crashes(harness) <= MAX_CRASHES * len(CRASH_PARTS)
            assert await async_send(harness, "good", "subject") == 200
            task.cancel()

    asyncio.run(async_test())
