"""Responses without a length whose process ends, while its address is served on."""

from __future__ import annotations

import asyncio

import pytest

from standins.prepared_endpoint import EndpointFaults, EndpointStandin

from .relay_harness import async_relay_harness
from .test_stream import expected, headers


def replace_at_once(endpoint, connections, name):
    """End a process and its connections; its successor serves the address already."""
    endpoint.restart()
    endpoint.name = name
    for handler in connections:
        if handler.transport is not None:
            handler.transport.abort()


async def async_add_replaced(harness, service, models, *, events, successor):
    """Add an endpoint that is replaced within its first response.

    The response has no length.
    """
    endpoint = EndpointStandin("i-1", service, models, 0.05)
    server = endpoint.make_server()
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    endpoint.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    endpoint.faults = EndpointFaults(crash_unframed=1, unframed_events=events)
    endpoint.on_crash = lambda crashed: replace_at_once(
        crashed, server.connections, successor
    )
    harness.register(endpoint)
    return endpoint


@pytest.mark.parametrize("successor", ["i-1", "i-9"])
@pytest.mark.parametrize("events", [0, 3])
def test_stream_goes_on_if_a_successor_serves_the_address(events, successor):
    """Guards against ends of streams that a successor's open port confirms."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await async_add_replaced(
                harness, "llm", {"m0": []}, events=events, successor=successor
            )
            second = await harness.async_add("i-2", "llm", {"m0": []})
            async with harness.request("/stream/x", **headers()) as answer:
                assert answer.status == 200
                assert await answer.read() == expected()
            assert first.crash_count == 1 and second.runs == ["q1"]

    asyncio.run(async_test())


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_part_of_a_plain_response_is_not_returned_as_the_whole(path):
    """Guards against parts that count as whole because the address is served on."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await async_add_replaced(
                harness, "plain", {}, events=1, successor="i-9"
            )
            async with harness.request(path) as answer:
                assert answer.status >= 500
                assert answer.headers.get("Chutelink-Outcome") == "unknown"
            assert endpoint.crash_count == 1

    asyncio.run(async_test())


def test_unframed_response_of_a_process_that_lives_is_returned():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(end_unframed=1, unframed_events=1)
            async with harness.request("/once/x") as answer:
                assert answer.status == 200
                assert await answer.read() == b"id: 1\ndata: t1\n\n"

    asyncio.run(async_test())


def test_successor_that_is_not_ready_yet_does_not_confirm_an_end(monkeypatch):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await async_add_replaced(
                harness, "llm", {"m0": []}, events=3, successor="i-1"
            )
            monkeypatch.setattr(first, "_report", lambda: {"error": "starting"})
            await harness.async_add("i-2", "llm", {"m0": []})
            async with harness.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()

    asyncio.run(async_test())


def test_unframed_response_is_returned_though_its_process_pauses_afterwards():
    """Guards against complete responses whose outcome is stated as unknown."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = EndpointFaults(end_unframed=1, unframed_events=1)
            write = endpoint._write_unframed

            def write_and_pause(request, response_headers):
                write(request, response_headers)
                endpoint.fall_silent(1.2)

            endpoint._write_unframed = write_and_pause
            async with harness.request("/once/x") as answer:
                assert answer.status == 200

    asyncio.run(async_test())


def test_unframed_stream_that_a_living_process_ends_early_is_not_complete():
    """Guards against faulty endpoints that end a stream before its last event."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoint = await harness.async_add("i-1", "llm", {"m0": []})
            endpoint.faults = EndpointFaults(end_unframed=1, unframed_events=3)
            await harness.async_add("i-2", "llm", {"m0": []})
            async with harness.request("/stream/x", **headers()) as answer:
                assert await answer.read() == expected()

    asyncio.run(async_test())


def test_part_of_a_plain_endpoint_that_restarts_under_its_id_is_not_the_whole():
    """Guards against processes that are told apart by their id alone."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add_replaced(harness, "plain", {}, events=1, successor="i-1")
            async with harness.request("/once/x") as answer:
                assert answer.status >= 500

    asyncio.run(async_test())
