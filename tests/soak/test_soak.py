"""A short run of the soak; longer ones: ``make soak SEED=1 SEEDS=50``."""

from __future__ import annotations

import asyncio

import pytest

from soak.main import TARGETS
from soak.plan import make_plan
from soak.run import async_play

SECONDS = 15.0
DAEMONS = 3


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_whatever_happens(tmp_path, seed):
    plan = make_plan(seed, SECONDS, TARGETS)
    verdict = asyncio.run(async_play(tmp_path, plan, DAEMONS))
    assert verdict.violations == []
    assert verdict.statuses["once 200"] and verdict.statuses["stream 200"]
