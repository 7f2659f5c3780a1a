"""What must hold whatever happens, judged by what callers and endpoints saw."""

from __future__ import annotations

from collections import Counter

from .callers import EVENTS, Outcome, RequestKind

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""
OK = 200
LATE_S = 1.5
"""How much later than its deadline a request may end: machines that test are busy."""


def check_runs(outcomes: list[Outcome], runs: Counter[str]) -> list[str]:
    """Return the requests that ran more often than they may, or though refused."""
    found = [
        f"{name} ran {count} times"
        for name, count in runs.items()
        if count > 1 and name.startswith(RequestKind.ONCE.value)
    ]
    found += [
        f"{outcome.id} was refused with {outcome.status} and ran"
        for outcome in outcomes
        if outcome.status in NOT_RUN and runs[outcome.id]
    ]
    return found


def check_answers(outcomes: list[Outcome]) -> list[str]:
    """Return the answers that are another's, or cut and look whole."""
    return [
        f"{outcome.id} was answered {outcome.body[:80]!r}"
        for outcome in outcomes
        if outcome.status == OK and not _is_right(outcome)
    ]


def _is_right(outcome: Outcome) -> bool:
    expected = b"done " + outcome.id.encode()
    if outcome.kind is RequestKind.STREAM:
        events = (f"id: {n}\ndata: t{n}\n\n" for n in range(1, EVENTS + 1))
        expected = "".join(events).encode()
    # Of an answer that broke off, what came must be its beginning.
    is_begun = expected.startswith(outcome.body)
    return outcome.body == expected if outcome.is_whole else is_begun


def check_ends(outcomes: list[Outcome], deadline_s: float) -> list[str]:
    """Return the requests that did not end in time, at daemons that were not frozen."""
    return [
        f"{outcome.id} took {outcome.ended_s - outcome.began_s:.2f} s"
        for outcome in outcomes
        if outcome.ended_s - outcome.began_s > deadline_s + LATE_S
    ]
