"""Requests that a stopping daemon accepts are answered, however slow endpoints are."""

from __future__ import annotations

import asyncio

import pytest

from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointFaults, EndpointStandin

from .deployment import CONNECTION_ERRORS
from .entry_deployment import SERVICES
from .platform_in_loop import async_platform_in_loop, make_engine

CONFIG_APPLY_S = 2.0
STREAM_EVENTS = 150
SLOW_INTERVAL_S = 0.04
"""Time between events, eight times that of the streams before: 6 s for a stream."""
TIME_LIMIT_MS = 15_000
GRACE_S = 8.0
REQUEST_INTERVAL_S = 0.2
WORK_S = 5.0
STREAM = {
    "X_Model": "m0",
    "X_Token_Count": f"10,{STREAM_EVENTS}",
    "X_Deadline_Ms": str(TIME_LIMIT_MS),
}
ONCE = {"X_Deadline_Ms": str(TIME_LIMIT_MS)}
REFUSED = "refused"
WHOLE = "whole"
UNKNOWN = "unknown"
CUT = "cut"


async def async_result(deployment, path, request_id, headers) -> str:
    """Return how a request ended, as its caller sees it."""
    try:
        sent = deployment.request(0, path, request_id, **headers)
        answer = await sent.__aenter__()
    except CONNECTION_ERRORS as error:
        is_refused = isinstance(getattr(error, "os_error", None), ConnectionError)
        return REFUSED if is_refused else CUT
    async with answer:
        try:
            body = await answer.read()
        except CONNECTION_ERRORS:
            return CUT
    if answer.status == 200:
        is_whole = path != "/stream/x" or body.count(b"id: ") == STREAM_EVENTS
        return WHOLE if is_whole else CUT
    return UNKNOWN if answer.headers["Chutelink-Outcome"] == UNKNOWN else REFUSED


async def async_prepare(deployment, timeout_ms: int = TIME_LIMIT_MS) -> None:
    """Set the time limit of all routes, and finish some fast streams."""
    config = make_config(2, SERVICES)
    for route in config["routes"]:
        route["timeout_ms"] = timeout_ms
    deployment.machines.configure(config)
    await asyncio.sleep(CONFIG_APPLY_S)
    for number in range(10):
        warm = f"warm{number}"
        assert await async_result(deployment, "/stream/x", warm, STREAM) == WHOLE


async def async_send_while_stopping(deployment, path, headers) -> list[str]:
    """Return how the requests ended that were sent from the stop signal on."""
    daemon = deployment.processes["vm-0"]
    daemon.terminate()
    tasks = []
    while daemon.is_running and len(tasks) < GRACE_S / REQUEST_INTERVAL_S:
        sent = async_result(deployment, path, f"late{len(tasks)}", headers)
        tasks.append(asyncio.ensure_future(sent))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    results = await asyncio.gather(*tasks)
    assert await daemon.async_wait() == 0
    return results


def test_streams_accepted_while_stopping_are_not_cut_when_engines_slow_down(tmp_path):
    async def async_test():
        engine = make_engine("i-1")
        async with async_platform_in_loop(tmp_path, [engine], 2) as deployment:
            await async_prepare(deployment)
            engine.faults = EndpointFaults(event_interval_s=SLOW_INTERVAL_S)
            results = await async_send_while_stopping(deployment, "/stream/x", STREAM)
            assert set(results) <= {WHOLE, REFUSED}
            assert REFUSED in results

    asyncio.run(async_test())


def test_non_idempotent_requests_accepted_while_stopping_are_not_cut(tmp_path):
    """The route has no time limit, and its endpoint takes longer than its objective."""

    async def async_test():
        endpoints = [make_engine("i-1"), EndpointStandin("i-2", "plain", {}, 0.1)]
        async with async_platform_in_loop(tmp_path, endpoints, 2) as deployment:
            await async_prepare(deployment, timeout_ms=0)
            endpoints[1].faults = EndpointFaults(work_s=WORK_S)
            results = await async_send_while_stopping(deployment, "/once/x", ONCE)
            assert set(results) <= {WHOLE, REFUSED}
            assert REFUSED in results

    asyncio.run(async_test())


@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
def test_request_that_outlasts_the_grace_period_is_answered_as_unknown(tmp_path, path):
    async def async_test():
        endpoints = [make_engine("i-1"), EndpointStandin("i-2", "plain", {}, 0.1)]
        async with async_platform_in_loop(tmp_path, endpoints, 2) as deployment:
            await async_prepare(deployment)
            endpoints[1].faults = EndpointFaults(work_s=GRACE_S + 4.0)
            sent = async_result(deployment, path, "long", ONCE)
            task = asyncio.ensure_future(sent)
            await asyncio.sleep(REQUEST_INTERVAL_S)
            deployment.processes["vm-0"].terminate()
            assert await task == UNKNOWN

    asyncio.run(async_test())
