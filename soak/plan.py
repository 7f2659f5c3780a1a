"""What happens to a deployment and when, drawn from a seed. Pure.

A plan can be written down, played again, and cut down to the faults that are needed.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

GAP_S = 0.35
"""Mean time between two faults; each lasts longer, so that they overlap."""
MIN_FOR_S = 0.2
MAX_FOR_S = 2.5
BURST_S = 6.0
"""Faults begin in stretches of this time, each followed by one without any."""
CALM_S = 9.0
"""Long enough for the last fault to end and for all bounds to hold again."""
CALM_CHANGE_S = 6.0
"""When in a calm stretch the configuration changes, which must then be in force."""


class FaultKind(Enum):
    """What is done to a deployment from outside."""

    KILL = "kill"
    STOP = "stop"
    FREEZE = "freeze"
    RELOAD = "reload"
    STORE_OUT = "store_out"
    STORE_SLOW = "store_slow"
    STORE_LOSES_REPLIES = "store_loses_replies"
    STORE_FORGETS = "store_forgets"
    STORE_RESTORED = "store_restored"
    LINKS_RESET = "links_reset"
    LINKS_SILENT = "links_silent"
    LINKS_SLOW = "links_slow"
    LINKS_ONE_WAY = "links_one_way"
    CONFIGURE = "configure"
    ENDPOINT_ERRS = "endpoint_errs"
    ENDPOINT_REFUSES = "endpoint_refuses"
    ENDPOINT_CUTS = "endpoint_cuts"
    ENDPOINT_MUTE = "endpoint_mute"
    ENDPOINT_SPOILS = "endpoint_spoils"
    ENDPOINT_LOSES_ORDERS = "endpoint_loses_orders"
    ENDPOINT_LEAVES = "endpoint_leaves"
    ENDPOINT_SAYS_LEAVING = "endpoint_says_leaving"
    ENDPOINT_LIMITS = "endpoint_limits"
    ENDPOINT_PAUSES = "endpoint_pauses"


class Fault(msgspec.Struct, frozen=True):
    """One fault, at a time from the start of the plan.

    ``target`` numbers a daemon or an endpoint, whichever the kind is about;
    ``strength`` lies between 0 and 1.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    strength: float


class Plan(msgspec.Struct, frozen=True):
    """All faults of one run, in the order in which they begin."""

    seed: int
    time_s: float
    faults: tuple[Fault, ...]


def make_plan(seed: int, time_s: float, targets: int) -> Plan:
    """Return the plan of a seed."""
    rng = random.Random(seed)
    faults = []
    start_s = 0.0
    while start_s < time_s:
        faults += _make_burst(rng, start_s, targets)
        change_s = start_s + BURST_S + CALM_CHANGE_S
        faults.append(Fault(change_s, FaultKind.CONFIGURE, 0, 0.0, 0.0))
        start_s += BURST_S + CALM_S
    kept = [fault for fault in faults if fault.at_s < time_s]
    return Plan(seed, time_s, tuple(kept))


def _make_burst(rng: random.Random, start_s: float, targets: int) -> list[Fault]:
    """Return the faults of one stretch."""
    faults = []
    at_s = start_s + rng.expovariate(1 / GAP_S)
    while at_s < start_s + BURST_S:
        fault = Fault(
            at_s=round(at_s, 3),
            kind=rng.choice(list(FaultKind)),
            target=rng.randrange(targets),
            for_s=round(rng.uniform(MIN_FOR_S, MAX_FOR_S), 3),
            strength=round(rng.random(), 3),
        )
        faults.append(fault)
        at_s += rng.expovariate(1 / GAP_S)
    return faults


async def async_shrink(
    plan: Plan, async_fails: Callable[[Plan], Awaitable[bool]]
) -> Plan:
    """Return a plan with fewer faults that still fails.

    Leaves out runs of faults, long ones first, as long as what is left fails.
    """
    size = len(plan.faults) // 2
    while size:
        start = 0
        while start < len(plan.faults):
            left = plan.faults[:start] + plan.faults[start + size :]
            smaller = msgspec.structs.replace(plan, faults=left)
            if await async_fails(smaller):
                plan = smaller
            else:
                start += size
        size //= 2
    return plan
