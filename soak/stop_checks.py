"""Invariants of requests around the stop of their daemon, as callers see them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec

from .callers import RequestKind
from .stop_caller import StopOutcome

GRACE_S = 8.0
SHUTDOWN_MARGIN_S = 0.8
"""Part of the grace period after which requests in flight have been ended."""
END_TOLERANCE_S = 0.1
MEMORY_LIMIT_MB = 300.0
"""What the settings of the deployment allow a daemon."""
NOT_RUN = "not-run"
UNREAD_CLOSE_S = 0.2
"""A request counts as unread if its connection is closed within this time."""


class Stop(msgspec.Struct):
    """A stop of a daemon, on the clock of the loop.

    ``suspended_s`` is how long its process may have been suspended at a time.
    """

    daemon: int
    signaled_s: float
    gone_s: float = math.inf
    suspended_s: float = 0.0


def find_stop(outcome: StopOutcome, stops: Iterable[Stop]) -> Stop | None:
    """Return the stop that a request met, if any."""
    for stop in sorted(stops, key=lambda stop: stop.signaled_s):
        if stop.daemon == outcome.daemon and outcome.last_byte_s < stop.gone_s:
            return stop if outcome.ended_s >= stop.signaled_s else None
    return None


def check_stops(
    outcomes: Iterable[StopOutcome], stops: list[Stop], runs: Counter[str]
) -> list[str]:
    """Report requests that the stop of their daemon has cut or left unknown.

    Parameters
    ----------
    outcomes : iterable of StopOutcome
        Requests of callers.
    stops : list of Stop
        Stops of daemons.
    runs : Counter
        Runs at endpoints by request id.
    """
    violations = []
    for outcome in outcomes:
        stop = find_stop(outcome, stops)
        if stop is None or _is_allowed(outcome, stop, runs[outcome.id]):
            continue
        violations.append(_describe(outcome, stop, runs[outcome.id]))
    return violations


def _is_allowed(outcome: StopOutcome, stop: Stop, run_count: int) -> bool:
    if not outcome.status and not run_count:
        closed_after_s = outcome.ended_s - outcome.last_byte_s
        return closed_after_s <= UNREAD_CLOSE_S + stop.suspended_s
    is_refused = outcome.is_whole and outcome.outcome == NOT_RUN
    if outcome.has_whole_answer or is_refused or outcome.ended_at_limit:
        return True
    if outcome.last_byte_s >= stop.signaled_s or not outcome.status:
        return False
    end_s = stop.signaled_s + GRACE_S - SHUTDOWN_MARGIN_S
    return outcome.ended_s >= end_s - END_TOLERANCE_S


def _describe(outcome: StopOutcome, stop: Stop, run_count: int) -> str:
    return (
        f"{outcome.id} at vm-{outcome.daemon}: last byte "
        f"{outcome.last_byte_s - stop.signaled_s:+.2f} s from SIGTERM, ended "
        f"{outcome.ended_s - stop.signaled_s:+.2f} s, limit {outcome.limit_s:.2f} s, "
        f"status {outcome.status} {outcome.outcome}, {len(outcome.body)} bytes, "
        f"whole {outcome.is_whole}, ran {run_count} times"
    )


def check_runs(outcomes: Iterable[StopOutcome], runs: Counter[str]) -> list[str]:
    """Report non-idempotent requests that ran twice, and refused ones that ran."""
    violations = []
    for outcome in outcomes:
        count = runs[outcome.id]
        if outcome.kind is RequestKind.ONCE and count > 1:
            violations.append(f"{outcome.id} ran {count} times")
        if outcome.outcome == NOT_RUN and count:
            violations.append(f"{outcome.id} was refused as not run, but ran")
    return violations


def check_memory(peaks_mb: dict[str, float]) -> list[str]:
    """Report daemons that took more memory than the settings allow."""
    return [
        f"{name} took {peak_mb:.0f} MB"
        for name, peak_mb in peaks_mb.items()
        if peak_mb >= MEMORY_LIMIT_MB
    ]
