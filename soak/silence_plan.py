"""Plans with endpoints that are silent while the configuration changes. No I/O."""

from __future__ import annotations

import math
import random

from .plan import (
    CHANGE_KINDS,
    REPLACED_KINDS,
    Fault,
    FaultKind,
    Plan,
    SilenceSetup,
)

MIN_SILENCE_S = 1.0
MAX_SILENCE_S = 2.5
MAX_GAP_S = 0.4
"""Maximum time between two silences in a row."""
MAX_STAGGER_S = 0.6
SCENE_S = 9.0
"""Longer than two silences in a row, so that scenes do not overlap."""
MAX_CHANGES = 6
CHANGES_S = 5.0
"""Time at the beginning of a scene in which the configuration changes."""
ENDPOINT_COUNT = 4
MAX_EARLY_ENDS = 6
MIN_DURATION_S = 0.2
_COMPANION_KINDS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.FREEZE,
    FaultKind.RELOAD,
    FaultKind.STORE_OUT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_DROPS_HISTORY,
    FaultKind.LINKS_RESET,
)


def make_silence_plan(
    seed: int, time_s: float, target_count: int, *, has_odd_rows: bool = False
) -> Plan:
    """Return the plan for a seed.

    Even seeds contain silences and configuration changes only. Odd seeds also replace
    endpoints within responses, let engines end streams early, disturb daemons and the
    store, and write unusable registrations if ``has_odd_rows``.
    """
    rng = random.Random(f"silence-{seed}")
    early_rng = random.Random(f"early-end-{seed}")
    is_strict = seed % 2 == 0
    faults = []
    for scene in range(math.ceil(time_s / SCENE_S)):
        start_s = scene * SCENE_S + rng.random()
        faults += _make_silences(rng, start_s)
        faults += _make_changes(rng, start_s, target_count)
        if not is_strict:
            faults += _make_others(rng, start_s, target_count)
            faults += _make_early_ends(early_rng, start_s, target_count)
        if has_odd_rows and not is_strict:
            at_s = start_s + rng.uniform(0.0, CHANGES_S)
            faults.append(_make_fault(rng, at_s, FaultKind.ODD_ROW))
    started = sorted((f for f in faults if f.at_s < time_s), key=lambda f: f.at_s)
    return Plan(seed, time_s, tuple(started), silences=SilenceSetup(is_strict))


def _make_fault(
    rng: random.Random,
    at_s: float,
    kind: FaultKind,
    target: int = 0,
    min_s: float = MIN_DURATION_S,
) -> Fault:
    for_s = round(rng.uniform(min_s, MAX_SILENCE_S), 3)
    return Fault(round(at_s, 3), kind, target, for_s, round(rng.random(), 3))


def _make_silences(rng: random.Random, start_s: float) -> list[Fault]:
    """Return silences of one endpoint, of all at once, or of all in series."""
    pattern = rng.randrange(3)
    if pattern == 0:
        target = rng.randrange(ENDPOINT_COUNT)
        return _make_row(rng, start_s, FaultKind.ENDPOINT_SILENT, target)
    if pattern == 1:
        return _make_row(rng, start_s, FaultKind.ALL_ENDPOINTS_SILENT, 0)
    return [
        fault
        for target in range(ENDPOINT_COUNT)
        for fault in _make_row(
            rng,
            start_s + rng.uniform(0.0, MAX_STAGGER_S),
            FaultKind.ENDPOINT_SILENT,
            target,
        )
    ]


def _make_row(
    rng: random.Random, start_s: float, kind: FaultKind, target: int
) -> list[Fault]:
    """Return one silence, or two in a row."""
    first = _make_fault(rng, start_s, kind, target, MIN_SILENCE_S)
    if rng.random() < 0.5:
        return [first]
    again_s = first.at_s + first.for_s + rng.uniform(0.0, MAX_GAP_S)
    return [first, _make_fault(rng, again_s, kind, target, MIN_SILENCE_S)]


def _make_changes(rng: random.Random, start_s: float, target_count: int) -> list[Fault]:
    """Return changes of the configuration, in series or at random times."""
    count = rng.randint(2, MAX_CHANGES)
    times_s = sorted(rng.uniform(0.0, CHANGES_S) for _ in range(count))
    if rng.random() < 0.5:
        times_s = [CHANGES_S * (number + 0.5) / count for number in range(count)]
    return [
        _make_fault(
            rng, start_s + at_s, rng.choice(CHANGE_KINDS), rng.randrange(target_count)
        )
        for at_s in times_s
    ]


def _make_others(rng: random.Random, start_s: float, target_count: int) -> list[Fault]:
    """Return endpoints that are replaced, and faults of daemons and the store."""
    kinds = [rng.choice(REPLACED_KINDS) for _ in range(rng.randint(1, 4))]
    kinds += [rng.choice(_COMPANION_KINDS) for _ in range(rng.randint(0, 3))]
    return [
        _make_fault(
            rng,
            start_s + rng.uniform(0.0, CHANGES_S),
            kind,
            rng.randrange(target_count),
        )
        for kind in kinds
    ]


def _make_early_ends(
    rng: random.Random, start_s: float, target_count: int
) -> list[Fault]:
    """Return engines that end streams without framing before their last event."""
    return [
        _make_fault(
            rng,
            start_s + rng.uniform(0.0, CHANGES_S),
            FaultKind.ENGINE_ENDS_EARLY,
            rng.randrange(target_count),
        )
        for _ in range(rng.randint(1, MAX_EARLY_ENDS))
    ]
