"""Tests of the failure report that is built from log lines."""

from __future__ import annotations

import pytest

from bench.account import FailureReason, build_report, render

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
    ("fields", "reason"),
    [
        ({"first": 0.5}, FailureReason.FIRST_EVENT_LATE),
        ({"pause": 0.3}, FailureReason.PAUSE_TOO_LONG),
        ({"outcome": "caller_gone"}, FailureReason.CALLER_LEFT_AT_ENDPOINT),
        (
            {"outcome": "caller_gone", "endpoints": '""'},
            FailureReason.CALLER_LEFT_WHILE_HELD,
        ),
        ({"outcome": "cut_at_stop"}, FailureReason.CUT_OFF),
        ({"outcome": "unknown", "status": 504}, FailureReason.CUT_OFF),
        ({"status": 500}, FailureReason.ENDPOINT_ERROR),
        (
            {"outcome": "not-run", "reason": '"the stream cannot be resumed"'},
            FailureReason.NOT_RESUMABLE,
        ),
        (
            {"outcome": "not-run", "reason": '"the adapter is not loaded"'},
            FailureReason.ADAPTER_NOT_LOADED,
        ),
        (
            {"outcome": "not-run", "reason": '"something new"'},
            FailureReason.OTHER_REFUSAL,
        ),
    ],
)
def test_failed_requests_are_classified(fields, reason):
    report = build_report([line(), line(2, **fields)])
    assert report.answered == 1
    assert [(failed.reason, failed.model) for failed in report.failures] == [
        (reason, "m0")
    ]
    assert report.failures[0].at_s == pytest.approx(1.0)
    assert reason.value in render(report)


def test_late_answer_after_model_wait_is_not_blamed_on_endpoint():
    waited_for_model = (
        START.format(second=1) + "model_waited_for request=q1 waited_s=0.4"
    )
    report = build_report([waited_for_model, line(first=0.5)])
    assert report.failures[0].reason is FailureReason.LATE_AFTER_MODEL_WAIT


def test_answers_omitted_from_the_log_are_counted():
    report = build_report([line() + " good_left_out=7"])
    assert report.answered == 8


def test_placement_changes_are_reported_with_relative_time():
    change = START.format(second=3) + (
        'placement_begun endpoint=i-1 model=m1 adapter="" reason=busy'
    )
    report = build_report([line(2), change])
    at_s, endpoint, artifact, reason = report.changes[0]
    assert (endpoint, artifact, reason) == ("i-1", "m1", "busy")
    assert at_s == pytest.approx(1.5)
