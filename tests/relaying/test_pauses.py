"""Endpoints that turn requests away with 503 and ask for a pause."""

from __future__ import annotations

import asyncio

import pytest

from .test_limits import ROUTES, async_send
from .world import async_world

PAUSE_S = 1.0


async def async_add_pausing(world, service, models):
    endpoint = await world.async_add("i-1", service, models)
    endpoint.faults = type(endpoint.faults)(pause_s=PAUSE_S)
    return endpoint


@pytest.mark.parametrize("route", ROUTES)
def test_an_endpoint_that_asked_for_a_pause_gets_nothing_until_it_is_over(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_world() as world:
            world.configure()
            pausing = await async_add_pausing(world, service, models)
            other = await world.async_add("i-2", service, models)
            statuses = await async_send(world, path, 20, **headers)
            assert set(statuses) == {200}
            assert len(pausing.arrived_s) == 1
            assert len(other.runs) == 20
            pausing.faults = type(pausing.faults)()
            await asyncio.sleep(PAUSE_S)
            statuses = await async_send(world, path, 20, first=20, **headers)
            assert set(statuses) == {200}
            assert pausing.runs

    asyncio.run(async_test())


@pytest.mark.parametrize("route", ROUTES)
def test_requests_are_refused_while_the_only_endpoint_pauses(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_world() as world:
            world.configure()
            pausing = await async_add_pausing(world, service, models)
            statuses = await async_send(world, path, 5, **headers)
            assert set(statuses) == {503}
            gaps_s = [
                after - before
                for before, after in zip(
                    pausing.arrived_s, pausing.arrived_s[1:], strict=False
                )
            ]
            assert all(gap_s >= PAUSE_S for gap_s in gaps_s)

    asyncio.run(async_test())


def test_a_caller_is_told_to_come_back_when_the_pause_is_over():
    async def async_test():
        async with async_world() as world:
            world.configure()
            await async_add_pausing(world, "plain", None)
            await async_send(world, "/once/x", 1)
            async with world.request("/once/x", "q2") as answer:
                assert answer.status == 503
                back_s = float(answer.headers["Retry-After"])
                assert 0.8 * PAUSE_S <= back_s <= 2 * PAUSE_S

    asyncio.run(async_test())


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_caller_that_all_endpoints_turned_away_is_told_of_the_pause(count):
    """The route allows two of them for each request."""

    async def async_test():
        async with async_world() as world:
            world.configure()
            for number in range(count):
                endpoint = await world.async_add(f"i-{number}", "plain")
                endpoint.faults = type(endpoint.faults)(pause_s=PAUSE_S)
            for number in range(3):
                async with world.request("/once/x", f"q{number}") as answer:
                    assert answer.status == 503
                    back_s = float(answer.headers["Retry-After"])
            assert back_s >= 0.8 * PAUSE_S

    asyncio.run(async_test())
