"""Endpoints that crash if they have to reject too many requests a second."""

from __future__ import annotations

import asyncio

from chutelink.entry.messages import EndpointLoad

from .relay_harness import RelayHarness, async_relay_harness

REJECTIONS_PER_S = 2.0
SLOTS = 8
"""Slots in the registration of stand-in endpoints."""


async def async_add_brittle(harness: RelayHarness, name: str, **faults: object):
    endpoint = await harness.async_add(name, "plain")
    faults = {"brittle_per_s": REJECTIONS_PER_S} | faults
    endpoint.faults = type(endpoint.faults)(**faults)
    return endpoint


async def async_send(harness: RelayHarness, path: str, name: str) -> int:
    async with harness.request(path, name) as answer:
        await answer.read()
        return answer.status


def most_in_a_second(times_s: list[float]) -> int:
    """Return the largest number of events within one second."""
    return max((sum(t <= u < t + 1.0 for u in times_s) for t in times_s), default=0)


def test_brittle_endpoint_is_not_sent_more_than_it_has_room_for():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_brittle(harness, "i-1", room=SLOTS, work_s=0.02)
            assert await async_send(harness, "/again/x", "first") == 200
            for batch in range(5):
                names = [f"{batch}-{number}" for number in range(4 * SLOTS)]
                await asyncio.gather(
                    *(async_send(harness, "/again/x", name) for name in names)
                )
            assert most_in_a_second(endpoint.rejected_s) <= REJECTIONS_PER_S
            assert len(endpoint.runs) > 2 * SLOTS

    asyncio.run(async_test())


def test_load_of_other_daemons_counts_against_the_room():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_brittle(harness, "i-1")
            assert await async_send(harness, "/once/x", "first") == 200
            loads = [EndpointLoad("i-1", SLOTS, 0.0)]
            now_s = harness.core.clock()
            harness.state.endpoints.set_other_load("d2", loads, now_s)
            assert await async_send(harness, "/once/x", "second") == 503
            assert endpoint.runs == ["first"]

    asyncio.run(async_test())


def test_rejections_are_spread_over_daemons_and_time():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            harness.retry_budget.daemons = 4
            endpoint = await async_add_brittle(harness, "i-1", refuse=100)
            end_s = harness.core.clock() + 2.5
            number = 0
            while harness.core.clock() < end_s:
                number += 1
                await async_send(harness, "/once/x", f"q{number}")
                await asyncio.sleep(0.02)
            # A quarter of the rejections that the endpoint bears is for this daemon.
            assert 1 <= len(endpoint.rejected_s) <= 2.5 * REJECTIONS_PER_S / 4 + 1

    asyncio.run(async_test())


def test_endpoint_that_is_no_longer_brittle_is_filled_again():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_brittle(harness, "i-1")
            assert await async_send(harness, "/once/x", "first") == 200
            endpoint.faults = type(endpoint.faults)()
            assert await async_send(harness, "/once/x", "second") == 200
            loads = [EndpointLoad("i-1", SLOTS, 0.0)]
            now_s = harness.core.clock()
            harness.state.endpoints.set_other_load("d2", loads, now_s)
            assert await async_send(harness, "/once/x", "third") == 200

    asyncio.run(async_test())
