"""Endpoints whose answers say that they leave, before their registrations do."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.news import LeavingEndpoint, decode_news, encode_news
from chutelink.watching.followed import RowChange

from .test_limits import ROUTES, async_send
from .world import async_world


async def async_add_leaving(world, service, models):
    """Add an endpoint, and get an answer that says that it leaves."""
    leaving = await world.async_add("i-1", service, models)
    leaving.faults = type(leaving.faults)(says_leaving=True)
    return leaving


def keep_row(world, name: str) -> None:
    """Leave the endpoint's row as it is."""


def lose_row(world, name: str) -> None:
    """Let an endpoint's row lapse while the store is away."""
    until_s = world.core.clock() + 60.0
    world.known.take_row(RowChange(f"endpoints/{name}", None, back_until_s=until_s))


def remove_row(world, name: str) -> None:
    world.known.take_row(RowChange(f"endpoints/{name}", None))


@pytest.mark.parametrize("route", ROUTES)
def test_an_endpoint_whose_answer_said_that_it_leaves_gets_no_more_requests(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_world() as world:
            world.configure()
            leaving = await async_add_leaving(world, service, models)
            assert await async_send(world, path, 1, **headers) == [200]
            other = await world.async_add("i-2", service, models)
            statuses = await async_send(world, path, 10, first=1, **headers)
            assert set(statuses) == {200}
            assert len(leaving.runs) == 1 and len(other.runs) == 10

    asyncio.run(async_test())


@pytest.mark.parametrize("lose", [keep_row, lose_row, remove_row])
def test_a_registration_does_not_take_back_what_an_answer_said(lose):
    """Its row says ready while the store is away, and when it is back."""

    async def async_test():
        async with async_world() as world:
            world.configure()
            leaving = await async_add_leaving(world, "plain", None)
            assert await async_send(world, "/once/x", 1) == [200]
            lose(world, "i-1")
            world.show(leaving)
            assert await async_send(world, "/once/x", 5, first=1) == [503] * 5
            assert len(leaving.runs) == 1

    asyncio.run(async_test())


def test_a_process_that_was_started_again_takes_requests():
    async def async_test():
        async with async_world() as world:
            world.configure()
            endpoint = await async_add_leaving(world, "plain", None)
            await async_send(world, "/once/x", 1)
            endpoint.faults = type(endpoint.faults)()
            endpoint.restart()
            world.show(endpoint)
            assert await async_send(world, "/once/x", 3, first=1) == [200] * 3

    asyncio.run(async_test())


def test_others_are_told_once_and_use_it_no_more():
    async def async_test():
        async with async_world() as world:
            world.configure()
            await async_add_leaving(world, "plain", None)
            await async_send(world, "/once/x", 1)
            news = world.loads.take("d1", world.known.endpoints, [])
            told = decode_news(encode_news(news), "d1").leaving
            assert told == [LeavingEndpoint("i-1", 0)]
            again = world.loads.take("d1", world.known.endpoints, [])
            assert again is None or not again.leaving
        async with async_world() as other:
            other.configure()
            endpoint = await async_add_leaving(other, "plain", None)
            other.known.endpoints.note_leaving(told[0].endpoint, told[0].born_ms)
            assert await async_send(other, "/once/x", 1) == [503]
            assert not endpoint.runs

    asyncio.run(async_test())
