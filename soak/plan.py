"""Fault plans: which faults are injected when, drawn from a seed. No I/O.

A plan can be saved as JSON, run again, and shrunk to the faults that are needed.
"""

from __future__ import annotations

import math
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
CYCLE_S = BURST_S + RECOVERY_S
MIN_EVACUATION_S = 6.4
MAX_EVACUATION_S = 7.4
"""Longer than the bound on evacuations; two that overlap fit into one cycle."""
COMPANION_PROBABILITY = 0.8
COLD_INTERVAL_S = 5.0
"""Longer than endpoints are cold, so that the others can take the requests."""


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
    DOMAIN_EVACUATED = "domain_evacuated"
    DOMAIN_COLD = "domain_cold"
    ENDPOINT_RESTARTED_COLD = "endpoint_restarted_cold"
    ENDPOINT_SILENT = "endpoint_silent"
    ALL_ENDPOINTS_SILENT = "all_endpoints_silent"
    ENDPOINT_REPLACED = "endpoint_replaced"
    ENDPOINT_REPLACED_BY_NEW_ID = "endpoint_replaced_by_new_id"
    ENGINE_ENDS_EARLY = "engine_ends_early"
    IDLE_TIMEOUT_CHANGED = "idle_timeout_changed"
    ROUTE_TIMEOUT_CHANGED = "route_timeout_changed"
    ROUTE_CHANGED = "route_changed"
    ODD_ROW = "odd_row"


_COLD_KINDS = (FaultKind.DOMAIN_COLD, FaultKind.ENDPOINT_RESTARTED_COLD)
ELIGIBILITY_KINDS = frozenset({FaultKind.DOMAIN_EVACUATED, *_COLD_KINDS})
"""Kinds that only plans with an ``EligibilitySetup`` contain."""
CHANGE_KINDS = (
    FaultKind.IDLE_TIMEOUT_CHANGED,
    FaultKind.ROUTE_TIMEOUT_CHANGED,
    FaultKind.ROUTE_CHANGED,
)
REPLACED_KINDS = (FaultKind.ENDPOINT_REPLACED, FaultKind.ENDPOINT_REPLACED_BY_NEW_ID)
SILENCE_KINDS = frozenset(
    {
        FaultKind.ENDPOINT_SILENT,
        FaultKind.ALL_ENDPOINTS_SILENT,
        FaultKind.ODD_ROW,
        FaultKind.ENGINE_ENDS_EARLY,
        *CHANGE_KINDS,
        *REPLACED_KINDS,
    }
)
"""Kinds that only plans with a ``SilenceSetup`` contain."""
_OTHER_KINDS = tuple(
    kind for kind in FaultKind if kind not in ELIGIBILITY_KINDS | SILENCE_KINDS
)
_COLD_COMPANION_KINDS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.FREEZE,
    FaultKind.STORE_DROPS_HISTORY,
)
"""Kinds injected beside endpoints that become cold while in service.

Without the store, daemons would not learn of it before the limit is exceeded.
"""
_EVACUATION_COMPANION_KINDS = (
    *_COLD_COMPANION_KINDS,
    FaultKind.STORE_OUT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_RESTORED,
    FaultKind.LINKS_RESET,
)


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


class EligibilitySetup(msgspec.Struct, frozen=True):
    """Failure domains, regions and limits of a run with eligibility faults.

    ``domains`` maps failure domains to regions, ``home_regions`` those of one route.
    Endpoints are cold for ``cold_s`` after a start and tolerate ``cold_per_s``
    requests per second meanwhile. Evacuations are in force ``evacuate_s`` after they
    are acknowledged. The limit is below the deployment's of 13, since the callers send
    an endpoint some 14 requests per second, and so would not exceed that one.
    """

    domains: dict[str, str]
    home_regions: tuple[str, ...] = ()
    cold_s: float = 3.0
    cold_per_s: float = 6.0
    evacuate_s: float = 5.0


