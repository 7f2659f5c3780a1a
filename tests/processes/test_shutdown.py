"""Requests that arrive while a daemon shuts down are answered or left unread.

A stopping daemon used to read requests on keep-alive or new connections without
answering them; the connections were closed when the process exited, up to a second
later. Clients must not retry a non-idempotent request in that case.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointStandin

from .deployment import (
    CONNECTION_ERRORS,
    GATEWAY_PORT,
    KEY,
    async_deploy,
    async_start_all,
)
from .entry_deployment import BASE_PORT, SERVICES, async_entry_deployment
from .platform_in_loop import PlatformInLoop, async_platform_in_loop
from .shutdown_sweep import OCCASIONAL_STALLS, TENTH_OF_CORE, ShutdownSweep

STREAM_EVENTS = 400
"""The stream takes about 2.3 s; the route allows 4 s."""
STREAM_DEADLINE_MS = "4000"
STREAM_GAP_S = 0.9
EXPECTED_LOAD_S = 9.5
"""Requests with 15 s left wait for such a load."""
SLOW_LOAD_S = 30.0
CONFIG_APPLY_S = 2.0
LOAD_BEGIN_S = 1.5
"""Time after which the placer has announced a load that requests wait for."""
SUSPENDED_S = (6.5, 7.4)
"""From before until after the last 0.5 s of draining, which ends after 7.2 s."""


def make_entry_request(request_id: str) -> bytes:
    return (
        f"POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {request_id}\r\n"
        "X-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


async def async_keep_streaming(deployment) -> int:
    """Keep a daemon from exiting by opening streams while it accepts them.

    Returns
    -------
    int
        Number of streams that were accepted; all of them were complete.
    """
    headers = {
        "X_Model": "m0",
        "X_Token_Count": f"10,{STREAM_EVENTS}",
        "X_Deadline_Ms": STREAM_DEADLINE_MS,
    }
    bodies = []

    async def async_read(answer):
        async with answer:
            body = await answer.read()
        assert body.count(b"id: ") == STREAM_EVENTS

    for number in itertools.count():
        sent = deployment.request(0, "/stream/x", f"long{number}", **headers)
        try:
            answer = await sent.__aenter__()
        except CONNECTION_ERRORS:
            break
        if answer.status == 200:
            bodies.append(asyncio.ensure_future(async_read(answer)))
        await asyncio.sleep(STREAM_GAP_S)
    await asyncio.gather(*bodies)
    return len(bodies)


async def async_sweep_entry(directory, stalls) -> tuple[int, int]:
    """Stop a daemon that gets requests, of which none may be lost.

    Returns
    -------
    tuple of int
        Numbers of complete streams and of requests with a response.
    """
    async with async_entry_deployment(directory, 2) as deployment:
        sweep = ShutdownSweep(
            deployment.processes["vm-0"],
            deployment.address(0),
            BASE_PORT,
            make_entry_request,
            stalls=stalls,
        )
        streams = asyncio.ensure_future(async_keep_streaming(deployment))
        await sweep.async_run("q")
        stream_count = await streams
        endpoints = await deployment.async_endpoints()
        executed_ids = {run for row in endpoints.values() for run in row["runs"]}
        assert sweep.lost_requests(executed_ids) == []
        return stream_count, sum(a.status == 200 for a in sweep.requests)


@pytest.mark.parametrize("stalls", [None, OCCASIONAL_STALLS])
def test_no_request_is_lost_during_entry_shutdown(tmp_path, stalls):
    streams, answers = asyncio.run(async_sweep_entry(tmp_path, stalls))
    assert streams > 2
    assert answers > 50


def test_no_request_is_lost_during_shutdown_with_tenth_of_a_core(tmp_path):
    """Requests that waited in sockets were reset, long after they had been sent."""
    streams, answers = asyncio.run(async_sweep_entry(tmp_path, TENTH_OF_CORE))
    assert streams
    assert answers


async def async_read_status(deployment: PlatformInLoop, request_id: str) -> int:
    headers = {"X_Model": "m2", "X_Token_Count": "10,1", "X_Deadline_Ms": "15000"}
    async with deployment.request(0, "/stream/x", request_id, **headers) as answer:
        return answer.status


def test_daemon_suspended_at_its_drain_deadline_refuses_waiting_requests(tmp_path):
    """It used to exit without an answer to them."""

    async def async_test():
        endpoints = [
            EndpointStandin(f"i-{number}", "llm", {f"m{number}": []}, SLOW_LOAD_S)
            for number in range(2)
        ]
        async with async_platform_in_loop(tmp_path, endpoints, 2) as deployment:
            config = make_config(2, SERVICES)
            for route in config["routes"]:
                route.update(timeout_ms=15_000, slo_ms=6000)
            for model in config["services"][0]["engine"]["models"]:
                model["load_s"] = EXPECTED_LOAD_S
            deployment.machines.configure(config)
            await asyncio.sleep(CONFIG_APPLY_S)
            names = [f"q{number}" for number in range(3)]
            sent = [async_read_status(deployment, name) for name in names]
            waiting = [asyncio.ensure_future(request) for request in sent]
            await asyncio.sleep(LOAD_BEGIN_S)
            assert not any(request.done() for request in waiting)
            daemon = deployment.processes["vm-0"]
            daemon.terminate()
            await asyncio.sleep(SUSPENDED_S[0])
            daemon.freeze()
            await asyncio.sleep(SUSPENDED_S[1] - SUSPENDED_S[0])
            daemon.resume()
            assert await asyncio.gather(*waiting) == [503, 503, 503]
            assert await daemon.async_wait() == 0

    asyncio.run(async_test())


def make_gateway_request(request_id: str) -> bytes:
    body = request_id.encode()
    head = (
        "POST /services/permits/x HTTP/1.1\r\nHost: gateway\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@pytest.mark.parametrize("stalls", [None, OCCASIONAL_STALLS])
def test_no_request_is_lost_during_gateway_shutdown(tmp_path, stalls):
    async def async_test():
        async with async_deploy(tmp_path) as deployment:
            deployment.start_engine(1)
            deployment.start_service(1)
            await async_start_all(deployment)
            fleet = deployment.fleet_text({"m": {"memory_mb": 40}})
            await deployment.async_apply(fleet, 0, "--wait")
            await deployment.async_until_served("m")
            sweep = ShutdownSweep(
                deployment.processes["gateway-1"],
                f"{deployment.subnet}.11",
                GATEWAY_PORT,
                make_gateway_request,
                stalls=stalls,
            )
            await sweep.async_run("q")
            url = deployment.services["service-1"]
            runs = await deployment.async_get(f"{url}/standin/executions")
            assert sweep.lost_requests({run["body"] for run in runs}) == []
            assert sum(a.status == 200 for a in sweep.requests) > 20

    asyncio.run(async_test())
