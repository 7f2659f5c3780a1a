"""Requests at endpoints that name a limit, through one daemon."""

from __future__ import annotations

import asyncio

import pytest

from ..rates import LIMIT_WINDOW_S, allowed_in_window, most_in_window
from .world import async_world

STREAM = {"X_Model": "m0", "X_Token_Count": "10,2"}
ROUTES = {
    "idempotent": ("/again/x", "plain", None, {}),
    "non-idempotent": ("/once/x", "plain", None, {}),
    "stream": ("/stream/x", "llm", {"m0": []}, STREAM),
}


async def async_send(world, path: str, count: int, first: int = 0, **headers) -> list:
    """Return the statuses of requests that are sent one after the other."""
    statuses = []
    for number in range(first, first + count):
        async with world.request(path, f"q{number}", **headers) as answer:
            await answer.read()
            if answer.status == 503:
                assert float(answer.headers["Retry-After"]) > 0
            statuses.append(answer.status)
    return statuses


async def async_add_limited(world, name, service, models, limit_per_s=1.0):
    endpoint = await world.async_add(name, service, models)
    endpoint.faults = type(endpoint.faults)(limit_per_s=limit_per_s)
    return endpoint


@pytest.mark.parametrize("route", ROUTES)
def test_an_endpoint_that_names_a_limit_gets_no_more_than_it_allows(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_world() as world:
            world.configure()
            limited = await async_add_limited(world, "i-1", service, models)
            other = await world.async_add("i-2", service, models)
            statuses = await async_send(world, path, 60, **headers)
            assert set(statuses) == {200}
            got = most_in_window(limited.arrived_s, LIMIT_WINDOW_S)
            assert got <= allowed_in_window(1.0)
            assert len(other.runs) >= 60 - got

    asyncio.run(async_test())


@pytest.mark.parametrize("route", ROUTES)
def test_requests_over_the_limit_of_the_only_endpoint_are_refused(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_world() as world:
            world.configure()
            limited = await async_add_limited(world, "i-1", service, models)
            statuses = await async_send(world, path, 40, **headers)
            assert set(statuses) == {200, 503}
            got = most_in_window(limited.arrived_s, LIMIT_WINDOW_S)
            assert got <= allowed_in_window(1.0)

    asyncio.run(async_test())
