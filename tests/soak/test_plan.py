"""Plans of faults, and what is left of one that fails."""

from __future__ import annotations

import asyncio

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from soak.plan import FaultKind, Plan, async_shrink, make_plan

TIME_S = 20.0
TARGETS = 12


def test_a_seed_draws_the_same_plan_each_time():
    assert make_plan(7, TIME_S, TARGETS) == make_plan(7, TIME_S, TARGETS)
    assert make_plan(7, TIME_S, TARGETS) != make_plan(8, TIME_S, TARGETS)


def test_every_kind_of_fault_is_drawn():
    plans = [make_plan(seed, TIME_S, TARGETS) for seed in range(20)]
    drawn = {fault.kind for plan in plans for fault in plan.faults}
    assert drawn == set(FaultKind)


@given(st.integers(0, 10_000))
def test_a_plan_that_was_written_down_is_read_back(seed):
    plan = make_plan(seed, TIME_S, TARGETS)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan


@given(st.integers(0, 200), st.sets(st.integers(0, 30), min_size=1, max_size=3))
def test_only_the_faults_that_are_needed_are_left(seed, places):
    plan = make_plan(seed, TIME_S, TARGETS)
    needed = {plan.faults[place % len(plan.faults)] for place in places}

    async def async_fails(smaller: Plan) -> bool:
        return needed <= set(smaller.faults)

    left = asyncio.run(async_shrink(plan, async_fails))
    assert set(left.faults) == needed
