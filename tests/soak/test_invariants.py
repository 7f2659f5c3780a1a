"""Tests that each invariant check reports the violations it is meant for."""

from __future__ import annotations

from collections import Counter

import pytest

from soak.callers import EVENTS_PER_STREAM, Outcome, RequestKind
from soak.invariants import (
    check_answers,
    check_deadlines,
    check_executions,
    check_internal_errors,
    check_lost,
)

STREAM = "".join(
    f"id: {n}\ndata: t{n}\n\n" for n in range(1, EVENTS_PER_STREAM + 1)
).encode()


def make_outcome(name: str, status: int, body: bytes = b"", **changes) -> Outcome:
    kind = RequestKind(name.partition("-")[0])
    fields = {"daemon": 0, "began_s": 0.0, "ended_s": 1.0, "is_whole": True} | changes
    return Outcome(id=name, kind=kind, status=status, body=body, **fields)


@pytest.mark.parametrize(
    ("name", "status", "runs", "has_violation"),
    [
        ("once-1", 200, 1, False),
        ("once-1", 200, 2, True),
        ("once-1", 503, 0, False),
        ("once-1", 503, 1, True),
        ("again-1", 200, 2, False),
        ("stream-1", 429, 1, True),
        ("once-1", 502, 1, False),
    ],
)
def test_check_executions_finds_forbidden_runs(name, status, runs, has_violation):
    violations = check_executions([make_outcome(name, status)], Counter({name: runs}))
    assert bool(violations) is has_violation


@pytest.mark.parametrize(
    ("name", "body", "is_whole", "has_violation"),
    [
        ("again-1", b"done again-1", True, False),
        ("again-1", b"done again-2", True, True),
        ("again-1", b"done", True, True),
        ("again-1", b"done", False, False),
        ("stream-1", STREAM, True, False),
        ("stream-1", STREAM[:40], True, True),
        ("stream-1", STREAM[:40], False, False),
        ("stream-1", STREAM[:10] + STREAM, False, True),
    ],
)
def test_check_answers_finds_wrong_or_truncated_answers(
    name, body, is_whole, has_violation
):
    violations = check_answers([make_outcome(name, 200, body, is_whole=is_whole)])
    assert bool(violations) is has_violation


def test_check_deadlines_finds_late_requests():
    assert not check_deadlines([make_outcome("again-1", 0, ended_s=3.5)])
    assert check_deadlines([make_outcome("again-1", 0, ended_s=6.0)])
    late = make_outcome("again-1", 0, ended_s=6.0, deadline_s=5.0)
    assert not check_deadlines([late])


@pytest.mark.parametrize(
    ("status", "changes", "has_violation"),
    [
        (200, {}, False),
        (503, {}, False),
        (200, {"is_whole": False}, True),
        (200, {"is_whole": False, "ended_s": 7.1}, False),
        (0, {"is_whole": False}, True),
        (502, {}, True),
        (504, {}, True),
        (504, {"ended_s": 7.1}, False),
    ],
)
def test_check_lost_finds_requests_that_fail_before_their_time(
    status, changes, has_violation
):
    outcome = make_outcome("stream-1", status, deadline_s=7.0, **changes)
    assert bool(check_lost([outcome])) is has_violation


def test_check_internal_errors_finds_only_status_500():
    assert check_internal_errors([make_outcome("stream-1", 500)])
    outcomes = [make_outcome("stream-1", status) for status in (0, 200, 502, 503)]
    assert not check_internal_errors(outcomes)
