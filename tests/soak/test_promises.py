"""Each check finds what it is for."""

from __future__ import annotations

from collections import Counter

import pytest

from soak.callers import EVENTS, Outcome, RequestKind
from soak.promises import check_answers, check_ends, check_runs

STREAM = "".join(f"id: {n}\ndata: t{n}\n\n" for n in range(1, EVENTS + 1)).encode()


def make_outcome(name: str, status: int, body: bytes = b"", **changes) -> Outcome:
    kind = RequestKind(name.partition("-")[0])
    fields = {"daemon": 0, "began_s": 0.0, "ended_s": 1.0, "is_whole": True} | changes
    return Outcome(id=name, kind=kind, status=status, body=body, **fields)


@pytest.mark.parametrize(
    ("name", "status", "runs", "is_found"),
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
def test_runs_that_may_not_be(name, status, runs, is_found):
    found = check_runs([make_outcome(name, status)], Counter({name: runs}))
    assert bool(found) is is_found


@pytest.mark.parametrize(
    ("name", "body", "is_whole", "is_found"),
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
def test_answers_that_are_not_right(name, body, is_whole, is_found):
    found = check_answers([make_outcome(name, 200, body, is_whole=is_whole)])
    assert bool(found) is is_found


def test_requests_that_do_not_end():
    assert not check_ends([make_outcome("again-1", 0, ended_s=3.5)], 3.0)
    assert check_ends([make_outcome("again-1", 0, ended_s=6.0)], 3.0)
