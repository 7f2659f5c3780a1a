"""Endpoints that announce a rate limit, with daemons as separate processes."""

from __future__ import annotations

import asyncio
import itertools

from ..rates import LIMIT_WINDOW_S, max_events_in_window, max_requests_in_window
from .entry_deployment import CONNECTION_ERRORS, async_entry_deployment

DAEMONS = 3
LIMIT_PER_S = 2.0
FLOOD_S = 4.5
PAUSE_S = 0.05
NO_ANSWER = 0
PLAIN = ("i-plain0", "i-plain1")


async def async_flood(deployment, number: int, statuses: list[int]) -> None:
    """Send requests to one daemon, one at a time."""
    end_s = asyncio.get_running_loop().time() + FLOOD_S
    for count in itertools.count():
        if asyncio.get_running_loop().time() > end_s:
            return
        request_id = f"q{number}-{count}"
        try:
            async with deployment.request(number, "/once/x", request_id) as answer:
                await answer.read()
                statuses.append(answer.status)
        except CONNECTION_ERRORS:
            statuses.append(NO_ANSWER)
        await asyncio.sleep(PAUSE_S)


def test_daemons_together_respect_endpoint_limit(tmp_path):
    async def async_test():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            for name in PLAIN:
                await deployment.async_set_endpoint(name, limit_per_s=LIMIT_PER_S)
            statuses: list[int] = []
            floods = (async_flood(deployment, n, statuses) for n in range(DAEMONS))
            await asyncio.gather(*floods)
            assert set(statuses) <= {200, 503}
            assert 200 in statuses
            endpoints = await deployment.async_endpoints()
            for name in PLAIN:
                arrived_s = endpoints[name]["arrived_s"]
                got = max_events_in_window(arrived_s, LIMIT_WINDOW_S)
                assert got <= max_requests_in_window(LIMIT_PER_S), name

    asyncio.run(async_test())


def test_endpoint_limit_holds_while_daemons_restart(tmp_path):
    """One daemon grants the permits, and a restarted daemon knows no limits."""

    async def async_test():
        async with async_entry_deployment(tmp_path, DAEMONS) as deployment:
            for name in PLAIN:
                await deployment.async_set_endpoint(name, limit_per_s=LIMIT_PER_S)
            statuses: list[int] = []
            floods = [
                asyncio.ensure_future(async_flood(deployment, n, statuses))
                for n in range(DAEMONS)
            ]
            for number in range(DAEMONS):
                await asyncio.sleep(FLOOD_S / DAEMONS)
                deployment.processes[f"vm-{number}"].kill()
                deployment.start_daemon(number)
            await asyncio.gather(*floods)
            assert 200 in statuses
            for name, endpoint in (await deployment.async_endpoints()).items():
                got = max_events_in_window(endpoint["arrived_s"], LIMIT_WINDOW_S)
                assert got <= max_requests_in_window(LIMIT_PER_S), name

    asyncio.run(async_test())
