"""Endpoints that announce in a response, before their registration, that they leave."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import (
    LeavingEndpoint,
    decode_entry_message,
    encode_entry_message,
)
from chutelink.watching.table_state import RowChange

from .relay_harness import async_relay_harness
from .test_limits import ROUTES, async_send


async def async_add_leaving(harness, service, models):
    """Add an endpoint whose responses say that it is leaving."""
    leaving = await harness.async_add("i-1", service, models)
    leaving.faults = type(leaving.faults)(says_leaving=True)
    return leaving


def keep_registration(harness, name: str) -> None:
    """Leave the registration unchanged."""


def expire_registration(harness, name: str) -> None:
    """Let a registration lapse while the store is unavailable."""
    until_s = harness.core.clock() + 60.0
    harness.state.apply_row(RowChange(f"endpoints/{name}", None, back_until_s=until_s))


def remove_registration(harness, name: str) -> None:
    harness.state.apply_row(RowChange(f"endpoints/{name}", None))


@pytest.mark.parametrize("route", ROUTES)
def test_leaving_endpoint_gets_no_more_requests(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            leaving = await async_add_leaving(harness, service, models)
            assert await async_send(harness, path, 1, **headers) == [200]
            other = await harness.async_add("i-2", service, models)
            statuses = await async_send(harness, path, 10, first=1, **headers)
            assert set(statuses) == {200}
            assert len(leaving.runs) == 1 and len(other.runs) == 10

    asyncio.run(async_test())


@pytest.mark.parametrize(
    "change_registration", [keep_registration, expire_registration, remove_registration]
)
def test_registration_does_not_revoke_leaving_notice(change_registration):
    """The registration says ready during a store outage and after it."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            leaving = await async_add_leaving(harness, "plain", None)
            assert await async_send(harness, "/once/x", 1) == [200]
            change_registration(harness, "i-1")
            harness.register(leaving)
            assert await async_send(harness, "/once/x", 5, first=1) == [503] * 5
            assert len(leaving.runs) == 1

    asyncio.run(async_test())


def test_restarted_endpoint_gets_requests_again():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_leaving(harness, "plain", None)
            await async_send(harness, "/once/x", 1)
            endpoint.faults = type(endpoint.faults)()
            endpoint.restart()
            harness.register(endpoint)
            assert await async_send(harness, "/once/x", 3, first=1) == [200] * 3

    asyncio.run(async_test())


def test_leaving_notice_is_announced_once_and_applied_by_other_daemons():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add_leaving(harness, "plain", None)
            await async_send(harness, "/once/x", 1)
            update = harness.loads.take("d1", harness.state.endpoints, [])
            announced = decode_entry_message(encode_entry_message(update), "d1").leaving
            assert announced == [LeavingEndpoint("i-1", 0)]
            next_update = harness.loads.take("d1", harness.state.endpoints, [])
            assert next_update is None or not next_update.leaving
        async with async_relay_harness() as other:
            other.configure()
            endpoint = await async_add_leaving(other, "plain", None)
            other.state.endpoints.note_leaving(
                announced[0].endpoint, announced[0].born_ms
            )
            assert await async_send(other, "/once/x", 1) == [503]
            assert not endpoint.runs

    asyncio.run(async_test())
