"""Tests of fault plans and of shrinking a failing plan."""

from __future__ import annotations

import asyncio

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from soak.plan import FaultKind, Plan, async_shrink, make_plan

TIME_S = 20.0
TARGET_COUNT = 12


def test_plan_is_deterministic_per_seed():
    assert make_plan(7, TIME_S, TARGET_COUNT) == make_plan(7, TIME_S, TARGET_COUNT)
    assert make_plan(7, TIME_S, TARGET_COUNT) != make_plan(8, TIME_S, TARGET_COUNT)


def test_plans_cover_every_fault_kind():
    plans = [make_plan(seed, TIME_S, TARGET_COUNT) for seed in range(20)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(FaultKind)


@given(st.integers(0, 10_000))
def test_plan_survives_json_round_trip(seed):
    plan = make_plan(seed, TIME_S, TARGET_COUNT)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan


@given(st.integers(0, 200), st.sets(st.integers(0, 30), min_size=1, max_size=3))
def test_shrink_keeps_only_needed_faults(seed, places):
    plan = make_plan(seed, TIME_S, TARGET_COUNT)
    needed = {plan.faults[place % len(plan.faults)] for place in places}

    async def async_fails(candidate: Plan) -> bool:
        return needed <= set(candidate.faults)

    remaining = asyncio.run(async_shrink(plan, async_fails))
    assert set(remaining.faults) == needed
