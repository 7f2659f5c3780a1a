"""A request that ends its endpoints, which a supervisor starts again at once.

What users saw: one request ended four or five endpoints, and up to nine where they
were back within 20 ms, though three ends keep it away.

The order of events: an endpoint ends under the request and is back under its id; the
next run of the request ends it again within 0.25 s; the daemon takes that for the end
that it knows already and counts it once.

The cause: ends were told apart by the time between them. The evidence: in each run with
too many ends the additional one was sent after the end before was known, to a process
that had started later, and was given the name of the end before.
"""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from chutelink.quarantine.const import ENDINGS_TO_HOLD
from standins.prepared import PreparedMachines

from .test_deadly_requests import async_count_ends

ROUTES = {
    "idempotent": ("/again/x", "plain", {}),
    "non-idempotent": ("/once/x", "plain", {}),
    "resumable": ("/stream/x", "llm", {"X_Model": "m0", "X_Token_Count": "10,5"}),
}
MAX_PAUSE_S = 0.1


async def async_block_loop(rng: random.Random, max_stall_s: float) -> None:
    """Block the event loop now and then, as a loaded machine does."""
    while True:
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
        time.sleep(rng.uniform(0.0, max_stall_s))


async def async_count_under_stalls(route: str, seed: int, max_stall_s: float) -> int:
    path, service, headers = ROUTES[route]
    rng = random.Random(seed)
    blocker = asyncio.ensure_future(async_block_loop(rng, max_stall_s))
    try:
        return await async_count_ends(path, service, **headers)
    finally:
        blocker.cancel()


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("max_stall_s", [0.04, 0.1])
def test_ends_are_counted_one_by_one_while_the_loop_stalls(route, max_stall_s):
    for seed in range(4):
        ends = asyncio.run(async_count_under_stalls(route, seed, max_stall_s))
        assert 1 <= ends <= ENDINGS_TO_HOLD, seed


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("away_s", [0.02, 0.05, 0.3])
def test_ends_are_counted_one_by_one_however_soon_an_endpoint_is_back(
    route, away_s, monkeypatch
):
    fixed = property(lambda machines: away_s, lambda machines, value: None)
    monkeypatch.setattr(PreparedMachines, "away_s", fixed, raising=False)
    path, service, headers = ROUTES[route]
    ends = asyncio.run(async_count_ends(path, service, **headers))
    assert 1 <= ends <= ENDINGS_TO_HOLD
