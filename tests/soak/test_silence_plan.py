"""Tests of plans with silent endpoints, and of the rows that they write."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from soak.plan import (
    CHANGE_KINDS,
    ELIGIBILITY_KINDS,
    SILENCE_KINDS,
    FaultKind,
    Plan,
)
from soak.silence_faults import make_odd_row
from soak.silence_plan import (
    MAX_GAP_S,
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    make_silence_plan,
)

TIME_S = 40.0
TARGET_COUNT = 12
SILENT_KINDS = {FaultKind.ENDPOINT_SILENT, FaultKind.ALL_ENDPOINTS_SILENT}


def make(seed, **options):
    return make_silence_plan(seed, TIME_S, TARGET_COUNT, **options)


def drawn_kinds(plans):
    return {fault.kind for plan in plans for fault in plan.faults}


def test_plans_cover_every_kind_and_odd_rows_only_on_request():
    plans = [make(seed) for seed in range(20)]
    assert plans == [make(seed) for seed in range(20)]
    assert drawn_kinds(plans) >= SILENCE_KINDS - {FaultKind.ODD_ROW}
    assert not drawn_kinds(plans) & {FaultKind.ODD_ROW, *ELIGIBILITY_KINDS}
    plans = [make(seed, has_odd_rows=True) for seed in range(20)]
    assert FaultKind.ODD_ROW in drawn_kinds(plans)


def test_strict_plans_contain_only_silences_and_changes():
    """Guards against a strict check of requests that another fault may end."""
    plans = [make(seed, has_odd_rows=True) for seed in range(0, 20, 2)]
    assert all(plan.silences.is_strict for plan in plans)
    assert drawn_kinds(plans) == {*SILENT_KINDS, *CHANGE_KINDS}


@given(seed=st.integers(0, 10_000))
def test_endpoints_are_silent_at_most_twice_in_a_row(seed):
    """Guards against silences that overlap and so last longer than stated."""
    plan = make(seed)
    assert plan.silences.min_deadline_s > MAX_SILENCE_S
    assert plan.silences.max_deadline_s < plan.silences.min_timeout_s
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan
    for endpoint in range(4):
        silences = [
            fault
            for fault in plan.faults
            if fault.kind is FaultKind.ALL_ENDPOINTS_SILENT
            or (fault.kind is FaultKind.ENDPOINT_SILENT and fault.target == endpoint)
        ]
        row_began_s, ended_s = -TIME_S, -TIME_S
        for fault in silences:
            assert MIN_SILENCE_S <= fault.for_s <= MAX_SILENCE_S
            if fault.at_s - ended_s > MAX_GAP_S + 0.01:
                row_began_s = fault.at_s
            ended_s = max(ended_s, fault.at_s + fault.for_s)
            assert ended_s - row_began_s < 2 * MAX_SILENCE_S + MAX_GAP_S + 0.01


@pytest.mark.parametrize(
    ("strength", "expected"),
    [(0.3, "9" * 400), (0.5, ":0"), (0.7, ":70000"), (1.0, "999.0.0.1:80")],
)
def test_odd_rows_differ_in_one_field(strength, expected):
    text = make_odd_row(strength, "127.0.0.200")
    assert expected in text and json.loads(text.replace("9" * 400, "8"))["service"]


def test_odd_row_is_nested_deeper_than_a_decoder_recurses():
    with pytest.raises(RecursionError):
        json.loads(make_odd_row(0.0, "127.0.0.200"))
