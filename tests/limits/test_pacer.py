"""Tests for the pacing of requests to one endpoint."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutelink.limits.const import BURST_S, MAX_DELAY_S, MIN_LIMIT_PER_S
from chutelink.limits.pacer import Pacer

from ..rates import max_events_in_window

WINDOW_S = 4.0
STEPS = st.lists(
    st.tuples(st.floats(0.0, 0.5), st.floats(0.0, MAX_DELAY_S)), max_size=200
)


def sends_s(pacer, limit_per_s, steps, now_s=100.0):
    times_s = []
    for pause_s, max_delay_s in steps:
        now_s += pause_s
        permit = pacer.reserve(limit_per_s, max_delay_s, now_s)
        if permit.is_granted:
            assert permit.delay_s <= max_delay_s
            times_s.append(now_s + permit.delay_s)
        else:
            assert permit.delay_s > max_delay_s
    return times_s


@given(st.floats(0.2, 200.0), STEPS)
def test_no_window_exceeds_the_limit_and_a_burst(limit_per_s, steps):
    times_s = sends_s(Pacer(limit_per_s, 100.0), limit_per_s, steps)
    allowed = 1 + max(0.0, BURST_S * limit_per_s - 1) + WINDOW_S * limit_per_s
    assert max_events_in_window(times_s, WINDOW_S) <= allowed + 1e-6


@given(st.floats(0.2, 200.0), st.floats(0.2, 200.0), STEPS, STEPS)
def test_changed_limit_takes_effect_at_once(before, after, first, second):
    pacer = Pacer(before, 100.0)
    sends_s(pacer, before, first)
    changed_s = 100.0 + sum(pause_s for pause_s, _ in first) + MAX_DELAY_S
    times_s = sends_s(pacer, after, second, changed_s)
    allowed = 1 + max(0.0, BURST_S * after - 1) + WINDOW_S * after
    assert max_events_in_window(times_s, WINDOW_S) <= allowed + 1e-6


@pytest.mark.parametrize("limit_per_s", [0.0, MIN_LIMIT_PER_S / 2])
def test_limit_below_the_minimum_still_allows_some_requests(limit_per_s):
    """Otherwise the limit would stay forever, since only a response can lift it."""
    pacer = Pacer(limit_per_s, 100.0)
    times_s = sends_s(pacer, limit_per_s, [(0.1, 0.0)] * 1000)
    assert len(times_s) == 100 * MIN_LIMIT_PER_S - 1


def test_limit_is_used_under_sufficient_load():
    pacer = Pacer(20.0, 100.0)
    times_s = sends_s(pacer, 20.0, [(0.01, 0.0)] * 1000)
    assert len(times_s) >= 0.9 * 20.0 * 10.0
