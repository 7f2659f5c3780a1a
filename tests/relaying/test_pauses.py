"""Endpoints that refuse requests with 503 and request a pause."""

from __future__ import annotations

import asyncio

import pytest

from .relay_harness import async_relay_harness
from .test_limits import ROUTES, async_send

PAUSE_S = 1.0


async def async_add_pausing(harness, service, models):
    endpoint = await harness.async_add("i-1", service, models)
    endpoint.faults = type(endpoint.faults)(pause_s=PAUSE_S)
    return endpoint


@pytest.mark.parametrize("route", ROUTES)
def test_paused_endpoint_gets_no_requests_until_pause_is_over(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            pausing = await async_add_pausing(harness, service, models)
            other = await harness.async_add("i-2", service, models)
            statuses = await async_send(harness, path, 20, **headers)
            assert set(statuses) == {200}
            assert len(pausing.arrived_s) == 1
            assert len(other.runs) == 20
            pausing.faults = type(pausing.faults)()
            await asyncio.sleep(PAUSE_S)
            statuses = await async_send(harness, path, 20, first=20, **headers)
            assert set(statuses) == {200}
            assert pausing.runs

    asyncio.run(async_test())


@pytest.mark.parametrize("route", ROUTES)
def test_requests_are_refused_while_only_endpoint_is_paused(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            pausing = await async_add_pausing(harness, service, models)
            statuses = await async_send(harness, path, 5, **headers)
            assert set(statuses) == {503}
            gaps_s = [
                after - before
                for before, after in zip(
                    pausing.arrived_s, pausing.arrived_s[1:], strict=False
                )
            ]
            assert all(gap_s >= PAUSE_S for gap_s in gaps_s)

    asyncio.run(async_test())


def test_retry_after_covers_pause():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add_pausing(harness, "plain", None)
            await async_send(harness, "/once/x", 1)
            async with harness.request("/once/x", "q2") as answer:
                assert answer.status == 503
                retry_after_s = float(answer.headers["Retry-After"])
                assert 0.8 * PAUSE_S <= retry_after_s <= 2 * PAUSE_S

    asyncio.run(async_test())


@pytest.mark.parametrize("count", [1, 2, 3])
def test_retry_after_covers_pause_if_all_endpoints_refuse(count):
    """The route allows two endpoints per request."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            for number in range(count):
                endpoint = await harness.async_add(f"i-{number}", "plain")
                endpoint.faults = type(endpoint.faults)(pause_s=PAUSE_S)
            for number in range(3):
                async with harness.request("/once/x", f"q{number}") as answer:
                    assert answer.status == 503
                    retry_after_s = float(answer.headers["Retry-After"])
            assert retry_after_s >= 0.8 * PAUSE_S

    asyncio.run(async_test())
