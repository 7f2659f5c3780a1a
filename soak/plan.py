"""Fault plans: which faults are injected when, drawn from a seed. No I/O.

A plan can be saved as JSON, run again, and shrunk to the faults that are needed.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

MEAN_FAULT_INTERVAL_S = 0.35
"""Mean time between the starts of faults; most last longer, so that they overlap."""
MIN_FAULT_DURATION_S = 0.2
MAX_FAULT_DURATION_S = 2.5
BURST_S = 6.0
"""Duration of a burst of faults; each burst is followed by a recovery period."""
RECOVERY_S = 9.0
"""Long enough for the last fault to end and for all bounds to apply again."""
CONFIG_CHANGE_DELAY_S = 6.0
"""Start of a configuration change, counted from the end of the burst.

By then the bound on configuration changes applies again.
"""


class FaultKind(Enum):
    """Kinds of faults, named by what is affected."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    RELOAD = "reload"
    STORE_OUT = "store_out"
    STORE_SLOW = "store_slow"
    STORE_LOSES_REPLIES = "store_loses_replies"
    STORE_DROPS_HISTORY = "store_forgets"
    STORE_RESTORED = "store_restored"
    LINKS_RESET = "links_reset"
    LINKS_SILENT = "links_silent"
    LINKS_SLOW = "links_slow"
    LINKS_ONE_WAY = "links_one_way"
    CONFIGURE = "configure"
    ENDPOINT_RETURNS_ERRORS = "endpoint_errs"
    ENDPOINT_REFUSES = "endpoint_refuses"
    ENDPOINT_CUTS_STREAMS = "endpoint_cuts"
    ENDPOINT_HANGS = "endpoint_mute"
    ENDPOINT_RETURNS_WRONG_ID = "endpoint_spoils"
    ENDPOINT_LOSES_ORDERS = "endpoint_loses_orders"
    ENDPOINT_LEAVES = "endpoint_leaves"
    ENDPOINT_SAYS_LEAVING = "endpoint_says_leaving"
    ENDPOINT_LIMITS = "endpoint_limits"
    ENDPOINT_PAUSES = "endpoint_pauses"


class Fault(msgspec.Struct, frozen=True):
    """One fault; ``at_s`` counts from the start of the plan.

    ``target`` is the number of a daemon or an endpoint, depending on the kind.
    ``strength`` is between 0 and 1.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    strength: float


class Plan(msgspec.Struct, frozen=True):
    """All faults of one run, ordered by start time."""

    seed: int
    time_s: float
    faults: tuple[Fault, ...]


def make_plan(seed: int, time_s: float, target_count: int) -> Plan:
    """Return the plan for a seed."""
    rng = random.Random(seed)
    faults = []
    start_s = 0.0
    while start_s < time_s:
        faults += _make_burst(rng, start_s, target_count)
        change_s = start_s + BURST_S + CONFIG_CHANGE_DELAY_S
        faults.append(Fault(change_s, FaultKind.CONFIGURE, 0, 0.0, 0.0))
        start_s += BURST_S + RECOVERY_S
    started = [fault for fault in faults if fault.at_s < time_s]
    return Plan(seed, time_s, tuple(started))


def _make_burst(rng: random.Random, start_s: float, target_count: int) -> list[Fault]:
    """Return the faults of one burst."""
    faults = []
    at_s = start_s + rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    while at_s < start_s + BURST_S:
        fault = Fault(
            at_s=round(at_s, 3),
            kind=rng.choice(list(FaultKind)),
            target=rng.randrange(target_count),
            for_s=round(rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S), 3),
            strength=round(rng.random(), 3),
        )
        faults.append(fault)
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return faults


async def async_shrink(
    plan: Plan, async_fails: Callable[[Plan], Awaitable[bool]]
) -> Plan:
    """Return a plan with fewer faults that still fails.

    Removes ranges of faults, long ones first, as long as the remaining plan fails.
    """
    size = len(plan.faults) // 2
    while size:
        start = 0
        while start < len(plan.faults):
            remaining = plan.faults[:start] + plan.faults[start + size :]
            candidate = msgspec.structs.replace(plan, faults=remaining)
            if await async_fails(candidate):
                plan = candidate
            else:
                start += size
        size //= 2
    return plan