class SilenceSetup(msgspec.Struct, frozen=True):
    """Requests of a run with silent endpoints, and how strictly they are checked.

    If ``is_strict``, endpoints are only silent and the configuration changes, so that
    no request may fail before its deadline, which is longer than a silence and shorter
    than every timeout of a route. Endpoints send an event every ``event_interval_s``.
    """

    is_strict: bool
    min_deadline_s: float = 3.5
    max_deadline_s: float = 7.0
    min_timeout_s: float = 7.5
    max_timeout_s: float = 12.0
    min_events: int = 20
    max_events: int = 60
    event_interval_s: float = 0.02


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """All faults of one run, ordered by start time."""

    seed: int
    time_s: float
    faults: tuple[Fault, ...]
    eligibility: EligibilitySetup | None = None
    silences: SilenceSetup | None = None


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
            kind=rng.choice(_OTHER_KINDS),
            target=rng.randrange(target_count),
            for_s=round(rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S), 3),
            strength=round(rng.random(), 3),
        )
        faults.append(fault)
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    return faults


def make_eligibility_plan(seed: int, time_s: float, target_count: int) -> Plan:
    """Return the plan of evacuations and cold endpoints for a seed.

    Each cycle has either evacuations or endpoints that become cold while in service, so
    that none becomes cold as the only one left. Every second seed has a route with home
    regions.
    """
    rng = random.Random(f"eligibility-{seed}")
    faults = []
    first_scene = rng.randrange(2)
    for cycle in range(math.ceil(time_s / CYCLE_S)):
        start_s = cycle * CYCLE_S
        if (first_scene + cycle) % 2 == 0:
            faults += _make_evacuations(rng, start_s + rng.random(), target_count)
            companion_kinds = _EVACUATION_COMPANION_KINDS
        else:
            faults += _make_cold_faults(rng, start_s + rng.random(), target_count)
            companion_kinds = _COLD_COMPANION_KINDS
        if rng.random() < COMPANION_PROBABILITY:
            at_s = start_s + rng.uniform(0.0, BURST_S)
            kind = rng.choice(companion_kinds)
            faults.append(_make_fault(rng, at_s, kind, rng.randrange(target_count)))
    started = sorted((f for f in faults if f.at_s < time_s), key=lambda f: f.at_s)
    setup = EligibilitySetup(
        {"zone-a": "north", "zone-b": "north", "zone-c": "south"},
        ("north",) if seed % 2 else (),
    )
    return Plan(seed, time_s, tuple(started), setup)


def _make_fault(rng: random.Random, at_s: float, kind: FaultKind, target: int) -> Fault:
    for_s = rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S)
    if kind is FaultKind.DOMAIN_EVACUATED:
        for_s = rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
    strength = round(rng.random(), 3)
    return Fault(round(at_s, 3), kind, target, round(for_s, 3), strength)


def _make_evacuations(
    rng: random.Random, start_s: float, target_count: int
) -> list[Fault]:
    """Return an evacuation, maybe a second one, and a domain that returns cold."""
    target = rng.randrange(target_count)
    first = _make_fault(rng, start_s, FaultKind.DOMAIN_EVACUATED, target)
    faults = [first]
    if rng.random() < 0.5:
        at_s = start_s + rng.uniform(0.0, MIN_EVACUATION_S)
        kind = FaultKind.DOMAIN_EVACUATED
        faults.append(_make_fault(rng, at_s, kind, target + 1))
    if rng.random() < 0.5:
        # Before it is taken back, so that no request is in flight to it.
        at_s = start_s + first.for_s - 0.2
        faults.append(_make_fault(rng, at_s, FaultKind.DOMAIN_COLD, target))
    return faults


def _make_cold_faults(
    rng: random.Random, start_s: float, target_count: int
) -> list[Fault]:
    """Return domains and endpoints that become cold one after the other."""
    times_s = [start_s + COLD_INTERVAL_S * number for number in range(2)]
    return [
        _make_fault(rng, at_s, rng.choice(_COLD_KINDS), rng.randrange(target_count))
        for at_s in times_s
    ]


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
