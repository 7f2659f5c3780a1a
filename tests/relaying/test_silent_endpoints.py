"""Endpoints that say nothing for a while, and go on afterwards."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from chutelink.relaying.retry_budget import RetryBudgetShare
from standins.prepared_config import make_config

from .relay_harness import SERVICES, async_relay_harness
from .test_stream import expected, headers

SILENCE_S = 1.9
"""Longer than the stall timeout; the deadline of requests allows two such silences."""
NO_RETRIES = RetryBudgetShare(ratio=0.0, slack=0.0, window_s=10.0)
SILENT_AFTER_EVENTS = (2, 4)
DEADLINE = {"X_Deadline_Ms": "6000"}


def make_silence(standins, silence_s=SILENCE_S):
    """Return a callback that silences all endpoints after some events of a stream."""
    pending = list(SILENT_AFTER_EVENTS)

    def on_received(received):
        if pending and received.count(b"\n\n") >= pending[0]:
            pending.pop(0)
            for standin in standins:
                standin.fall_silent(silence_s)

    return on_received


def make_routes():
    """Return routes whose callers wait for 2 s for each event of a stream."""
    routes = make_config(1, SERVICES)["routes"]
    return [route | {"slo_ms": 400, "timeout_ms": 6000} for route in routes]


@asynccontextmanager
async def async_engines(*names):
    """Yield a harness with routes for streams, and its engines."""
    async with async_relay_harness() as harness:
        harness.configure(routes=make_routes())
        yield harness, [await async_add_engine(harness, name) for name in names]


async def async_add_engine(harness, name):
    return await harness.async_add(name, "llm", {"m0": []})


def start_streams(harness, count):
    """Start streams q0, q1 and so on."""
    return [
        asyncio.ensure_future(async_read_stream(harness, f"q{number}"))
        for number in range(count)
    ]


async def async_start_silenced_stream(harness, endpoint, silence_s=SILENCE_S):
    """Return a stream that runs at an endpoint, which it silences after two events."""
    silence = make_silence([endpoint], silence_s)
    stream = asyncio.ensure_future(
        async_read_stream(harness, "q0", on_received=silence)
    )
    while not endpoint.runs:
        await asyncio.sleep(0)
    return stream


async def async_read_stream(harness, request_id, on_received=None):
    sent = headers() | DEADLINE
    async with harness.request("/stream/x", request_id, **sent) as answer:
        assert answer.status == 200
        received = b""
        while part := await answer.content.readany():
            received += part
            if on_received is not None:
                on_received(received)
        return received


@pytest.mark.parametrize("endpoints", [1, 2])
def test_streams_are_not_cut_while_all_endpoints_are_silent(endpoints):
    async def async_test():
        names = [f"i-{number}" for number in range(endpoints)]
        async with async_engines(*names) as (harness, standins):
            silence = make_silence(standins)
            streams = [
                async_read_stream(harness, "q0", on_received=silence),
                async_read_stream(harness, "q1"),
                async_read_stream(harness, "q2"),
            ]
            assert await asyncio.gather(*streams) == [expected()] * 3

    asyncio.run(async_test())


def test_stream_is_not_cut_by_silence_without_retry_budget():
    async def async_test():
        async with async_engines("i-1") as (harness, [endpoint]):
            harness.dispatcher.retry_budget = NO_RETRIES
            silence = make_silence([endpoint])
            received = await async_read_stream(harness, "q0", on_received=silence)
            assert received == expected()

    asyncio.run(async_test())


def test_plain_request_waits_for_its_endpoint_without_retry_budget():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.dispatcher.retry_budget = NO_RETRIES
            harness.configure(routes=make_routes())
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.fall_silent(SILENCE_S)
            async with harness.request("/again/x", X_Deadline_Ms="4000") as answer:
                assert answer.status == 200
                assert await answer.read() == b"done body"

    asyncio.run(async_test())


def test_stream_moves_from_a_silent_endpoint_to_one_that_responds():
    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            stream = await async_start_silenced_stream(harness, first)
            second = await async_add_engine(harness, "i-2")
            assert await stream == expected()
            assert second.runs == ["q0"]

    asyncio.run(async_test())


def test_stream_moves_from_an_endpoint_that_sends_no_head():
    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            first.fall_silent(60.0)
            stream = asyncio.ensure_future(async_read_stream(harness, "q0"))
            await asyncio.sleep(0.1)
            second = await async_add_engine(harness, "i-2")
            assert await stream == expected()
            assert second.runs == ["q0"]

    asyncio.run(async_test())


def test_streams_do_not_move_to_an_endpoint_that_is_silent_too():
    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            first.fall_silent(SILENCE_S)
            streams = start_streams(harness, 5)
            await asyncio.sleep(0.1)
            second = await async_add_engine(harness, "i-2")
            second.fall_silent(SILENCE_S)
            assert await asyncio.gather(*streams) == [expected()] * 5
            assert not second.runs

    asyncio.run(async_test())


def test_plain_request_with_little_time_left_moves_to_another_endpoint():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await harness.async_add("i-1", "plain")
            first.fall_silent(60.0)
            task = asyncio.ensure_future(
                harness.request("/again/x", X_Deadline_Ms="400").__aenter__()
            )
            await asyncio.sleep(0.05)
            await harness.async_add("i-2", "plain")
            answer = await task
            assert answer.status == 200

    asyncio.run(async_test())


def test_streams_leave_a_dark_endpoint_though_a_call_at_the_other_hangs():
    """Guards against streams that are lost as one request got no answer elsewhere."""

    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            first.fall_silent(60.0)
            streams = start_streams(harness, 3)
            await asyncio.sleep(0.1)
            second = await async_add_engine(harness, "i-2")
            second.faults = type(second.faults)(mute=1)
            done, pending = await asyncio.wait(streams, timeout=4.0)
            assert [stream.result() for stream in done] == [expected()] * 2
            for stream in pending:
                stream.cancel()

    asyncio.run(async_test())


def test_stream_returns_to_its_silent_endpoint_if_the_other_refuses_it():
    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            stream = await async_start_silenced_stream(harness, first)
            second = await async_add_engine(harness, "i-2")
            second.faults = type(second.faults)(refuse=99)
            assert await stream == expected()
            assert first.runs == ["q0", "q0"] and not second.runs

    asyncio.run(async_test())


def test_stream_of_an_ended_process_is_cut_before_its_deadline():
    """Guards against callers that wait though nothing more can come."""

    async def async_test():
        async with async_engines("i-1") as (harness, [first]):
            stream = await async_start_silenced_stream(harness, first, silence_s=60.0)
            await asyncio.sleep(0.1)
            harness.remove(first)
            async with asyncio.timeout(4.0):
                with pytest.raises(aiohttp.ClientPayloadError):
                    await stream

    asyncio.run(async_test())


def test_slow_plain_request_is_not_restarted_at_its_only_endpoint():
    """Guards against requests that run out of time as they are run again."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(routes=make_routes())
            endpoint = await harness.async_add("i-1", "plain")
            endpoint.faults = type(endpoint.faults)(work_s=1.2)
            async with harness.request("/again/x", X_Deadline_Ms="2000") as answer:
                assert answer.status == 200
            assert endpoint.runs == ["q1"]

    asyncio.run(async_test())
