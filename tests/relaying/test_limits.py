"""Requests through one daemon to endpoints with a rate limit."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import decode_entry_message, encode_entry_message
from chutelink.limits import model
from chutelink.limits.messages import EndpointLimit

from ..rates import LIMIT_WINDOW_S, max_events_in_window, max_requests_in_window
from .relay_harness import async_relay_harness

STREAM = {"X_Model": "m0", "X_Token_Count": "10,2"}
ROUTES = {
    "idempotent": ("/again/x", "plain", None, {}),
    "non-idempotent": ("/once/x", "plain", None, {}),
    "stream": ("/stream/x", "llm", {"m0": []}, STREAM),
}


async def async_send(harness, path: str, count: int, first: int = 0, **headers) -> list:
    """Send requests one after the other and return their statuses."""
    statuses = []
    for number in range(first, first + count):
        async with harness.request(path, f"q{number}", **headers) as answer:
            await answer.read()
            if answer.status == 503:
                assert float(answer.headers["Retry-After"]) > 0
            statuses.append(answer.status)
    return statuses


async def async_add_limited(harness, name, service, models, limit_per_s=1.0):
    endpoint = await harness.async_add(name, service, models)
    endpoint.faults = type(endpoint.faults)(limit_per_s=limit_per_s)
    return endpoint


@pytest.mark.parametrize("route", ROUTES)
def test_endpoint_with_limit_gets_no_more_requests_than_allowed(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await async_add_limited(harness, "i-1", service, models)
            other = await harness.async_add("i-2", service, models)
            statuses = await async_send(harness, path, 60, **headers)
            assert set(statuses) == {200}
            most_received = max_events_in_window(limited.arrived_s, LIMIT_WINDOW_S)
            assert most_received <= max_requests_in_window(1.0)
            assert len(other.runs) >= 60 - most_received

    asyncio.run(async_test())


@pytest.mark.parametrize("route", ROUTES)
def test_requests_over_limit_of_only_endpoint_are_refused(route):
    path, service, models, headers = ROUTES[route]

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await async_add_limited(harness, "i-1", service, models)
            assert await async_send(harness, path, 1, **headers) == [200]
            sent = [async_send(harness, path, 1, n, **headers) for n in range(1, 40)]
            statuses = [status for one in await asyncio.gather(*sent) for status in one]
            assert set(statuses) == {200, 503}
            most_received = max_events_in_window(limited.arrived_s, LIMIT_WINDOW_S)
            assert most_received <= max_requests_in_window(1.0)

    asyncio.run(async_test())


def test_limit_received_from_another_daemon_is_enforced():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await harness.async_add("i-1", "plain")
            other = await harness.async_add("i-2", "plain")
            update = EndpointLimit("i-1", 0, 1.0)
            harness.state.endpoints.update_limit(update, harness.core.clock())
            assert set(await async_send(harness, "/once/x", 10)) == {200}
            assert not limited.runs and len(other.runs) == 10

    asyncio.run(async_test())


def test_endpoint_is_used_as_before_once_its_limit_is_lifted():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await async_add_limited(harness, "i-1", "plain", None, 20.0)
            await async_send(harness, "/once/x", 3)
            limited.faults = type(limited.faults)()
            assert set(await async_send(harness, "/once/x", 20, first=3)) == {200}
            assert len(limited.arrived_s) == 23

    asyncio.run(async_test())


def test_requests_waiting_for_model_respect_limit_once_it_is_loaded():
    """All requests that wait for a load continue at the same moment."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_limited(harness, "i-1", "llm", {"m0": []})
            await async_send(harness, "/stream/x", 1, **STREAM)
            waiting = [
                asyncio.ensure_future(
                    async_send(harness, "/stream/x", 1, n, **STREAM | {"X_Model": "m1"})
                )
                for n in range(1, 30)
            ]
            while harness.loads.waiting[("m1", "")] < len(waiting):
                await asyncio.sleep(0.001)
            endpoint.models["m1"] = []
            endpoint.sequence += 1
            harness.register(endpoint)
            harness.pending.signal()
            statuses = [status for done in waiting for status in await done]
            assert set(statuses) <= {200, 503}
            most_received = max_events_in_window(endpoint.arrived_s, LIMIT_WINDOW_S)
            assert most_received <= max_requests_in_window(1.0)

    asyncio.run(async_test())


def test_request_waits_for_load_if_only_endpoint_is_at_limit():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add_limited(harness, "i-1", "llm", {"m0": []}, 0.1)
            other = await harness.async_add("i-2", "llm", {"m1": []})
            await async_send(harness, "/stream/x", 1, **STREAM)
            task = asyncio.ensure_future(
                async_send(harness, "/stream/x", 1, 1, **STREAM)
            )
            async with asyncio.timeout(5):
                while not harness.loads.waiting[("m0", "")]:
                    await asyncio.sleep(0.001)
            other.models["m0"] = []
            other.sequence += 1
            harness.register(other)
            harness.pending.signal()
            assert await task == [200]
            assert other.runs == ["q1"]

    asyncio.run(async_test())


def test_limit_and_its_removal_are_announced_to_other_daemons():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await async_add_limited(harness, "i-1", "plain", None, 20.0)
            await async_send(harness, "/once/x", 1)
            update = harness.loads.take("d1", harness.state.endpoints, [])
            announced = decode_entry_message(encode_entry_message(update), "d1").limits
            assert announced == [EndpointLimit("i-1", 0, 20.0)]
            limited.faults = type(limited.faults)()
            await async_send(harness, "/once/x", 1, first=1)
            update = harness.loads.take("d1", harness.state.endpoints, [])
            assert update.limits == [EndpointLimit("i-1", 0, None)]

    asyncio.run(async_test())


def test_endpoint_whose_limit_was_lifted_unnoticed_is_used_again(monkeypatch):
    """While other endpoints serve all requests, no response announces the change."""
    monkeypatch.setattr(model, "UNCONFIRMED_AFTER_S", 0.2)

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            limited = await async_add_limited(harness, "i-1", "plain", None, 20.0)
            await harness.async_add("i-2", "plain")
            await async_send(harness, "/once/x", 10)
            limited.faults = type(limited.faults)()
            before = len(limited.runs)
            await asyncio.sleep(0.3)
            await async_send(harness, "/once/x", 20, first=10)
            assert len(limited.runs) > before + 5

    asyncio.run(async_test())


def test_stopping_daemon_refuses_requests_waiting_for_permit():
    """They were cut off without an answer when the process exited."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add_limited(harness, "i-1", "plain", {}, limit_per_s=2.0)
            assert await async_send(harness, "/once/x", 2) == [200, 200]
            waiting = asyncio.ensure_future(async_send(harness, "/once/x", 1, first=2))
            await asyncio.sleep(0.1)
            assert harness.http.in_flight == 1
            harness.http.stop_waiting()
            async with asyncio.timeout(0.1):
                assert await waiting == [503]

    asyncio.run(async_test())
