"""The account of what was lost, from log lines."""

from __future__ import annotations

import pytest

from bench.account import Loss, make_account, render

START = "time=2026-01-01T00:00:0{second}Z level=INFO channel=chutelink-entry event="
STREAM = (
    "request request={id} status={status} outcome={outcome} reason={reason} "
    "took_s=0.5 route=r service=s model=m0 adapter={adapter} endpoints={endpoints} "
    "objective_s=0.4 first_event_s={first} longest_pause_s={pause} max_pause_s=0.25"
)


def line(second: int = 1, **fields: object) -> str:
    known = {
        "id": "q1",
        "status": 200,
        "outcome": "answered",
        "reason": '""',
        "adapter": '""',
        "endpoints": "i-1",
        "first": 0.1,
        "pause": 0.1,
    }
    text = START.format(second=second) + STREAM.format(**(known | fields))
    return f"   {second}.0 front-1 {text}"


@pytest.mark.parametrize(
    ("fields", "loss"),
    [
        ({"first": 0.5}, Loss.FIRST_LATE),
        ({"pause": 0.3}, Loss.PAUSED),
        ({"outcome": "caller_gone"}, Loss.LEFT_AT_ENDPOINT),
        ({"outcome": "caller_gone", "endpoints": '""'}, Loss.LEFT_HELD),
        ({"outcome": "cut_at_stop"}, Loss.CUT),
        ({"outcome": "unknown", "status": 504}, Loss.CUT),
        ({"status": 500}, Loss.ENDPOINT_ERROR),
        (
            {"outcome": "not-run", "reason": '"the adapter is not loaded"'},
            Loss.ADAPTER_ABSENT,
        ),
        ({"outcome": "not-run", "reason": '"something new"'}, Loss.OTHER),
    ],
)
def test_each_loss_has_its_reason(fields, loss):
    account = make_account([line(), line(2, **fields)])
    assert account.answered == 1
    assert [(lost.loss, lost.model) for lost in account.lost] == [(loss, "m0")]
    assert account.lost[0].at_s == pytest.approx(1.0)
    assert loss.value in render(account)


def test_a_wait_for_a_model_is_told_from_a_slow_endpoint():
    waited = START.format(second=1) + "model_waited_for request=q1 waited_s=0.4"
    account = make_account([waited, line(first=0.5)])
    assert account.lost[0].loss is Loss.WAITED_LATE


def test_answers_that_were_left_out_of_the_log_are_counted():
    account = make_account([line() + " good_left_out=7"])
    assert account.answered == 8


def test_changes_of_placement_are_kept_with_their_time():
    change = START.format(second=3) + (
        'placement_begun endpoint=i-1 model=m1 adapter="" reason=busy'
    )
    account = make_account([line(2), change])
    at_s, endpoint, what, reason = account.changes[0]
    assert (endpoint, what, reason) == ("i-1", "m1", "busy")
    assert at_s == pytest.approx(1.5)
