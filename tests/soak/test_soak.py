"""Short soak runs; for longer ones use ``make soak SEED=1 SEEDS=50``."""

from __future__ import annotations

import asyncio

import pytest

from soak.main import TARGET_COUNT
from soak.plan import make_eligibility_plan, make_plan
from soak.run import async_run_plan
from soak.silence_plan import make_silence_plan

SECONDS = 15.0
DAEMONS = 3
SILENCE_SECONDS = 9.0


@pytest.mark.parametrize("seed", [1, 2])
def test_invariants_hold_under_random_faults(tmp_path, seed):
    plan = make_plan(seed, SECONDS, TARGET_COUNT)
    result = asyncio.run(async_run_plan(tmp_path, plan, DAEMONS))
    assert result.violations == []
    assert result.statuses["once 200"] and result.statuses["stream 200"]


@pytest.mark.parametrize("seed", [2, 5])
def test_requests_reach_only_eligible_endpoints_under_faults(tmp_path, seed):
    plan = make_eligibility_plan(seed, SECONDS, TARGET_COUNT)
    result = asyncio.run(async_run_plan(tmp_path, plan, DAEMONS))
    assert result.violations == []
    assert result.statuses["once 200"] and result.statuses["stream 200"]


@pytest.mark.parametrize("seed", [2, 25])
def test_answers_are_whole_while_endpoints_are_silent_or_replaced(tmp_path, seed):
    """Guards against answers that end early; seed 2 contains only silences."""
    plan = make_silence_plan(seed, SILENCE_SECONDS, TARGET_COUNT)
    result = asyncio.run(async_run_plan(tmp_path, plan, DAEMONS))
    assert result.violations == []
    assert result.statuses["once 200"] and result.statuses["stream 200"]
