"""A request that crashes endpoints that a supervisor restarts at once.

Guards against counting two crashes as one. Crashes were distinguished by the time
between them, so a second crash of a restarted endpoint within 0.25 s was not counted.
A request crashed four or five endpoints, up to nine if they restarted within 20 ms,
although three crashes quarantine it. In each such run, the additional request went to a
process that had started after the previous crash was known.
"""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from chutelink.quarantine.const import ENDINGS_TO_HOLD
from standins.prepared import PreparedMachines

from .test_crashing_requests import async_count_crashes

ROUTES = {
    "idempotent": ("/again/x", "plain", {}),
    "non-idempotent": ("/once/x", "plain", {}),
    "resumable": ("/stream/x", "llm", {"X_Model": "m0", "X_Token_Count": "10,5"}),
}
MAX_STALL_INTERVAL_S = 0.1


async def async_block_loop(rng: random.Random, max_stall_s: float) -> None:
    """Block the event loop at random times, like a loaded machine."""
    while True:
        await asyncio.sleep(rng.uniform(0.0, MAX_STALL_INTERVAL_S))
        time.sleep(rng.uniform(0.0, max_stall_s))


async def async_count_crashes_under_stalls(
    route: str, seed: int, max_stall_s: float
) -> int:
    path, service, headers = ROUTES[route]
    rng = random.Random(seed)
    blocker = asyncio.ensure_future(async_block_loop(rng, max_stall_s))
    try:
        return await async_count_crashes(path, service, **headers)
    finally:
        blocker.cancel()


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("max_stall_s", [0.04, 0.1])
def test_crashes_are_counted_individually_while_event_loop_stalls(route, max_stall_s):
    for seed in range(4):
        crashes = asyncio.run(
            async_count_crashes_under_stalls(route, seed, max_stall_s)
        )
        assert 1 <= crashes <= ENDINGS_TO_HOLD, seed


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("restart_delay_s", [0.02, 0.05, 0.3])
def test_crashes_are_counted_individually_for_any_restart_time(
    route, restart_delay_s, monkeypatch
):
    fixed = property(lambda machines: restart_delay_s, lambda machines, value: None)
    monkeypatch.setattr(PreparedMachines, "restart_delay_s", fixed, raising=False)
    path, service, headers = ROUTES[route]
    crashes = asyncio.run(async_count_crashes(path, service, **headers))
    assert 1 <= crashes <= ENDINGS_TO_HOLD
