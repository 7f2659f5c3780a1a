"""Tests of fault plans and of shrinking a failing plan."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from soak.plan import (
    ELIGIBILITY_KINDS,
    SILENCE_KINDS,
    FaultKind,
    Plan,
    async_shrink,
    make_eligibility_plan,
    make_plan,
)

TIME_S = 20.0
TARGET_COUNT = 12


def test_plan_is_deterministic_per_seed():
    assert make_plan(7, TIME_S, TARGET_COUNT) == make_plan(7, TIME_S, TARGET_COUNT)
    assert make_plan(7, TIME_S, TARGET_COUNT) != make_plan(8, TIME_S, TARGET_COUNT)


def test_plans_cover_every_fault_kind():
    plans = [make_plan(seed, TIME_S, TARGET_COUNT) for seed in range(20)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(FaultKind) - ELIGIBILITY_KINDS - SILENCE_KINDS
    plans = [make_eligibility_plan(seed, TIME_S, TARGET_COUNT) for seed in range(20)]
    assert plans == [make_eligibility_plan(n, TIME_S, TARGET_COUNT) for n in range(20)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn >= ELIGIBILITY_KINDS
    assert {plan.eligibility.home_regions for plan in plans} == {(), ("north",)}


@pytest.mark.parametrize(
    ("seed", "digest"), [(1, "886502601b19c624"), (205, "6b687ae26edd37d5")]
)
def test_recorded_seeds_still_name_the_same_plan(seed, digest):
    plan = msgspec.json.encode(make_plan(seed, 15.0, TARGET_COUNT))
    assert hashlib.sha256(plan).hexdigest()[:16] == digest


@pytest.mark.parametrize("make", [make_plan, make_eligibility_plan])
@given(seed=st.integers(0, 10_000))
def test_plan_survives_json_round_trip(make, seed):
    plan = make(seed, TIME_S, TARGET_COUNT)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan


@pytest.mark.parametrize("make", [make_plan, make_eligibility_plan])
@given(
    seed=st.integers(0, 200),
    places=st.sets(st.integers(0, 30), min_size=1, max_size=3),
)
def test_shrink_keeps_only_needed_faults(make, seed, places):
    plan = make(seed, TIME_S, TARGET_COUNT)
    needed = {plan.faults[place % len(plan.faults)] for place in places}

    async def async_fails(candidate: Plan) -> bool:
        return needed <= set(candidate.faults)

    remaining = asyncio.run(async_shrink(plan, async_fails))
    assert set(remaining.faults) == needed
    assert remaining.eligibility == plan.eligibility
