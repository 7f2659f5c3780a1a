"""An entry daemon beside crowds of callers that don't behave."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest

from standins.prepared_config import make_config
from standins.prepared_endpoint import EndpointStandin

from .deployment import CONNECTION_ERRORS
from .entry_deployment import BASE_PORT, CONTROL_PORT, SERVICES
from .platform_in_loop import PlatformInLoop
from .unruly_callers import (
    BODY_LIMIT_BYTES,
    HEADER_LIMIT_BYTES,
    Crowd,
    Target,
    async_gather_crowd,
    find_unproven_refusals,
    send_announced_oversized_body,
    send_body,
    send_body_in_chunks,
    send_body_in_pieces,
    send_complete_body,
    send_half_head,
    send_large_fields,
    send_oversized_chunk,
    send_pipeline,
    send_pipelined_bodies,
    send_pipelined_fields,
    send_prompt_parts,
    send_short_fields,
    send_short_fields_and_body,
    send_trailers,
)

MEMORY_MB = 128
"""What the settings allow the daemon, which must not take more."""
CALLERS = 250
DESCRIPTOR_LIMIT = 256
CONNECTIONS = 300
"""More than the daemon has descriptors."""
SLOW_CHUNK_CALLERS = 60
HOLD_S = 0.5
ANSWER_LIMIT_S = 20.0
RETRY_DELAY_S = 0.2
READY_PORT = BASE_PORT + 1
DIRECTORY_PORT = BASE_PORT + 2
OPERATOR_PORT = 9464
PATH_DIRECTORY = "/api/resolve?name=a.example&region=r&zone=zone-a"
HTTP_TARGETS = {
    "route": Target(BASE_PORT, "/again/x"),
    "no-route": Target(BASE_PORT, "/none/x"),
    "ready": Target(READY_PORT, "/api/ready"),
    "directory": Target(DIRECTORY_PORT, PATH_DIRECTORY),
    "operators": Target(OPERATOR_PORT, "/metrics"),
}
PEERS = Target(CONTROL_PORT, "/", "Upgrade: websocket\r\nConnection: Upgrade\r\n")
CROWDS: list[Crowd] = [
    send_body,
    send_body_in_pieces,
    send_body_in_chunks,
    send_announced_oversized_body,
    send_oversized_chunk,
    send_complete_body,
    send_trailers,
    send_short_fields,
    send_short_fields_and_body,
    send_prompt_parts,
    send_large_fields,
    send_pipeline,
    send_pipelined_fields,
    send_pipelined_bodies,
]
INCOMPLETE = {
    send_body,
    send_body_in_pieces,
    send_body_in_chunks,
    send_announced_oversized_body,
    send_oversized_chunk,
    send_trailers,
    send_short_fields,
    send_short_fields_and_body,
    send_prompt_parts,
    send_large_fields,
}
"""Crowds none of whose requests may run."""
PLAIN_CROWDS: list[Crowd] = [
    send_body,
    send_body_in_chunks,
    send_large_fields,
    send_pipeline,
    send_pipelined_fields,
]
"""Crowds at ports whose handlers read no body."""
PEER_CROWDS: list[Crowd] = [send_large_fields, send_short_fields, send_body]
CALLER_TARGETS = ("route", "no-route")
MEMORY_CASES = [
    (target, crowd)
    for target in HTTP_TARGETS
    for crowd in (CROWDS if target in CALLER_TARGETS else PLAIN_CROWDS)
]


@asynccontextmanager
async def async_one_daemon(
    tmp_path, descriptor_limit: int | None = None
) -> AsyncIterator[PlatformInLoop]:
    """Run one daemon with a plain endpoint, and with limits for callers."""
    deployment = PlatformInLoop(tmp_path)
    deployment.memory_mb = MEMORY_MB
    deployment.descriptor_limit = descriptor_limit
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    deployment.session = aiohttp.ClientSession(connector=connector)
    try:
        await deployment.async_start_platform(
            [EndpointStandin("i-plain", "plain", {}, 0.1)]
        )
        limits = {"header_bytes": HEADER_LIMIT_BYTES, "body_bytes": BODY_LIMIT_BYTES}
        deployment.machines.configure(make_config(2, SERVICES, limits=limits))
        await deployment.async_start_daemons(1)
        yield deployment
    finally:
        await deployment.async_close()


async def async_until_answered(async_call: Callable[[], Awaitable[int]]) -> None:
    """Call as an ordinary client, which repeats what was refused as not run."""
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while True:
            try:
                if await async_call() == 200:
                    return
            except CONNECTION_ERRORS:
                pass
            await asyncio.sleep(RETRY_DELAY_S)


async def async_check_ordinary_callers(deployment: PlatformInLoop) -> None:
    """Check that each port still serves an ordinary request."""

    async def async_request() -> int:
        async with deployment.request(0, "/again/x", "ordinary") as answer:
            return answer.status

    async def async_get(target: Target) -> int:
        url = f"http://{deployment.address(0)}:{target.port}{target.path}"
        status, _ = await deployment.async_get(url)
        return status

    await async_until_answered(async_request)
    for name in ("ready", "directory", "operators"):
        await async_until_answered(lambda name=name: async_get(HTTP_TARGETS[name]))


async def async_meet_crowd(
    deployment: PlatformInLoop, target: Target, crowd: Crowd, count: int
) -> None:
    """Check a daemon while a crowd is connected, and after it has left."""
    process = deployment.processes["vm-0"]
    callers = await async_gather_crowd(deployment.address(0), target, crowd, count)
    try:
        await asyncio.sleep(HOLD_S)
        assert process.is_running
        await async_check_ordinary_callers(deployment)
        if deployment.descriptor_limit is not None:
            assert process.open_descriptors < deployment.descriptor_limit
        refusals = find_unproven_refusals(callers)
    finally:
        for caller in callers:
            caller.close()
    await async_check_ordinary_callers(deployment)
    assert process.is_running
    assert process.peak_memory_mb < MEMORY_MB
    if target is HTTP_TARGETS["route"] and crowd in INCOMPLETE:
        assert refusals == []
        assert set(deployment.machines.endpoints["i-plain"].runs) == {"ordinary"}


def name_crowd(value: Crowd | str) -> str:
    name = value if isinstance(value, str) else value.__name__
    return name.removeprefix("send_")


@pytest.mark.parametrize(("target", "crowd"), MEMORY_CASES, ids=name_crowd)
def test_crowd_does_not_exhaust_the_memory(tmp_path, target, crowd):
    async def async_test():
        async with async_one_daemon(tmp_path) as deployment:
            is_slow = crowd is send_body_in_chunks
            count = SLOW_CHUNK_CALLERS if is_slow else CALLERS
            await async_meet_crowd(deployment, HTTP_TARGETS[target], crowd, count)

    asyncio.run(async_test())


@pytest.mark.parametrize("crowd", PEER_CROWDS, ids=name_crowd)
def test_crowd_at_the_port_for_peers_does_not_exhaust_the_memory(tmp_path, crowd):
    async def async_test():
        async with async_one_daemon(tmp_path) as deployment:
            await async_meet_crowd(deployment, PEERS, crowd, CALLERS)

    asyncio.run(async_test())


@pytest.mark.parametrize("crowd", [send_half_head, send_pipeline], ids=name_crowd)
@pytest.mark.parametrize("target", [*HTTP_TARGETS, "peers"])
def test_crowd_does_not_exhaust_the_descriptors(tmp_path, target, crowd):
    """Without a descriptor, a daemon accepts no connection at any of its ports."""

    async def async_test():
        async with async_one_daemon(tmp_path, DESCRIPTOR_LIMIT) as deployment:
            await async_meet_crowd(
                deployment, HTTP_TARGETS.get(target, PEERS), crowd, CONNECTIONS
            )

    asyncio.run(async_test())
