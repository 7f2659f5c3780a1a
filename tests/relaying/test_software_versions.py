"""Streams of one daemon while endpoints of two software versions serve."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from .relay_harness import RelayHarness, async_relay_harness

EVENTS = 8
STREAM = {"X_Model": "m0", "X_Token_Count": f"10,{EVENTS}"}


async def async_add(harness: RelayHarness, name: str, version: str, **faults: int):
    endpoint = await harness.async_add(name, "llm", {"m0": []})
    endpoint.software_version = version
    endpoint.faults = type(endpoint.faults)(**faults)
    harness.register(endpoint)
    return endpoint


async def async_events(answer: aiohttp.ClientResponse) -> tuple[int, set[bytes]]:
    """Return the number of a stream's events, and the versions that wrote them."""
    body = b""
    try:
        async for chunk in answer.content.iter_any():
            body += chunk
    except aiohttp.ClientPayloadError:
        # The daemon has broken the stream off.
        pass
    versions = {version for version in (b"v1", b"v2") if version in body}
    return body.count(b"id: "), versions


def test_broken_stream_is_not_joined_with_events_of_another_software_version():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1", cut_after_events=3, cuts=9)
            await async_add(harness, "i-2", "v2", cut_after_events=6, cuts=9)
            for number in range(6):
                async with harness.request("/stream/x", f"q{number}", **STREAM) as a:
                    events, versions = await async_events(a)
                    assert events < EVENTS
                    assert len(versions) == 1

    asyncio.run(async_test())


def test_broken_stream_is_resumed_at_the_endpoint_of_its_software_version():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1", cut_after_events=3, cuts=1)
            await async_add(harness, "i-2", "v2", cut_after_events=3, cuts=1)
            await async_add(harness, "i-3", "v1")
            await async_add(harness, "i-4", "v2")
            for number in range(8):
                async with harness.request("/stream/x", f"q{number}", **STREAM) as a:
                    events, versions = await async_events(a)
                    assert events == EVENTS
                    assert len(versions) == 1

    asyncio.run(async_test())


def test_attempt_without_an_event_leaves_the_software_version_open():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await async_add(harness, "i-1", "v1", end_unframed=1)
            await async_add(harness, "i-2", "v2")
            async with harness.request("/stream/x", "q0", **STREAM) as answer:
                assert await async_events(answer) == (EVENTS, {b"v2"})
            assert first.runs == ["q0"]
            for name in ("i-3", "i-4", "i-5"):
                await async_add(harness, name, "v1")
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": "q0"}

            async def async_resume(name: str) -> tuple[int, set[bytes]]:
                async with harness.request("/stream/x", name, **resume) as answer:
                    return await async_events(answer)

            names = [f"q{number}" for number in range(1, 7)]
            results = await asyncio.gather(*(async_resume(name) for name in names))
            assert results == [(EVENTS - 3, {b"v2"})] * len(names)

    asyncio.run(async_test())


@pytest.mark.parametrize("resumes", ["unknown", "", "q" * 5000])
def test_unknown_stream_is_refused_at_once_while_two_versions_serve(resumes):
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            endpoints = [
                await async_add(harness, "i-1", "v1"),
                await async_add(harness, "i-2", "v2"),
            ]
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": resumes}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                assert answer.status == 503
                assert answer.headers["Chutelink-Outcome"] == "not-run"
            assert not any(endpoint.runs for endpoint in endpoints)

    asyncio.run(async_test())


def test_unknown_stream_is_resumed_while_one_version_serves():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": "unknown"}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                assert await async_events(answer) == (EVENTS - 3, {b"v1"})

    asyncio.run(async_test())


def test_version_that_left_a_moment_ago_may_have_begun_an_unknown_stream():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            left = await async_add(harness, "i-1", "v1")
            await async_add(harness, "i-2", "v2")
            harness.remove(left)
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": "unknown"}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                assert answer.status == 503

    asyncio.run(async_test())


def test_stream_does_not_wait_for_a_model_that_only_another_version_has():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await async_add(harness, "i-1", "v1")
            await async_add(harness, "i-2", "v1")
            await async_add(harness, "i-3", "v2")
            names = iter("abcdefgh")
            began = None
            while began != b"v1":
                name = next(names)
                async with harness.request("/stream/x", name, **STREAM) as answer:
                    began = (await async_events(answer))[1].pop()
            for endpoint in harness.machines.endpoints.values():
                if endpoint.software_version == "v1":
                    endpoint.models = {"m1": []}
                    harness.register(endpoint)
            waited = []
            harness.pending.async_wait = waited.append
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": name}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                assert answer.status == 503
            assert "q1" not in first.runs
            assert not waited

    asyncio.run(async_test())


def test_request_that_received_no_event_begins_anew():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            await async_add(harness, "i-1", "v1")
            await async_add(harness, "i-2", "v2")
            resume = STREAM | {"Last_Event_Id": "0"}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                events, versions = await async_events(answer)
                assert events == EVENTS
                assert len(versions) == 1

    asyncio.run(async_test())


def test_endpoint_restarted_with_another_software_version_does_not_resume():
    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure()
            first = await async_add(harness, "i-1", "v1")
            async with harness.request("/stream/x", "q0", **STREAM) as answer:
                assert (await async_events(answer))[1] == {b"v1"}
            first.upgrade("v2")
            first.models = {"m0": []}
            harness.register(first)
            resume = STREAM | {"Last_Event_Id": "3", "Resumes": "q0"}
            async with harness.request("/stream/x", "q1", **resume) as answer:
                assert answer.status == 503
            assert first.runs == ["q0"]

    asyncio.run(async_test())
