"""Tests that the prepared machines' stand-in detects what its users must not do."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import aiohttp
import pytest

from standins import cold_state
from standins.cold_state import ColdState
from standins.prepared import PreparedMachines
from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointFaults, EndpointStandin, Successor

SERVICES = {"llm": "llm", "plain": "plain"}
LIMIT = 6
"""Requests per second that an endpoint with ``cold_per_s`` 1 tolerates: 1.5 + 5."""


def test_window_of_a_cold_process_starts_empty_and_ends_with_the_cold_phase():
    now_s = 0.0
    state = ColdState(lambda: now_s)
    state.set_limit(3.0, 1.0)
    assert not any(state.exceeds_limit(0.1 * n) for n in range(LIMIT))
    assert state.exceeds_limit(0.9)
    state.restart()
    assert not state.exceeds_limit(0.9)
    now_s = 3.0
    assert state.left_ms == 0
    assert not any(state.exceeds_limit(3.0) for _ in range(3 * LIMIT))


@pytest.mark.parametrize("per_s", [0.0, 1.0])
def test_request_above_the_cold_limit_crashes_the_endpoint(monkeypatch, per_s):
    monkeypatch.setattr(cold_state, "RATE_WINDOW_S", 600.0)

    async def async_scenario():
        machines = PreparedMachines()
        endpoint = EndpointStandin("i-1", "plain", {}, 0.1, "zone-b", "north")
        await machines.async_add(endpoint, "127.0.0.1")
        machines.configure(make_config(1, SERVICES, cold_s=600.0, cold_per_s=per_s))

        async def async_send(path="/x", **headers):
            url = f"http://{endpoint.address}{path}"
            async with session.post(url, headers=headers) as answer:
                return answer

        async with aiohttp.ClientSession() as session:
            for _ in range(2 * LIMIT):
                answer = await async_send(**{"X-Model": "absent"})
                assert answer.status == 421
            for _ in range(LIMIT):
                assert (await async_send()).status == 200
            health = await async_send("/health")
            assert ("X-Cold-Ms" in health.headers) is bool(per_s)
            assert endpoint.crash_count == 0
            if per_s:
                with pytest.raises(aiohttp.ClientError):
                    await async_send()
            assert endpoint.crash_count == endpoint.process_number == bool(per_s)
        assert {(a.domain, a.region) for a in endpoint.arrivals} == {
            ("zone-b", "north")
        }
        await machines.async_close()

    asyncio.run(async_scenario())


@pytest.mark.parametrize("target", ["i-1", "zone-b"])
def test_endpoint_that_becomes_cold_registers_it(target):
    async def async_scenario():
        machines = PreparedMachines()
        endpoint = EndpointStandin("i-1", "plain", {}, 0.1, "zone-b")
        await machines.async_add(endpoint, "127.0.0.1")
        now_s = 0.0
        endpoint.cold = ColdState(lambda: now_s)
        machines.configure(make_config(1, SERVICES, cold_s=3.0, cold_per_s=1.0))
        now_s = 100.0
        assert endpoint.cold.left_ms == 0
        assert machines.make_cold("zone-a", restarts=False) == 0
        assert machines.make_cold(target, restarts=False) == 1
        value = machines.store.rows["servers", "i-1"].value
        assert json.loads(base64.b64decode(value))["cold_left_ms"] == 3000
        await machines.async_close()

    asyncio.run(async_scenario())


def test_restored_store_gets_the_current_evacuations(monkeypatch):
    monkeypatch.setattr("standins.prepared.REWRITE_DELAY_S", 0.0)

    async def async_scenario():
        machines = PreparedMachines()
        machines.evacuate("zone-a")
        snapshot = machines.store.snapshot()
        machines.take_back("zone-a")
        machines.evacuate("zone-b")
        await machines.async_restore(snapshot)
        assert set(machines.store.rows) == {("op", "evacuate/zone-b")}

    asyncio.run(async_scenario())


def test_configuration_names_home_regions_of_routes_and_customers():
    homes = {"r-once": ["north"], "acme": ["north", "south"]}
    config = make_config(1, SERVICES, home_regions=homes, tenants=[{"name": "acme"}])
    named = {e["name"]: e.get("home_regions") for e in config["routes"]}
    assert named == {"r-stream": None, "r-once": ["north"], "r-again": None}
    assert config["tenants"] == [{"name": "acme", "home_regions": ["north", "south"]}]


@pytest.mark.parametrize(
    ("successor", "new_id"),
    [(Successor.SAME_ID, "i-1"), (Successor.NEW_ID, "i-1-1")],
)
def test_crashed_process_is_replaced_at_once_at_its_address(successor, new_id):
    """Guards against a soak in which nothing listens after a crash."""

    async def async_scenario():
        machines = PreparedMachines()
        machines.restart_delay_s = 0.0
        endpoint = EndpointStandin("i-1", "plain", {}, 0.1)
        await machines.async_add(endpoint, "127.0.0.1")
        endpoint.faults = EndpointFaults(
            crash_unframed=1, unframed_events=2, successor=successor
        )
        url = f"http://{endpoint.address}"
        async with aiohttp.ClientSession() as session:
            async with session.post(f"{url}/x") as answer:
                assert await answer.read() == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
            assert endpoint.crash_count == 1
            headers = {"X-Expect-Instance": new_id}
            async with session.get(f"{url}/api/report", headers=headers) as answer:
                assert (await answer.json())["born"] == endpoint.born_ms
        rows = [key for table, key in machines.store.rows if table == "servers"]
        assert rows == [new_id]
        await machines.async_close()

    asyncio.run(async_scenario())


def test_silent_domain_answers_after_its_silence():
    async def async_scenario():
        machines = PreparedMachines()
        endpoint = EndpointStandin("i-1", "plain", {}, 0.1, "zone-b")
        await machines.async_add(endpoint, "127.0.0.1")
        assert machines.fall_silent("zone-a", 0.2) == 0
        began_s = time.monotonic()
        assert machines.fall_silent("zone-b", 0.2) == 1
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{endpoint.address}/x") as answer,
        ):
            assert answer.status == 200
        assert time.monotonic() - began_s >= 0.2
        await machines.async_close()

    asyncio.run(async_scenario())


def test_unframed_events_end_with_the_stream():
    """Guards against events beyond a stream's last, found by seed 47 of the soak."""

    async def async_scenario():
        machines = PreparedMachines()
        endpoint = EndpointStandin("i-1", "llm", {"m0": []}, 0.1)
        await machines.async_add(endpoint, "127.0.0.1")
        endpoint.faults = EndpointFaults(end_unframed=1, unframed_events=6)
        headers = {"X-Model": "m0", "X-Token-Count": "10,5", "Last-Event-Id": "4"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{endpoint.address}/x", headers=headers) as answer,
        ):
            assert await answer.read() == b"id: 5\ndata: t5\n\n"
        await machines.async_close()

    asyncio.run(async_scenario())
