"""Invariants that hold under all faults, checked from outside the daemons."""

from __future__ import annotations

from collections import Counter

from .callers import Outcome, RequestKind

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and will not run."""
OK = 200
INTERNAL_ERROR = 500
DEADLINE_TOLERANCE_S = 1.5
"""How long after its deadline a request may end, as test machines are busy."""


def check_executions(outcomes: list[Outcome], executions: Counter[str]) -> list[str]:
    """Report requests that ran more than once where forbidden, or despite a refusal."""
    violations = [
        f"{request_id} ran {count} times"
        for request_id, count in executions.items()
        if count > 1 and request_id.startswith(RequestKind.ONCE.value)
    ]
    violations += [
        f"{outcome.id} was refused with {outcome.status} but ran"
        for outcome in outcomes
        if outcome.status in NOT_RUN_STATUSES and executions[outcome.id]
    ]
    return violations


def check_answers(outcomes: list[Outcome]) -> list[str]:
    """Report answers of another request, and truncated ones that look complete."""
    return [
        f"{outcome.id} at vm-{outcome.daemon} was answered {outcome.body[:80]!r}"
        for outcome in outcomes
        if outcome.status == OK and not _is_expected(outcome)
    ]


def _is_expected(outcome: Outcome) -> bool:
    expected = b"done " + outcome.id.encode()
    if outcome.kind is RequestKind.STREAM:
        events = (f"id: {n}\ndata: t{n}\n\n" for n in range(1, outcome.events + 1))
        expected = "".join(events).encode()
    # A truncated answer must be a prefix of the expected one.
    is_prefix = expected.startswith(outcome.body)
    return outcome.body == expected if outcome.is_whole else is_prefix


def check_deadlines(outcomes: list[Outcome]) -> list[str]:
    """Report requests that ended too late; pass none that a frozen daemon received."""
    return [
        f"{outcome.id} took {outcome.ended_s - outcome.began_s:.2f} s"
        for outcome in outcomes
        if outcome.ended_s - outcome.began_s > outcome.deadline_s + DEADLINE_TOLERANCE_S
    ]


def check_lost(outcomes: list[Outcome]) -> list[str]:
    """Report requests that failed before their deadline; refusals are permitted.

    Only valid if nothing else happened than silences and configuration changes.
    """
    return [
        f"{outcome.id} at vm-{outcome.daemon} ended with status {outcome.status} and "
        f"{len(outcome.body)} bytes after {outcome.ended_s - outcome.began_s:.2f} s "
        f"of {outcome.deadline_s:.2f} s"
        for outcome in outcomes
        if outcome.ended_s - outcome.began_s < outcome.deadline_s
        and not (outcome.is_whole and outcome.status in {OK, *NOT_RUN_STATUSES})
    ]


def check_internal_errors(outcomes: list[Outcome]) -> list[str]:
    """Report internal errors of daemons, if endpoints send none of their own."""
    return [
        f"{outcome.id} at vm-{outcome.daemon} got an internal error"
        for outcome in outcomes
        if outcome.status == INTERNAL_ERROR
    ]
