"""Requests through one daemon while failure domains are evacuated."""

from __future__ import annotations

import asyncio

import pytest

from chutelink.entry.messages import PendingLoad
from chutelink.watching.table_state import RowChange
from standins.prepared_config import make_config

from .relay_harness import SERVICES, async_relay_harness

STREAM = {"X_Model": "m0", "X_Token_Count": "10,8"}
ROUTES = {
    "idempotent": ("/again/x", "plain", None, {}),
    "non-idempotent": ("/once/x", "plain", None, {}),
    "stream": ("/stream/x", "llm", {"m0": []}, STREAM),
}


async def async_add(harness, name, service, models, zone):
    """Add an endpoint in a failure domain."""
    endpoint = await harness.async_add(name, service, models)
    row = endpoint.registration() | {"zone": zone}
    harness.state.apply_row(RowChange(f"endpoints/{name}", row))
    return endpoint


def run(test, *arguments) -> None:
    async def async_run():
        async with async_relay_harness() as harness:
            harness.configure()
            await test(harness, *arguments)

    asyncio.run(async_run())


async def async_send(harness, path, request_id="q1", **headers):
    async with harness.request(path, request_id, **headers) as answer:
        await answer.read()
        return answer


@pytest.mark.parametrize("route", ROUTES)
def test_evacuated_domain_gets_no_requests_until_it_is_taken_back(route):
    path, service, models, headers = ROUTES[route]

    async def async_test(harness):
        first = await async_add(harness, "i-1", service, models, "zone-a")
        other = await async_add(harness, "i-2", service, models, "zone-b")
        harness.evacuate("zone-a", {})
        for number in range(10):
            answer = await async_send(harness, path, f"q{number}", **headers)
            assert answer.status == 200
        assert first.runs == []
        harness.evacuate("zone-b", {})
        harness.evacuate("zone-a", None)
        assert (await async_send(harness, path, "last", **headers)).status == 200
        assert first.runs == ["last"]
        assert len(other.runs) == 10

    run(async_test)


@pytest.mark.parametrize("route", ROUTES)
def test_request_is_refused_at_once_if_all_endpoints_are_evacuated(route):
    """Guards against a wait for the deadline."""
    path, service, models, headers = ROUTES[route]

    async def async_test(harness):
        only = await async_add(harness, "i-1", service, models, "zone-a")
        harness.evacuate("zone-a", {})
        answer = await async_send(harness, path, **headers)
        assert answer.status == 503
        assert answer.headers["Chutelink-Outcome"] == "not-run"
        assert only.runs == []

    run(async_test)


def test_wait_for_a_model_ends_when_its_last_endpoint_is_evacuated():
    """Guards against a wait for a load that nobody can use."""

    async def async_test(harness):
        routes = make_config(2, SERVICES)["routes"]
        for route in routes:
            route |= {"slo_ms": 60_000, "timeout_ms": 90_000}
        harness.configure(2, routes=routes)
        await async_add(harness, "i-1", "llm", {"m1": []}, "zone-a")
        now_s = harness.core.clock()
        harness.pending.take([PendingLoad("i-1", "m0", "", 50.0)], 1, now_s)
        headers = STREAM | {"X_Deadline_Ms": "90000"}
        waiting = asyncio.ensure_future(async_send(harness, "/stream/x", **headers))
        async with asyncio.timeout(5):
            while not harness.loads.waiting[("m0", "")]:
                await asyncio.sleep(0.001)
            harness.evacuate("zone-a", {})
            answer = await waiting
        assert answer.status == 503
        assert "evacuated" in (await answer.json(content_type=None))["title"]

    run(async_test)


def test_stream_runs_on_and_its_resumption_goes_elsewhere():
    """Guards against requests that end, or are sent again, in an evacuated domain."""

    async def async_test(harness):
        first = await async_add(harness, "i-1", "llm", {"m0": []}, "zone-a")
        first.faults = type(first.faults)(cut_after_events=3)
        running = harness.request("/stream/x", **STREAM)
        async with running as answer:
            body = await answer.content.readuntil(b"\n\n")
            harness.evacuate("zone-a", {})
            other = await async_add(harness, "i-2", "llm", {"m0": []}, "zone-b")
            body += await answer.read()
        assert body.count(b"id: ") == 8
        assert first.runs == other.runs == ["q1"]

    run(async_test)


@pytest.mark.parametrize("route", ROUTES)
def test_evacuation_while_connecting_sends_the_request_elsewhere(route, monkeypatch):
    """Guards against requests that are sent up to a connection's timeout too late."""
    path, service, models, headers = ROUTES[route]

    async def async_test(harness):
        first = await async_add(harness, "i-1", service, models, "zone-a")
        for session in (harness.upstream._pooled, harness.upstream._unpooled):
            evacuate_on_connect(session.connector, harness)
        other = await async_add(harness, "i-2", service, models, "zone-b")
        # The daemon is in zone-a, whose endpoints it prefers.
        assert (await async_send(harness, path, **headers)).status == 200
        assert harness.evacuations.has_any
        assert first.runs == []
        assert other.runs == ["q1"]
        assert harness.state.health.is_reachable("i-1", harness.core.clock())

    def evacuate_on_connect(connector, harness):
        async_create = connector._create_connection

        async def async_create_and_evacuate(*arguments):
            connection = await async_create(*arguments)
            harness.evacuate("zone-a", {})
            return connection

        monkeypatch.setattr(connector, "_create_connection", async_create_and_evacuate)

    run(async_test)


def test_request_waits_for_current_evacuations_after_a_suspension():
    """Guards against requests that are processed before the store has been read."""

    async def async_test(harness):
        first = await async_add(harness, "i-1", "plain", None, "zone-a")
        other = await async_add(harness, "i-2", "plain", None, "zone-b")
        checks = iter([True, True])

        def is_outdated():
            if next(checks, False):
                return True
            harness.evacuate("zone-a", {})
            return False

        harness.eligibility.is_outdated = is_outdated
        assert (await async_send(harness, "/once/x")).status == 200
        assert first.runs == []
        assert other.runs == ["q1"]

    run(async_test)
