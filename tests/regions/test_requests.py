"""Requests with home regions, from the client to endpoints."""

from __future__ import annotations

import asyncio

import msgspec

from standins.prepared_config import make_config
from standins.prepared_endpoint import CRASH_BODY

from ..relaying.relay_harness import SERVICES, async_relay_harness

MODEL = {"X_Model": "m1", "X_Token_Count": "10,3"}


def make_routes(homes, **changes):
    """Return the routes of the configuration, all with the same home regions."""
    routes = make_config(1, SERVICES)["routes"]
    return [route | {"home_regions": homes} | changes for route in routes]


async def async_add_both(harness, service, north=None, south=None):
    """Add an endpoint in each region; the second one is in the south."""
    harness.zones[f"{service}-south"] = "zone-b"
    return (
        await harness.async_add(f"{service}-north", service, north),
        await harness.async_add(f"{service}-south", service, south),
    )


def test_requests_and_retries_stay_in_the_home_region():
    """Guards against a retry that is sent to an endpoint elsewhere."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(1, routes=make_routes(["south"]))
            north, south = await async_add_both(harness, "plain")
            for number in range(8):
                async with harness.request("/again/x", f"q{number}") as answer:
                    assert answer.status == 200
            assert len(south.runs) == 8
            async with harness.request("/again/x", "crash", CRASH_BODY) as answer:
                assert answer.status in (502, 503)
            assert north.runs == []

    asyncio.run(async_test())


def test_stream_is_not_resumed_outside_the_home_region():
    """Guards against a stream whose prompt goes elsewhere once its endpoint ends."""

    async def async_test():
        async with async_relay_harness() as harness:
            harness.configure(1, routes=make_routes(["south"]))
            models = {"m1": []}
            north, south = await async_add_both(harness, "llm", models, models)
            south.faults = msgspec.structs.replace(south.faults, cut_after_events=2)
            async with harness.request("/stream/x", **MODEL) as answer:
                assert b"id: 2" in await answer.read()
            assert north.runs == []

    asyncio.run(async_test())


def test_requests_without_an_endpoint_at_home_are_refused_at_once():
    """Guards against a wait until the deadline, or a request served elsewhere."""

    async def async_test():
        async with async_relay_harness() as harness:
            plain = await harness.async_add("plain-north", "plain")
            engine = await harness.async_add("llm-north", "llm", {"m1": []})
            for version, homes in enumerate((["south"], ["east"], []), start=1):
                harness.configure(version, routes=make_routes(homes))
                for path in ("/again/x", "/stream/x"):
                    async with harness.request(path, "q1", **MODEL) as answer:
                        assert answer.status == 503
                        assert float(answer.headers["Retry-After"]) > 0
                        assert b"home regions" in await answer.read()
            assert plain.runs == engine.runs == []
            assert not any(harness.loads.waiting.values())

    asyncio.run(async_test())


def test_request_that_waits_while_its_homes_change_is_refused():
    """Guards against a body that goes where it was not accepted for."""

    async def async_test():
        async with async_relay_harness() as harness:
            slow = {"slo_ms": 8_000, "timeout_ms": 8_000}
            harness.configure(1, routes=make_routes(["south"], **slow))
            north, south = await async_add_both(harness, "llm", {"m1": []})
            request = harness.request("/stream/x", X_Deadline_Ms="8000", **MODEL)
            answering = asyncio.ensure_future(request.__aenter__())
            while not harness.loads.waiting["m1", ""] and not answering.done():
                await asyncio.sleep(0.01)
            report = harness.loads.take("d1", harness.state.endpoints, [])
            assert report.homes[0].regions == ("south",)
            harness.configure(2, routes=make_routes(["north"], **slow))
            answer = await answering
            assert answer.status == 503
            assert b"home regions" in await answer.read()
            async with harness.request("/stream/x", "q2", **MODEL) as answer:
                assert answer.status == 200
            assert north.runs == ["q2"]
            assert south.runs == []

    asyncio.run(async_test())
