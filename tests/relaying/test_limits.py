"""Requests at endpoints that name a limit, through one daemon."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.news import decode_news, encode_news
from chutelink.limits import model
from chutelink.limits.news import EndpointLimit

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


def test_a_limit_that_another_daemon_heard_of_is_kept_too():
    async def async_test():
        async with async_world() as world:
            world.configure()
            told = await world.async_add("i-1", "plain")
            other = await world.async_add("i-2", "plain")
            news = EndpointLimit("i-1", 0, 1.0)
            world.known.endpoints.take_limit(news, world.core.clock())
            assert set(await async_send(world, "/once/x", 10)) == {200}
            assert not told.runs and len(other.runs) == 10

    asyncio.run(async_test())


def test_an_endpoint_that_names_no_limit_any_more_is_used_as_before():
    async def async_test():
        async with async_world() as world:
            world.configure()
            limited = await async_add_limited(world, "i-1", "plain", None, 20.0)
            await async_send(world, "/once/x", 3)
            limited.faults = type(limited.faults)()
            assert set(await async_send(world, "/once/x", 20, first=3)) == {200}
            assert len(limited.arrived_s) == 23

    asyncio.run(async_test())


def test_a_model_that_was_waited_for_is_requested_within_its_endpoints_limit():
    """The wait for a load ends for all that waited at the same moment."""

    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await async_add_limited(world, "i-1", "llm", {"m0": []})
            await async_send(world, "/stream/x", 1, **STREAM)
            waiting = [
                asyncio.ensure_future(
                    async_send(world, "/stream/x", 1, n, **STREAM | {"X_Model": "m1"})
                )
                for n in range(1, 30)
            ]
            while world.loads.waiting[("m1", "")] < len(waiting):
                await asyncio.sleep(0.001)
            endpoint.models["m1"] = []
            endpoint.sequence += 1
            world.show(endpoint)
            world.pending.signal()
            statuses = [status for done in waiting for status in await done]
            assert set(statuses) <= {200, 503}
            got = most_in_window(endpoint.arrived_s, LIMIT_WINDOW_S)
            assert got <= allowed_in_window(1.0)

    asyncio.run(async_test())


def test_a_request_waits_for_a_load_where_its_only_endpoint_is_at_its_limit():
    async def async_test():
        async with async_world() as world:
            world.configure()
            await async_add_limited(world, "i-1", "llm", {"m0": []}, 0.1)
            other = await world.async_add("i-2", "llm", {"m1": []})
            await async_send(world, "/stream/x", 1, **STREAM)
            task = asyncio.ensure_future(async_send(world, "/stream/x", 1, 1, **STREAM))
            async with asyncio.timeout(5):
                while not world.loads.waiting[("m0", "")]:
                    await asyncio.sleep(0.001)
            other.models["m0"] = []
            other.sequence += 1
            world.show(other)
            world.pending.signal()
            assert await task == [200]
            assert other.runs == ["q1"]

    asyncio.run(async_test())


def test_others_are_told_of_a_limit_and_of_its_end():
    async def async_test():
        async with async_world() as world:
            world.configure()
            limited = await async_add_limited(world, "i-1", "plain", None, 20.0)
            await async_send(world, "/once/x", 1)
            news = world.loads.take("d1", world.known.endpoints, [])
            told = decode_news(encode_news(news), "d1").limits
            assert told == [EndpointLimit("i-1", 0, 20.0)]
            limited.faults = type(limited.faults)()
            await async_send(world, "/once/x", 1, first=1)
            news = world.loads.take("d1", world.known.endpoints, [])
            assert news.limits == [EndpointLimit("i-1", 0, None)]

    asyncio.run(async_test())


def test_an_endpoint_whose_limit_was_lifted_meanwhile_is_used_again(monkeypatch):
    """While others can serve everything, no answer of it says so."""
    monkeypatch.setattr(model, "DOUBTFUL_S", 0.2)

    async def async_test():
        async with async_world() as world:
            world.configure()
            limited = await async_add_limited(world, "i-1", "plain", None, 20.0)
            await world.async_add("i-2", "plain")
            await async_send(world, "/once/x", 10)
            limited.faults = type(limited.faults)()
            before = len(limited.runs)
            await asyncio.sleep(0.3)
            await async_send(world, "/once/x", 20, first=10)
            assert len(limited.runs) > before + 5

    asyncio.run(async_test())
